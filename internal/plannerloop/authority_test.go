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

// system is a store, one engine with its agents, and a relay of plans.
type system struct {
	t      *testing.T
	ctx    context.Context
	tasks  sync.WaitGroup
	store  *fake.Store
	engine *fakeEngine
	relay  *planRelay
}

// runInSystem runs a test in virtual time and waits for the goroutines that it
// started.
func runInSystem(t *testing.T, checksFencing bool, run func(t *testing.T, s *system)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &system{t: t, ctx: ctx, store: fake.New(fake.Options{}), engine: newFakeEngine(checksFencing), relay: newPlanRelay()}
		defer s.tasks.Wait()
		defer cancel()
		run(t, s)
	})
}

// start runs a goroutine until the end of the test.
func (s *system) start(run func(context.Context)) {
	s.tasks.Go(func() { run(s.ctx) })
}

func (s *system) newLoop(name string, store Store, a Authority, decide func(planner.Input) planner.Decision) *Loop {
	return New(Config{
		Service: service, Self: identity(name), Store: store, Authority: a,
		Observer: observer{s.engine}, Publisher: s.relay, Decide: decide, Interval: time.Second,
	})
}

// startAgent runs the reconciler of an agent that reaches the engine through e,
// until the end of the test or a call of the returned function.
func (s *system) startAgent(e reconcile.Engine) context.CancelFunc {
	ctx, cancel := context.WithCancel(s.ctx)
	r := reconcile.NewReconciler(reconcile.Config{
		Service: service, BackendServer: "e1", Engine: e, Gate: emptyGate{}, Plans: s.relay,
		Options: reconcile.Options{ChecksFencing: s.engine.checksFencing},
	})
	s.tasks.Go(func() { r.Run(ctx) })
	return cancel
}

// withAndWithoutFencing runs a test with an engine that checks fencing tokens
// and with one that ignores them.
func withAndWithoutFencing(t *testing.T, run func(t *testing.T, s *system)) {
	for name, checksFencing := range map[string]bool{"engine checks fencing": true, "engine ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			runInSystem(t, checksFencing, run)
		})
	}
}

// Two processes plan against each other, and each believes that it is the
// leader. The engine must not see conflicting orders. Naive planners that send
// orders by themselves must cause conflicts.
func TestConcurrentPlannersDoNotConflict(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, s *system) {
		s.startAgent(s.engine)
		s.start(s.newLoop("a", s.store, permanentAuthority(1), alternate(prefill, mixed)).Run)
		s.start(s.newLoop("b", s.store, permanentAuthority(2), alternate(mixed, decode)).Run)
		time.Sleep(10 * time.Minute)
		require.Zero(t, s.engine.conflicts())
		require.Greater(t, s.engine.orderCount(), 10)
	})
	t.Run("naive planners that send orders directly", func(t *testing.T) {
		runInSystem(t, false, func(t *testing.T, s *system) {
			for _, role := range []configv1.Role{prefill, decode} {
				s.start(func(ctx context.Context) { naivePlanner(ctx, s.engine, role) })
			}
			time.Sleep(10 * time.Minute)
			require.Positive(t, s.engine.conflicts())
		})
	})
}

// alternate returns a decision that changes the role every ten seconds.
func alternate(first, second configv1.Role) func(planner.Input) planner.Decision {
	return func(in planner.Input) planner.Decision {
		if in.Now.Unix()/10%2 == 0 {
			return decideRole(first)(in)
		}
		return decideRole(second)(in)
	}
}

// naivePlanner sends orders directly whenever the engine has another role.
func naivePlanner(ctx context.Context, e *fakeEngine, role configv1.Role) {
	for ctx.Err() == nil {
		if e.role() != role {
			_, _ = e.Order(ctx, &enginev1.Order{Role: role})
		}
		time.Sleep(time.Second)
	}
}

