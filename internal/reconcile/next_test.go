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

// world is an engine, its gate and the plans, in virtual time.
type world struct {
	t       *rapid.T
	options Options
	now     time.Duration
	plan    Desired
	// the engine
	role      configv1.Role
	started   uint64 // incarnation
	fencing   uint64
	target    configv1.Role
	busyUntil time.Duration // an order is carried out until then
	late      *Desired      // an order still on its way
	lateAt    time.Duration
	// the gate
	open    bool
	streams int
	// calm switches all faults off.
	calm bool
	// what went wrong
	overlaps, cut, fallen, early int
	lastSent                     uint64
	uncertain                    time.Duration // no order may go out before
}

func (w *world) chance(percent int) bool {
	return !w.calm && rapid.IntRange(1, 100).Draw(w.t, "chance") <= percent
}

func (w *world) pass(d time.Duration) {
	w.now += d
	if w.target != 0 && w.now >= w.busyUntil {
		w.role, w.target = w.target, 0
	}
	if w.chance(3) { // a crash: the engine is back in the role it started in
		w.role, w.target, w.late = mixed, 0, nil
		w.started, w.fencing = w.started+1, 0
	}
	if w.late != nil && w.now >= w.lateAt {
		order := *w.late
		w.late = nil
		w.receive(order)
	}
	if w.open && w.chance(30) {
		w.streams++
	}
	if w.streams > 0 && (w.calm || w.chance(20)) {
		w.streams--
	}
	if w.chance(4) {
		w.plan.Version++
		w.plan.Role = rapid.SampledFrom([]configv1.Role{mixed, prefill, decode}).Draw(w.t, "role")
	}
}

func (w *world) state() *enginev1.State {
	return &enginev1.State{Role: w.role, Fencing: w.fencing, Changing: w.target != 0, Incarnation: w.started}
}

// receive has the engine take an order and tells what went wrong with it.
func (w *world) receive(d Desired) bool {
	if w.options.ChecksFencing && d.Version < w.fencing {
		return false
	}
	if w.target != 0 {
		w.overlaps++
	}
	if w.streams > 0 {
		w.cut++
	}
	if d.Version < w.lastSent {
		w.fallen++
	}
	w.fencing, w.lastSent = max(w.fencing, d.Version), d.Version
	if w.role != d.Role {
		w.target, w.busyUntil = d.Role, w.now+w.options.MaxOrderDuration/4
	}
	return true
}

func (w *world) perform(a Action) Event {
	switch a.Kind {
	case ReadState:
		w.pass(time.Millisecond)
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
		if w.calm || w.chance(70) {
			w.streams = 0
		}
		return StreamsMoved{}
	case SendOrder:
		return w.order(a)
	case CheckGate:
		w.pass(w.options.PollInterval)
		return GateChecked{Empty: w.streams == 0}
	default:
		w.pass(max(time.Millisecond, a.Until-w.now))
		return w.planOrTick()
	}
}

func (w *world) planOrTick() Event {
	if w.chance(10) && w.plan.Version > 1 { // a plan that comes late
		older := w.plan.Version - uint64(rapid.IntRange(1, int(w.plan.Version)-1).Draw(w.t, "older"))
		return PlanReceived{Desired{Version: older, Role: prefill}}
	}
	return PlanReceived{w.plan}
}

func (w *world) order(a Action) Event {
	if !w.options.ChecksFencing && w.now < w.uncertain {
		w.early++
	}
	switch {
	case w.chance(10):
		return OrderDone{Outcome: Expired}
	case w.chance(10):
		return OrderDone{Outcome: Unreachable}
	case w.chance(20): // the answer is lost, the order is still on its way
		delay := rapid.IntRange(0, int(w.options.MaxOrderDuration/2)).Draw(w.t, "delay")
		w.late, w.lateAt = &a.Order, w.now+time.Duration(delay)
		w.uncertain = w.now + w.options.MaxOrderDuration
		if w.chance(50) { // meanwhile, the plan wants what there is
			w.plan.Version++
			w.plan.Role = w.role
		}
		return OrderDone{Outcome: OutcomeUnknown}
	case !w.receive(a.Order):
		return OrderDone{Outcome: Refused}
	case w.chance(20): // the answer is lost, the order goes on
		w.uncertain = w.now + w.options.MaxOrderDuration
		return OrderDone{Outcome: OutcomeUnknown}
	}
	w.pass(w.options.MaxOrderDuration / 4)
	return OrderDone{Outcome: Completed, State: w.state()}
}

// naiveNext orders whenever the plan differs from what it believes, which is
// what it last ordered.
func naiveNext(s State, _ Options, ev Event, now time.Duration) (State, Action) {
	if seen, ok := ev.(PlanReceived); ok && seen.Desired.Role != s.desired.Role {
		s.desired = seen.Desired
		return s, Action{Kind: SendOrder, Order: s.desired, Until: now + time.Second}
	}
	return s, Action{Kind: Wait, Until: now + 100*time.Millisecond}
}

type nextFunc func(State, Options, Event, time.Duration) (State, Action)

// runWorld drives a reconciler through faults, then through calm.
func runWorld(t *rapid.T, next nextFunc) *world {
	w := &world{t: t, role: mixed, open: true, streams: 2, plan: Desired{Version: 1, Role: decode}}
	w.options = Options{ChecksFencing: rapid.Bool().Draw(t, "checks")}.WithDefaults()
	w.uncertain = w.options.MaxOrderDuration
	s, a := next(State{}, w.options, Tick{}, 0)
	for range 250 {
		s, a = next(s, w.options, w.perform(a), w.now)
	}
	w.calm = true
	for end := w.now + 20*time.Minute; w.now < end; {
		s, a = next(s, w.options, w.perform(a), w.now)
	}
	return w
}

func TestOrdersKeepTheirRules(t *testing.T) {
	var naive world
	rapid.Check(t, func(t *rapid.T) {
		w := runWorld(t, Step)
		require.Zero(t, w.overlaps, "orders at once")
		require.Zero(t, w.cut, "streams cut by an order")
		require.Zero(t, w.fallen, "orders with a falling version")
		require.Zero(t, w.early, "orders before an earlier one has settled")
		require.Equal(t, w.plan.Role, w.role, "the engine ends as the plan wants")
		require.True(t, w.open)
		n := runWorld(t, naiveNext)
		naive.overlaps += n.overlaps
		naive.cut += n.cut
		naive.fallen += n.fallen
		naive.early += n.early
	})
	t.Logf("naive: %d overlaps, %d cut, %d fallen, %d early", naive.overlaps, naive.cut, naive.fallen, naive.early)
	require.Positive(t, naive.overlaps)
	require.Positive(t, naive.cut)
	require.Positive(t, naive.fallen)
	require.Positive(t, naive.early)
}

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
