package reconcile

import (
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// decide compares what is observed with what is desired. Every step starts
// anew from there, so that no step depends on an earlier one having worked.
func (s State) decide(o Options, now time.Duration) (State, Action) {
	switch {
	case s.sent != nil:
		return s, Action{Kind: Wait, Until: now + o.PollInterval}
	case now >= s.nextRead:
		return s, Action{Kind: ReadState}
	case s.observed == nil:
		return s.shut(now, Action{Kind: Wait, Until: s.nextRead})
	case s.observed.GetChanging():
		return s.shut(now, Action{Kind: Wait, Until: s.nextRead})
	}
	if now >= s.settledAt {
		s.unsettled = 0
	}
	switch {
	case s.awaitsPlan(o, now):
		return s, Action{Kind: Wait, Until: min(s.nextRead, s.begunAt+o.FirstPlanWait)}
	case s.mustSeal() && now >= s.notBefore:
		return s.seal(o, now)
	case s.matches(), s.outdated(o), s.observed.GetLeaving(), now < s.notBefore:
		return s.serve(now)
	default:
		return s.drain(o, now)
	}
}

// awaitsPlan reports whether a starting agent should wait for its first plan.
func (s State) awaitsPlan(o Options, now time.Duration) bool {
	return o.ChecksFencing && s.closed && s.desired.Version == 0 && now < s.begunAt+o.FirstPlanWait
}

// outdated reports whether the engine has seen a newer plan than this agent.
func (s State) outdated(o Options) bool {
	return o.ChecksFencing && s.observed.GetFencing() > s.desired.Version
}

// shut closes the gate if it is open, and otherwise does then.
func (s State) shut(now time.Duration, then Action) (State, Action) {
	if s.closed {
		return s, then
	}
	return s.close(now)
}

func (s State) close(now time.Duration) (State, Action) {
	s.closed, s.empty, s.moved, s.drainSince = true, false, false, now
	return s, Action{Kind: CloseGate}
}

// serve keeps the gate open, unless an order whose outcome is unknown may
// still take the engine away.
func (s State) serve(now time.Duration) (State, Action) {
	if s.unsettled > 0 {
		return s.shut(now, Action{Kind: Wait, Until: min(s.nextRead, s.settledAt)})
	}
	if s.closed {
		s.closed = false
		return s, Action{Kind: OpenGate}
	}
	until := s.nextRead
	if now < s.notBefore {
		until = min(until, s.notBefore)
	}
	return s, Action{Kind: Wait, Until: until}
}

// drain empties the gate and then sends the order. Streams that do not end
// within the grace are moved; while any is left, no order goes out.
func (s State) drain(o Options, now time.Duration) (State, Action) {
	switch {
	case !s.closed:
		return s.close(now)
	case !s.empty && !s.moved && now >= s.drainSince+o.DrainGrace:
		return s, Action{Kind: MoveStreams}
	case !s.empty:
		return s.lookAgain(o, now)
	case now >= s.readAt+o.OrderTTL && s.failed > 0:
		return s, Action{Kind: Wait, Until: s.nextRead}
	case now >= s.readAt+o.OrderTTL:
		return s, Action{Kind: ReadState}
	default:
		return s.send(s.desired, o, now)
	}
}

// lookAgain alternates between waiting and looking at the gate. Streams that
// could not be moved are tried again after another grace.
func (s State) lookAgain(o Options, now time.Duration) (State, Action) {
	if s.moved && now >= s.drainSince+2*o.DrainGrace {
		s.moved, s.drainSince = false, now
	}
	return s, Action{Kind: CheckGate, Until: now + o.PollInterval}
}

// mustSeal reports whether the engine still has to see a fencing number of
// this incarnation, or one after an order whose outcome is unknown, so that
// it refuses what comes late.
func (s State) mustSeal() bool {
	wanted := s.desired.Role != configv1.Role_ROLE_UNSPECIFIED
	return !s.sealed && s.closed && wanted && s.matches() &&
		s.observed.GetFencing() < s.desired.Version
}

// seal sends an order for what the engine serves already, which only raises
// the fencing number. It goes out before the gate opens.
func (s State) seal(o Options, now time.Duration) (State, Action) {
	if !s.empty {
		return s, Action{Kind: CheckGate, Until: now + o.PollInterval}
	}
	return s.send(s.desired, o, now)
}

// send sends an order; one that names no model keeps the engine's.
func (s State) send(d Desired, o Options, now time.Duration) (State, Action) {
	if d.Model == "" {
		d.Model, d.ModelVersion = s.observed.GetModel(), s.observed.GetModelVersion()
	}
	s.sent, s.sentAt = &d, now
	return s, Action{Kind: SendOrder, Order: d, Until: now + o.OrderTTL}
}
