package reconcile

import (
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// decide compares the observed state of the engine with the desired one and
// returns the next action. It always starts from the current observation, so
// that no step relies on an earlier one having succeeded.
func (s State) decide(o Options, now time.Duration) (State, Action) {
	switch {
	case s.inFlight != nil:
		return s, Action{Kind: Wait, Until: now + o.PollInterval}
	case now >= s.nextRead:
		return s, Action{Kind: ReadState}
	case s.observed == nil:
		return s.closeGateOr(now, Action{Kind: Wait, Until: s.nextRead})
	case s.observed.GetChanging():
		return s.closeGateOr(now, Action{Kind: Wait, Until: s.nextRead})
	}
	if now >= s.unknownUntil {
		s.unknownVersion = 0
	}
	switch {
	case s.awaitsFirstPlan(o, now):
		return s, Action{Kind: Wait, Until: min(s.nextRead, s.startedAt+o.FirstPlanWait)}
	case s.mustSendFencingToken() && now >= s.nextOrderAt:
		return s.sendFencingToken(o, now)
	case s.engineMatches(), s.engineHasNewerPlan(o), s.observed.GetLeaving(), now < s.nextOrderAt:
		return s.admitWork(now)
	default:
		return s.drainThenOrder(o, now)
	}
}

// awaitsFirstPlan reports whether a starting agent should keep the gate closed
// until its first plan arrives.
func (s State) awaitsFirstPlan(o Options, now time.Duration) bool {
	return o.ChecksFencing && s.closed && s.desired.Version == 0 && now < s.startedAt+o.FirstPlanWait
}

// engineHasNewerPlan reports whether the engine has already accepted a newer
// plan version than the one this agent has.
func (s State) engineHasNewerPlan(o Options) bool {
	return o.ChecksFencing && s.observed.GetFencing() > s.desired.Version
}

// closeGateOr closes the gate if it is open, and returns the given action
// otherwise.
func (s State) closeGateOr(now time.Duration, then Action) (State, Action) {
	if s.closed {
		return s, then
	}
	return s.closeGate(now)
}

// closeGate closes the gate and starts a drain.
func (s State) closeGate(now time.Duration) (State, Action) {
	s.closed, s.gateEmpty, s.streamsMoved, s.drainSince = true, false, false, now
	return s, Action{Kind: CloseGate}
}

// admitWork keeps the gate open, unless an order whose outcome is unknown may
// still take the engine out of service.
func (s State) admitWork(now time.Duration) (State, Action) {
	if s.unknownVersion > 0 {
		return s.closeGateOr(now, Action{Kind: Wait, Until: min(s.nextRead, s.unknownUntil)})
	}
	if s.closed {
		s.closed = false
		return s, Action{Kind: OpenGate}
	}
	until := s.nextRead
	if now < s.nextOrderAt {
		until = min(until, s.nextOrderAt)
	}
	return s, Action{Kind: Wait, Until: until}
}

// drainThenOrder closes the gate, waits until it is empty and then sends the
// order. Streams that have not ended within DrainGrace are moved to other
// engines; no order is sent while any is left. The order is based on a state
// read within the last OrderTTL.
func (s State) drainThenOrder(o Options, now time.Duration) (State, Action) {
	switch {
	case !s.closed:
		return s.closeGate(now)
	case !s.gateEmpty && !s.streamsMoved && now >= s.drainSince+o.DrainGrace:
		return s, Action{Kind: MoveStreams}
	case !s.gateEmpty:
		return s.awaitEmptyGate(o, now)
	case now >= s.readAt+o.OrderTTL && s.failedReads > 0:
		return s, Action{Kind: Wait, Until: s.nextRead}
	case now >= s.readAt+o.OrderTTL:
		return s, Action{Kind: ReadState}
	default:
		return s.sendOrder(s.desired, o, now)
	}
}

// awaitEmptyGate waits and then checks the gate again. Streams that could not
// be moved are retried after another DrainGrace.
func (s State) awaitEmptyGate(o Options, now time.Duration) (State, Action) {
	if s.streamsMoved && now >= s.drainSince+2*o.DrainGrace {
		s.streamsMoved, s.drainSince = false, now
	}
	return s, Action{Kind: CheckGate, Until: now + o.PollInterval}
}

// mustSendFencingToken reports whether the engine still has to be sent a
// fencing token, although it already serves what the plan asks for. That is the
// case after a start of the agent or of the engine, and after an order whose
// outcome is unknown: without the newer token the engine would accept an old
// order that arrives late.
func (s State) mustSendFencingToken() bool {
	wanted := s.desired.Role != configv1.Role_ROLE_UNSPECIFIED
	return !s.fenced && s.closed && wanted && s.engineMatches() &&
		s.observed.GetFencing() < s.desired.Version
}

// sendFencingToken sends an order for what the engine already serves, which
// only raises its fencing token. It is sent before the gate opens.
func (s State) sendFencingToken(o Options, now time.Duration) (State, Action) {
	if !s.gateEmpty {
		return s, Action{Kind: CheckGate, Until: now + o.PollInterval}
	}
	return s.sendOrder(s.desired, o, now)
}

// sendOrder sends an order. An order without a model keeps the engine's current
// model.
func (s State) sendOrder(d Desired, o Options, now time.Duration) (State, Action) {
	if d.Model == "" {
		d.Model, d.ModelVersion = s.observed.GetModel(), s.observed.GetModelVersion()
	}
	s.inFlight, s.inFlightSince = &d, now
	return s, Action{Kind: SendOrder, Order: d, Until: now + o.OrderTTL}
}
