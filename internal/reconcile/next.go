// Package reconcile has the engines of an agent take the roles and models that
// the plan in force wants.
//
// There is no order message between processes of the system. A plan is a
// stored object whose version is the fencing number of every order derived
// from it. An agent accepts only rising versions, compares what its engine
// serves with what the plan wants, and sends at most one order at a time,
// after it has emptied the gate. Next is pure; Reconciler runs it.
package reconcile

import (
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
)

// Defaults for the zero fields of Options.
const (
	// DefaultMaxOrderDuration is the time after which an order that an engine
	// has received is carried out or lost.
	DefaultMaxOrderDuration = 30 * time.Second
	// DefaultOrderTTL is the time from the decision to the write of an order.
	DefaultOrderTTL = time.Second
	// DefaultReadInterval is the time between reads of the engine's state.
	DefaultReadInterval = time.Second
	// DefaultDrainGrace is the time in which streams may end by themselves
	// before they are moved.
	DefaultDrainGrace = 5 * time.Second
	// DefaultRetryInterval is the time between orders that were refused.
	DefaultRetryInterval = 5 * time.Second
	// DefaultPollInterval is the time between looks at a draining gate or a
	// changing engine.
	DefaultPollInterval = 100 * time.Millisecond
	// DefaultFirstPlanWait is how long a starting agent keeps the gate of an
	// engine that checks fencing shut for the first plan.
	DefaultFirstPlanWait = 2 * time.Second
)

const (
	// maxFailedReads is the number of reads in a row without an answer after
	// which the engine's state is not known any more.
	maxFailedReads = 3
	// maxRetryDoublings bounds the growth of the retry interval.
	maxRetryDoublings = 6
	// pollsPerRead is how seldom a changing engine is read while waiting.
	pollsPerRead = 5
)

// Options of the reconciler of one engine.
type Options struct {
	// ChecksFencing tells whether the engine refuses old fencing numbers.
	ChecksFencing    bool
	MaxOrderDuration time.Duration
	OrderTTL         time.Duration
	ReadInterval     time.Duration
	DrainGrace       time.Duration
	RetryInterval    time.Duration
	PollInterval     time.Duration
	FirstPlanWait    time.Duration
}

// WithDefaults fills in the zero fields.
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

// Desired is what a plan wants of one engine. With an unspecified role the
// plan wants nothing of it.
type Desired struct {
	// Version of the plan: the fencing number.
	Version      uint64
	Role         configv1.Role
	Model        string
	ModelVersion string
}

// State is what a reconciler knows. The zero State is that of a process that
// has just started. Times are monotonic, since the start of the process.
type State struct {
	begun    bool
	begunAt  time.Duration
	desired  Desired
	observed *enginev1.State // nil when not known
	readAt   time.Duration   // of the last answer
	nextRead time.Duration
	failed   int // reads in a row without an answer
	// incarnation of the engine as last read.
	incarnation uint64
	// closed is set while the gate is shut for a change, since drainSince.
	closed     bool
	empty      bool
	drainSince time.Duration
	moved      bool
	// sent is the order under way, sentAt when it was decided.
	sent   *Desired
	sentAt time.Duration
	// notBefore is the earliest time of the next order.
	notBefore time.Duration
	refusals  int // in a row
	// unsettled is the version of an order whose outcome is unknown and that
	// may take effect until settledAt; 0 when there is none.
	unsettled uint64
	settledAt time.Duration
	// sealed is set while no order that was sent before can take effect any
	// more, or while the engine can't be told so.
	sealed bool
}

// Desired returns what the plan in force wants.
func (s State) Desired() Desired { return s.desired }

// Observed returns the engine's state as last read, or nil.
func (s State) Observed() *enginev1.State { return s.observed }

// GateClosed reports whether the gate is shut for a change.
func (s State) GateClosed() bool { return s.closed }

// Event is what happened since the last step.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// PlanReceived brings a plan's wish, which counts if its version is newer.
type PlanReceived struct{ Desired Desired }

// StateRead is the engine's answer to a read; nil when it gave none.
type StateRead struct{ State *enginev1.State }

// GateChecked tells whether work is left behind the gate.
type GateChecked struct{ Empty bool }

// StreamsMoved says that the move of streams has been tried.
type StreamsMoved struct{}

// Outcome is what became of an order.
type Outcome uint8

// Outcomes of an order.
const (
	// Answered: the engine carried it out or refused it.
	Completed Outcome = iota
	// Refused: the engine refused it, with no effect.
	Refused
	// Expired: it was too old to be written.
	Expired
	// Unreachable: the engine did not get it.
	Unreachable
	// Interrupted: it may have had an effect.
	OutcomeUnknown
)

