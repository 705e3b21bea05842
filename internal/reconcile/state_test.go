package reconcile

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
)

const (
	mixed   = configv1.Role_ROLE_MIXED
	prefill = configv1.Role_ROLE_PREFILL
	decode  = configv1.Role_ROLE_DECODE
)

// simulation simulates an engine, its gate and the plans in virtual time.
type simulation struct {
	t       *rapid.T
	options Options
	now     time.Duration
	plan    Desired
	// State of the engine. While it changes its role, target is the new one.
	role         configv1.Role
	incarnation  uint64 // incarnation of the engine
	fencingToken uint64
	target       configv1.Role
	busyUntil    time.Duration // completion time of the order being carried out
	delayed      *Desired      // an order delayed in the network until delayedUntil
	delayedUntil time.Duration
	// State of the gate: whether it admits work, and the number of running
	// streams.
	open    bool
	streams int
	// faultsOff disables all fault injection.
	faultsOff bool
	// Violations: orders received while another is carried out, streams cut by
	// an order, orders with a lower version than the one before, and orders
	// sent before an earlier one has completed or is lost.
	overlaps, streamsCut, decreasing, early int
	lastSent                                uint64
	noOrderBefore                           time.Duration // no order may be sent before
}

// chance reports true with the given probability in percent, and always false
// while faults are disabled.
func (sim *simulation) chance(percent int) bool {
	return !sim.faultsOff && rapid.IntRange(1, 100).Draw(sim.t, "chance") <= percent
}

// advance advances the time and lets engine, streams and plans progress.
func (sim *simulation) advance(d time.Duration) {
	sim.now += d
	if sim.target != 0 && sim.now >= sim.busyUntil {
		sim.role, sim.target = sim.target, 0
	}
	if sim.chance(3) { // the engine crashes and restarts in its initial role
		sim.role, sim.target, sim.delayed = mixed, 0, nil
		sim.incarnation, sim.fencingToken = sim.incarnation+1, 0
	}
	if sim.delayed != nil && sim.now >= sim.delayedUntil {
		order := *sim.delayed
		sim.delayed = nil
		sim.receive(order)
	}
	if sim.open && sim.chance(30) {
		sim.streams++
	}
	if sim.streams > 0 && (sim.faultsOff || sim.chance(20)) {
		sim.streams--
	}
	if sim.chance(4) {
		sim.plan.Version++
		sim.plan.Role = rapid.SampledFrom([]configv1.Role{mixed, prefill, decode}).Draw(sim.t, "role")
	}
}

func (sim *simulation) state() *enginev1.State {
	return &enginev1.State{Role: sim.role, Fencing: sim.fencingToken, Changing: sim.target != 0, Incarnation: sim.incarnation}
}

// receive delivers an order to the engine, counts violations and reports
// whether the engine accepts it.
func (sim *simulation) receive(d Desired) bool {
	if sim.options.ChecksFencing && d.Version < sim.fencingToken {
		return false
	}
	if sim.target != 0 {
		sim.overlaps++
	}
	if sim.streams > 0 {
		sim.streamsCut++
	}
	if d.Version < sim.lastSent {
		sim.decreasing++
	}
	sim.fencingToken, sim.lastSent = max(sim.fencingToken, d.Version), d.Version
	if sim.role != d.Role {
		sim.target, sim.busyUntil = d.Role, sim.now+sim.options.MaxOrderDuration/4
	}
	return true
}

func (sim *simulation) perform(a Action) Event {
	switch a.Kind {
	case ReadState:
		sim.advance(time.Millisecond)
		if sim.chance(10) {
			return StateRead{}
		}
		return StateRead{State: sim.state()}
	case CloseGate:
		sim.open = false
		return GateChecked{Empty: sim.streams == 0}
	case OpenGate:
		sim.open = true
		return GateChecked{}
	case MoveStreams:
		if sim.faultsOff || sim.chance(70) {
			sim.streams = 0
		}
		return StreamsMoved{}
	case SendOrder:
		return sim.order(a)
	case CheckGate:
		sim.advance(sim.options.PollInterval)
		return GateChecked{Empty: sim.streams == 0}
	default:
		sim.advance(max(time.Millisecond, a.Until-sim.now))
		return sim.receivePlan()
	}
}

// receivePlan returns the current plan, or sometimes an older one.
func (sim *simulation) receivePlan() Event {
	if sim.chance(10) && sim.plan.Version > 1 { // an older plan arrives late
		older := sim.plan.Version - uint64(rapid.IntRange(1, int(sim.plan.Version)-1).Draw(sim.t, "older"))
		return PlanReceived{Desired{Version: older, Role: prefill}}
	}
	return PlanReceived{sim.plan}
}

