package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// configStore is a store of configurations whose watches can be made to miss changes.
type configStore struct {
	mu      sync.Mutex
	version int64

	changed  chan struct{}
	callTime time.Duration
}

func newConfigStore() *configStore {
	return &configStore{version: 1, changed: make(chan struct{}), callTime: 4 * time.Millisecond}
}

// write writes the next configuration. If deaf is set, the watches that are waiting miss it.
func (s *configStore) write(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if !deaf {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *configStore) current() (int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.changed
}

func (s *configStore) Config(ctx context.Context) (*fleet.Config, revision.Revision, error) {
	sleep(ctx, s.callTime)
	version, _ := s.current()
	return fleet.NewConfig(version, 0, nil, nil), revision.Join(1, uint64(version)), nil
}

// ConfigChanges implements Source. A waiting watch that misses a change gets no response.
func (s *configStore) ConfigChanges(ctx context.Context, w Watch) (*fleet.Config, revision.Revision, error) {
	sleep(ctx, s.callTime)
	version, changed := s.current()
	if uint64(version) > w.Since.Number() {
		return fleet.NewConfig(version, 0, nil, nil), revision.Join(1, uint64(version)), nil
	}
	timer := time.NewTimer(w.Wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
		if version, _ = s.current(); uint64(version) > w.Since.Number() {
			return nil, 0, ErrUnknownOutcome
		}
		return nil, w.Since, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	version, _ = s.current()
	return fleet.NewConfig(version, 0, nil, nil), revision.Join(1, uint64(version)), nil
}

func (s *configStore) Servers(context.Context) ([]fleet.Change, revision.Revision, error) {
	return nil, revision.Join(1, 1), nil
}

func (s *configStore) ServerChanges(ctx context.Context, w Watch) ([]fleet.Change, revision.Revision, error) {
	sleep(ctx, w.Wait)
	return nil, w.Since, ctx.Err()
}

func (s *configStore) Generation() uint64 { return 1 }

func (s *configStore) Reconnect() {}

// configBound is the time within which a configuration must be in force everywhere.
const configBound = 4 * time.Second

// startFollowers starts followers in a fleet of the given number of gateways. They notify
// n random others of each change, and send their versions to five others every 400 ms.
func startFollowers(t *testing.T, s *configStore, count, gateways, n int) []*Follower {
	const notifyDelay, heartbeatInterval, heartbeats = 5 * time.Millisecond, 400 * time.Millisecond, 5
	followers := make([]*Follower, count)
	tell := func(f *Follower, others int) {
		version, changes := f.Versions()
		for range others {
			peer := followers[rand.IntN(count)]
			time.AfterFunc(notifyDelay, func() { peer.ObservePeerVersions(version, changes) })
		}
	}
	for i := range followers {
		f := NewFollower(s, Bounds{Config: configBound, Leaving: configBound}, logevent.Log{}, func(*fleet.Config, []fleet.Server) {})
		f.SetGatewayCount(func() int { return gateways })
		// The callback holds the follower's lock, so that it must not ask for versions.
		f.SetOnChange(func() { go tell(f, n) })
		followers[i] = f
	}
	for _, f := range followers {
		go f.Run(t.Context())
		go func() {
			for t.Context().Err() == nil {
				sleep(t.Context(), heartbeatInterval)
				tell(f, heartbeats)
			}
		}()
	}
	return followers
}

// requireVersion checks that all followers have a configuration version.
func requireVersion(t *testing.T, followers []*Follower, want int64) {
	t.Helper()
	behind := 0
	for _, f := range followers {
		if version, _ := f.Versions(); version != want {
			behind++
		}
	}
	require.Zero(t, behind, "of %d followers have an older configuration", len(followers))
}

// TestChangeMissedByAllWatches guards against watches that end so late, all together,
// that a change which none of them has delivered is in force too late.
func TestChangeMissedByAllWatches(t *testing.T) {
	for _, count := range []int{4, 103, 350} {
		synctest.Test(t, func(t *testing.T) {
			s := newConfigStore()
			followers := startFollowers(t, s, count, count, 6)
			time.Sleep(10 * time.Second)
			s.write(false)
			time.Sleep(time.Second)
			requireVersion(t, followers, 2)
			s.write(true)
			time.Sleep(configBound)
			requireVersion(t, followers, 3)
		})
	}
}

// TestPeersAreBelievedAfterLateNotice guards against a watch that no longer listens to
// other gateways because one of them has reported a change while it was being listed.
func TestPeersAreBelievedAfterLateNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newConfigStore()
		s.callTime = 100 * time.Millisecond
		f := startFollowers(t, s, 1, 103, 0)[0]
		time.Sleep(time.Second)
		s.write(true)
		f.ObservePeerVersions(2, 0)
		time.Sleep(peerNewerDelay + s.callTime/2)
		f.ObservePeerVersions(2, 0)
		time.Sleep(time.Second)
		requireVersion(t, []*Follower{f}, 2)

		s.write(true)
		f.ObservePeerVersions(3, 0)
		time.Sleep(time.Second)
		requireVersion(t, []*Follower{f}, 3)
	})
}
