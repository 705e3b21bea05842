package registry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// callOutcome decides how a call to a serverStore ends. The zero value lets it be answered.
type callOutcome struct {
	// after is how long the call waits before it ends with err.
	after time.Duration
	err   error
}

// serverStore is a store of registrations whose calls can fail, by kind of object.
type serverStore struct {
	mu       sync.Mutex
	revision uint64
	servers  map[string]uint64
	events   []fleet.Change
	changed  chan struct{}
	lists    map[string]callOutcome
	watches  map[string]callOutcome
	calls    int
}

func newServerStore(ids ...string) *serverStore {
	s := &serverStore{revision: 1, servers: make(map[string]uint64), changed: make(chan struct{}),
		lists: make(map[string]callOutcome), watches: make(map[string]callOutcome)}
	for _, id := range ids {
		s.servers[id] = 1
	}
	return s
}

// remove removes a registration.
func (s *serverStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.servers, id)
	s.events = append(s.events, fleet.Change{Server: fleet.Server{ID: id}, Revision: revision.Join(1, s.revision), Removed: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

// set replaces the outcomes of later calls.
func (s *serverStore) set(lists, watches callOutcome, kinds ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range kinds {
		s.lists[kind], s.watches[kind] = lists, watches
	}
}

// begin counts a call and returns its outcome.
func (s *serverStore) begin(outcomes map[string]callOutcome, kind string) callOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return outcomes[kind]
}

// fail waits and fails if the outcome says so.
func (o callOutcome) fail(ctx context.Context) error {
	if o.err != nil {
		sleep(ctx, o.after)
	}
	return o.err
}

func (s *serverStore) Servers(ctx context.Context) ([]fleet.Change, revision.Revision, error) {
	if err := s.begin(s.lists, kindServers).fail(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []fleet.Change
	for id, at := range s.servers {
		changes = append(changes, fleet.Change{Server: fleet.Server{ID: id}, Revision: revision.Join(1, at)})
	}
	return changes, revision.Join(1, s.revision), nil
}

func (s *serverStore) ServerChanges(ctx context.Context, w Watch) ([]fleet.Change, revision.Revision, error) {
	outcome := s.begin(s.watches, kindServers)
	end := w.Wait
	if outcome.err != nil {
		end = min(end, outcome.after)
	}
	timer := time.NewTimer(end)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var events []fleet.Change
		for _, e := range s.events {
			if e.Revision > w.Since {
				events = append(events, e)
			}
		}
		asOf, changed := revision.Join(1, s.revision), s.changed
		s.mu.Unlock()
		if len(events) > 0 && (outcome.err == nil || errors.Is(outcome.err, ErrWatchCut)) {
			return events, asOf, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, asOf, outcome.err
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *serverStore) Config(ctx context.Context) (*fleet.Config, revision.Revision, error) {
	if err := s.begin(s.lists, kindConfig).fail(ctx); err != nil {
		return nil, 0, err
	}
	return fleet.NewConfig(1, 0, nil, nil), revision.Join(1, 1), nil
}

func (s *serverStore) ConfigChanges(ctx context.Context, w Watch) (*fleet.Config, revision.Revision, error) {
	outcome := s.begin(s.watches, kindConfig)
	if outcome.err != nil {
		return nil, 0, outcome.fail(ctx)
	}
	sleep(ctx, w.Wait)
	return nil, w.Since, ctx.Err()
}

func (s *serverStore) Generation() uint64 { return 1 }

func (s *serverStore) Reconnect() {}

// alone and relayed are fleets of one gateway, and of many with others as relays.
func alone() (gateways int, isRelay bool)   { return 1, true }
func relayed() (gateways int, isRelay bool) { return 2 * minRelayedFleet, false }

// followServers runs a follower and returns which servers it has in use.
func followServers(t *testing.T, s *serverStore, relay func() (int, bool)) func() []string {
	const bound = 2 * time.Second
	var mu sync.Mutex
	var used []string
	f := NewFollower(s, Bounds{Config: bound, Leaving: bound}, logevent.Log{}, func(_ *fleet.Config, servers []fleet.Server) {
		mu.Lock()
		defer mu.Unlock()
		used = nil
		for _, server := range servers {
			used = append(used, server.ID)
		}
	})
	f.SetRelay(relay, f.clock)
	go f.Run(t.Context())
	return func() []string {
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(used)
	}
}

// removalSeen is the time within which a removal is known while the store is well.
const removalSeen = 400 * time.Millisecond

// TestCutWatchIsNoOutage guards against a server that is kept for fleet.MissingGrace after
// its removal because watches of a store that is well were cut off (DRAIN).
func TestCutWatchIsNoOutage(t *testing.T) {
	for name, kinds := range map[string][]string{
		"both": {kindConfig, kindServers}, "configuration": {kindConfig}, "servers": {kindServers},
	} {
		t.Run(name, func(t *testing.T) { checkCutWatches(t, alone, kinds) })
		t.Run(name+" with relays", func(t *testing.T) { checkCutWatches(t, relayed, kinds) })
	}
}

// checkCutWatches removes a server at some moments between the cuts.
func checkCutWatches(t *testing.T, relay func() (int, bool), kinds []string) {
	for phase := time.Duration(0); phase < 900*time.Millisecond; phase += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newServerStore("a", "b")
			s.set(callOutcome{}, callOutcome{500 * time.Millisecond, ErrWatchCut}, kinds...)
			used := followServers(t, s, relay)
			time.Sleep(3*time.Second + phase)
			require.Equal(t, []string{"a", "b"}, used())
			s.remove("a")
			time.Sleep(removalSeen)
			require.Equal(t, []string{"b"}, used(), "removed %v after the start", 3*time.Second+phase)
		})
	}
}

