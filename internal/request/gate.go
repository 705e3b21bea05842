package request

import (
	"container/heap"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Bounds of a gate whose options leave them unset.
const (
	defaultMaxAge   = 10 * time.Minute
	defaultMaxAhead = 30 * time.Second
)

// GateState is what a gate knows about one attempt.
type GateState int

// States of an attempt. An attempt only ever moves to a later state, except
// that a withdrawn one can never become started.
const (
	// GateUnknown says that this gate cannot tell what became of it.
	GateUnknown GateState = iota
	// GateQueued says that the attempt waits and has not run.
	GateQueued
	// GateStarted says that the backend server may have seen the attempt.
	GateStarted
	// GateFinished says that the attempt ran to an end.
	GateFinished
	// GateWithdrawn says that the attempt has not run and never will.
	GateWithdrawn
)

// WithdrawState returns what a gate's state means to whoever asked to withdraw
// the attempt; unspecified means that the gate cannot tell.
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

// GateEventKind is what happens to an attempt at its gate.
type GateEventKind int

// Kinds of gate events.
const (
	// GateSubmit offers an attempt.
	GateSubmit GateEventKind = iota + 1
	// GateStart asks whether a queued attempt may now be passed on.
	GateStart
	// GateFinish reports the end of a started attempt.
	GateFinish
	// GateWithdraw asks that an attempt be not run.
	GateWithdraw
)

// GateEvent is one event of one attempt.
type GateEvent struct {
	Kind      GateEventKind
	AttemptID string
	// Deadline of a submitted attempt.
	Deadline time.Time
	// Incarnation of the agent that the attempt was sent to, for GateSubmit
	// and GateWithdraw; 0 if the sender does not know.
	Incarnation uint64
	// Cancel asks a withdrawal to stop a started attempt as well.
	Cancel bool
}

// GateResult answers a GateEvent.
type GateResult struct {
	// State of the attempt after the event.
	State GateState
	// Accepted is set if a submitted attempt was queued by this very event, or a
	// started one may be passed on because of it.
	Accepted bool
	// Reason of a refusal. Whether the attempt has run is told by State: with
	// GateWithdrawn it has not and never will.
	Reason peerv1.RefusalReason
	// DuplicateAttempt is set if the gate has the submitted attempt already;
	// the copy must be dropped without an answer.
	DuplicateAttempt bool
	// Cancel is set if the running attempt is to be stopped.
	Cancel bool
}

// GateOptions bounds a gate.
type GateOptions struct {
	// Incarnation of the agent.
	Incarnation uint64
	// MaxAge is the age, by the ID's time of issue, beyond which a submitted
	// attempt is refused. Tombstones live as long.
	MaxAge time.Duration
	// MaxClockSkew is how far in the future an ID may have been issued.
	MaxClockSkew time.Duration
}

// gateEntry is the record of one attempt.
type gateEntry struct {
	id       string
	state    GateState
	deadline time.Time
	expires  time.Time
	canceled bool
}

// Gate decides which attempts may reach a backend server. One Gate is one
// shard: attempts must always be given to the same one. It is not safe for
// concurrent use.
type Gate struct {
	opts     GateOptions
	attempts map[string]*gateEntry
	expiry   gateHeap
	latest   time.Time
}

// NewGate returns an empty gate.
func NewGate(opts GateOptions) *Gate {
	if opts.MaxAge <= 0 {
		opts.MaxAge = defaultMaxAge
	}
	if opts.MaxClockSkew <= 0 {
		opts.MaxClockSkew = defaultMaxAhead
	}
	return &Gate{opts: opts, attempts: make(map[string]*gateEntry)}
}

// Len returns the number of attempts that the gate remembers.
func (g *Gate) Len() int { return len(g.attempts) }

// Apply takes one event at a time and returns what follows from it. A time
// earlier than one seen before counts as that one, so that a clock that is
// set back does not bring an expired attempt to life.
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

// advance moves the gate's time on and forgets expired attempts.
func (g *Gate) advance(now time.Time) time.Time {
	if now.Before(g.latest) {
		now = g.latest
	}
	g.latest = now
	for len(g.expiry) > 0 && now.After(g.expiry[0].expires) {
		e := heap.Pop(&g.expiry).(*gateEntry)
		if e.state == GateQueued || e.state == GateStarted {
			e.expires = now.Add(g.opts.MaxAge)
			heap.Push(&g.expiry, e)
			continue
		}
		delete(g.attempts, e.id)
	}
	return now
}

// submit queues a new attempt or refuses it.
func (g *Gate) submit(ev GateEvent, now time.Time) GateResult {
	if e, ok := g.attempts[ev.AttemptID]; ok {
		return submitAgain(e)
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

// submitAgain answers a submitted attempt of which there is a record.
func submitAgain(e *gateEntry) GateResult {
	switch e.state {
	case GateWithdrawn:
		return refusedByGate(GateWithdrawn, peerv1.RefusalReason_REFUSAL_REASON_WITHDRAWN)
	case GateUnknown:
		return refusedByGate(GateUnknown, peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN)
	}
	return GateResult{State: e.state, DuplicateAttempt: true}
}

// start lets a queued attempt pass, unless its deadline has gone by.
func (g *Gate) start(ev GateEvent, now time.Time) GateResult {
	e, ok := g.attempts[ev.AttemptID]
	if !ok {
		return refusedByGate(GateUnknown, peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN)
	}
	switch {
	case e.state != GateQueued:
		return submitAgain(e)
	case !now.Before(e.deadline):
		e.state = GateWithdrawn
		return refusedByGate(GateWithdrawn, peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED)
	}
	e.state = GateStarted
	return GateResult{State: GateStarted, Accepted: true}
}

// finish records the end of a started attempt.
func (g *Gate) finish(ev GateEvent) GateResult {
	e, ok := g.attempts[ev.AttemptID]
	if !ok {
		return GateResult{}
	}
	if e.state == GateStarted {
		e.state = GateFinished
	}
	return GateResult{State: e.state}
}

// withdraw tombstones an attempt that has not started. An attempt that the
// gate has never seen can be vouched for only if it was sent to this very
// incarnation and, should it arrive later, would be known as withdrawn.
func (g *Gate) withdraw(ev GateEvent, now time.Time) GateResult {
	e, ok := g.attempts[ev.AttemptID]
	if !ok {
		return g.withdrawUnseen(ev, now)
	}
	switch e.state {
	case GateQueued:
		e.state = GateWithdrawn
	case GateStarted:
		cancel := ev.Cancel && !e.canceled
		e.canceled = e.canceled || ev.Cancel
		return GateResult{State: GateStarted, Cancel: cancel}
	}
	return GateResult{State: e.state}
}

// withdrawUnseen answers for an attempt of which there is no record here. If
// it was sent to an earlier incarnation it is only kept from running here.
func (g *Gate) withdrawUnseen(ev GateEvent, now time.Time) GateResult {
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

// tooOld reports whether an attempt issued then is refused by age now; its
// record may have been forgotten from that time on, and not before.
func (g *Gate) tooOld(issued, now time.Time) bool {
	return now.After(issued.Add(g.opts.MaxAge))
}

// tooNew reports whether an attempt was issued too far in the future.
func (g *Gate) tooNew(issued, now time.Time) bool {
	return issued.After(now.Add(g.opts.MaxClockSkew))
}

// add remembers an attempt until its ID is too old to be submitted.
func (g *Gate) add(id string, state GateState, deadline, issued time.Time) {
	e := &gateEntry{id: id, state: state, deadline: deadline, expires: issued.Add(g.opts.MaxAge)}
	g.attempts[id] = e
	heap.Push(&g.expiry, e)
}

// refusedByGate is the outcome of an attempt that is not let through.
func refusedByGate(state GateState, reason peerv1.RefusalReason) GateResult {
	return GateResult{State: state, Reason: reason}
}

// gateHeap orders attempts by the time at which they may be forgotten.
type gateHeap []*gateEntry

// Len implements heap.Interface.
func (h gateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h gateHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap implements heap.Interface.
func (h gateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *gateHeap) Push(x any) { *h = append(*h, x.(*gateEntry)) }

// Pop implements heap.Interface.
func (h *gateHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
