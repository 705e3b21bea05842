package dissemination

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/configstore"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// naive is the version that a user would write first: each process polls the
// store, takes whatever it says, and hears from nobody else.
type naive struct {
	store    linkedStore
	onConfig func(*configv1.AcceptedDeployment)

	mu      sync.Mutex
	inForce *configv1.AcceptedDeployment
}

func newNaive(f *fleet, m Member) follower {
	return &naive{
		store:    linkedStore{f, m.Name},
		onConfig: func(a *configv1.AcceptedDeployment) { f.record(m.Name, a.GetRevision()) },
	}
}

func (n *naive) InForce() *configv1.AcceptedDeployment {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inForce
}

func (n *naive) Run(ctx context.Context) {
	for ctx.Err() == nil {
		stored, err := configstore.Read(ctx, n.store, nil)
		a := stored.Accepted
		if err == nil && a.GetRevision() != n.InForce().GetRevision() {
			n.mu.Lock()
			n.inForce = a
			n.mu.Unlock()
			n.onConfig(a)
		}
		sleep(ctx, time.Second)
	}
}

// scenario brings about one kind of failure and returns a revision that has
// to be in force everywhere within the bound.
type scenario struct {
	name string
	run  func(t *testing.T, f *fleet) uint64
	// naiveHolds tells whether the naive version passes as well.
	naiveHolds bool
}

// settle lets the fleet start and puts a first file in force.
func settle(f *fleet) {
	f.start(f.members...)
	time.Sleep(5 * time.Second)
	f.apply(f.members[0])
	time.Sleep(bound)
	require.Empty(f.t, f.behind(1))
}

var scenarios = []scenario{
	{name: "quiet", naiveHolds: true, run: func(t *testing.T, f *fleet) uint64 {
		return f.apply(f.members[1])
	}},
	{name: "operators race, answers lost", naiveHolds: true, run: func(t *testing.T, f *fleet) uint64 {
		f.store.SetFaults(fake.Faults{LoseResponses: 2, LoseRequests: 1, Delay: 20 * time.Millisecond})
		won := make([]uint64, 6)
		var wg sync.WaitGroup
		for i := range won {
			wg.Go(func() { won[i], _ = f.tryApply(f.members[i]) })
		}
		wg.Wait()
		winners := 0
		for _, revision := range won {
			if revision > 0 {
				winners++
				require.Equal(t, uint64(2), revision)
			}
		}
		require.Equal(t, 1, winners)
		return 2
	}},
	{name: "restarts in an outage", run: func(t *testing.T, f *fleet) uint64 {
		revision := f.apply(f.members[1])
		time.Sleep(bound)
		f.store.SetFaults(fake.Faults{Down: true})
		for _, m := range f.members[:len(f.members)/2] {
			f.kill(m)
			f.start(m)
		}
		return revision
	}},
	{name: "store answers older", run: func(t *testing.T, f *fleet) uint64 {
		f.store.TakeSnapshot()
		revision := f.apply(f.members[1])
		time.Sleep(bound)
		f.store.SetFaults(fake.Faults{ServeSnapshot: true})
		for _, m := range f.members[:3] {
			f.kill(m)
			f.start(m)
		}
		return revision
	}},
	{name: "store restored from a backup, then an apply", run: func(t *testing.T, f *fleet) uint64 {
		f.store.TakeSnapshot()
		f.apply(f.members[1])
		time.Sleep(bound)
		f.store.Restore()
		time.Sleep(2 * bound)
		return f.apply(f.members[0])
	}},
	{name: "store restored in an outage, written by others, then an apply", run: func(t *testing.T, f *fleet) uint64 {
		f.store.TakeSnapshot()
		f.apply(f.members[1])
		time.Sleep(bound)
		f.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(bound)
		f.store.Restore()
		f.store.SetFaults(fake.Faults{})
		for i := range 20 {
			_, err := f.store.Put(t.Context(), platform.Key{Kind: platform.KindLedger, Name: fmt.Sprint(i)}, nil, 0)
			require.NoError(t, err)
		}
		time.Sleep(2 * bound)
		alarms := 0
		for _, m := range f.members {
			if s, ok := f.procs[m.Name].follower.(*Propagator); ok && s.Alarm().Kind == config.AlarmStoreOlder {
				alarms++
			}
		}
		if _, ok := f.procs[f.members[0].Name].follower.(*Propagator); ok {
			require.GreaterOrEqual(t, alarms, 3*RelaysPerDomain)
		}
		return f.apply(f.members[0])
	}},
	{name: "cut off from the store but not from peers", run: func(t *testing.T, f *fleet) uint64 {
		f.cut(true, false, f.members[4:]...)
		time.Sleep(bound)
		return f.apply(f.members[0])
	}},
	{name: "a failure domain cut off from the store", run: func(t *testing.T, f *fleet) uint64 {
		f.cut(true, false, f.members[:len(f.members)/3]...)
		time.Sleep(time.Minute)
		return f.apply(f.members[len(f.members)-1])
	}},
	{name: "cut off from peers but not from the store", naiveHolds: true, run: func(t *testing.T, f *fleet) uint64 {
		f.cut(false, true, f.members[2:]...)
		return f.apply(f.members[0])
	}},
	{name: "the entry that accepted dies at once, relays die too", naiveHolds: true, run: func(t *testing.T, f *fleet) uint64 {
		revision := f.apply(f.members[1])
		f.kill(f.members[1])
		for _, m := range Relays(NewView(f.members[0], f.members).own) {
			if m != f.members[1] {
				f.kill(m)
			}
		}
		return revision
	}},
	{name: "slow store, the entry that accepted dies at once", run: func(t *testing.T, f *fleet) uint64 {
		f.store.SetFaults(fake.Faults{Delay: 4500 * time.Millisecond})
		time.Sleep(time.Minute)
		last := f.members[len(f.members)-1]
		f.cut(false, true, last)
		revision := f.apply(last)
		f.kill(last)
		return revision
	}, naiveHolds: true},
	{name: "cuts, restarts and an older store together", run: func(t *testing.T, f *fleet) uint64 {
		f.store.TakeSnapshot()
		f.cut(true, false, f.members[4:8]...)
		revision := f.apply(f.members[0])
		f.store.SetFaults(fake.Faults{ServeSnapshot: true, Delay: 200 * time.Millisecond})
		time.Sleep(bound)
		for _, m := range f.members[6:9] {
			f.kill(m)
			f.start(m)
		}
		return revision
	}},
	{name: "two applies with one revision, then a third", run: func(t *testing.T, f *fleet) uint64 {
		f.store.TakeSnapshot()
		alone := f.members[5]
		f.cut(true, true, alone)
		require.Equal(t, uint64(2), f.apply(f.members[0]))
		time.Sleep(bound)
		f.store.Restore()
		time.Sleep(5 * time.Second)
		f.cut(false, true, alone)
		require.Equal(t, uint64(2), f.apply(alone), "it can't know of the other")
		f.cut(false, false, alone)
		time.Sleep(bound)
		return f.apply(f.members[0])
	}},
}

