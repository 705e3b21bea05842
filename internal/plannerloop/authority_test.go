package plannerloop

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	"github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/planner"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
	"github.com/marigoldwing/marigoldwing/internal/reconcile"
)

// system is a store, one engine with its agent, and the spread of plans.
type system struct {
	t      *testing.T
	ctx    context.Context
	tasks  sync.WaitGroup
	store  *fake.Store
	engine *fakeEngine
	spread *spread
}

// inSystem runs a test in virtual time and waits for what it started.
func inSystem(t *testing.T, checks bool, run func(t *testing.T, s *system)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &system{t: t, ctx: ctx, store: fake.New(fake.Options{}), engine: newEngine(checks), spread: newSpread()}
		defer s.tasks.Wait()
		defer cancel()
		run(t, s)
	})
}

// start runs a task until the end of the test.
func (s *system) start(run func(context.Context)) {
	s.tasks.Go(func() { run(s.ctx) })
}

func (s *system) loop(name string, store Store, a Authority, decide func(planner.Input) planner.Decision) *Loop {
	return New(Config{
		Service: service, Self: identity(name), Store: store, Authority: a,
		Observer: observer{s.engine}, Publisher: s.spread, Decide: decide, Interval: time.Second,
	})
}

// agent runs an agent's reconciler against the engine as that agent reaches
// it, until the test or the returned function ends it.
func (s *system) agent(e reconcile.Engine) context.CancelFunc {
	ctx, cancel := context.WithCancel(s.ctx)
	r := reconcile.NewReconciler(reconcile.Config{
		Service: service, BackendServer: "e1", Engine: e, Gate: openGate{}, Plans: s.spread,
		Options: reconcile.Options{ChecksFencing: s.engine.checks},
	})
	s.tasks.Go(func() { r.Run(ctx) })
	return cancel
}

func bothKinds(t *testing.T, run func(t *testing.T, s *system)) {
	for name, checks := range map[string]bool{"engine checks": true, "engine ignores": false} {
		t.Run(name, func(t *testing.T) {
			inSystem(t, checks, run)
		})
	}
}

// TestTwoPlannersAtOnce has two processes plan against each other, each sure
// that it leads.
func TestTwoPlannersAtOnce(t *testing.T) {
	bothKinds(t, func(t *testing.T, s *system) {
		s.agent(s.engine)
		s.start(s.loop("a", s.store, always(1), inTurns(prefill, mixed)).Run)
		s.start(s.loop("b", s.store, always(2), inTurns(mixed, decode)).Run)
		time.Sleep(10 * time.Minute)
		require.Zero(t, s.engine.conflicts())
		require.Greater(t, s.engine.count(), 10)
	})
	t.Run("naive planners that order by themselves", func(t *testing.T) {
		inSystem(t, false, func(t *testing.T, s *system) {
			for _, role := range []configv1.Role{prefill, decode} {
				s.start(func(ctx context.Context) { naivePlanner(ctx, s.engine, role) })
			}
			time.Sleep(10 * time.Minute)
			require.Positive(t, s.engine.conflicts())
		})
	})
}

// inTurns wants one role and the other in turns of ten seconds.
func inTurns(first, second configv1.Role) func(planner.Input) planner.Decision {
	return func(in planner.Input) planner.Decision {
		if in.Now.Unix()/10%2 == 0 {
			return wants(first)(in)
		}
		return wants(second)(in)
	}
}

func naivePlanner(ctx context.Context, e *fakeEngine, role configv1.Role) {
	for ctx.Err() == nil {
		if e.role() != role {
			_, _ = e.Order(ctx, &enginev1.Order{Role: role})
		}
		time.Sleep(time.Second)
	}
}

