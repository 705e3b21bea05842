package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// tcpProxy forwards TCP connections between an entry and an agent. It can cut
// them, and delay the bytes in transit.
type tcpProxy struct {
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn
	down  bool
	// hold is locked for writing while traffic is delayed.
	hold sync.RWMutex
}

func newTCPProxy(t *testing.T) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &tcpProxy{listener: listener}
	t.Cleanup(func() { listener.Close(); p.cut() })
	return p
}

// serve forwards connections to target.
func (p *tcpProxy) serve(target string) {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		down := p.down
		p.mu.Unlock()
		if down {
			in.Close()
			out.Close()
		}
		go p.copy(in, out)
		go p.copy(out, in)
	}
}

func (p *tcpProxy) copy(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.hold.RLock()
		_, err = to.Write(buf[:n])
		p.hold.RUnlock()
		if err != nil {
			return
		}
	}
}

// cut closes all connections and rejects new ones until restore.
func (p *tcpProxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

func (p *tcpProxy) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
}

// disturb cuts the connections or delays their traffic for a moment.
func (p *tcpProxy) disturb(rnd *rand.Rand) {
	pause := time.Duration(rnd.Intn(40)) * time.Millisecond
	if rnd.Intn(4) > 0 {
		p.cut()
		time.Sleep(pause)
		p.restore()
		return
	}
	p.hold.Lock()
	time.Sleep(pause * 40)
	p.hold.Unlock()
}

// callRecord is a plain service that records how often each call was executed.
type callRecord struct {
	mu       sync.Mutex
	n        int
	keys     map[string]int
	requests map[string]int
}

func (r *callRecord) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	r.n++
	delay := time.Duration(r.n%5) * 4 * time.Millisecond
	r.keys[req.Header.Get("Idempotency-Key")]++
	r.requests[req.Header.Get("X-Request-Id")]++
	r.mu.Unlock()
	time.Sleep(delay)
	_, _ = io.WriteString(w, "stamped "+req.Header.Get("Idempotency-Key"))
}

// callResult is the response that a caller received to one call.
type callResult struct {
	key, id, body  string
	reason, notRun string
	status         int
}

func (s *system) callOnce(n int, key string) callResult {
	req, _ := http.NewRequest(http.MethodPost, s.url+"/services/plain/stamps", strings.NewReader("{}"))
	req.Header.Set("X-Client", fmt.Sprintf("c%d", n))
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Deadline-Ms", "2500")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResult{key: key, reason: "lost"}
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	result := callResult{key: key, id: resp.Header.Get("X-Request-Id"), status: resp.StatusCode, body: string(body), reason: "answered"}
	if resp.StatusCode != http.StatusOK {
		var p struct {
			Reason string `json:"reason"`
			NotRun string `json:"not_run"`
		}
		_ = json.Unmarshal(body, &p)
		result.reason, result.notRun = p.Reason, p.NotRun
	}
	return result
}

// TestNotExecutedIsTrueUnderNetworkCuts cuts and delays the network between
// entry and agents at arbitrary moments of calls that are not idempotent, and
// compares the callers' responses with the backend server's record. It guards
// against calls reported as not executed that were executed, and against calls
// executed twice.
func TestNotExecutedIsTrueUnderNetworkCuts(t *testing.T) {
	s := newSystem(t, 0)
	s.waitReady(t)
	var mu sync.Mutex
	var results []callResult
	var group sync.WaitGroup
	for n := range 16 {
		group.Go(func() {
			rnd := rand.New(rand.NewSource(int64(n)))
			for range 30 {
				key := uuid.Must(uuid.NewV7()).String()
				for range 3 {
					result := s.callOnce(n, key)
					mu.Lock()
					results = append(results, result)
					mu.Unlock()
					if result.status == http.StatusOK && rnd.Intn(4) > 0 {
						break
					}
					time.Sleep(time.Duration(rnd.Intn(60)) * time.Millisecond)
				}
			}
		})
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	for n, p := range s.proxies {
		faults.Go(func() { disturbUntil(stop, p, rand.New(rand.NewSource(int64(n)))) })
	}
	group.Wait()
	close(stop)
	faults.Wait()
	time.Sleep(3 * time.Second)
	s.checkResults(t, results)
}

func disturbUntil(stop <-chan struct{}, p *tcpProxy, rnd *rand.Rand) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.Intn(300)) * time.Millisecond):
			p.disturb(rnd)
		}
	}
}

// checkResults compares the callers' responses with the record of calls.
func (s *system) checkResults(t *testing.T, results []callResult) {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	counts := map[string]int{}
	for key, n := range s.calls.keys {
		require.Equal(t, 1, n, "key %s", key)
	}
	for _, result := range results {
		counts[result.reason+" "+result.notRun]++
		if result.status == http.StatusOK {
			require.Equal(t, "stamped "+result.key, result.body)
			require.Equal(t, 1, s.calls.keys[result.key])
		}
		if result.notRun == "true" {
			require.Zero(t, s.calls.requests[result.id], "reported as not executed, but was executed: %+v", result)
		}
	}
	t.Logf("of %d: %v", len(results), counts)
	require.Positive(t, counts["answered "])
}
