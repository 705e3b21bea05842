package duty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

const (
	ttl          = 3 * time.Second
	settle       = ttl + ttl/4
	settleExpiry = ttl / 4
)

// cutStore is the store as one process reaches it.
type cutStore struct {
	lease.Store
	mu  sync.Mutex
	cut bool
}

func (s *cutStore) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *cutStore) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *cutStore) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if s.isCut() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error) {
	if s.isCut() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, want)
}

// process is a process that may hold the duty.
type process struct {
	store *cutStore
	duty  *Duty
	stop  context.CancelFunc
}

// act is an action of a holder.
type act struct {
	at     time.Duration
	holder string
	fence  uint64
}

// group is a set of processes that compete for one duty.
type group struct {
	ctx       context.Context
	origin    time.Time
	store     lease.Store
	processes map[string]*process
	acts      []act
}

func newGroup(ctx context.Context) *group {
	return &group{ctx: ctx, origin: time.Now(), store: fake.New(fake.Options{}), processes: make(map[string]*process)}
}

func (g *group) now() time.Duration { return time.Since(g.origin) }

// start starts a process, or starts it again.
func (g *group) start(name string) *process {
	ctx, cancel := context.WithCancel(g.ctx)
	p := &process{store: &cutStore{Store: g.store}, stop: cancel}
	p.duty = New(Options{
		Name: "platform", Holder: name, Store: p.store, TTL: ttl, SettleAfterExpiry: settleExpiry, SettleAfterRelease: settle,
		Clock: g.now,
	})
	g.processes[name] = p
	go p.duty.Run(ctx)
	return p
}

// kill ends a process that can't give its lease up any more.
func (g *group) kill(name string) {
	p := g.processes[name]
	p.store.setCut(true)
	p.stop()
	p.duty = nil
}

// actFor lets all processes act as often as they may for a time.
func (g *group) actFor(d time.Duration) {
	for until := g.now() + d; g.now() < until; time.Sleep(50 * time.Millisecond) {
		for name, p := range g.processes {
			if p.duty == nil {
				continue
			}
			if token, ok := p.duty.Token(); ok {
				g.acts = append(g.acts, act{g.now(), name, token.Fence})
			}
		}
	}
}

// holder returns the process that acted last.
func (g *group) holder() string { return g.acts[len(g.acts)-1].holder }

// violation returns what of the promises the acts break; empty if nothing.
func (g *group) violation() string {
	holders := make(map[uint64]string)
	for i, a := range g.acts {
		if other, ok := holders[a.fence]; ok && other != a.holder {
			return fmt.Sprintf("fence %d of %s and %s", a.fence, other, a.holder)
		}
		holders[a.fence] = a.holder
		if i > 0 && a.fence < g.acts[i-1].fence {
			return fmt.Sprintf("fence %d after %d", a.fence, g.acts[i-1].fence)
		}
		for j := i - 1; j >= 0 && a.at-g.acts[j].at < ttl; j-- {
			between := slices.ContainsFunc(g.acts[j:i], func(b act) bool { return b.holder != a.holder })
			if g.acts[j].holder == a.holder && between {
				return fmt.Sprintf("%s acted at %v and %v, and another between", a.holder, g.acts[j].at, a.at)
			}
		}
	}
	return ""
}

// TestKilledHolderIsReplaced guards against a duty that nobody performs for longer than a
// report may be late, and against a successor that acts while its predecessor may.
func TestKilledHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t.Context())
		g.start("a")
		synctest.Wait()
		g.start("b")
		g.actFor(5 * time.Second)
		require.Equal(t, "a", g.holder())
		g.kill("a")
		killed := g.now()
		g.actFor(2*ttl + settleExpiry)
		require.Equal(t, "b", g.holder())
		first := slices.IndexFunc(g.acts, func(a act) bool { return a.holder == "b" })
		require.Less(t, g.acts[first].at-killed, 2*ttl)
		require.Empty(t, g.violation())
	})
}

// TestSuccessorOfReleaseWaits guards against two quick changes of holder, by which the first
// one acts again within one lease.
func TestSuccessorOfReleaseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t.Context())
		g.start("a")
		synctest.Wait()
		g.start("b")
		g.actFor(5 * time.Second)
		g.processes["a"].stop()
		released := g.now()
		g.actFor(2 * ttl)
		first := slices.IndexFunc(g.acts, func(a act) bool { return a.holder == "b" })
		require.GreaterOrEqual(t, g.acts[first].at-released, settle-time.Millisecond)
		g.processes["b"].stop()
		g.start("a")
		g.actFor(3 * ttl)
		require.Equal(t, "a", g.holder())
		require.Empty(t, g.violation())
	})
}

// TestSurrenderedTokenIsNotUsedAgain guards against a holder that repeats a token which was
// rejected because a higher one is known.
func TestSurrenderedTokenIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t.Context())
		a := g.start("a")
		g.actFor(5 * time.Second)
		token, ok := a.duty.Token()
		require.True(t, ok)
		a.duty.Surrender(token.Fence)
		_, ok = a.duty.Token()
		require.False(t, ok)
		g.actFor(3 * ttl)
		next, ok := a.duty.Token()
		require.True(t, ok)
		require.Greater(t, next.Fence, token.Fence)
	})
}

// TestHoldersNeverInterleave covers kills, stops, starts and cuts of the store in any order.
func TestHoldersNeverInterleave(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			g := newGroup(t.Context())
			names := []string{"a", "b", "c"}
			for _, name := range names {
				g.start(name)
			}
			for range 40 {
				name := names[random.IntN(len(names))]
				if len(g.acts) > 0 && random.IntN(2) == 0 {
					name = g.holder()
				}
				p := g.processes[name]
				switch random.IntN(6) {
				case 0, 5:
					p.stop()
					synctest.Wait()
					g.start(name)
				case 1:
					g.kill(name)
					g.start(name)
				case 2:
					p.store.setCut(true)
				case 3:
					p.store.setCut(false)
				}
				g.actFor(time.Duration(random.IntN(2000)) * time.Millisecond)
			}
			require.Empty(t, g.violation(), "seed %d", seed)
			require.NotEmpty(t, g.acts)
		})
	}
}