// order delivers an order with injected faults and counts those sent too early.
func (sim *simulation) order(a Action) Event {
	if !sim.options.ChecksFencing && sim.now < sim.noOrderBefore {
		sim.early++
	}
	switch {
	case sim.chance(10):
		return OrderDone{Outcome: Expired}
	case sim.chance(10):
		return OrderDone{Outcome: Unreachable}
	case sim.chance(20): // the connection breaks, the order arrives later
		delay := rapid.IntRange(0, int(sim.options.MaxOrderDuration/2)).Draw(sim.t, "delay")
		sim.delayed, sim.delayedUntil = &a.Order, sim.now+time.Duration(delay)
		sim.noOrderBefore = sim.now + sim.options.MaxOrderDuration
		if sim.chance(50) { // meanwhile a new plan asks for the current role
			sim.plan.Version++
			sim.plan.Role = sim.role
		}
		return OrderDone{Outcome: OutcomeUnknown}
	case !sim.receive(a.Order):
		return OrderDone{Outcome: Refused}
	case sim.chance(20): // the reply is lost, the order is carried out
		sim.noOrderBefore = sim.now + sim.options.MaxOrderDuration
		return OrderDone{Outcome: OutcomeUnknown}
	}
	sim.advance(sim.options.MaxOrderDuration / 4)
	return OrderDone{Outcome: Completed, State: sim.state()}
}

// naiveStep is a naive reconciler: it sends an order whenever the plan differs
// from what it last ordered.
func naiveStep(s State, _ Options, ev Event, now time.Duration) (State, Action) {
	if seen, ok := ev.(PlanReceived); ok && seen.Desired.Role != s.desired.Role {
		s.desired = seen.Desired
		return s, Action{Kind: SendOrder, Order: s.desired, Until: now + time.Second}
	}
	return s, Action{Kind: Wait, Until: now + 100*time.Millisecond}
}

type stepFunc func(State, Options, Event, time.Duration) (State, Action)

// simulate drives a reconciler through injected faults, and then through 20
// minutes without faults.
func simulate(t *rapid.T, step stepFunc) *simulation {
	sim := &simulation{t: t, role: mixed, open: true, streams: 2, plan: Desired{Version: 1, Role: decode}}
	sim.options = Options{ChecksFencing: rapid.Bool().Draw(t, "checks")}.WithDefaults()
	sim.noOrderBefore = sim.options.MaxOrderDuration
	s, a := step(State{}, sim.options, Tick{}, 0)
	for range 250 {
		s, a = step(s, sim.options, sim.perform(a), sim.now)
	}
	sim.faultsOff = true
	for end := sim.now + 20*time.Minute; sim.now < end; {
		s, a = step(s, sim.options, sim.perform(a), sim.now)
	}
	return sim
}

// TestOrderInvariants checks the invariants of orders under faults, and that
// the engine finally serves what the plan asks for. The naive reconciler must
// violate each invariant, which shows that the simulation can detect it.
func TestOrderInvariants(t *testing.T) {
	var naive simulation
	rapid.Check(t, func(t *rapid.T) {
		sim := simulate(t, Step)
		require.Zero(t, sim.overlaps, "orders overlap")
		require.Zero(t, sim.streamsCut, "streams cut by an order")
		require.Zero(t, sim.decreasing, "orders with a decreasing version")
		require.Zero(t, sim.early, "orders before the outcome of an earlier one is settled")
		require.Equal(t, sim.plan.Role, sim.role, "the engine must end up in the planned role")
		require.True(t, sim.open)
		naiveRun := simulate(t, naiveStep)
		naive.overlaps += naiveRun.overlaps
		naive.streamsCut += naiveRun.streamsCut
		naive.decreasing += naiveRun.decreasing
		naive.early += naiveRun.early
	})
	t.Logf("naive reconciler: %d overlaps, %d streams cut, %d decreasing versions, %d early", naive.overlaps, naive.streamsCut, naive.decreasing, naive.early)
	require.Positive(t, naive.overlaps)
	require.Positive(t, naive.streamsCut)
	require.Positive(t, naive.decreasing)
	require.Positive(t, naive.early)
}

// TestExclusiveListener checks that the listener can be held only once, and
// again after it was closed.
func TestExclusiveListener(t *testing.T) {
	first, err := ListenExclusive("127.83.7.1:0")
	require.NoError(t, err)
	_, err = ListenExclusive(first.Addr())
	require.ErrorIs(t, err, ErrListenerHeld)
	require.NoError(t, first.Close())
	second, err := ListenExclusive(first.Addr())
	require.NoError(t, err)
	require.NoError(t, second.Close())
}