// OrderDone tells what became of the order under way.
type OrderDone struct {
	Outcome Outcome
	// State is what the engine answered; nil when it gave none.
	State *enginev1.State
}

func (Tick) event()         {}
func (PlanReceived) event() {}
func (StateRead) event()    {}
func (GateChecked) event()  {}
func (StreamsMoved) event() {}
func (OrderDone) event()    {}

// ActionKind is what to do next.
type ActionKind uint8

// Kinds of action.
const (
	// Wait until Action.Until or the next plan.
	Wait ActionKind = iota
	// ReadState asks the engine what it serves; report StateRead.
	ReadState
	// CloseGate takes no new work; report GateChecked.
	CloseGate
	// CheckGate reports GateChecked.
	CheckGate
	// MoveStreams moves what is still running; report StreamsMoved.
	MoveStreams
	// OpenGate takes new work again; report GateChecked.
	OpenGate
	// SendOrder writes Action.Order unless Action.Until has passed; report
	// OrderDone.
	SendOrder
)

// String returns the kind as shown in logs.
func (k ActionKind) String() string {
	names := [...]string{"wait", "read_state", "close_gate", "look_at_gate", "move_streams", "open_gate", "send_order"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Action is the outcome of a step.
type Action struct {
	Kind  ActionKind
	Until time.Duration
	Order Desired
}

// Step decides what to do after an event at now.
func Step(s State, o Options, ev Event, now time.Duration) (State, Action) {
	if !s.begun {
		return s.begin(o, ev, now)
	}
	switch ev := ev.(type) {
	case PlanReceived:
		s = s.accept(ev.Desired)
	case StateRead:
		s = s.observe(ev.State, o, now)
	case GateChecked:
		s.empty = ev.Empty
	case StreamsMoved:
		s.moved = true
	case OrderDone:
		s = s.settle(ev, o, now)
	}
	return s.decide(o, now)
}

// begin shuts the gate until the engine has been read. A predecessor may have
// sent an order right before; where the engine would not refuse it, the
// longest order time passes before an order of this incarnation.
func (s State) begin(o Options, ev Event, now time.Duration) (State, Action) {
	s.begun, s.begunAt = true, now
	s.sealed = !o.ChecksFencing
	if !o.ChecksFencing {
		s.notBefore = now + o.MaxOrderDuration
	}
	if ev, ok := ev.(PlanReceived); ok {
		s = s.accept(ev.Desired)
	}
	return s.close(now)
}

// accept takes a newer plan only, so that a late or repeated one has no
// effect.
func (s State) accept(d Desired) State {
	if d.Version > s.desired.Version {
		s.desired = d
	}
	return s
}

func (s State) observe(st *enginev1.State, o Options, now time.Duration) State {
	s.nextRead = now + o.ReadInterval
	if st == nil {
		s.failed++
		if s.failed >= maxFailedReads {
			s.observed = nil
		}
		return s
	}
	s.observed, s.readAt, s.failed = st, now, 0
	if st.GetIncarnation() != s.incarnation && o.ChecksFencing {
		s.sealed = false // a new start may have forgotten the number
	}
	s.incarnation = st.GetIncarnation()
	if o.ChecksFencing && st.GetFencing() >= s.unsettled {
		s.unsettled = 0
	}
	if st.GetChanging() {
		s.nextRead = now + pollsPerRead*o.PollInterval
	}
	return s
}

func (s State) settle(ev OrderDone, o Options, now time.Duration) State {
	if s.sent == nil {
		return s
	}
	sent := *s.sent
	s.sent = nil
	s.observed, s.nextRead = nil, now+o.PollInterval
	switch ev.Outcome {
	case Completed:
		s.sealed, s.refusals, s.unsettled = true, 0, 0
		if ev.State != nil {
			s = s.observe(ev.State, o, now)
		}
	case Refused:
		s.notBefore = now + o.RetryInterval<<s.refusals
		s.refusals = min(s.refusals+1, maxRetryDoublings)
	case Unreachable:
		s.notBefore = now + o.ReadInterval
	case OutcomeUnknown:
		s.unsettled, s.settledAt = sent.Version, s.sentAt+o.MaxOrderDuration
		s.sealed = !o.ChecksFencing
		if !o.ChecksFencing {
			s.notBefore = s.settledAt
		}
	}
	return s
}

// matches reports whether the engine serves what the plan wants.
func (s State) matches() bool {
	d, st := s.desired, s.observed
	if d.Role == configv1.Role_ROLE_UNSPECIFIED {
		return true
	}
	if d.Role != st.GetRole() {
		return false
	}
	return d.Model == "" || d.Model == st.GetModel() && d.ModelVersion == st.GetModelVersion()
}
