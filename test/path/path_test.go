package path

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	client "github.com/marigoldwing/marigoldwing/platform"
)

const (
	modelName = "guide-lm"
	// fastRate makes the processing time of the engine negligible compared with
	// the overhead of the path.
	fastRate = 1e9
	// outputTokens is the output length of a request to the engine.
	outputTokens = 4
)

// system is an entry, an agent and an engine, each in a process of its own.
type system struct {
	entryURL  string
	engineURL string
	http      *http.Client
}

// binaries is the directory into which TestMain builds the programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "path")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/marigold-entry", "../../cmd/marigold-agent", "../../cmd/marigold-standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// start starts a program that is killed when the test ends.
func start(tb testing.TB, program string, args ...string) {
	tb.Helper()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	require.NoError(tb, cmd.Start())
	tb.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

// freeAddress returns a loopback address that was free just now.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	defer listener.Close()
	return listener.Addr().String()
}

// newSystem starts the platform stand-in and the system's processes and waits
// until a request is answered.
func newSystem(tb testing.TB) *system {
	tb.Helper()
	platformAddress, engineAddress := freeAddress(tb), freeAddress(tb)
	agentPeer, entryPeer, entryHTTP := freeAddress(tb), freeAddress(tb), freeAddress(tb)
	start(tb, "marigold-standin", "platform", "-address", platformAddress)
	start(tb, "marigold-standin", "engine", "-address", engineAddress, "-model", modelName, "-model-version", "v1",
		"-prefill-rate", "1e9", "-decode-step", "1us", "-decode-step-per-sequence", "0s")
	putDeployment(tb, client.NewStore("http://"+platformAddress), agentPeer, "http://"+engineAddress)
	common := []string{"-failure-domain", "fd-1", "-region", "r-1", "-platform-url", "http://" + platformAddress, "-peers", agentPeer + "," + entryPeer}
	start(tb, "marigold-agent", append(common, "-name", "agent", "-http-address", freeAddress(tb), "-peer-address", agentPeer, "-exclusive-address", freeAddress(tb))...)
	start(tb, "marigold-entry", append(common, "-name", "entry", "-http-address", entryHTTP, "-peer-address", entryPeer)...)
	s := &system{
		entryURL:  "http://" + entryHTTP,
		engineURL: "http://" + engineAddress,
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	s.awaitReady(tb)
	return s
}

// putDeployment writes a deployment with a single mixed engine to the platform.
func putDeployment(tb testing.TB, store platform.Store, agentPeer, engineURL string) {
	tb.Helper()
	deployment := &configv1.Deployment{
		Name:           "path",
		FailureDomains: []*configv1.FailureDomain{{Name: "fd-1", Region: "r-1"}},
		Models:         []*configv1.Model{{Name: modelName, Version: "v1"}},
		Services:       []*configv1.Service{{Name: "guide", Kind: configv1.ServiceKind_SERVICE_KIND_MODEL, Model: modelName, DeadlineMs: 30_000}},
		BackendServers: []*configv1.BackendServer{{
			Name: "engine-1", Service: "guide", FailureDomain: "fd-1", Agent: agentPeer, Address: engineURL,
			Role: configv1.Role_ROLE_MIXED, PrefillTokensPerSecond: fastRate, DecodeTokensPerSecond: fastRate, MaxBatch: 64,
		}},
		Defaults: &configv1.Defaults{AllowUnlistedClients: true, ClientWeight: 1, MaxDeadlineMs: 60_000},
	}
	value, err := proto.Marshal(&configv1.AcceptedDeployment{Revision: 1, ApplyId: uuid.NewString(), Deployment: deployment})
	require.NoError(tb, err)
	key := platform.Key{Kind: platform.KindDeployment, Name: platform.NameCurrent}
	put := func() bool {
		_, err := store.Put(context.Background(), key, value, 0)
		return err == nil
	}
	require.Eventually(tb, put, 10*time.Second, 20*time.Millisecond)
}

// awaitReady waits until a request is answered.
func (s *system) awaitReady(tb testing.TB) {
	isAnswered := func() bool {
		_, err := s.throughEntry(false)
		return err == nil
	}
	require.Eventually(tb, isAnswered, 30*time.Second, 20*time.Millisecond)
}

// throughEntry sends a request to the entry, reads the complete response and
// returns the time to the first byte of its body.
func (s *system) throughEntry(stream bool) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hi"}],"max_tokens":%d,"stream":%t}`, modelName, outputTokens, stream)
	return s.send(s.entryURL+"/v1/chat/completions", body)
}

