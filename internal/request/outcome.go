package request

import (
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

const (
	// defaultMaxAttempts is the number of attempts of a call that sets none.
	defaultMaxAttempts = 3
	// maxPlannedMoves bounds the times that a planned change may move a call.
	maxPlannedMoves = 16
)

// Call is what the outcome of a request depends on.
type Call struct {
	// Idempotent calls may run more than once.
	Idempotent bool
	// Resumable answers can go on at another engine after the tokens that
	// the caller has.
	Resumable bool
	// MaxTokens is the length at which a resumable answer ends; 0 if unknown.
	MaxTokens int64
	// Deadline of the whole request.
	Deadline time.Time
	// MaxAttempts bounds attempts, planned moves not counted.
	MaxAttempts int
}

// EventKind is what happens to a request at the entry.
type EventKind int

// Kinds of events.
const (
	// EventBegin asks for the first step.
	EventBegin EventKind = iota + 1
	// EventNotSent says that the current attempt was certainly not sent: no
	// backend server could be chosen, or no byte left this process.
	EventNotSent
	// EventStarted says that the attempt passed its gate.
	EventStarted
	// EventDelivered says that a part of the answer was passed to the caller.
	EventDelivered
	// EventComplete says that the whole answer has arrived.
	EventComplete
	// EventFailed says that the gate closed the attempt without an answer.
	EventFailed
	// EventStreamLost says that the attempt's stream of frames was lost.
	EventStreamLost
	// EventTimeout says that the attempt's time, or the deadline, is over.
	EventTimeout
	// EventCancel says that the caller has gone.
	EventCancel
	// EventWithdrawReply carries the gate's answer to a withdrawal.
	EventWithdrawReply
	// EventGateUnreachable says that a withdrawal got no answer in time.
	EventGateUnreachable
)

// Event is one event of the current attempt. The caller of Next must not pass
// on events of earlier attempts.
type Event struct {
	Kind EventKind
	// RetryAllowed says that the retry budget and the choice of backend servers
	// permit another attempt now.
	RetryAllowed bool
	// Reason, Ran, RetryAfter and Moved come from the frame of EventFailed;
	// Reason and RetryAfter also belong to EventNotSent. Moved says that a
	// planned change ended the attempt and the answer can go on elsewhere.
	Reason     peerv1.RefusalReason
	Ran        peerv1.Ran
	RetryAfter time.Duration
	Migrated   bool
	// WithdrawState is the state in EventWithdrawReply.
	WithdrawState peerv1.WithdrawState
	// Progress is what the caller has, with EventDelivered.
	Progress Progress
}

// StepKind is what the entry must do next.
type StepKind int

// Kinds of steps. Those from StepComplete on are final.
const (
	// StepWait means nothing until the next event.
	StepWait StepKind = iota + 1
	// StepSend means to send an attempt.
	StepSend
	// StepWithdraw means to ask the gate of the current attempt to withdraw
	// it, and to report the reply or its absence.
	StepWithdraw
	// StepComplete means that the caller has, or is given, the whole answer.
	StepComplete
	// StepRefuse means to tell the caller that the request was not run.
	StepRefuse
	// StepUnknown means to tell the caller that it has no whole answer and
	// that the request ran, or may have run.
	StepUnknown
)

// Step is the outcome of one event.
type Step struct {
	Kind StepKind
	// Retry is set on a send that counts against the retry budget.
	Retry bool
	// Resume is set on a send that goes on after the tokens the caller has.
	Resume bool
	// Cancel on a send asks, without waiting for a reply, to cancel the
	// attempt before it; on a withdrawal, to stop the attempt if started.
	Cancel bool
	// Reason and RetryAfter of a refusal or an unknown outcome.
	Reason     peerv1.RefusalReason
	RetryAfter time.Duration
	// Ran is RAN_NO with StepRefuse, RAN_YES or RAN_UNKNOWN with StepUnknown.
	Ran peerv1.Ran
}

// Final reports whether the request is over.
func (s Step) Final() bool { return s.Kind >= StepComplete }

// phase is where a request stands.
type phase int

const (
	phaseIdle phase = iota
	phaseRunning
	phaseWithdrawing
	phaseDone
)

// State is the state of one request at the entry. The zero value with a
// Call is a request without attempts.
type State struct {
	Call Call
	// Attempts sent and planned moves among them.
	Attempts, Migrations int
	// Progress is what the caller has.
	Progress Progress

	phase phase
	// ran sums up the attempts that are over.
	ran peerv1.Ran
	// started is set if the current attempt is known to have passed its gate,
	// delivered if the caller got a part of its answer.
	started, delivered bool
	// finished is set if the gate has said that the current attempt has ended,
	// lost if no more frames of it will come.
	finished, lost bool
	// reason why the current attempt is being withdrawn.
	reason peerv1.RefusalReason
}

// NewState returns the state of a request that has not been sent.
func NewState(call Call) State {
	if call.MaxAttempts <= 0 {
		call.MaxAttempts = defaultMaxAttempts
	}
	return State{Call: call, Progress: NewProgress(), ran: peerv1.Ran_RAN_NO}
}

// Next returns the state of a request after an event, and what to do.
//
// A caller may rely on this: StepRefuse is returned only if no attempt has run
// or ever will, and a call that is not idempotent is sent again only after
// its gate, or the lack of a send, has ruled out that it ran.
func Next(h State, ev Event, now time.Time) (State, Step) {
	if h.phase == phaseDone {
		return h, Step{Kind: StepWait}
	}
	step := h.next(ev, now)
	if step.Final() {
		h.phase = phaseDone
	}
	return h, step
}

// RecordExecution notes that a backend server has worked on the request outside the
// attempts, so that it can no longer be said not to have run.
func (h *State) RecordExecution(ran peerv1.Ran) { h.ran = moreRan(h.ran, ran) }

// next applies an event of a request that is not over.
func (h *State) next(ev Event, now time.Time) Step {
	switch ev.Kind {
	case EventBegin:
		return h.begin(now)
	case EventNotSent:
		return h.ended(ev, peerv1.Ran_RAN_NO, now)
	case EventStarted:
		h.started = true
	case EventDelivered:
		h.started = true
		h.delivered = true
		h.Progress = ev.Progress
	case EventComplete:
		return Step{Kind: StepComplete, Ran: peerv1.Ran_RAN_YES}
	case EventFailed:
		return h.ended(ev, ev.Ran, now)
	case EventStreamLost:
		return h.broken(ev, now)
	case EventTimeout:
		return h.timeout(now)
	case EventCancel:
		return h.cancel(ev)
	case EventWithdrawReply:
		return h.withdrawReply(ev, now)
	case EventGateUnreachable:
		return h.gateUnreachable(ev, now)
	}
	return Step{Kind: StepWait}
}

// begin sends the first attempt.
func (h *State) begin(now time.Time) Step {
	if h.phase != phaseIdle {
		return Step{Kind: StepWait}
	}
	if !now.Before(h.Call.Deadline) {
		return h.finish(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED, 0)
	}
	return h.send()
}

// send starts another attempt, unless the caller has all that the answer may
// have and only its end was lost.
func (h *State) send() Step {
	if h.Call.Resumable && h.Call.MaxTokens > 0 && h.Progress.Tokens >= h.Call.MaxTokens {
		return Step{Kind: StepComplete, Ran: peerv1.Ran_RAN_YES}
	}
	h.phase = phaseRunning
	h.started = false
	h.delivered = false
	h.finished = false
	h.lost = false
	h.reason = peerv1.RefusalReason_REFUSAL_REASON_UNSPECIFIED
	h.Attempts++
	return Step{
		Kind:   StepSend,
		Retry:  h.Attempts > 1,
		Resume: h.Call.Resumable && h.Progress.Tokens > 0,
	}
}

// ended decides after the current attempt is over, ran telling whether it
// reached its backend server.
func (h *State) ended(ev Event, ran peerv1.Ran, now time.Time) Step {
	if ran == peerv1.Ran_RAN_UNSPECIFIED {
		ran = peerv1.Ran_RAN_UNKNOWN
	}
	if h.delivered {
		ran = peerv1.Ran_RAN_YES
	}
	h.ran = moreRan(h.ran, ran)
	repeatable := h.Call.Idempotent || ran == peerv1.Ran_RAN_NO
	inTime := now.Before(h.Call.Deadline)
	if ev.Migrated && repeatable && inTime && h.Migrations < maxPlannedMoves {
		h.Migrations++
		step := h.send()
		step.Retry = false
		return step
	}
	if repeatable && inTime && ev.RetryAllowed && h.retries() && worthRetry(ev.Reason) {
		return h.send()
	}
	return h.finish(ev.Reason, ev.RetryAfter)
}

// retries reports whether the number of attempts permits another one.
func (h *State) retries() bool { return h.Attempts-h.Migrations < h.Call.MaxAttempts }

// broken decides after the stream of the current attempt was lost.
func (h *State) broken(ev Event, now time.Time) Step {
	h.lost = true
	if h.phase == phaseWithdrawing {
		return Step{Kind: StepWait}
	}
	ev.Reason = peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED
	ev.Migrated = false
	switch {
	case h.Call.Idempotent && ev.RetryAllowed && h.retries() && now.Before(h.Call.Deadline):
		step := h.ended(ev, peerv1.Ran_RAN_UNKNOWN, now)
		step.Cancel = true
		return step
	case h.started && !h.Call.Idempotent:
		return h.ended(ev, peerv1.Ran_RAN_UNKNOWN, now)
	}
	return h.withdraw(ev.Reason, h.Call.Idempotent)
}

// timeout asks the gate to withdraw. An attempt that has started is given up
// only at the deadline, or if its gate does not answer.
func (h *State) timeout(now time.Time) Step {
	if h.phase == phaseWithdrawing {
		return Step{Kind: StepWait}
	}
	late := !now.Before(h.Call.Deadline)
	return h.withdraw(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED, late && h.Call.Idempotent)
}

// cancel gives the request up. A started call that is not idempotent is left
// to end, so that its answer is recorded for a replay.
func (h *State) cancel(ev Event) Step {
	if h.phase == phaseWithdrawing {
		h.reason = peerv1.RefusalReason_REFUSAL_REASON_CANCELLED
		return Step{Kind: StepWait}
	}
	return h.withdraw(peerv1.RefusalReason_REFUSAL_REASON_CANCELLED, h.Call.Idempotent)
}

// withdraw asks the gate about the current attempt.
func (h *State) withdraw(reason peerv1.RefusalReason, cancel bool) Step {
	h.phase = phaseWithdrawing
	h.reason = reason
	return Step{Kind: StepWithdraw, Cancel: cancel}
}

// withdrawReply decides on what the gate says.
func (h *State) withdrawReply(ev Event, now time.Time) Step {
	if h.phase != phaseWithdrawing {
		return Step{Kind: StepWait}
	}
	ev = h.withdrawnEvent(ev)
	switch ev.WithdrawState {
	case peerv1.WithdrawState_WITHDRAW_STATE_WITHDRAWN:
		return h.ended(ev, peerv1.Ran_RAN_NO, now)
	case peerv1.WithdrawState_WITHDRAW_STATE_STARTED, peerv1.WithdrawState_WITHDRAW_STATE_FINISHED:
		h.started = true
		h.noteFinished(ev)
		if h.awaitsAnswer(now) {
			h.phase = phaseRunning
			return Step{Kind: StepWait}
		}
		return h.ended(ev, peerv1.Ran_RAN_UNKNOWN, now)
	}
	return h.gateUnreachable(ev, now)
}

// noteFinished takes an answer for lost whose end did not arrive although the
// gate has said twice that the attempt has ended.
func (h *State) noteFinished(ev Event) {
	if ev.WithdrawState != peerv1.WithdrawState_WITHDRAW_STATE_FINISHED {
		return
	}
	h.lost = h.lost || h.finished
	h.finished = true
}

// gateUnreachable decides without a word from the gate.
func (h *State) gateUnreachable(ev Event, now time.Time) Step {
	if h.phase != phaseWithdrawing {
		return Step{Kind: StepWait}
	}
	if !h.Call.Idempotent && h.awaitsAnswer(now) {
		h.phase = phaseRunning
		return Step{Kind: StepWait}
	}
	step := h.ended(h.withdrawnEvent(ev), peerv1.Ran_RAN_UNKNOWN, now)
	step.Cancel = step.Kind == StepSend
	return step
}

// withdrawnEvent returns ev with the reason for which the withdrawal was
// asked; a cancelled request is never sent again.
func (h *State) withdrawnEvent(ev Event) Event {
	ev.Reason = h.reason
	ev.Migrated = false
	if h.reason == peerv1.RefusalReason_REFUSAL_REASON_CANCELLED {
		ev.RetryAllowed = false
	}
	return ev
}

// awaitsAnswer reports whether the current attempt's answer may still come in
// time for somebody to take it.
func (h *State) awaitsAnswer(now time.Time) bool {
	cancelled := h.reason == peerv1.RefusalReason_REFUSAL_REASON_CANCELLED
	return !h.lost && !cancelled && now.Before(h.Call.Deadline)
}

// finish tells the caller how far the request may have run.
func (h *State) finish(reason peerv1.RefusalReason, retryAfter time.Duration) Step {
	step := Step{Kind: StepRefuse, Reason: reason, RetryAfter: retryAfter, Ran: h.ran}
	if h.ran == peerv1.Ran_RAN_NO {
		return step
	}
	step.Kind = StepUnknown
	if h.ran == peerv1.Ran_RAN_UNKNOWN || !h.Call.Idempotent {
		step.Reason = peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN
	}
	return step
}

// moreRan returns what two attempts together say about whether a request ran.
func moreRan(a, b peerv1.Ran) peerv1.Ran {
	switch {
	case a == peerv1.Ran_RAN_YES || b == peerv1.Ran_RAN_YES:
		return peerv1.Ran_RAN_YES
	case a == peerv1.Ran_RAN_UNKNOWN || b == peerv1.Ran_RAN_UNKNOWN:
		return peerv1.Ran_RAN_UNKNOWN
	}
	return peerv1.Ran_RAN_NO
}

// worthRetry reports whether another backend server may answer otherwise.
func worthRetry(reason peerv1.RefusalReason) bool {
	switch reason {
	case peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST,
		peerv1.RefusalReason_REFUSAL_REASON_BODY_TOO_LARGE,
		peerv1.RefusalReason_REFUSAL_REASON_KEY_REUSED,
		peerv1.RefusalReason_REFUSAL_REASON_KEY_MISSING,
		peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_CLIENT,
		peerv1.RefusalReason_REFUSAL_REASON_CANCELLED:
		return false
	}
	return true
}
