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

// pollingFollower is a naive follower without peers: each process polls the
// store and adopts any configuration that it returns, even an older one.
type pollingFollower struct {
	store    linkedStore
	onConfig func(*configv1.AcceptedDeployment)

	mu      sync.Mutex
	inForce *configv1.AcceptedDeployment
}

func newPollingFollower(f *fleet, m Member) follower {
	return &pollingFollower{
		store:    linkedStore{f, m.Name},
		onConfig: func(a *configv1.AcceptedDeployment) { f.record(m.Name, a.GetRevision()) },
	}
}

func (p *pollingFollower) InForce() *configv1.AcceptedDeployment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inForce
}

func (p *pollingFollower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		stored, err := configstore.Read(ctx, p.store, nil)
		a := stored.Accepted
		if err == nil && a.GetRevision() != p.InForce().GetRevision() {
			p.mu.Lock()
			p.inForce = a
			p.mu.Unlock()
			p.onConfig(a)
		}
		sleep(ctx, time.Second)
	}
}

// scenario injects one kind of failure and returns a revision that must be in
// force everywhere within the bound.
type scenario struct {
	name string
	run  func(t *testing.T, f *fleet) uint64
	// naivePasses is set if the naive follower passes as well.
	naivePasses bool
}

// startWithConfig starts the fleet and applies a first configuration.
func startWithConfig(f *fleet) {
	f.start(f.members...)
	time.Sleep(5 * time.Second)
	f.apply(f.members[0])
	time.Sleep(propagationBound)
	require.Empty(f.t, f.behind(1))
}

var scenarios = []scenario{
	{name: "no faults", naivePasses: true, run: func(t *testing.T, f *fleet) uint64 {
		return f.apply(f.members[1])
	}},
	{name: "concurrent applies, store responses lost", naivePasses: true, run: func(t *testing.T, f *fleet) uint64 {
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
	{name: "restarts during a store outage", run: func(t *testing.T, f *fleet) uint64 {
		revision := f.apply(f.members[1])
		time.Sleep(propagationBound)
		f.store.SetFaults(fake.Faults{Down: true})
		for _, m := range f.members[:len(f.members)/2] {
			f.kill(m)
			f.start(m)
		}
		return revision
	}},
	{name: "store serves old data to restarted processes", run: func(t *testing.T, f *fleet) uint64 {
		f.store.TakeSnapshot()
		revision := f.apply(f.members[1])
		time.Sleep(propagationBound)
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
		time.Sleep(propagationBound)
		f.store.Restore()
		time.Sleep(2 * propagationBound)
		return f.apply(f.members[0])
	}},
	{name: "store restored during an outage, other objects written, then an apply", run: func(t *testing.T, f *fleet) uint64 {
		f.store.TakeSnapshot()
		f.apply(f.members[1])
		time.Sleep(propagationBound)
		f.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(propagationBound)
		f.store.Restore()
		f.store.SetFaults(fake.Faults{})
		for i := range 20 {
			_, err := f.store.Put(t.Context(), platform.Key{Kind: platform.KindLedger, Name: fmt.Sprint(i)}, nil, 0)
			require.NoError(t, err)
		}
		time.Sleep(2 * propagationBound)
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
		f.isolate(true, false, f.members[4:]...)
		time.Sleep(propagationBound)
		return f.apply(f.members[0])
	}},
	{name: "a failure domain cut off from the store", run: func(t *testing.T, f *fleet) uint64 {
		f.isolate(true, false, f.members[:len(f.members)/3]...)
		time.Sleep(time.Minute)
		return f.apply(f.members[len(f.members)-1])
	}},
	{name: "cut off from peers but not from the store", naivePasses: true, run: func(t *testing.T, f *fleet) uint64 {
		f.isolate(false, true, f.members[2:]...)
		return f.apply(f.members[0])
	}},
	{name: "accepting process and relays die at once", naivePasses: true, run: func(t *testing.T, f *fleet) uint64 {
		revision := f.apply(f.members[1])
		f.kill(f.members[1])
		for _, m := range Relays(NewView(f.members[0], f.members).ownDomain) {
			if m != f.members[1] {
				f.kill(m)
			}
		}
		return revision
	}},
	{name: "slow store, accepting process dies at once", run: func(t *testing.T, f *fleet) uint64 {
		f.store.SetFaults(fake.Faults{Delay: 4500 * time.Millisecond})
		time.Sleep(time.Minute)
		last := f.members[len(f.members)-1]
		f.isolate(false, true, last)
		revision := f.apply(last)
		f.kill(last)
		return revision
	}, naivePasses: true},
	{name: "partitions, restarts and old store data together", run: func(t *testing.T, f *fleet) uint64 {
		f.store.TakeSnapshot()
		f.isolate(true, false, f.members[4:8]...)
		revision := f.apply(f.members[0])
		f.store.SetFaults(fake.Faults{ServeSnapshot: true, Delay: 200 * time.Millisecond})
		time.Sleep(propagationBound)
		for _, m := range f.members[6:9] {
			f.kill(m)
			f.start(m)
		}
		return revision
	}},
	{name: "two applies with the same revision, then a third", run: func(t *testing.T, f *fleet) uint64 {
		f.store.TakeSnapshot()
		alone := f.members[5]
		f.isolate(true, true, alone)
		require.Equal(t, uint64(2), f.apply(f.members[0]))
		time.Sleep(propagationBound)
		f.store.Restore()
		time.Sleep(5 * time.Second)
		f.isolate(false, true, alone)
		require.Equal(t, uint64(2), f.apply(alone), "the isolated process does not know the other revision 2")
		f.isolate(false, false, alone)
		time.Sleep(propagationBound)
		return f.apply(f.members[0])
	}},
}

// runScenario runs a scenario and returns the processes that did not have the
// revision in force within the bound, and those that fell behind it or reverted
// to an older one within the next minute.
func runScenario(t *testing.T, s scenario, newFollower func(*fleet, Member) follower) (behind, reverted []string) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 6, newFollower)
		startWithConfig(f)
		revision := s.run(t, f)
		time.Sleep(propagationBound)
		behind = f.behind(revision)
		time.Sleep(time.Minute)
		reverted = append(f.reverted(), f.behind(revision)...)
	})
	return behind, reverted
}