// TestUnreadableConfigIsNoOutage guards against a grace period for removed servers because
// the store has answered with a configuration that cannot be decoded.
func TestUnreadableConfigIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServerStore("a", "b")
		used := followServers(t, s, alone)
		time.Sleep(time.Second)
		unreadable := callOutcome{err: errors.New("malformed")}
		s.set(unreadable, unreadable, kindConfig)
		time.Sleep(5 * time.Second)
		s.remove("a")
		time.Sleep(removalSeen)
		require.Equal(t, []string{"b"}, used())
	})
}

// TestOutageIsKnownByCallsThatFail checks that a registration that lapses during an outage is
// kept for the grace period, whether the outage begins with watches that are cut off, with
// watches that get no answer, or with refusals.
func TestOutageIsKnownByCallsThatFail(t *testing.T) {
	refused := callOutcome{err: ErrUnavailable}
	reset := callOutcome{err: ErrUnknownOutcome}
	silent := callOutcome{1500 * time.Millisecond, ErrUnknownOutcome}
	cut := callOutcome{100 * time.Millisecond, ErrWatchCut}
	for name, tt := range map[string]struct{ lists, watches callOutcome }{
		"refused":            {refused, refused},
		"cut, then refused":  {refused, cut},
		"cut, then reset":    {reset, cut},
		"cut, then silence":  {silent, cut},
		"silence everywhere": {silent, silent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServerStore("a", "b")
				s.set(callOutcome{}, tt.watches, kindConfig, kindServers)
				used := followServers(t, s, alone)
				time.Sleep(50 * time.Millisecond)
				s.set(tt.lists, tt.watches, kindConfig, kindServers)
				time.Sleep(6 * time.Second)
				s.remove("a")
				require.Equal(t, []string{"a", "b"}, used())
				s.set(callOutcome{}, callOutcome{}, kindConfig, kindServers)
				time.Sleep(fleet.MissingGrace)
				require.Equal(t, []string{"a", "b"}, used(), "within the grace period")
				time.Sleep(2 * time.Second)
				require.Equal(t, []string{"b"}, used(), "after the grace period")
			})
		})
	}
}

// TestCutWatchesAreReplacedAtBoundedRate guards against a call after the other where every
// watch is cut off at once.
func TestCutWatchesAreReplacedAtBoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServerStore("a")
		s.set(callOutcome{}, callOutcome{err: ErrWatchCut}, kindConfig, kindServers)
		followServers(t, s, alone)
		time.Sleep(20 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		require.LessOrEqual(t, s.calls, 20*2*20, "20 calls per second and kind")
	})
}
