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
	case a := <-responses:
		return a.reply, a.err
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

func (c *faultInjector) startAgent() {
	c.agent = &killableEngine{
		fakeEngine: c.engine, system: c.system, killed: make(chan struct{}),
		delay: time.Duration(c.rnd.IntN(20_000)) * time.Millisecond,
	}
	c.stop = c.system.startAgent(c.agent)
}

// replaceAgent kills the agent and starts another one.
func (c *faultInjector) replaceAgent() {
	c.agent.dead.Store(true)
	close(c.agent.killed)
	c.stop()
	c.startAgent()
}

// startPlanner starts a planner that can be paused and alternates between two
// random roles.
func (c *faultInjector) startPlanner(name string, rank int) {
	p := &pauseSwitch{}
	c.pauseSwitches = append(c.pauseSwitches, p)
	store := pausedStore{c.store, p}
	participant := lease.NewParticipant(store, service, lease.Options{Self: identity(name), Rank: rank})
	c.start(participant.Run)
	roles := []configv1.Role{mixed, prefill, decode}
	c.rnd.Shuffle(len(roles), func(i, j int) { roles[i], roles[j] = roles[j], roles[i] })
	c.start(c.newLoop(name, store, participant, alternate(roles[0], roles[1])).Run)
}

// fault injects one random fault or ends one.
func (c *faultInjector) fault() {
	if c.rnd.IntN(2) == 0 {
		c.store.SetFaults(fake.Faults{})
	}
	switch c.rnd.IntN(10) {
	case 0:
		c.pauseSwitches[c.rnd.IntN(len(c.pauseSwitches))].toggle()
	case 1:
		c.store.SetFaults(fake.Faults{LoseResponses: 1 + c.rnd.IntN(4)})
	case 2:
		c.store.SetFaults(fake.Faults{LoseRequests: 1 + c.rnd.IntN(4)})
	case 3:
		c.store.SetFaults(fake.Faults{Down: true})
	case 4:
		c.store.SetFaults(fake.Faults{Delay: time.Duration(c.rnd.IntN(3000)) * time.Millisecond})
	case 5:
		c.engine.crashNext()
	default:
		c.replaceAgent()
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
					c := &faultInjector{system: s, rnd: rand.New(rand.NewPCG(seed, 1))}
					c.startAgent()
					for i, name := range []string{"a", "b", "c"} {
						c.startPlanner(name, i)
					}
					for range 120 {
						time.Sleep(time.Duration(c.rnd.IntN(60_000)) * time.Millisecond)
						c.fault()
					}
					c.checkAfterRecovery()
					orders += s.engine.orderCount()
				})
			})
		}
	}
	t.Logf("%d orders", orders)
}

// checkAfterRecovery ends all faults, waits, and checks the result.
func (c *faultInjector) checkAfterRecovery() {
	for _, p := range c.pauseSwitches {
		p.end()
	}
	c.store.SetFaults(fake.Faults{})
	time.Sleep(5 * time.Minute)
	require.Zero(c.t, c.engine.executedConflicts())
	require.Greater(c.t, c.engine.orderCount(), 10)
	obj, err := c.store.Get(c.ctx, PlanKey(service))
	require.NoError(c.t, err)
	require.Equal(c.t, obj.Version, c.relay.Newest(service).GetVersion())
}
