package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/agent"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// faults is a source of random faults for one goroutine.
type faults struct{ rnd *rand.Rand }

// faultSeeds numbers the seeds, so that goroutines share no lock.
var faultSeeds atomic.Uint64

func newFaults() faults { return faults{rand.New(rand.NewPCG(1, faultSeeds.Add(1)))} }

// oneIn reports true once in n calls on average; never for n 0.
func (f faults) oneIn(n int) bool { return n > 0 && f.rnd.IntN(n) == 0 }

// faultyAgent is a real agent whose frames are lost, duplicated, reordered,
// corrupted and delivered to other attempts.
type faultyAgent struct {
	*agent.Agent
	// oneIn is the inverse probability of each fault per frame; 0 means no
	// faults.
	oneIn int
	mu    sync.Mutex
	last  *peerv1.Frame
}

func (a *faultyAgent) Submit(sender peerrpc.FrameSender, submit *peerv1.Submit) {
	a.Agent.Submit(&faultySender{FrameSender: sender, agent: a, faults: newFaults()}, submit)
}

// swapLastFrame returns the last data frame of any attempt, and stores this one.
func (a *faultyAgent) swapLastFrame(f *peerv1.Frame) *peerv1.Frame {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.last
	if len(f.GetData()) > 0 || last == nil {
		a.last = f
	}
	return last
}

// faultySender sends the frames of one attempt with faults.
type faultySender struct {
	peerrpc.FrameSender
	agent  *faultyAgent
	faults faults
	held   *peerv1.Frame
}

func (s *faultySender) SendFrame(ctx context.Context, f *peerv1.Frame) error {
	faults, n := s.faults, s.agent.oneIn
	other := s.agent.swapLastFrame(f)
	frames := []*peerv1.Frame{f}
	// Each frame is lost, duplicated, delayed behind the next one, followed by a
	// frame of another attempt, given the data of that frame, or unchanged.
	switch {
	case faults.oneIn(n):
		return nil
	case faults.oneIn(n):
		frames = append(frames, f)
	case faults.oneIn(n):
		s.held = f
		return nil
	case faults.oneIn(n) && other != nil:
		frames = append(frames, other)
	case faults.oneIn(n) && other != nil:
		mixed := proto.Clone(f).(*peerv1.Frame)
		mixed.Data = other.GetData()
		frames = []*peerv1.Frame{mixed}
	}
	if s.held != nil {
		frames = append(frames, s.held)
		s.held = nil
	}
	for _, frame := range frames {
		if err := s.FrameSender.SendFrame(ctx, frame); err != nil {
			return err
		}
	}
	return nil
}

// faultyEngine is an engine whose streams break, repeat tokens and carry events
// of other sequences.
type faultyEngine struct{ oneIn int }

func (e *faultyEngine) Generate(_ context.Context, req *enginev1.GenerateRequest) (engine.Stream, error) {
	return &faultyStream{engine: e, faults: newFaults(), req: req, next: req.GetResumeFromToken()}, nil
}
func (e *faultyEngine) Cancel(context.Context, string) error { return nil }
func (e *faultyEngine) Load(context.Context) (*enginev1.LoadReport, error) {
	return &enginev1.LoadReport{}, nil
}
func (e *faultyEngine) State(context.Context) (*enginev1.State, error) {
	return &enginev1.State{Role: configv1.Role_ROLE_MIXED, Model: "m"}, nil
}
func (e *faultyEngine) CacheEvents(context.Context, uint64) (*enginev1.CacheEvents, error) {
	return &enginev1.CacheEvents{}, nil
}
func (e *faultyEngine) ExportKV(context.Context, string) (string, error) { return "", nil }
func (e *faultyEngine) ImportKV(context.Context, string, string) error   { return nil }
func (e *faultyEngine) Order(context.Context, *enginev1.Order) (*enginev1.OrderReply, error) {
	return &enginev1.OrderReply{Accepted: true}, nil
}

type faultyStream struct {
	engine *faultyEngine
	faults faults
	req    *enginev1.GenerateRequest
	next   int32
}

// token returns token n of the only correct response to a prompt.
func token(prompt string, n int32) string { return fmt.Sprintf("%s:%d ", prompt, n) }

