package plannerloop

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	"github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// killableEngine is the engine as reached by one agent. Orders arrive with a
// delay, even after the agent has been killed.
type killableEngine struct {
	*fakeEngine
	system *system
	delay  time.Duration
	dead   atomic.Bool
	killed chan struct{}
}

func (e *killableEngine) State(ctx context.Context) (*enginev1.State, error) {
	if e.dead.Load() {
		return nil, engine.ErrUnreachable
	}
	return e.fakeEngine.State(ctx)
}

func (e *killableEngine) Order(ctx context.Context, o *enginev1.Order) (*enginev1.OrderReply, error) {
	if e.dead.Load() {
		return nil, engine.ErrUnreachable
	}
	if err := engine.RunSendCheck(ctx); err != nil {
		return nil, err
	}
	type response struct {
		reply *enginev1.OrderReply
		err   error
	}
	responses := make(chan response, 1)
	e.system.tasks.Go(func() {
		time.Sleep(e.delay)
		reply, err := e.receive(o)
		responses <- response{reply, err}
	})
	select {
	case r := <-responses:
		return r.reply, r.err
	case <-e.killed:
		return nil, engine.ErrInterrupted
	}
}

// faultInjector injects overlapping faults.
type faultInjector struct {
	*system
	rnd           *rand.Rand
	pauseSwitches []*pauseSwitch
	agent         *killableEngine
	stop          context.CancelFunc
}

func (f *faultInjector) startAgent() {
	f.agent = &killableEngine{
		fakeEngine: f.engine, system: f.system, killed: make(chan struct{}),
		delay: time.Duration(f.rnd.IntN(20_000)) * time.Millisecond,
	}
	f.stop = f.system.startAgent(f.agent)
}

func (f *faultInjector) replaceAgent() {
	f.agent.dead.Store(true)
	close(f.agent.killed)
	f.stop()
	f.startAgent()
}

// startPlanner starts a planner that can be paused and alternates between two
// random roles.
func (f *faultInjector) startPlanner(name string, rank int) {
	p := &pauseSwitch{}
	f.pauseSwitches = append(f.pauseSwitches, p)
	store := pausedStore{f.store, p}
	participant := lease.NewParticipant(store, service, lease.Options{Self: identity(name), Rank: rank})
	f.start(participant.Run)
	roles := []configv1.Role{mixed, prefill, decode}
	f.rnd.Shuffle(len(roles), func(i, j int) { roles[i], roles[j] = roles[j], roles[i] })
	f.start(f.newLoop(name, store, participant, alternate(roles[0], roles[1])).Run)
}

// fault injects one random fault or ends one.
func (f *faultInjector) fault() {
	if f.rnd.IntN(2) == 0 {
		f.store.SetFaults(fake.Faults{})
	}
	switch f.rnd.IntN(10) {
	case 0:
		f.pauseSwitches[f.rnd.IntN(len(f.pauseSwitches))].toggle()
	case 1:
		f.store.SetFaults(fake.Faults{LoseResponses: 1 + f.rnd.IntN(4)})
	case 2:
		f.store.SetFaults(fake.Faults{LoseRequests: 1 + f.rnd.IntN(4)})
	case 3:
		f.store.SetFaults(fake.Faults{Down: true})
	case 4:
		f.store.SetFaults(fake.Faults{Delay: time.Duration(f.rnd.IntN(3000)) * time.Millisecond})
	case 5:
		f.engine.crashNext()
	default:
		f.replaceAgent()
	}
}

// Three planners and an agent run through random overlapping faults. After
// recovery no conflicting order may have been executed, and the newest stored
// plan must be in force.
func TestOverlappingFaults(t *testing.T) {
	orders := 0
	for seed := range uint64(10) {
		for _, checksFencing := range []bool{true, false} {
			t.Run(fmt.Sprintf("seed %d, checks fencing %t", seed, checksFencing), func(t *testing.T) {
				runInSystem(t, checksFencing, func(t *testing.T, s *system) {
					f := &faultInjector{system: s, rnd: rand.New(rand.NewPCG(seed, 1))}
					f.startAgent()
					for i, name := range []string{"a", "b", "c"} {
						f.startPlanner(name, i)
					}
					for range 120 {
						time.Sleep(time.Duration(f.rnd.IntN(60_000)) * time.Millisecond)
						f.fault()
					}
					f.checkAfterRecovery()
					orders += s.engine.orderCount()
				})
			})
		}
	}
	t.Logf("%d orders", orders)
}

// checkAfterRecovery ends all faults, waits, and checks the result.
func (f *faultInjector) checkAfterRecovery() {
	for _, p := range f.pauseSwitches {
		p.end()
	}
	f.store.SetFaults(fake.Faults{})
	time.Sleep(5 * time.Minute)
	require.Zero(f.t, f.engine.executedConflicts())
	require.Greater(f.t, f.engine.orderCount(), 10)
	obj, err := f.store.Get(f.ctx, PlanKey(service))
	require.NoError(f.t, err)
	require.Equal(f.t, obj.Version, f.relay.Newest(service).GetVersion())
}
