// Package reconcile makes the engines of an agent serve the roles and models
// that the plan in force assigns to them.
//
// Processes send each other no orders. A plan is a stored object; its version
// is the fencing token of every order derived from it. An agent accepts plans
// in increasing order of version only, compares the state of its engine with
// the plan, drains the engine's gate if they differ, and sends at most one
// order at a time. Step is pure; Reconciler runs it.
package reconcile

import (
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
)

// Defaults for the zero fields of Options.
const (
	// DefaultMaxOrderDuration is the time after which an order that an engine
	// has received is either carried out or lost.
	DefaultMaxOrderDuration = 30 * time.Second
	// DefaultOrderTTL is the maximum time from the decision to send an order
	// until it is written to the engine.
	DefaultOrderTTL = time.Second
	// DefaultReadInterval is the time between reads of the engine's state.
	DefaultReadInterval = time.Second
	// DefaultDrainGrace is the time for which running streams may finish by
	// themselves before they are moved to other engines.
	DefaultDrainGrace = 5 * time.Second
	// DefaultRetryInterval is the initial time until the next order after a
	// refused one. It doubles with each consecutive refusal, up to
	// maxRetryDoublings times.
	DefaultRetryInterval = 5 * time.Second
	// DefaultPollInterval is the time between checks of a draining gate, and
	// the base of the time between reads of a changing engine.
	DefaultPollInterval = 100 * time.Millisecond
	// DefaultFirstPlanWait is how long a starting agent keeps the gate of an
	// engine that checks fencing tokens closed while it waits for its first
	// plan.
	DefaultFirstPlanWait = 2 * time.Second
)

const (
	// maxFailedReads is the number of consecutive failed reads after which the
	// engine's state is unknown.
	maxFailedReads = 3
	// maxRetryDoublings bounds the growth of the retry interval.
	maxRetryDoublings = 6
	// pollsPerChangingRead is the number of poll intervals between reads of an
	// engine that is changing its role or model.
	pollsPerChangingRead = 5
)

// Options configures the reconciler of one engine. See the Default constants
// for the meaning of the durations.
type Options struct {
	// ChecksFencing is set if the engine refuses orders with a fencing token
	// lower than one it has accepted.
	ChecksFencing    bool
	MaxOrderDuration time.Duration
	OrderTTL         time.Duration
	ReadInterval     time.Duration
	DrainGrace       time.Duration
	RetryInterval    time.Duration
	PollInterval     time.Duration
	FirstPlanWait    time.Duration
}

// WithDefaults replaces zero durations by their defaults.
func (o Options) WithDefaults() Options {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&o.MaxOrderDuration, DefaultMaxOrderDuration)
	set(&o.OrderTTL, DefaultOrderTTL)
	set(&o.ReadInterval, DefaultReadInterval)
	set(&o.DrainGrace, DefaultDrainGrace)
	set(&o.RetryInterval, DefaultRetryInterval)
	set(&o.PollInterval, DefaultPollInterval)
	set(&o.FirstPlanWait, DefaultFirstPlanWait)
	return o
}

// Desired is what a plan assigns to one engine. An unspecified role means that
// the plan assigns nothing.
type Desired struct {
	// Version of the plan, used as the fencing token.
	Version      uint64
	Role         configv1.Role
	Model        string
	ModelVersion string
}

// State is the state of a reconciler. The zero State is that of a process that
// has just started. Times are monotonic, measured from the start of the
// process.
type State struct {
	started     bool
	startedAt   time.Duration
	desired     Desired
	observed    *enginev1.State // nil if unknown
	readAt      time.Duration   // time of the last successful read
	nextRead    time.Duration
	failedReads int // consecutive failed reads
	// incarnation is the incarnation of the engine as of the last read.
	incarnation uint64
	// closed is set while the gate is closed by the reconciler, since
	// drainSince. gateEmpty is set if no work is left behind it, streamsMoved
	// once a move of the remaining streams has been attempted.
	closed       bool
	gateEmpty    bool
	drainSince   time.Duration
	streamsMoved bool
	// inFlight is the order in flight, inFlightSince when it was decided.
	inFlight      *Desired
	inFlightSince time.Duration
	// nextOrderAt is the earliest time of the next order.
	nextOrderAt time.Duration
	refusals    int // consecutive refused orders
	// unknownVersion is the version of an order whose outcome is unknown and
	// which may take effect until unknownUntil; 0 if there is none.
	unknownVersion uint64
	unknownUntil   time.Duration
	// fenced is set if no order sent earlier can take effect any more, or if
	// the engine does not check fencing tokens and therefore cannot be
	// protected.
	fenced bool
}

// Desired returns what the plan in force assigns to the engine.
func (s State) Desired() Desired { return s.desired }

// Observed returns the state of the engine as of the last read, or nil if
// unknown.
func (s State) Observed() *enginev1.State { return s.observed }

// GateClosed reports whether the reconciler keeps the gate closed.
func (s State) GateClosed() bool { return s.closed }

// Event is an input of Step.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// PlanReceived reports what a received plan assigns to the engine. It is
// ignored unless its version is newer.
type PlanReceived struct{ Desired Desired }

// StateRead reports the result of a read of the engine's state; nil if it
// failed.
type StateRead struct{ State *enginev1.State }

// GateChecked reports whether no work is left behind the gate.
type GateChecked struct{ Empty bool }

// StreamsMoved reports that a move has been attempted for each running stream.
type StreamsMoved struct{}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes of an order.
const (
	// Completed: the engine accepted the order and reported its state.
	Completed Outcome = iota
	// Refused: the engine refused the order; it had no effect.
	Refused
	// Expired: the order was too old or superseded and was not written.
	Expired
	// Unreachable: the engine did not receive the order.
	Unreachable
	// OutcomeUnknown: the order may or may not have had an effect.
	OutcomeUnknown
)

