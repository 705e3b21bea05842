package e2e

import (
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
)

// recorder is a plain service that records all calls. Responses are delayed by
// up to 60 ms, and every 23rd is lost.
type recorder struct {
	mu    sync.Mutex
	calls int
	// keys and requests count calls by idempotency key and request ID.
	keys     map[string]int
	requests map[string]int
}

func newRecorder() *recorder {
	return &recorder{keys: map[string]int{}, requests: map[string]int{}}
}

// ServeHTTP implements http.Handler. It records a call before it delays or drops
// the response.
func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	key, id := req.Header.Get("Idempotency-Key"), req.Header.Get("X-Request-Id")
	r.mu.Lock()
	r.calls++
	n := r.calls
	if key != "" {
		r.keys[key]++
	}
	r.requests[id]++
	r.mu.Unlock()
	time.Sleep(time.Duration(n%7) * 10 * time.Millisecond)
	if n%23 == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", id)
	fmt.Fprintf(w, "stamped %s", key)
}

// callResult is the response that a caller received to one call.
type callResult struct {
	key, requestID string
	status         int
	reason, notRun string
	body           string
	// lost is true if there was no response.
	lost bool
}

// callers is a set of callers that send non-idempotent calls ("stamps") through
// both entries while faults are injected, and record the responses.
type callers struct {
	f       *fleet
	mu      sync.Mutex
	results []callResult
}

// call sends one call for a client account and records the response.
func (c *callers) call(entry *member, client, key string) callResult {
	resp, err := tryCall("POST", entry.url()+"/services/"+plainService+"/stamps", `{"stage":3}`,
		"X-Client", client, "Idempotency-Key", key, "X-Deadline-Ms", "4000")
	out := callResult{key: key, lost: err != nil}
	if err == nil {
		out.status, out.body, out.requestID = resp.status, resp.body, resp.header.Get("X-Request-Id")
	}
	if err == nil && resp.status != http.StatusOK {
		p := resp.problem(c.f.t)
		out.reason, out.notRun = p.Reason, p.NotRun
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, out)
	return out
}

// runCaller sends calls until stop is closed. It repeats a call with the same key
// up to two times if it failed, and sometimes if it succeeded, and sends some
// calls through both entries at the same time.
func (c *callers) runCaller(seed int64, stop <-chan struct{}) {
	rnd := rand.New(rand.NewSource(seed))
	client := fmt.Sprintf("hostel-%d", seed)
	for {
		select {
		case <-stop:
			return
		default:
		}
		key := newKey()
		entries := c.f.entries
		var duplicate sync.WaitGroup
		if rnd.Intn(4) == 0 {
			duplicate.Go(func() { c.call(entries[1], client, key) })
		}
		for try := range 3 {
			out := c.call(entries[(try+rnd.Intn(2))%2], client, key)
			if out.status == http.StatusOK && rnd.Intn(5) > 0 {
				break
			}
			time.Sleep(time.Duration(rnd.Intn(400)) * time.Millisecond)
		}
		duplicate.Wait()
	}
}

// runDuring sends calls from eight callers while the function fault injects and
// removes a fault, and for two seconds after it, in which the system can
// recover.
func (c *callers) runDuring(fault func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range 8 {
		running.Go(func() { c.runCaller(int64(n), stop) })
	}
	time.Sleep(500 * time.Millisecond)
	fault()
	time.Sleep(2 * time.Second)
	close(stop)
	running.Wait()
}

// checkAtMostOnce compares the responses with the recorded calls: no call was
// executed twice, a successful call was executed, and one that was reported as
// not run was not.
func (c *callers) checkAtMostOnce(t *testing.T, r *recorder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for key, n := range r.keys {
		require.Equal(t, 1, n, "the call with key %s was executed %d times", key, n)
	}
	for _, result := range c.results {
		switch {
		case result.lost:
			counts["lost"]++
		case result.status == http.StatusOK:
			counts["answered"]++
			require.Equal(t, 1, r.keys[result.key], "successful call was not executed")
			require.Equal(t, "stamped "+result.key, result.body)
		default:
			counts[result.reason+" not_run="+result.notRun]++
		}
		if result.notRun == "true" {
			require.Zero(t, r.requests[result.requestID], "request %s was reported as not run, but ran", result.requestID)
		}
	}
	require.Positive(t, counts["answered"])
	t.Logf("responses: %v of %d calls", counts, len(c.results))
}

// newRecordedFleet starts a fleet of two entries and two agents with a recorded
// service each.
func newRecordedFleet(t *testing.T) (*callers, *recorder) {
	f := newFleet(t)
	r := newRecorder()
	for range 2 {
		f.addRecorder(r)
	}
	f.addEntry()
	f.addEntry()
	f.apply()
	return &callers{f: f}, r
}

