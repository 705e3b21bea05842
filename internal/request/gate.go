package request

import (
	"container/heap"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Defaults of GateOptions.
const (
	defaultMaxAge       = 10 * time.Minute
	defaultMaxClockSkew = 30 * time.Second
)

// GateState is the state of one attempt at a gate.
type GateState int

// States of an attempt. A queued attempt becomes started or withdrawn, and a
// started one finished. No other changes occur, so that a withdrawn attempt can
// never become started.
const (
	// GateUnknown: this gate does not know whether the attempt ran.
	GateUnknown GateState = iota
	// GateQueued: the attempt is waiting and has not been executed.
	GateQueued
	// GateStarted: the backend server may have received the attempt.
	GateStarted
	// GateFinished: the attempt was executed and has ended.
	GateFinished
	// GateWithdrawn: the attempt has not been executed and never will be.
	GateWithdrawn
)

// WithdrawState converts a gate's state into the reply to a withdrawal;
// unspecified means that the gate does not know.
func WithdrawState(s GateState) peerv1.WithdrawState {
	switch s {
	case GateWithdrawn:
		return peerv1.WithdrawState_WITHDRAW_STATE_WITHDRAWN
	case GateQueued, GateStarted:
		return peerv1.WithdrawState_WITHDRAW_STATE_STARTED
	case GateFinished:
		return peerv1.WithdrawState_WITHDRAW_STATE_FINISHED
	}
	return peerv1.WithdrawState_WITHDRAW_STATE_UNSPECIFIED
}

// GateEventKind is the kind of a GateEvent.
type GateEventKind int

// Kinds of gate events.
const (
	// GateSubmit submits an attempt.
	GateSubmit GateEventKind = iota + 1
	// GateStart asks whether a queued attempt may be started at the backend
	// server now.
	GateStart
	// GateFinish reports the end of a started attempt.
	GateFinish
	// GateWithdraw asks not to execute an attempt.
	GateWithdraw
)

// GateEvent is an event of one attempt.
type GateEvent struct {
	Kind      GateEventKind
	AttemptID string
	// Deadline of a submitted attempt.
	Deadline time.Time
	// Incarnation is the incarnation of the agent that the attempt was sent to,
	// for GateSubmit and GateWithdraw; 0 if the sender does not know it.
	Incarnation uint64
	// Cancel asks a withdrawal to stop the attempt if it has started.
	Cancel bool
}

// GateResult is the result of applying a GateEvent.
type GateResult struct {
	// State of the attempt after the event.
	State GateState
	// Accepted is set if this event queued a submitted attempt, or permits a
	// queued one to be started.
	Accepted bool
	// Reason of a refusal. State shows whether the attempt was executed: with
	// GateWithdrawn it was not and never will be.
	Reason peerv1.RefusalReason
	// DuplicateAttempt is set if the gate already has the submitted attempt; the
	// duplicate must be dropped without a response.
	DuplicateAttempt bool
	// Cancel is set if the running attempt is to be stopped.
	Cancel bool
}

// GateOptions configures a gate.
type GateOptions struct {
	// Incarnation of the agent.
	Incarnation uint64
	// MaxAge is the age, counted from the time of issue in its ID, beyond which
	// a submitted attempt is refused. Tombstones are kept as long. 0 means 10
	// minutes.
	MaxAge time.Duration
	// MaxClockSkew is how far in the future the time of issue of an ID may be. 0
	// means 30 seconds.
	MaxClockSkew time.Duration
}

// attemptRecord is the record of one attempt.
type attemptRecord struct {
	id        string
	state     GateState
	deadline  time.Time
	expires   time.Time
	cancelled bool
}

// Gate decides which attempts may reach a backend server. An agent distributes
// its attempts over several gates by their IDs; all events of an attempt must go
// to the same Gate. It is not safe for concurrent use.
type Gate struct {
	opts     GateOptions
	attempts map[string]*attemptRecord
	expiry   expiryHeap
	// latestTime is the latest time passed to Apply.
	latestTime time.Time
}

// NewGate returns an empty gate.
func NewGate(opts GateOptions) *Gate {
	if opts.MaxAge <= 0 {
		opts.MaxAge = defaultMaxAge
	}
	if opts.MaxClockSkew <= 0 {
		opts.MaxClockSkew = defaultMaxClockSkew
	}
	return &Gate{opts: opts, attempts: make(map[string]*attemptRecord)}
}

// Len returns the number of attempts on record.
func (g *Gate) Len() int { return len(g.attempts) }

// Apply applies one event and returns its result. A time earlier than that of a
// previous event counts as that one, so that a clock set back cannot revive an
// expired attempt.
func (g *Gate) Apply(ev GateEvent, now time.Time) GateResult {
	now = g.advance(now)
	switch ev.Kind {
	case GateSubmit:
		return g.submit(ev, now)
	case GateStart:
		return g.start(ev, now)
	case GateFinish:
		return g.finish(ev)
	case GateWithdraw:
		return g.withdraw(ev, now)
	}
	return GateResult{}
}

// advance moves the gate's time forward and removes expired records. Records of
// queued and started attempts are kept.
func (g *Gate) advance(now time.Time) time.Time {
	if now.Before(g.latestTime) {
		now = g.latestTime
	}
	g.latestTime = now
	for len(g.expiry) > 0 && now.After(g.expiry[0].expires) {
		r := heap.Pop(&g.expiry).(*attemptRecord)
		if r.state == GateQueued || r.state == GateStarted {
			r.expires = now.Add(g.opts.MaxAge)
			heap.Push(&g.expiry, r)
			continue
		}
		delete(g.attempts, r.id)
	}
	return now
}

// submit queues a new attempt or refuses it.
func (g *Gate) submit(ev GateEvent, now time.Time) GateResult {
	if r, ok := g.attempts[ev.AttemptID]; ok {
		return resubmit(r)
	}
	issued, ok := IssuedAt(ev.AttemptID)
	if !ok {
		return refusedByGate(GateWithdrawn, peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST)
	}
	if g.tooOld(issued, now) {
		return refusedByGate(GateUnknown, peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED)
	}
	if ev.Incarnation != 0 && ev.Incarnation != g.opts.Incarnation {
		return refusedByGate(GateUnknown, peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN)
	}
	if g.tooNew(issued, now) {
		g.add(ev.AttemptID, GateWithdrawn, ev.Deadline, issued)
		return refusedByGate(GateWithdrawn, peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST)
	}
	if !now.Before(ev.Deadline) {
		g.add(ev.AttemptID, GateWithdrawn, ev.Deadline, issued)
		return refusedByGate(GateWithdrawn, peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED)
	}
	g.add(ev.AttemptID, GateQueued, ev.Deadline, issued)
	return GateResult{State: GateQueued, Accepted: true}
}

// resubmit returns the result for an attempt on record that is submitted again,
// or started although it is not queued.
func resubmit(r *attemptRecord) GateResult {
	switch r.state {
	case GateWithdrawn:
		return refusedByGate(GateWithdrawn, peerv1.RefusalReason_REFUSAL_REASON_WITHDRAWN)
	case GateUnknown:
		return refusedByGate(GateUnknown, peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN)
	}
	return GateResult{State: r.state, DuplicateAttempt: true}
}

// start permits a queued attempt to be started, unless its deadline has passed.
func (g *Gate) start(ev GateEvent, now time.Time) GateResult {
	r, ok := g.attempts[ev.AttemptID]
	if !ok {
		return refusedByGate(GateUnknown, peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN)
	}
	switch {
	case r.state != GateQueued:
		return resubmit(r)
	case !now.Before(r.deadline):
		r.state = GateWithdrawn
		return refusedByGate(GateWithdrawn, peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED)
	}
	r.state = GateStarted
	return GateResult{State: GateStarted, Accepted: true}
}

// finish records the end of a started attempt.
func (g *Gate) finish(ev GateEvent) GateResult {
	r, ok := g.attempts[ev.AttemptID]
	if !ok {
		return GateResult{}
	}
	if r.state == GateStarted {
		r.state = GateFinished
	}
	return GateResult{State: r.state}
}

// withdraw writes a tombstone for an attempt that has not started. For an
// attempt without a record the gate can state that it was not executed only if
// the attempt was sent to this incarnation and its tombstone lives long enough
// to stop a late arrival.
func (g *Gate) withdraw(ev GateEvent, now time.Time) GateResult {
	r, ok := g.attempts[ev.AttemptID]
	if !ok {
		return g.withdrawUnknown(ev, now)
	}
	switch r.state {
	case GateQueued:
		r.state = GateWithdrawn
	case GateStarted:
		cancel := ev.Cancel && !r.cancelled
		r.cancelled = r.cancelled || ev.Cancel
		return GateResult{State: GateStarted, Cancel: cancel}
	}
	return GateResult{State: r.state}
}

// withdrawUnknown withdraws an attempt without a record. If the attempt was
// sent to an earlier incarnation, the record only prevents its execution by
// this one.
func (g *Gate) withdrawUnknown(ev GateEvent, now time.Time) GateResult {
	issued, ok := IssuedAt(ev.AttemptID)
	if !ok || g.tooNew(issued, now) || g.tooOld(issued, now) {
		return GateResult{State: GateUnknown}
	}
	state := GateUnknown
	if ev.Incarnation == g.opts.Incarnation {
		state = GateWithdrawn
	}
	g.add(ev.AttemptID, state, time.Time{}, issued)
	return GateResult{State: state}
}

// tooOld reports whether an attempt with this time of issue is refused for its
// age. Records are removed only after this time, so a missing record of a
// younger attempt means that this gate has not queued it.
func (g *Gate) tooOld(issued, now time.Time) bool {
	return now.After(issued.Add(g.opts.MaxAge))
}

// tooNew reports whether the time of issue is too far in the future.
func (g *Gate) tooNew(issued, now time.Time) bool {
	return issued.After(now.Add(g.opts.MaxClockSkew))
}

// add records an attempt until its ID is too old to be submitted.
func (g *Gate) add(id string, state GateState, deadline, issued time.Time) {
	r := &attemptRecord{id: id, state: state, deadline: deadline, expires: issued.Add(g.opts.MaxAge)}
	g.attempts[id] = r
	heap.Push(&g.expiry, r)
}

func refusedByGate(state GateState, reason peerv1.RefusalReason) GateResult {
	return GateResult{State: state, Reason: reason}
}

// expiryHeap orders records by their expiry time.
type expiryHeap []*attemptRecord

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*attemptRecord)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