// runScenario tells whether the revision was in force everywhere within the
// bound, and whether it stayed so.
func runScenario(t *testing.T, s scenario, newOne func(*fleet, Member) follower) (behind, reverted []string) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 6, newOne)
		settle(f)
		revision := s.run(t, f)
		time.Sleep(bound)
		behind = f.behind(revision)
		time.Sleep(time.Minute)
		reverted = append(f.reverted(), f.behind(revision)...)
	})
	return behind, reverted
}

func TestInForceEverywhereWithinTheBound(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			behind, reverted := runScenario(t, s, newSpreader)
			require.Empty(t, behind)
			require.Empty(t, reverted)
		})
	}
}

// TestNaiveBreaksThePromise shows that the scenarios tell the versions apart.
func TestNaiveBreaksThePromise(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			behind, reverted := runScenario(t, s, newNaive)
			held := len(behind) == 0 && len(reverted) == 0
			require.Equal(t, s.naiveHolds, held, fmt.Sprint(behind, reverted))
		})
	}
}

// TestStoreDownForAnHour checks that an outage changes nothing, costs few
// calls, and that the catching up stays below the store's rates.
func TestStoreDownForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 5, newSpreader)
		settle(f)
		revision := f.apply(f.members[0])
		time.Sleep(bound)
		before := f.store.Counts()
		f.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(time.Hour)
		during := f.store.Counts()
		require.Empty(t, f.behind(revision))
		_, err := f.tryApply(f.members[0])
		require.Error(t, err, "an apply is refused, not queued")
		f.store.SetFaults(fake.Faults{})
		next := f.apply(f.members[0])
		peak := 0
		for range 30 {
			at := f.store.Counts()
			time.Sleep(time.Second)
			peak = max(peak, f.store.Counts().Reads-at.Reads)
		}
		require.Empty(t, f.behind(next))
		require.Empty(t, f.reverted())
		require.Zero(t, f.store.Counts().Limited)
		perSecond := float64(during.Reads-before.Reads) / time.Hour.Seconds()
		t.Logf("15 processes: %.1f calls a second in the outage, at most %d a second after it", perSecond, peak)
		require.Less(t, perSecond, 2*2*15/maxBackoff.Seconds())
		require.Less(t, peak, 3*15)
	})
}