// addRecorder adds a backend server that records its calls, behind a new agent.
func (f *fleet) addRecorder(r *recorder) {
	server := httptest.NewServer(r)
	f.t.Cleanup(server.Close)
	f.backends = append(f.backends, &backend{config: &configv1.BackendServer{
		Name:          fmt.Sprintf("stamps-%d", len(f.backends)),
		Service:       plainService,
		FailureDomain: "fd-1",
		Agent:         f.addAgent().peer(),
		Address:       server.URL,
	}})
}

// storeFaults replaces the faults that the stand-in platform injects, given in
// JSON.
func (f *fleet) storeFaults(json string) {
	req, err := http.NewRequest(http.MethodPut, f.platformURL+"/admin/v1/faults", strings.NewReader(json))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	resp.Body.Close()
	require.Less(f.t, resp.StatusCode, 300)
}

// TestNonIdempotentCallsRunAtMostOnceUnderFaults injects faults under load and
// checks that every non-idempotent call is executed at most once, and that no
// request that was reported as not run reached a backend server.
func TestNonIdempotentCallsRunAtMostOnceUnderFaults(t *testing.T) {
	faults := map[string]func(f *fleet){
		"agent killed": func(f *fleet) {
			f.agents[0].kill()
			f.startAgent(f.agents[0])
		},
		"agent paused": func(f *fleet) {
			f.agents[0].pause()
			time.Sleep(3 * time.Second)
			f.agents[0].resume()
		},
		"entry killed": func(f *fleet) {
			f.entries[0].kill()
			f.startEntry(f.entries[0])
		},
		"store down": func(f *fleet) {
			f.storeFaults(`{"down":true}`)
			time.Sleep(2 * time.Second)
			f.storeFaults(`{}`)
		},
		"responses to writes lost": func(f *fleet) {
			for range 10 {
				f.storeFaults(`{"lose_answers":2}`)
				time.Sleep(200 * time.Millisecond)
			}
			f.storeFaults(`{}`)
		},
		"store slow": func(f *fleet) {
			f.storeFaults(`{"delay_ms":1500}`)
			time.Sleep(3 * time.Second)
			f.storeFaults(`{}`)
		},
		"agent killed while store is down": func(f *fleet) {
			f.storeFaults(`{"down":true}`)
			f.agents[0].kill()
			f.startAgent(f.agents[0])
			time.Sleep(2 * time.Second)
			f.storeFaults(`{}`)
		},
	}
	faults["entry and agent killed while responses to writes are lost"] = func(f *fleet) {
		f.storeFaults(`{"lose_answers":20}`)
		f.agents[1].kill()
		f.entries[1].kill()
		f.startAgent(f.agents[1])
		f.startEntry(f.entries[1])
		time.Sleep(time.Second)
		f.storeFaults(`{}`)
	}
	faults["agent paused while its store is slow"] = func(f *fleet) {
		f.storeFaults(`{"delay_ms":800}`)
		f.agents[0].pause()
		time.Sleep(2 * time.Second)
		f.agents[0].resume()
		time.Sleep(time.Second)
		f.storeFaults(`{}`)
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c, r := newRecordedFleet(t)
			c.runDuring(func() { fault(c.f) })
			c.checkAtMostOnce(t, r)
		})
	}
}

// TestCallsWithoutLedgerMayRunTwice checks that the previous test is able to
// detect duplicates: it configures the same calls as idempotent, so that they are
// retried without the ledger, and expects some to be executed more than once.
func TestCallsWithoutLedgerMayRunTwice(t *testing.T) {
	c, r := newRecordedFleet(t)
	c.f.nonIdempotent = nil
	c.f.apply()
	c.runDuring(func() { c.f.agents[0].kill(); c.f.startAgent(c.f.agents[0]) })
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for _, n := range r.keys {
		most = max(most, n)
	}
	require.Greater(t, most, 1)
}

// TestNonIdempotentCallsRunAtMostOnceWhileKeyHomesChange adds a backend server
// and drains another one under load, which changes the assignment of idempotency
// keys to backend servers, and checks that calls are still executed at most once.
// It waits until the new assignment applies to newly issued keys.
func TestNonIdempotentCallsRunAtMostOnceWhileKeyHomesChange(t *testing.T) {
	c, r := newRecordedFleet(t)
	c.runDuring(func() {
		c.f.addRecorder(r)
		c.f.backends[0].config.Drain = true
		c.f.apply()
		time.Sleep(ledger.HomeChangeDelay + 2*time.Second)
	})
	c.checkAtMostOnce(t, r)
	last := c.results[len(c.results)-1]
	require.NotEqual(t, "leaving", last.reason)
}