// direct sends the same work to the engine itself, which always streams. It
// returns the time to the first byte of the response body.
func (s *system) direct() (time.Duration, error) {
	body := fmt.Sprintf(`{"id":%q,"prompt":"user: hi\n","maxTokens":%d}`, uuid.NewString(), outputTokens)
	return s.send(s.engineURL+engine.PathGenerate, body)
}

// send posts a request, reads the complete response and returns the time to the
// first byte of its body.
func (s *system) send(url, body string) (time.Duration, error) {
	startTime := time.Now()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Client", "bench")
	resp, err := s.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %s", resp.Status)
	}
	var part [1]byte
	if _, err := io.ReadFull(resp.Body, part[:]); err != nil {
		return 0, err
	}
	first := time.Since(startTime)
	_, err = io.Copy(io.Discard, resp.Body)
	return first, err
}

// Requests are answered through the entry, with and without streaming, and
// directly. The benchmarks depend on this setup.
func TestRequestsAreAnswered(t *testing.T) {
	s := newSystem(t)
	for _, stream := range []bool{false, true} {
		_, err := s.throughEntry(stream)
		require.NoError(t, err)
	}
	_, err := s.direct()
	require.NoError(t, err)
}

// BenchmarkFirstToken sends streamed requests one at a time, alternately to the
// engine and through entry and agent. It reports the medians of the time to the
// first byte, and the differences between the two medians and between the two
// 95th percentiles.
func BenchmarkFirstToken(b *testing.B) {
	s := newSystem(b)
	var direct, through []time.Duration
	for b.Loop() {
		duration, err := s.direct()
		require.NoError(b, err)
		direct = append(direct, duration)
		duration, err = s.throughEntry(true)
		require.NoError(b, err)
		through = append(through, duration)
	}
	slices.Sort(direct)
	slices.Sort(through)
	half, high := len(direct)/2, len(direct)*95/100
	report := func(name string, d time.Duration) { b.ReportMetric(float64(d.Microseconds()), name) }
	report("direct-p50-µs", direct[half])
	report("through-p50-µs", through[half])
	report("added-p50-µs", through[half]-direct[half])
	report("added-p95-µs", through[high]-direct[high])
}

// callers is the number of concurrent requests in BenchmarkThroughput.
const callers = 32

// BenchmarkThroughput sends rounds of unstreamed requests from many concurrent
// callers, alternately to the engine and through entry and agent. It reports
// both request rates and their ratio.
func BenchmarkThroughput(b *testing.B) {
	const perCaller = 50
	s := newSystem(b)
	var direct, through time.Duration
	for b.Loop() {
		direct += s.measureRound(b, perCaller, func() error { _, err := s.direct(); return err })
		through += s.measureRound(b, perCaller, func() error { _, err := s.throughEntry(false); return err })
	}
	requests := float64(b.N * callers * perCaller)
	b.ReportMetric(requests/direct.Seconds(), "direct-req/s")
	b.ReportMetric(requests/through.Seconds(), "through-req/s")
	b.ReportMetric(direct.Seconds()/through.Seconds(), "ratio")
}

// measureRound makes every caller send a number of requests and returns the
// total time.
func (s *system) measureRound(b *testing.B, perCaller int, send func() error) time.Duration {
	var group errgroup.Group
	startTime := time.Now()
	for range callers {
		group.Go(func() error {
			for range perCaller {
				if err := send(); err != nil {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(b, group.Wait())
	return time.Since(startTime)
}