func (s *faultyStream) Next() (*enginev1.GenerateEvent, error) {
	faults, n := s.faults, s.engine.oneIn
	ev := &enginev1.GenerateEvent{Id: s.req.GetId(), Tokens: 1, TokenIndex: s.next, Text: token(s.req.GetPrompt(), s.next)}
	switch {
	case faults.oneIn(n):
		return nil, engine.ErrInterrupted
	case faults.oneIn(n):
		ev.Id = "another"
	case faults.oneIn(n) && s.next > 0:
		s.next--
		ev.TokenIndex = s.next
	case faults.oneIn(n):
		ev.Tokens, ev.Text, ev.Done, ev.FinishReason = 0, "", true, "moved"
		return ev, nil
	}
	s.next++
	if s.next == s.req.GetMaxTokens() {
		ev.Done, ev.FinishReason = true, "length"
	}
	return ev, nil
}
func (s *faultyStream) Close() error { return nil }

// system is one entry with three faulty agents, in one process and connected
// over TCP.
type system struct {
	url     string
	entry   *Entry
	metrics *prometheus.Registry
	calls   *callRecord
	proxies []*tcpProxy
	// wrongResponse describes the last wrong response.
	wrongResponse atomic.Value
}

func newSystem(t *testing.T, oneIn int) *system {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	calls := &callRecord{keys: map[string]int{}, requests: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/item/", echo)
	mux.HandleFunc("/slow/", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	mux.Handle("/stamps", calls)
	backend := httptest.NewServer(mux)
	t.Cleanup(backend.Close)
	d := &configv1.Deployment{
		Name:           "test",
		FailureDomains: []*configv1.FailureDomain{{Name: "fd", Region: "r"}},
		Services: []*configv1.Service{
			{Name: "plain", Kind: configv1.ServiceKind_SERVICE_KIND_PLAIN, DeadlineMs: 60_000, RetryBudget: 1, NonIdempotent: []string{"POST /stamps"}},
			{Name: "model", Kind: configv1.ServiceKind_SERVICE_KIND_MODEL, Model: "m", DeadlineMs: 60_000, RetryBudget: 1},
		},
		Defaults: &configv1.Defaults{AllowUnlistedClients: true, ClientWeight: 1},
	}
	store := fake.New(fake.Options{})
	s := &system{calls: calls}
	var agents []*agent.Agent
	for n := range 3 {
		s.proxies = append(s.proxies, newTCPProxy(t))
		agents = append(agents, startAgent(t, oneIn, n, d, backend.URL, s.proxies[n], store))
	}
	metrics := prometheus.NewRegistry()
	peers := peerrpc.NewClient(peerrpc.ClientOptions{DataConnections: 2, Metrics: peerrpc.NewMetrics(prometheus.NewRegistry())})
	t.Cleanup(peers.Close)
	e := New(Options{
		Name: "entry", FailureDomain: "fd", Region: "r", Address: "127.0.0.1:1", Incarnation: 1,
		HeartbeatInterval: 2 * time.Second, Store: fake.New(fake.Options{}), Peers: peers,
		Registerer: metrics,
	})
	config := &configv1.AcceptedDeployment{Revision: 1, Deployment: d, KeyHomes: ledger.NextKeyHomes(nil, d, time.Now())}
	value, err := proto.Marshal(config)
	require.NoError(t, err)
	_, err = store.Put(ctx, platform.Key{Kind: platform.KindDeployment, Name: platform.NameCurrent}, value, 0)
	require.NoError(t, err)
	accepted := catalog.New(config)
	for _, a := range agents {
		a.SetCatalog(accepted)
	}
	e.SetCatalog(accepted)
	go e.watchAgents(ctx)
	go e.line.watchProcessor(ctx)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	s.url, s.entry, s.metrics = server.URL, e, metrics
	return s
}

// startAgent starts a faulty agent with a plain backend server and an engine.
func startAgent(t *testing.T, oneIn, n int, d *configv1.Deployment, backend string, proxy *tcpProxy, store platform.Store) *agent.Agent {
	faulty := &faultyAgent{oneIn: oneIn}
	server := peerrpc.NewServer("127.0.0.1:0", faulty, peerrpc.NewMetrics(prometheus.NewRegistry()), logevent.Log{})
	require.NoError(t, server.Listen())
	address := proxy.listener.Addr().String()
	go proxy.serve(server.Address())
	faulty.Agent = agent.New(agent.Options{
		Name: fmt.Sprintf("agent-%d", n), FailureDomain: "fd", Address: address, Incarnation: uint64(n + 1),
		HeartbeatInterval: 2 * time.Second, Store: store,
		DialEngine: func(string) engine.Engine { return &faultyEngine{oneIn: oneIn} },
	})
	go func() { _ = server.Start(context.Background()) }()
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	d.BackendServers = append(d.BackendServers,
		&configv1.BackendServer{Name: fmt.Sprintf("p%d", n), Service: "plain", FailureDomain: "fd", Agent: address, Address: backend},
		&configv1.BackendServer{
			Name: fmt.Sprintf("e%d", n), Service: "model", FailureDomain: "fd", Agent: address, Address: backend,
			Role: configv1.Role_ROLE_MIXED, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1e6, MaxBatch: 1024,
		})
	return faulty.Agent
}

// echoed returns the only correct response of the plain service.
func echoed(path, requestID string) string {
	return strings.Repeat(path+" for "+requestID+"\n", 300)
}

func echo(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, echoed(r.URL.Path, r.Header.Get("X-Request-Id")))
}

// verdicts counts the callers' verdicts on their responses.
type verdicts struct {
	mu sync.Mutex
	n  map[string]int
}

func (v *verdicts) add(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.n[name]++
}

// plain calls the plain service and returns a verdict on the response.
func (s *system) plain(n int) string {
	path := fmt.Sprintf("/item/%d", n)
	req, _ := http.NewRequest(http.MethodGet, s.url+"/services/plain"+path, nil)
	req.Header.Set("X-Client", fmt.Sprintf("c%d", n%50))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "lost"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "lost"
	case resp.StatusCode != http.StatusOK:
		return "refused"
	case string(body) == echoed(path, resp.Header.Get("X-Request-Id")):
		return "whole"
	}
	return "WRONG"
}

