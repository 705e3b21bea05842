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
	t            *rapid.T
	options      Options
	now          time.Duration
	plan         Desired
	role         configv1.Role
	incarnation  uint64 // incarnation of the engine
	fencing      uint64
	target       configv1.Role
	busyUntil    time.Duration // completion time of the order being carried out
	delayed      *Desired      // an order delayed in the network until delayedUntil
	delayedUntil time.Duration
	open         bool
	streams      int
	// faultsOff disables all fault injection.
	faultsOff bool
	// Violations: orders received while another is carried out, streams cut by
	// an order, orders with a lower version than the one before, and orders
	// sent before an earlier one has completed or is lost.
	overlaps, streamsCut, decreasing, early int
	lastSent                                uint64
	noOrderBefore                           time.Duration // no order may be sent before
}

// chance returns true with the given probability in percent, and always false
// while faults are disabled.
func (w *simulation) chance(percent int) bool {
	return !w.faultsOff && rapid.IntRange(1, 100).Draw(w.t, "chance") <= percent
}

// advance advances the time and lets engine, streams and plans progress.
func (w *simulation) advance(d time.Duration) {
	w.now += d
	if w.target != 0 && w.now >= w.busyUntil {
		w.role, w.target = w.target, 0
	}
	if w.chance(3) { // the engine crashes and restarts in its initial role
		w.role, w.target, w.delayed = mixed, 0, nil
		w.incarnation, w.fencing = w.incarnation+1, 0
	}
	if w.delayed != nil && w.now >= w.delayedUntil {
		order := *w.delayed
		w.delayed = nil
		w.receive(order)
	}
	if w.open && w.chance(30) {
		w.streams++
	}
	if w.streams > 0 && (w.faultsOff || w.chance(20)) {
		w.streams--
	}
	if w.chance(4) {
		w.plan.Version++
		w.plan.Role = rapid.SampledFrom([]configv1.Role{mixed, prefill, decode}).Draw(w.t, "role")
	}
}

func (w *simulation) state() *enginev1.State {
	return &enginev1.State{Role: w.role, Fencing: w.fencing, Changing: w.target != 0, Incarnation: w.incarnation}
}

// receive delivers an order to the engine, counts violations and reports
// whether the engine accepts it.
func (w *simulation) receive(d Desired) bool {
	if w.options.ChecksFencing && d.Version < w.fencing {
		return false
	}
	if w.target != 0 {
		w.overlaps++
	}
	if w.streams > 0 {
		w.streamsCut++
	}
	if d.Version < w.lastSent {
		w.decreasing++
	}
	w.fencing, w.lastSent = max(w.fencing, d.Version), d.Version
	if w.role != d.Role {
		w.target, w.busyUntil = d.Role, w.now+w.options.MaxOrderDuration/4
	}
	return true
}

func (w *simulation) perform(a Action) Event {
	switch a.Kind {
	case ReadState:
		w.advance(time.Millisecond)
		if w.chance(10) {
			return StateRead{}
		}
		return StateRead{State: w.state()}
	case CloseGate:
		w.open = false
		return GateChecked{Empty: w.streams == 0}
	case OpenGate:
		w.open = true
		return GateChecked{}
	case MoveStreams:
		if w.faultsOff || w.chance(70) {
			w.streams = 0
		}
		return StreamsMoved{}
	case SendOrder:
		return w.order(a)
	case CheckGate:
		w.advance(w.options.PollInterval)
		return GateChecked{Empty: w.streams == 0}
	default:
		w.advance(max(time.Millisecond, a.Until-w.now))
		return w.planOrTick()
	}
}

// nextEvent returns the current plan, or sometimes an older one.
func (w *simulation) planOrTick() Event {
	if w.chance(10) && w.plan.Version > 1 { // an older plan arrives late
		older := w.plan.Version - uint64(rapid.IntRange(1, int(w.plan.Version)-1).Draw(w.t, "older"))
		return PlanReceived{Desired{Version: older, Role: prefill}}
	}
	return PlanReceived{w.plan}
}