// Requests or responses of plan writes are lost. The planner must continue with
// the stored version, and the engine must see increasing versions only.
func TestLostRequestsAndResponsesOfPlanWrites(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, s *system) {
		s.startAgent(s.engine)
		role := newTargetRole(prefill)
		l := s.newLoop("a", s.store, permanentAuthority(1), role.decide)
		for i := range 40 {
			role.set(prefill + decode - role.get())
			responseLost, requestLost := i%4 == 1, i%4 == 2
			switch {
			case responseLost:
				s.store.SetFaults(fake.Faults{LoseResponses: 1})
			case requestLost:
				s.store.SetFaults(fake.Faults{LoseRequests: 1})
			}
			err := l.Step(t.Context())
			require.Equal(t, requestLost, err != nil, "only a write that did not take effect may fail")
			time.Sleep(10 * time.Second)
		}
		obj, err := s.store.Get(t.Context(), PlanKey(service))
		require.NoError(t, err)
		require.Equal(t, obj.Version, s.relay.Newest(service).GetVersion())
		require.Zero(t, s.engine.conflicts())
		require.Equal(t, role.get(), s.engine.role())
	})
}

// The engine crashes while it executes an order. The agent must notice the
// crash when it reads the engine's state and must send the order again.
func TestEngineCrashDuringAChange(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, s *system) {
		s.engine.crashPending = true
		s.startAgent(s.engine)
		s.start(s.newLoop("a", s.store, permanentAuthority(1), decideRole(decode)).Run)
		time.Sleep(3 * time.Minute)
		require.Equal(t, decode, s.engine.role())
		require.Zero(t, s.engine.conflicts())
		require.GreaterOrEqual(t, s.engine.orderCount(), 2)
	})
}

// pausedEngine is the engine as reached by an agent that is paused when it is
// about to send an order, before or after the last check that the order has not
// expired.
type pausedEngine struct {
	*fakeEngine
	pause          *pauseSwitch
	afterLastCheck bool
}

func (e pausedEngine) State(ctx context.Context) (*enginev1.State, error) {
	st, err := e.fakeEngine.State(ctx)
	if !e.afterLastCheck {
		e.pause.wait()
	}
	return st, err
}

func (e pausedEngine) Order(ctx context.Context, o *enginev1.Order) (*enginev1.OrderReply, error) {
	if !e.afterLastCheck {
		e.pause.wait()
	}
	if err := engine.RunSendCheck(ctx); err != nil {
		return nil, err
	}
	e.pause.wait()
	return e.receive(o)
}

// replaceAgent pauses an agent that is about to send an order for prefill,
// changes the plan back to decode, starts a second agent and resumes the first
// one. It returns the number of orders received before that.
func replaceAgent(t *testing.T, s *system, afterLastCheck bool) (before int) {
	paused := pausedEngine{fakeEngine: s.engine, pause: &pauseSwitch{}, afterLastCheck: afterLastCheck}
	role := newTargetRole(decode)
	l := s.newLoop("a", s.store, permanentAuthority(1), role.decide)
	require.NoError(t, l.Step(t.Context()))
	s.startAgent(paused)
	time.Sleep(time.Minute)
	require.Equal(t, decode, s.engine.role())

	paused.pause.pause()
	role.set(prefill)
	require.NoError(t, l.Step(t.Context()))
	time.Sleep(time.Minute)
	role.set(decode)
	require.NoError(t, l.Step(t.Context()))
	s.startAgent(s.engine)
	time.Sleep(time.Minute)
	require.Equal(t, decode, s.engine.role())
	before = s.engine.orderCount()
	paused.pause.resume()
	return before
}

// An agent is paused when it is about to send an order, and is replaced by
// another one. When it resumes, its order must expire or be rejected, or be
// corrected by the new agent.
func TestAgentReplacedWhilePredecessorIsPaused(t *testing.T) {
	for _, afterLastCheck := range []bool{false, true} {
		withAndWithoutFencing(t, func(t *testing.T, s *system) {
			before := replaceAgent(t, s, afterLastCheck)
			time.Sleep(orderDuration / 2)
			switch {
			case !afterLastCheck:
				require.Equal(t, before, s.engine.orderCount(), "the order must have expired")
			case s.engine.checksFencing:
				require.Equal(t, before, s.engine.orderCount(), "the engine must reject the order")
				require.Equal(t, 1, s.engine.rejected)
			default:
				// The remaining race: the agent is paused between its last
				// check and the write, has been replaced, and the engine does
				// not check fencing tokens. One order of the older plan gets
				// through.
				require.Equal(t, before+1, s.engine.orderCount())
				require.Less(t, s.engine.lastVersion(), s.relay.Newest(service).GetVersion())
			}
			time.Sleep(reconcile.DefaultMaxOrderDuration)
			require.Equal(t, decode, s.engine.role(), "the new agent must correct the role")
		})
	}
}

