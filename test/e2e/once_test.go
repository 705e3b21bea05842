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

// recorder is a plain service that keeps the record by which the system is
// judged. Some of its answers are slow and some are lost.
type recorder struct {
	mu       sync.Mutex
	calls    int
	keys     map[string]int
	requests map[string]int
}

func newRecorder() *recorder {
	return &recorder{keys: map[string]int{}, requests: map[string]int{}}
}

// ServeHTTP records a call before anything else.
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

// told is what one caller was told about one call.
type told struct {
	key, requestID string
	status         int
	reason, notRun string
	body           string
	// lost is set if no answer came at all.
	lost bool
}

// stampers send stamps through both entries while faults are brought about.
type stampers struct {
	f    *fleet
	mu   sync.Mutex
	told []told
}

func (s *stampers) stamp(entry *member, client, key string) told {
	a, err := tryCall("POST", entry.url()+"/services/"+plainService+"/stamps", `{"stage":3}`,
		"X-Client", client, "Idempotency-Key", key, "X-Deadline-Ms", "4000")
	out := told{key: key, lost: err != nil}
	if err == nil {
		out.status, out.body, out.requestID = a.status, a.body, a.header.Get("X-Request-Id")
	}
	if err == nil && a.status != http.StatusOK {
		p := a.problem(s.f.t)
		out.reason, out.notRun = p.Reason, p.NotRun
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, out)
	return out
}

// caller stamps and, as long as it has no answer, replays the same key.
func (s *stampers) caller(seed int64, stop <-chan struct{}) {
	rnd := rand.New(rand.NewSource(seed))
	client := fmt.Sprintf("hostel-%d", seed)
	for {
		select {
		case <-stop:
			return
		default:
		}
		key := newKey()
		entries := s.f.entries
		var twice sync.WaitGroup
		if rnd.Intn(4) == 0 {
			twice.Go(func() { s.stamp(entries[1], client, key) })
		}
		for try := range 3 {
			out := s.stamp(entries[(try+rnd.Intn(2))%2], client, key)
			if out.status == http.StatusOK && rnd.Intn(5) > 0 {
				break
			}
			time.Sleep(time.Duration(rnd.Intn(400)) * time.Millisecond)
		}
		twice.Wait()
	}
}

// run has callers stamp while fault is brought about and undone, and until
// the system has had time to recover.
func (s *stampers) run(fault func()) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 8 {
		callers.Go(func() { s.caller(int64(n), stop) })
	}
	time.Sleep(500 * time.Millisecond)
	fault()
	time.Sleep(2 * time.Second)
	close(stop)
	callers.Wait()
}

// check compares what callers were told with the record.
func (s *stampers) check(t *testing.T, r *recorder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for key, n := range r.keys {
		require.Equal(t, 1, n, "key %s is recorded %d times", key, n)
	}
	for _, c := range s.told {
		switch {
		case c.lost:
			counts["lost"]++
		case c.status == http.StatusOK:
			counts["answered"]++
			require.Equal(t, 1, r.keys[c.key], "answered but not recorded")
			require.Equal(t, "stamped "+c.key, c.body)
		default:
			counts[c.reason+" not_run="+c.notRun]++
		}
		if c.notRun == "true" {
			require.Zero(t, r.requests[c.requestID], "request %s was told not run, and ran", c.requestID)
		}
	}
	require.Positive(t, counts["answered"])
	t.Logf("told: %v of %d", counts, len(s.told))
}

// onceFleet is two agents with a recorded service each, and two entries.
func onceFleet(t *testing.T) (*stampers, *recorder) {
	f := newFleet(t)
	r := newRecorder()
	for range 2 {
		f.addRecorder(r)
	}
	f.addEntry()
	f.addEntry()
	f.apply()
	return &stampers{f: f}, r
}

// addRecorder puts a recorded service behind an agent of its own.
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

// storeFaults sets the platform stand-in's faults.
func (f *fleet) storeFaults(json string) {
	req, err := http.NewRequest(http.MethodPut, f.platformURL+"/admin/v1/faults", strings.NewReader(json))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	resp.Body.Close()
	require.Less(f.t, resp.StatusCode, 300)
}

// TestStampsOnceUnderFaults brings faults about under load: every key must be
// recorded at most once, and no request that was told "not run" may be in the
// backend server's record.
func TestStampsOnceUnderFaults(t *testing.T) {
	faults := map[string]func(f *fleet){
		"agent killed": func(f *fleet) {
			f.agents[0].kill()
			f.startAgent(f.agents[0])
		},
		"agent frozen": func(f *fleet) {
			f.agents[0].freeze()
			time.Sleep(3 * time.Second)
			f.agents[0].thaw()
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
		"answers of writes lost": func(f *fleet) {
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
	faults["entry and agent killed while answers of writes are lost"] = func(f *fleet) {
		f.storeFaults(`{"lose_answers":20}`)
		f.agents[1].kill()
		f.entries[1].kill()
		f.startAgent(f.agents[1])
		f.startEntry(f.entries[1])
		time.Sleep(time.Second)
		f.storeFaults(`{}`)
	}
	faults["agent frozen while its store is slow"] = func(f *fleet) {
		f.storeFaults(`{"delay_ms":800}`)
		f.agents[0].freeze()
		time.Sleep(2 * time.Second)
		f.agents[0].thaw()
		time.Sleep(time.Second)
		f.storeFaults(`{}`)
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			s, r := onceFleet(t)
			s.run(func() { fault(s.f) })
			s.check(t, r)
		})
	}
}

// TestStampsWithoutLedgerRunTwice declares the same calls idempotent, so that
// they are retried and not recorded by the ledger: the record must show it.
func TestStampsWithoutLedgerRunTwice(t *testing.T) {
	s, r := onceFleet(t)
	s.f.nonIdempotent = nil
	s.f.apply()
	s.run(func() { s.f.agents[0].kill(); s.f.startAgent(s.f.agents[0]) })
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for _, n := range r.keys {
		most = max(most, n)
	}
	require.Greater(t, most, 1)
}

// TestStampsOnceWhileHomesChange adds a backend server and drains another
// under load, and waits until keys are issued that have other homes by it.
func TestStampsOnceWhileHomesChange(t *testing.T) {
	s, r := onceFleet(t)
	s.run(func() {
		s.f.addRecorder(r)
		s.f.backends[0].config.Drain = true
		s.f.apply()
		time.Sleep(ledger.HomeChangeDelay + 2*time.Second)
	})
	s.check(t, r)
	last := s.told[len(s.told)-1]
	require.NotEqual(t, "leaving", last.reason)
}
