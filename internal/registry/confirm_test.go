package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// countingStore counts the calls to a configStore, and delays what calls with AllowStale
// report.
type countingStore struct {
	*configStore
	lag          time.Duration
	fresh, stale atomic.Int64
}

func (s *countingStore) Config(ctx context.Context) (*fleet.Config, revision.Revision, error) {
	s.fresh.Add(1)
	return s.configStore.Config(ctx)
}

func (s *countingStore) ConfigChanges(ctx context.Context, w Watch) (*fleet.Config, revision.Revision, error) {
	if !w.AllowStale {
		s.fresh.Add(1)
		return s.configStore.ConfigChanges(ctx, w)
	}
	s.stale.Add(1)
	config, asOf, err := s.configStore.ConfigChanges(ctx, w)
	if errors.Is(err, ErrUnknownOutcome) {
		// A copy that lags behind has no change that the watch could miss.
		return nil, w.Since, nil
	}
	sleep(ctx, s.lag)
	return config, asOf, err
}

// relayedFleet is a fleet of followers of which every eighth one is a relay. Each
// exchanges heartbeats with five others every 400 ms, and with six after a change.
type relayedFleet struct {
	store     *countingStore
	followers []*Follower
	stop      []context.CancelFunc
	// silent is the first so many followers that neither read nor answer.
	silent int
}

const relayEvery = 8

// exchange lets follower i send a heartbeat to random others and process the replies.
func (r *relayedFleet) exchange(i, others int) {
	const transit = 3 * time.Millisecond
	f := r.followers[i]
	for range others {
		j := rand.IntN(len(r.followers))
		if i < r.silent || j < r.silent || i == j {
			continue
		}
		peer, sent := r.followers[j], f.Confirmation()
		time.AfterFunc(transit, func() {
			peer.ObservePeerVersions(sent.ConfigVersion, sent.ChangeRevision)
			reply := peer.Confirmation()
			time.AfterFunc(transit, func() { f.ObserveConfirmation(reply, 2*transit) })
		})
	}
}

func startRelayedFleet(t *testing.T, count int, lag time.Duration) *relayedFleet {
	const heartbeatInterval, heartbeats, notified = 400 * time.Millisecond, 5, 6
	r := &relayedFleet{store: &countingStore{configStore: newConfigStore(), lag: lag}}
	origin := time.Now()
	clock := func() time.Duration { return time.Since(origin) }
	for i := range count {
		f := NewFollower(r.store, Bounds{Config: configBound, Leaving: configBound}, logevent.Log{}, func(*fleet.Config, []fleet.Server) {})
		f.SetGatewayCount(func() int { return count })
		f.SetRelay(func() (int, bool) { return count, i%relayEvery == 0 }, clock)
		f.SetOnChange(func() { go r.exchange(i, notified) })
		r.followers = append(r.followers, f)
	}
	for i, f := range r.followers {
		ctx, cancel := context.WithCancel(t.Context())
		r.stop = append(r.stop, cancel)
		go f.Run(ctx)
		go func() {
			for ctx.Err() == nil {
				sleep(ctx, heartbeatInterval)
				r.exchange(i, heartbeats)
			}
		}()
	}
	return r
}

// TestFewGatewaysReadTheStore checks that the calls which read the newest state grow with
// the relays and not with the fleet, while nothing changes.
func TestFewGatewaysReadTheStore(t *testing.T) {
	const observed = 15 * time.Second
	for _, count := range []int{32, 103, 350} {
		synctest.Test(t, func(t *testing.T) {
			r := startRelayedFleet(t, count, 0)
			time.Sleep(5 * time.Second)
			before := r.store.fresh.Load()
			time.Sleep(observed)
			fresh := r.store.fresh.Load() - before
			relays := (count + relayEvery - 1) / relayEvery
			const meanWatch = relayWatchShare * (1 - relayWatchJitter/2)
			perRelay := float64(observed) / (meanWatch * float64(configBound))
			require.LessOrEqual(t, float64(fresh), 1.1*perRelay*float64(relays), "calls of %d relays of %d gateways", relays, count)
		})
	}
}

// TestChangeIsInForceWithRelays checks that a change is in force everywhere in time,
// whether the watches of the others report it, report it late, or miss it, and whether
// or not the relays live.
func TestChangeIsInForceWithRelays(t *testing.T) {
	for name, tt := range map[string]struct {
		deaf       bool
		lag        time.Duration
		withRelays bool
	}{
		"reported at once":   {false, 0, true},
		"reported late":      {false, 10 * time.Second, true},
		"missed by all":      {true, 0, true},
		"relays are silent":  {false, 10 * time.Second, false},
		"silent, and missed": {true, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startRelayedFleet(t, 48, tt.lag)
				time.Sleep(8 * time.Second)
				live := r.followers
				if !tt.withRelays {
					live = nil
					for i, f := range r.followers {
						if i%relayEvery == 0 {
							r.stop[i]()
							f.mu.Lock()
							clear(f.confirmedAt)
							f.mu.Unlock()
							continue
						}
						live = append(live, f)
					}
				}
				r.store.write(tt.deaf)
				time.Sleep(configBound)
				requireVersion(t, live, 2)
			})
		})
	}
}

// TestLateReplyConfirmsNothing guards against a confirmation that was held up on its way:
// it counts from the moment at which it was asked for.
func TestLateReplyConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowers(t, newConfigStore(), 1, 1, 0)[0]
		time.Sleep(time.Second)
		f.mu.Lock()
		clear(f.confirmedAt)
		f.mu.Unlock()
		f.ObserveConfirmation(Confirmation{ConfigVersion: 1, ConfigAge: time.Second, ServersAge: unconfirmed}, 3*time.Second)
		require.Equal(t, 4*time.Second, f.Confirmation().ConfigAge)
		require.Equal(t, time.Duration(unconfirmed), f.Confirmation().ServersAge)
		f.ObserveConfirmation(Confirmation{ConfigVersion: 2, ConfigAge: 0, ServersAge: unconfirmed}, 0)
		require.Equal(t, 4*time.Second, f.Confirmation().ConfigAge, "a newer version confirms no older one")
	})
}