// TestConfigInForceEverywhereWithinBound runs every failure scenario: each
// accepted configuration must be in force at all processes within the bound and
// must not be reverted later.
func TestConfigInForceEverywhereWithinBound(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			behind, reverted := runScenario(t, s, newPropagator)
			require.Empty(t, behind)
			require.Empty(t, reverted)
		})
	}
}

// TestNaiveFollowerFailsScenarios checks that the scenarios are strict enough:
// the naive follower must fail all but those marked with naivePasses.
func TestNaiveFollowerFailsScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			behind, reverted := runScenario(t, s, newPollingFollower)
			passed := len(behind) == 0 && len(reverted) == 0
			require.Equal(t, s.naivePasses, passed, fmt.Sprint(behind, reverted))
		})
	}
}

// TestOneHourStoreOutage checks that during a store outage the configuration
// stays in force, applies are refused, and few store calls are made, and that
// the reads after the outage stay below the store's rate limit.
func TestOneHourStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 5, newPropagator)
		startWithConfig(f)
		revision := f.apply(f.members[0])
		time.Sleep(propagationBound)
		before := f.store.Counts()
		f.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(time.Hour)
		during := f.store.Counts()
		require.Empty(t, f.behind(revision))
		_, err := f.tryApply(f.members[0])
		require.Error(t, err, "an apply during an outage must be refused, not queued")
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
		// Each of the 15 processes has at most two loops that call the store, and
		// a loop waits at least half of maxBackoff after repeated failures.
		require.Less(t, perSecond, 2*2*15/maxBackoff.Seconds())
		require.Less(t, peak, 3*15)
	})
}
