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

// mortalEngine is the engine as one agent reaches it. What the agent has sent
// arrives late, and also after the agent has been killed.
type mortalEngine struct {
	*fakeEngine
	system *system
	delay  time.Duration
	dead   atomic.Bool
	killed chan struct{}
}

func (e *mortalEngine) State(ctx context.Context) (*enginev1.State, error) {
	if e.dead.Load() {
		return nil, engine.ErrUnreachable
	}
	return e.fakeEngine.State(ctx)
}

func (e *mortalEngine) Order(ctx context.Context, o *enginev1.Order) (*enginev1.OrderReply, error) {
	if e.dead.Load() {
		return nil, engine.ErrUnreachable
	}
	if err := engine.RunSendCheck(ctx); err != nil {
		return nil, err
	}
	type answer struct {
		reply *enginev1.OrderReply
		err   error
	}
	answers := make(chan answer, 1)
	e.system.tasks.Go(func() {
		time.Sleep(e.delay)
		reply, err := e.receive(o)
		answers <- answer{reply, err}
	})
	select {
	case a := <-answers:
		return a.reply, a.err
	case <-e.killed:
		return nil, engine.ErrInterrupted
	}
}

// chaos brings about faults on top of each other.
type chaos struct {
	*system
	rnd    *rand.Rand
	pauses []*pause
	agent  *mortalEngine
	stop   context.CancelFunc
}

func (c *chaos) startAgent() {
	c.agent = &mortalEngine{
		fakeEngine: c.engine, system: c.system, killed: make(chan struct{}),
		delay: time.Duration(c.rnd.IntN(20_000)) * time.Millisecond,
	}
	c.stop = c.system.agent(c.agent)
}

func (c *chaos) replaceAgent() {
	c.agent.dead.Store(true)
	close(c.agent.killed)
	c.stop()
	c.startAgent()
}

func (c *chaos) startPlanner(name string, rank int) {
	p := &pause{}
	c.pauses = append(c.pauses, p)
	store := pausedStore{c.store, p}
	k := lease.NewParticipant(store, service, lease.Options{Self: identity(name), Rank: rank})
	c.start(k.Run)
	roles := []configv1.Role{mixed, prefill, decode}
	c.rnd.Shuffle(len(roles), func(i, j int) { roles[i], roles[j] = roles[j], roles[i] })
	c.start(c.loop(name, store, k, inTurns(roles[0], roles[1])).Run)
}

// fault brings about one fault, or ends one.
func (c *chaos) fault() {
	if c.rnd.IntN(2) == 0 {
		c.store.SetFaults(fake.Faults{})
	}
	switch c.rnd.IntN(10) {
	case 0:
		c.pauses[c.rnd.IntN(len(c.pauses))].toggle()
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

// TestFaultsOnTopOfEachOther lets three planners and an agent run through
// random faults that overlap, then through calm.
func TestFaultsOnTopOfEachOther(t *testing.T) {
	orders := 0
	for seed := range uint64(10) {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprintf("seed %d, checks %t", seed, checks), func(t *testing.T) {
				inSystem(t, checks, func(t *testing.T, s *system) {
					c := &chaos{system: s, rnd: rand.New(rand.NewPCG(seed, 1))}
					c.startAgent()
					for i, name := range []string{"a", "b", "c"} {
						c.startPlanner(name, i)
					}
					for range 120 {
						time.Sleep(time.Duration(c.rnd.IntN(60_000)) * time.Millisecond)
						c.fault()
					}
					c.calm()
					orders += s.engine.count()
				})
			})
		}
	}
	t.Logf("%d orders", orders)
}

// calm ends all faults, waits, and checks what is left.
func (c *chaos) calm() {
	for _, p := range c.pauses {
		p.end()
	}
	c.store.SetFaults(fake.Faults{})
	time.Sleep(5 * time.Minute)
	require.Zero(c.t, c.engine.carriedOut())
	require.Greater(c.t, c.engine.count(), 10)
	obj, err := c.store.Get(c.ctx, PlanKey(service))
	require.NoError(c.t, err)
	require.Equal(c.t, obj.Version, c.spread.Newest(service).GetVersion())
}