// order delivers an order with injected faults and counts those sent too early.
func (w *simulation) order(a Action) Event {
	if !w.options.ChecksFencing && w.now < w.noOrderBefore {
		w.early++
	}
	switch {
	case w.chance(10):
		return OrderDone{Outcome: Expired}
	case w.chance(10):
		return OrderDone{Outcome: Unreachable}
	case w.chance(20): // the connection breaks, the order arrives later
		delay := rapid.IntRange(0, int(w.options.MaxOrderDuration/2)).Draw(w.t, "delay")
		w.delayed, w.delayedUntil = &a.Order, w.now+time.Duration(delay)
		w.noOrderBefore = w.now + w.options.MaxOrderDuration
		if w.chance(50) { // meanwhile a new plan asks for the current role
			w.plan.Version++
			w.plan.Role = w.role
		}
		return OrderDone{Outcome: OutcomeUnknown}
	case !w.receive(a.Order):
		return OrderDone{Outcome: Refused}
	case w.chance(20): // the reply is lost, the order is carried out
		w.noOrderBefore = w.now + w.options.MaxOrderDuration
		return OrderDone{Outcome: OutcomeUnknown}
	}
	w.advance(w.options.MaxOrderDuration / 4)
	return OrderDone{Outcome: Completed, State: w.state()}
}

// baselineStep is the baseline: it sends an order whenever the plan differs
// from what it last ordered.
func baselineStep(s State, _ Options, ev Event, now time.Duration) (State, Action) {
	if seen, ok := ev.(PlanReceived); ok && seen.Desired.Role != s.desired.Role {
		s.desired = seen.Desired
		return s, Action{Kind: SendOrder, Order: s.desired, Until: now + time.Second}
	}
	return s, Action{Kind: Wait, Until: now + 100*time.Millisecond}
}

type stepFunc func(State, Options, Event, time.Duration) (State, Action)

// simulate drives a reconciler through injected faults, and then through 20
// minutes without faults.
func simulate(t *rapid.T, next stepFunc) *simulation {
	w := &simulation{t: t, role: mixed, open: true, streams: 2, plan: Desired{Version: 1, Role: decode}}
	w.options = Options{ChecksFencing: rapid.Bool().Draw(t, "checks")}.WithDefaults()
	w.noOrderBefore = w.options.MaxOrderDuration
	s, a := next(State{}, w.options, Tick{}, 0)
	for range 250 {
		s, a = next(s, w.options, w.perform(a), w.now)
	}
	w.faultsOff = true
	for end := w.now + 20*time.Minute; w.now < end; {
		s, a = next(s, w.options, w.perform(a), w.now)
	}
	return w
}

// TestOrderInvariants checks the invariants of orders under faults, and
// that the engine finally serves what the plan asks for. The baseline must
// violate each invariant, which shows that the simulation can detect it.
func TestOrderInvariants(t *testing.T) {
	var naive simulation
	rapid.Check(t, func(t *rapid.T) {
		w := simulate(t, Step)
		require.Zero(t, w.overlaps, "orders overlap")
		require.Zero(t, w.streamsCut, "streams cut by an order")
		require.Zero(t, w.decreasing, "orders with a decreasing version")
		require.Zero(t, w.early, "orders before the outcome of an earlier one is settled")
		require.Equal(t, w.plan.Role, w.role, "the engine must end up in the planned role")
		require.True(t, w.open)
		n := simulate(t, baselineStep)
		naive.overlaps += n.overlaps
		naive.streamsCut += n.streamsCut
		naive.decreasing += n.decreasing
		naive.early += n.early
	})
	t.Logf("baseline: %d overlaps, %d streams cut, %d decreasing versions, %d early", naive.overlaps, naive.streamsCut, naive.decreasing, naive.early)
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