// stream calls the model service and returns a verdict on the stream.
func (s *system) stream(n int) string {
	prompt := fmt.Sprintf("q%d", n)
	const tokens = 12
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	req, _ := http.NewRequest(http.MethodPost, s.url+"/v1/completions", strings.NewReader(body))
	req.Header.Set("X-Client", fmt.Sprintf("c%d", n%50))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "lost"
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "refused"
	}
	var want strings.Builder
	for i := range int32(tokens) {
		want.WriteString(token(prompt, i))
	}
	text, done := readStream(resp.Body)
	switch {
	case done && text == want.String():
		return "whole"
	case !done && strings.HasPrefix(want.String(), text):
		return "cut"
	}
	s.wrongResponse.Store(fmt.Sprintf("done %v, want %q, got %q", done, want.String(), text))
	return "WRONG"
}

// readStream returns the text of a stream, and whether it ended completely.
func readStream(body io.Reader) (string, bool) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return text.String(), true
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal(data, &event) == nil && len(event.Choices) > 0 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	return text.String(), false
}

// waitReady returns when the system has completed a first request.
func (s *system) waitReady(t *testing.T) {
	require.Eventually(t, func() bool { return s.plain(0) == "whole" }, 10*time.Second, 50*time.Millisecond)
}

// retryUntilDone repeats a request like a caller that was refused or lost its
// response, and returns the last verdict, or the first "WRONG". It retries
// refusals without limit, so that the verdict does not depend on how busy the
// machine is, and lost responses 20 times.
func retryUntilDone(call func() string) string {
	verdict := ""
	for lost := 0; lost < 20; {
		verdict = call()
		switch verdict {
		case "whole", "WRONG":
			return verdict
		case "refused":
		default:
			lost++
		}
		time.Sleep(300 * time.Millisecond)
	}
	return verdict
}

const numCallers = 2000

// TestEachCallerReceivesItsOwnResponse has thousands of concurrent callers
// check their responses while frames and engine streams are lost, duplicated,
// reordered, corrupted and mixed up. It guards against responses delivered to
// the wrong caller or reported as complete when they are not.
func TestEachCallerReceivesItsOwnResponse(t *testing.T) {
	s := newSystem(t, 400)
	s.waitReady(t)
	v := &verdicts{n: map[string]int{}}
	var group sync.WaitGroup
	for n := range numCallers {
		group.Go(func() {
			if n%2 == 0 {
				v.add("plain " + retryUntilDone(func() string { return s.plain(n) }))
				return
			}
			v.add("stream " + retryUntilDone(func() string { return s.stream(n) }))
		})
	}
	group.Wait()
	t.Log(v.n)
	require.Zero(t, v.n["plain WRONG"]+v.n["stream WRONG"], s.wrongResponse.Load())
	require.Greater(t, v.n["plain whole"], numCallers/4)
	require.Greater(t, v.n["stream whole"], numCallers/4)
}