// TestLostAnswerOfAPlanWrite loses answers and requests of plan writes: the
// planner goes on with the version that is stored, and the engine sees one
// chain of versions.
func TestLostAnswerOfAPlanWrite(t *testing.T) {
	bothKinds(t, func(t *testing.T, s *system) {
		s.agent(s.engine)
		role := newWish(prefill)
		l := s.loop("a", s.store, always(1), role.decide)
		for i := range 40 {
			role.set(prefill + decode - role.get())
			answerLost, requestLost := i%4 == 1, i%4 == 2
			switch {
			case answerLost:
				s.store.SetFaults(fake.Faults{LoseResponses: 1})
			case requestLost:
				s.store.SetFaults(fake.Faults{LoseRequests: 1})
			}
			err := l.Step(t.Context())
			require.Equal(t, requestLost, err != nil, "only a write that took effect is one")
			time.Sleep(10 * time.Second)
		}
		obj, err := s.store.Get(t.Context(), PlanKey(service))
		require.NoError(t, err)
		require.Equal(t, obj.Version, s.spread.Newest(service).GetVersion())
		require.Zero(t, s.engine.conflicts())
		require.Equal(t, role.get(), s.engine.role())
	})
}

// TestEngineCrashesInTheMiddleOfAChange: the agent finds the crash by reading
// the engine, and orders again.
func TestEngineCrashesInTheMiddleOfAChange(t *testing.T) {
	bothKinds(t, func(t *testing.T, s *system) {
		s.engine.crashNow = true
		s.agent(s.engine)
		s.start(s.loop("a", s.store, always(1), wants(decode)).Run)
		time.Sleep(3 * time.Minute)
		require.Equal(t, decode, s.engine.role())
		require.Zero(t, s.engine.conflicts())
		require.GreaterOrEqual(t, s.engine.count(), 2)
	})
}

// pausedEngine is the engine as an agent sees it that is paused with an order
// in its hands, before or after the last check.
type pausedEngine struct {
	*fakeEngine
	pause       *pause
	afterChecks bool
}

func (e pausedEngine) State(ctx context.Context) (*enginev1.State, error) {
	st, err := e.fakeEngine.State(ctx)
	if !e.afterChecks {
		e.pause.pass()
	}
	return st, err
}

func (e pausedEngine) Order(ctx context.Context, o *enginev1.Order) (*enginev1.OrderReply, error) {
	if !e.afterChecks {
		e.pause.pass()
	}
	if err := engine.RunSendCheck(ctx); err != nil {
		return nil, err
	}
	e.pause.pass()
	return e.receive(o)
}

// replaceAgent freezes an agent with an order for prefill in its hands, has
// the plan changed to decode and another agent take over elsewhere, and wakes
// the first one. It returns the number of orders before that.
func replaceAgent(t *testing.T, s *system, afterChecks bool) (before int) {
	frozen := pausedEngine{fakeEngine: s.engine, pause: &pause{}, afterChecks: afterChecks}
	role := newWish(decode)
	l := s.loop("a", s.store, always(1), role.decide)
	require.NoError(t, l.Step(t.Context()))
	s.agent(frozen)
	time.Sleep(time.Minute)
	require.Equal(t, decode, s.engine.role())

	frozen.pause.stop()
	role.set(prefill)
	require.NoError(t, l.Step(t.Context()))
	time.Sleep(time.Minute)
	role.set(decode)
	require.NoError(t, l.Step(t.Context()))
	s.agent(s.engine)
	time.Sleep(time.Minute)
	require.Equal(t, decode, s.engine.role())
	before = s.engine.count()
	frozen.pause.resume()
	return before
}

func TestAgentReplacedWhileItsPredecessorIsFrozen(t *testing.T) {
	for _, afterChecks := range []bool{false, true} {
		bothKinds(t, func(t *testing.T, s *system) {
			before := replaceAgent(t, s, afterChecks)
			time.Sleep(orderTime / 2)
			switch {
			case !afterChecks:
				require.Equal(t, before, s.engine.count(), "the order has expired")
			case s.engine.checks:
				require.Equal(t, before, s.engine.count(), "the engine refuses it")
				require.Equal(t, 1, s.engine.refused)
			default:
				// The remaining window: a pause that begins between the
				// last check and the write, at an agent that is not the
				// engine's any more. One order of the older plan gets through.
				require.Equal(t, before+1, s.engine.count())
				require.Less(t, s.engine.lastVersion(), s.spread.Newest(service).GetVersion())
			}
			time.Sleep(reconcile.DefaultMaxOrderDuration)
			require.Equal(t, decode, s.engine.role(), "the agent corrects it")
		})
	}
}