// OrderDone reports the result of the order in flight.
type OrderDone struct {
	Outcome Outcome
	// State is the engine's state in its reply; nil if there is none.
	State *enginev1.State
}

func (Tick) event()         {}
func (PlanReceived) event() {}
func (StateRead) event()    {}
func (GateChecked) event()  {}
func (StreamsMoved) event() {}
func (OrderDone) event()    {}

// ActionKind is what the caller of Step has to do next.
type ActionKind uint8

// Kinds of action.
const (
	// Wait until Action.Until or the next plan, then report PlanReceived or
	// Tick.
	Wait ActionKind = iota
	// ReadState reads the state of the engine; report StateRead.
	ReadState
	// CloseGate stops admitting new work; report GateChecked.
	CloseGate
	// CheckGate waits until Action.Until; report GateChecked, or PlanReceived
	// if a newer plan arrives first.
	CheckGate
	// MoveStreams moves the running streams to other engines; report
	// StreamsMoved.
	MoveStreams
	// OpenGate admits new work again; report GateChecked.
	OpenGate
	// SendOrder writes Action.Order unless Action.Until has passed; report
	// OrderDone.
	SendOrder
)

// String returns the name of the kind as used in logs.
func (k ActionKind) String() string {
	names := [...]string{"wait", "read_state", "close_gate", "look_at_gate", "move_streams", "open_gate", "send_order"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Action is an output of Step.
type Action struct {
	Kind  ActionKind
	Until time.Duration
	Order Desired
}

// Step returns the next state and action after an event at now.
func Step(s State, o Options, ev Event, now time.Duration) (State, Action) {
	if !s.started {
		return s.begin(o, ev, now)
	}
	switch ev := ev.(type) {
	case PlanReceived:
		s = s.acceptPlan(ev.Desired)
	case StateRead:
		s = s.observeEngine(ev.State, o, now)
	case GateChecked:
		s.gateEmpty = ev.Empty
	case StreamsMoved:
		s.streamsMoved = true
	case OrderDone:
		s = s.handleOrderDone(ev, o, now)
	}
	return s.decide(o, now)
}

// begin closes the gate until the engine has been read. A previous incarnation
// of the agent may have sent an order just before it ended. An engine that
// checks fencing tokens refuses that order after the first of this
// incarnation; for any other engine the first order waits until the old one
// must have completed.
func (s State) begin(o Options, ev Event, now time.Duration) (State, Action) {
	s.started, s.startedAt = true, now
	s.fenced = !o.ChecksFencing
	if !o.ChecksFencing {
		s.nextOrderAt = now + o.MaxOrderDuration
	}
	if ev, ok := ev.(PlanReceived); ok {
		s = s.acceptPlan(ev.Desired)
	}
	return s.closeGate(now)
}

// acceptPlan takes over a plan if it is newer, so that late and repeated plans
// have no effect.
func (s State) acceptPlan(d Desired) State {
	if d.Version > s.desired.Version {
		s.desired = d
	}
	return s
}

// observeEngine processes the result of a read of the engine's state; nil if it
// failed.
func (s State) observeEngine(st *enginev1.State, o Options, now time.Duration) State {
	s.nextRead = now + o.ReadInterval
	if st == nil {
		s.failedReads++
		if s.failedReads >= maxFailedReads {
			s.observed = nil
		}
		return s
	}
	s.observed, s.readAt, s.failedReads = st, now, 0
	if st.GetIncarnation() != s.incarnation && o.ChecksFencing {
		s.fenced = false // a restarted engine may have lost its fencing token
	}
	s.incarnation = st.GetIncarnation()
	if o.ChecksFencing && st.GetFencing() >= s.unknownVersion {
		s.unknownVersion = 0
	}
	if st.GetChanging() {
		s.nextRead = now + pollsPerChangingRead*o.PollInterval
	}
	return s
}

// handleOrderDone processes the result of the order in flight. The engine's
// state counts as unknown until it is read again, unless the reply contains it.
func (s State) handleOrderDone(ev OrderDone, o Options, now time.Duration) State {
	if s.inFlight == nil {
		return s
	}
	sent := *s.inFlight
	s.inFlight = nil
	s.observed, s.nextRead = nil, now+o.PollInterval
	switch ev.Outcome {
	case Completed:
		s.fenced, s.refusals, s.unknownVersion = true, 0, 0
		if ev.State != nil {
			s = s.observeEngine(ev.State, o, now)
		}
	case Refused:
		s.nextOrderAt = now + o.RetryInterval<<s.refusals
		s.refusals = min(s.refusals+1, maxRetryDoublings)
	case Unreachable:
		s.nextOrderAt = now + o.ReadInterval
	case OutcomeUnknown:
		s.unknownVersion, s.unknownUntil = sent.Version, s.inFlightSince+o.MaxOrderDuration
		s.fenced = !o.ChecksFencing
		if !o.ChecksFencing {
			s.nextOrderAt = s.unknownUntil
		}
	}
	return s
}

// engineMatches reports whether the engine serves what the plan asks for.
func (s State) engineMatches() bool {
	d, st := s.desired, s.observed
	if d.Role == configv1.Role_ROLE_UNSPECIFIED {
		return true
	}
	if d.Role != st.GetRole() {
		return false
	}
	return d.Model == "" || d.Model == st.GetModel() && d.ModelVersion == st.GetModelVersion()
}