// The lease holder is paused at one of twelve moments between two decisions
// until its lease has expired and another planner has taken over. When it
// resumes, it must have no effect. The other planner decides on a change, or
// only on what the plan already has.
func TestResumedHolderHasNoEffect(t *testing.T) {
	for at := range 12 {
		for _, other := range []configv1.Role{decode, prefill} {
			withAndWithoutFencing(t, func(t *testing.T, s *system) {
				resumeHolder(t, s, time.Duration(at)*100*time.Millisecond, other)
			})
		}
	}
}

// resumeHolder pauses the lease holder after the offset, lets another planner
// take over and resumes the holder.
func resumeHolder(t *testing.T, s *system, offset time.Duration, other configv1.Role) {
	s.startAgent(s.engine)
	p := &pauseSwitch{}
	store := pausedStore{s.store, p}
	a := lease.NewParticipant(store, service, lease.Options{Self: identity("a")})
	s.start(a.Run)
	role := newTargetRole(prefill)
	s.start(s.newLoop("a", store, a, role.decide).Run)
	time.Sleep(time.Minute + offset)
	require.Equal(t, prefill, s.engine.role())

	p.pause()
	role.set(mixed) // the decision that the paused holder is about to write
	b := lease.NewParticipant(s.store, service, lease.Options{Self: identity("b")})
	s.start(b.Run)
	s.start(s.newLoop("b", s.store, b, decideRole(other)).Run)
	time.Sleep(time.Minute)
	_, held := a.Authority()
	require.False(t, held)
	require.Equal(t, other, s.engine.role())

	version, orders := s.relay.Newest(service).GetVersion(), s.engine.orderCount()
	p.resume()
	time.Sleep(time.Minute)
	require.Equal(t, version, s.relay.Newest(service).GetVersion(), "no effect at the agent")
	obj, err := s.store.Get(t.Context(), PlanKey(service))
	require.NoError(t, err)
	require.Equal(t, version, obj.Version, "no effect at the store")
	require.Equal(t, orders, s.engine.orderCount(), "no effect at the engine")
	require.Zero(t, s.engine.conflicts())
}

// A naive holder that never learns that it has lost the lease takes the plan
// over again, so that its decision must have an effect after that of its
// successor. This shows that the test above can fail.
func TestResumedNaiveHolderHasAnEffect(t *testing.T) {
	runInSystem(t, true, func(t *testing.T, s *system) {
		s.startAgent(s.engine)
		require.NoError(t, s.newLoop("b", s.store, permanentAuthority(2), decideRole(decode)).Step(t.Context()))
		time.Sleep(10 * time.Second)
		require.Equal(t, decode, s.engine.role())
		require.NoError(t, s.newLoop("a", s.store, permanentAuthority(1), decideRole(prefill)).Step(t.Context()))
		time.Sleep(10 * time.Second)
		require.Equal(t, prefill, s.engine.role())
	})
}

// While the store is down for an hour, nobody can plan and the last plan must
// stay in force. An agent that starts during the outage must get it from its
// peers.
func TestStoreOutageKeepsTheLastPlan(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, s *system) {
		stop := s.startAgent(s.engine)
		participant := lease.NewParticipant(s.store, service, lease.Options{Self: identity("a")})
		s.start(participant.Run)
		s.start(s.newLoop("a", s.store, participant, decideRole(decode)).Run)
		time.Sleep(time.Minute)
		version := s.relay.Newest(service).GetVersion()
		s.store.SetFaults(fake.Faults{Down: true})
		stop()
		s.engine.mu.Lock()
		s.engine.state.Role, s.engine.state.Incarnation = mixed, 2
		s.engine.mu.Unlock()
		s.startAgent(s.engine)
		time.Sleep(time.Hour)
		require.Equal(t, decode, s.engine.role())
		require.Equal(t, version, s.relay.Newest(service).GetVersion())
		s.store.SetFaults(fake.Faults{})
		time.Sleep(time.Minute)
		_, held := participant.Authority()
		require.True(t, held)
		require.Zero(t, s.engine.conflicts())
	})
}