// TestWokenHolderHasNoEffect pauses the holder at twelve moments between two
// decisions, past its lease, has another take over, and wakes it. The other
// wants a change, or nothing but what the plan has already.
func TestWokenHolderHasNoEffect(t *testing.T) {
	for at := range 12 {
		for _, other := range []configv1.Role{decode, prefill} {
			bothKinds(t, func(t *testing.T, s *system) {
				wakeHolder(t, s, time.Duration(at)*100*time.Millisecond, other)
			})
		}
	}
}

func wakeHolder(t *testing.T, s *system, offset time.Duration, other configv1.Role) {
	s.agent(s.engine)
	p := &pause{}
	store := pausedStore{s.store, p}
	a := lease.NewParticipant(store, service, lease.Options{Self: identity("a")})
	s.start(a.Run)
	role := newWish(prefill)
	s.start(s.loop("a", store, a, role.decide).Run)
	time.Sleep(time.Minute + offset)
	require.Equal(t, prefill, s.engine.role())

	p.stop()
	role.set(mixed) // what the holder is about to write
	b := lease.NewParticipant(s.store, service, lease.Options{Self: identity("b")})
	s.start(b.Run)
	s.start(s.loop("b", s.store, b, wants(other)).Run)
	time.Sleep(time.Minute)
	_, held := a.Authority()
	require.False(t, held)
	require.Equal(t, other, s.engine.role())

	version, orders := s.spread.Newest(service).GetVersion(), s.engine.count()
	p.resume()
	time.Sleep(time.Minute)
	require.Equal(t, version, s.spread.Newest(service).GetVersion(), "no effect at the agent")
	obj, err := s.store.Get(t.Context(), PlanKey(service))
	require.NoError(t, err)
	require.Equal(t, version, obj.Version, "no effect at the store")
	require.Equal(t, orders, s.engine.count(), "no effect at the engine")
	require.Zero(t, s.engine.conflicts())
}

// TestWokenNaiveHolderHasAnEffect is the red case: a holder that trusts its
// lease and writes over whatever version is stored.
func TestWokenNaiveHolderHasAnEffect(t *testing.T) {
	inSystem(t, true, func(t *testing.T, s *system) {
		s.agent(s.engine)
		require.NoError(t, s.loop("b", s.store, always(2), wants(decode)).Step(t.Context()))
		time.Sleep(10 * time.Second)
		require.Equal(t, decode, s.engine.role())
		require.NoError(t, s.loop("a", s.store, always(1), wants(prefill)).Step(t.Context()))
		time.Sleep(10 * time.Second)
		require.Equal(t, prefill, s.engine.role())
	})
}

// TestOutageKeepsTheLastPlan: with the store down for an hour nobody can
// plan, the last plan stays in force, and an agent started in the outage
// takes it from its peers.
func TestOutageKeepsTheLastPlan(t *testing.T) {
	bothKinds(t, func(t *testing.T, s *system) {
		stop := s.agent(s.engine)
		k := lease.NewParticipant(s.store, service, lease.Options{Self: identity("a")})
		s.start(k.Run)
		s.start(s.loop("a", s.store, k, wants(decode)).Run)
		time.Sleep(time.Minute)
		version := s.spread.Newest(service).GetVersion()
		s.store.SetFaults(fake.Faults{Down: true})
		stop()
		s.engine.mu.Lock()
		s.engine.state.Role, s.engine.state.Incarnation = mixed, 2
		s.engine.mu.Unlock()
		s.agent(s.engine)
		time.Sleep(time.Hour)
		require.Equal(t, decode, s.engine.role())
		require.Equal(t, version, s.spread.Newest(service).GetVersion())
		s.store.SetFaults(fake.Faults{})
		time.Sleep(time.Minute)
		_, held := k.Authority()
		require.True(t, held)
		require.Zero(t, s.engine.conflicts())
	})
}
