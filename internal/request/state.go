package request

import (
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

const (
	// defaultMaxAttempts applies to calls that set no MaxAttempts.
	defaultMaxAttempts = 3
	// maxMigrations bounds how often planned changes may migrate a request.
	maxMigrations = 16
)

// Call holds the properties of a request on which its outcome depends.
type Call struct {
	// Idempotent calls may be executed more than once.
	Idempotent bool
	// Resumable responses can continue at another engine after the tokens that
	// the caller has received.
	Resumable bool
	// MaxTokens is the number of tokens at which a resumable response ends; 0 if
	// unknown.
	MaxTokens int64
	// Deadline of the whole request.
	Deadline time.Time
	// MaxAttempts bounds the attempts, not counting migrations. 0 means 3.
	MaxAttempts int
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// EventBegin requests the first step.
	EventBegin EventKind = iota + 1
	// EventNotSent: the current attempt was certainly not sent. No backend
	// server could be chosen, or no byte left this process.
	EventNotSent
	// EventStarted: the attempt was started.
	EventStarted
	// EventDelivered: a part of the response was passed to the caller.
	EventDelivered
	// EventComplete: the complete response has been received.
	EventComplete
	// EventFailed: the agent closed the attempt without a complete response.
	EventFailed
	// EventStreamLost: the attempt's stream of frames was lost or is corrupt.
	EventStreamLost
	// EventTimeout: the attempt timed out or the deadline passed.
	EventTimeout
	// EventCancel: the caller disconnected.
	EventCancel
	// EventWithdrawReply: the gate replied to a withdrawal.
	EventWithdrawReply
	// EventGateUnreachable: a withdrawal got no reply in time.
	EventGateUnreachable
)

// Event is an event of the current attempt. Events of earlier attempts must not
// be passed to Next.
type Event struct {
	Kind EventKind
	// RetryAllowed is set if the retry budget and the choice of backend servers
	// permit another attempt now.
	RetryAllowed bool
	// Reason, Ran, RetryAfter and Migrated come from the frame of EventFailed;
	// Reason and RetryAfter are also set for EventNotSent. Migrated is set if a
	// planned change ended the attempt and its response can continue elsewhere.
	Reason     peerv1.RefusalReason
	Ran        peerv1.Ran
	RetryAfter time.Duration
	Migrated   bool
	// WithdrawState is the gate's reply, for EventWithdrawReply.
	WithdrawState peerv1.WithdrawState
	// Progress is what the caller has received, for EventDelivered.
	Progress Progress
}

// StepKind is the kind of a Step.
type StepKind int

// Kinds of steps. StepComplete and all later kinds are final.
const (
	// StepWait: do nothing until the next event.
	StepWait StepKind = iota + 1
	// StepSend: send an attempt.
	StepSend
	// StepWithdraw: ask the gate of the current attempt to withdraw it, and
	// report the reply or its absence.
	StepWithdraw
	// StepComplete: the caller has the complete response, or all of it has been
	// received for the caller.
	StepComplete
	// StepRefuse: report to the caller that the request was not executed.
	StepRefuse
	// StepUnknown: report to the caller that there is no complete response and that
	// the request was, or may have been, executed.
	StepUnknown
)

// Step is what the entry must do next.
type Step struct {
	Kind StepKind
	// Retry is set if a send counts against the retry budget.
	Retry bool
	// Resume is set if a send continues after the tokens that the caller has
	// received.
	Resume bool
	// Cancel on a send asks to cancel the previous attempt without waiting for a
	// reply; on a withdrawal, to stop the attempt if it has started.
	Cancel bool
	// Reason and RetryAfter of StepRefuse or StepUnknown.
	Reason     peerv1.RefusalReason
	RetryAfter time.Duration
	// Ran is RAN_NO for StepRefuse, and RAN_YES or RAN_UNKNOWN for StepUnknown.
	Ran peerv1.Ran
}

// Final reports whether the step ends the request.
func (s Step) Final() bool { return s.Kind >= StepComplete }

// phase is the phase of a request's processing.
type phase int

const (
	phaseIdle phase = iota
	phaseRunning
	phaseWithdrawing
	phaseDone
)

// State is the state of one request at the entry.
type State struct {
	Call Call
	// Attempts is the number of attempts sent, Migrations the number of those
	// that followed a planned change.
	Attempts, Migrations int
	// Progress is what the caller has received.
	Progress Progress

	phase phase
	// executed combines what is known about execution from the attempts that
	// have ended.
	executed peerv1.Ran
	// attemptStarted is set if the current attempt is known to have been
	// started, attemptDelivered if a part of its response reached the caller.
	attemptStarted, attemptDelivered bool
	// attemptFinished is set if the gate reported the current attempt as
	// finished, framesLost if no more frames of it will arrive.
	attemptFinished, framesLost bool
	// withdrawReason is why the current attempt is being withdrawn.
	withdrawReason peerv1.RefusalReason
}

// NewState returns the state of a request that has not been sent.
func NewState(call Call) State {
	if call.MaxAttempts <= 0 {
		call.MaxAttempts = defaultMaxAttempts
	}
	return State{Call: call, Progress: NewProgress(), executed: peerv1.Ran_RAN_NO}
}

// Next returns the state of a request after an event, and the step to take.
//
// It guarantees that StepRefuse is returned only if no attempt has been or will
// be executed, and that a call that is not idempotent is sent again only after
// its gate, or the failure to send it, has ruled out its execution.
func Next(s State, ev Event, now time.Time) (State, Step) {
	if s.phase == phaseDone {
		return s, Step{Kind: StepWait}
	}
	step := s.next(ev, now)
	if step.Final() {
		s.phase = phaseDone
	}
	return s, step
}

// RecordExecution records that a backend server has worked on the request
// outside the attempts, for example on a prefill, so that the request is no
// longer reported as not executed.
func (s *State) RecordExecution(ran peerv1.Ran) { s.executed = combineExecution(s.executed, ran) }

// next applies an event to a request that has not ended.
func (s *State) next(ev Event, now time.Time) Step {
	switch ev.Kind {
	case EventBegin:
		return s.begin(now)
	case EventNotSent:
		return s.attemptEnded(ev, peerv1.Ran_RAN_NO, now)
	case EventStarted:
		s.attemptStarted = true
	case EventDelivered:
		s.attemptStarted = true
		s.attemptDelivered = true
		s.Progress = ev.Progress
	case EventComplete:
		return Step{Kind: StepComplete, Ran: peerv1.Ran_RAN_YES}
	case EventFailed:
		return s.attemptEnded(ev, ev.Ran, now)
	case EventStreamLost:
		return s.streamLost(ev, now)
	case EventTimeout:
		return s.timeout(now)
	case EventCancel:
		return s.cancel(ev)
	case EventWithdrawReply:
		return s.withdrawReply(ev, now)
	case EventGateUnreachable:
		return s.gateUnreachable(ev, now)
	}
	return Step{Kind: StepWait}
}

// begin sends the first attempt.
func (s *State) begin(now time.Time) Step {
	if s.phase != phaseIdle {
		return Step{Kind: StepWait}
	}
	if !now.Before(s.Call.Deadline) {
		return s.finish(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED, 0)
	}
	return s.send()
}

// send starts another attempt, unless the caller has received all tokens that
// the response may have and only its end was lost.
func (s *State) send() Step {
	if s.Call.Resumable && s.Call.MaxTokens > 0 && s.Progress.Tokens >= s.Call.MaxTokens {
		return Step{Kind: StepComplete, Ran: peerv1.Ran_RAN_YES}
	}
	s.phase = phaseRunning
	s.attemptStarted = false
	s.attemptDelivered = false
	s.attemptFinished = false
	s.framesLost = false
	s.withdrawReason = peerv1.RefusalReason_REFUSAL_REASON_UNSPECIFIED
	s.Attempts++
	return Step{
		Kind:   StepSend,
		Retry:  s.Attempts > 1,
		Resume: s.Call.Resumable && s.Progress.Tokens > 0,
	}
}

// attemptEnded decides what follows the current attempt. ran is what is known
// about its execution.
func (s *State) attemptEnded(ev Event, ran peerv1.Ran, now time.Time) Step {
	if ran == peerv1.Ran_RAN_UNSPECIFIED {
		ran = peerv1.Ran_RAN_UNKNOWN
	}
	if s.attemptDelivered {
		ran = peerv1.Ran_RAN_YES
	}
	s.executed = combineExecution(s.executed, ran)
	mayRepeat := s.Call.Idempotent || ran == peerv1.Ran_RAN_NO
	inTime := now.Before(s.Call.Deadline)
	if ev.Migrated && mayRepeat && inTime && s.Migrations < maxMigrations {
		s.Migrations++
		step := s.send()
		step.Retry = false
		return step
	}
	if mayRepeat && inTime && ev.RetryAllowed && s.attemptsLeft() && retryable(ev.Reason) {
		return s.send()
	}
	return s.finish(ev.Reason, ev.RetryAfter)
}

// attemptsLeft reports whether MaxAttempts permits another attempt.
func (s *State) attemptsLeft() bool { return s.Attempts-s.Migrations < s.Call.MaxAttempts }

// streamLost decides what follows the loss of the current attempt's stream.
func (s *State) streamLost(ev Event, now time.Time) Step {
	s.framesLost = true
	if s.phase == phaseWithdrawing {
		return Step{Kind: StepWait}
	}
	ev.Reason = peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED
	ev.Migrated = false
	switch {
	case s.Call.Idempotent && ev.RetryAllowed && s.attemptsLeft() && now.Before(s.Call.Deadline):
		step := s.attemptEnded(ev, peerv1.Ran_RAN_UNKNOWN, now)
		step.Cancel = true
		return step
	case s.attemptStarted && !s.Call.Idempotent:
		return s.attemptEnded(ev, peerv1.Ran_RAN_UNKNOWN, now)
	}
	return s.withdraw(ev.Reason, s.Call.Idempotent)
}

// timeout withdraws the attempt. A started attempt is given up only at the
// deadline, if its response is lost or, for an idempotent call, if its gate does
// not answer.
func (s *State) timeout(now time.Time) Step {
	if s.phase == phaseWithdrawing {
		return Step{Kind: StepWait}
	}
	late := !now.Before(s.Call.Deadline)
	return s.withdraw(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED, late && s.Call.Idempotent)
}

// cancel ends the request for a caller that disconnected. A started call that
// is not idempotent runs to its end, so that its response is recorded for a
// replay.
func (s *State) cancel(ev Event) Step {
	if s.phase == phaseWithdrawing {
		s.withdrawReason = peerv1.RefusalReason_REFUSAL_REASON_CANCELLED
		return Step{Kind: StepWait}
	}
	return s.withdraw(peerv1.RefusalReason_REFUSAL_REASON_CANCELLED, s.Call.Idempotent)
}

// withdraw asks the gate to withdraw the current attempt.
func (s *State) withdraw(reason peerv1.RefusalReason, cancel bool) Step {
	s.phase = phaseWithdrawing
	s.withdrawReason = reason
	return Step{Kind: StepWithdraw, Cancel: cancel}
}

// withdrawReply decides on the gate's reply to a withdrawal.
func (s *State) withdrawReply(ev Event, now time.Time) Step {
	if s.phase != phaseWithdrawing {
		return Step{Kind: StepWait}
	}
	ev = s.withWithdrawReason(ev)
	switch ev.WithdrawState {
	case peerv1.WithdrawState_WITHDRAW_STATE_WITHDRAWN:
		return s.attemptEnded(ev, peerv1.Ran_RAN_NO, now)
	case peerv1.WithdrawState_WITHDRAW_STATE_STARTED, peerv1.WithdrawState_WITHDRAW_STATE_FINISHED:
		s.attemptStarted = true
		s.recordFinished(ev)
		if s.awaitsResponse(now) {
			s.phase = phaseRunning
			return Step{Kind: StepWait}
		}
		return s.attemptEnded(ev, peerv1.Ran_RAN_UNKNOWN, now)
	}
	return s.gateUnreachable(ev, now)
}

// recordFinished treats the response as lost if the gate has reported the
// attempt as finished twice and the end frame has still not arrived.
func (s *State) recordFinished(ev Event) {
	if ev.WithdrawState != peerv1.WithdrawState_WITHDRAW_STATE_FINISHED {
		return
	}
	s.framesLost = s.framesLost || s.attemptFinished
	s.attemptFinished = true
}

// gateUnreachable decides what to do without a reply from the gate. A call that
// is not idempotent keeps waiting for a response that may still arrive.
func (s *State) gateUnreachable(ev Event, now time.Time) Step {
	if s.phase != phaseWithdrawing {
		return Step{Kind: StepWait}
	}
	if !s.Call.Idempotent && s.awaitsResponse(now) {
		s.phase = phaseRunning
		return Step{Kind: StepWait}
	}
	step := s.attemptEnded(s.withWithdrawReason(ev), peerv1.Ran_RAN_UNKNOWN, now)
	step.Cancel = step.Kind == StepSend
	return step
}

// withWithdrawReason returns ev with the reason of the withdrawal. A cancelled
// request is never retried.
func (s *State) withWithdrawReason(ev Event) Event {
	ev.Reason = s.withdrawReason
	ev.Migrated = false
	if s.withdrawReason == peerv1.RefusalReason_REFUSAL_REASON_CANCELLED {
		ev.RetryAllowed = false
	}
	return ev
}

// awaitsResponse reports whether the current attempt's response may still
// arrive in time for a caller that waits for it.
func (s *State) awaitsResponse(now time.Time) bool {
	cancelled := s.withdrawReason == peerv1.RefusalReason_REFUSAL_REASON_CANCELLED
	return !s.framesLost && !cancelled && now.Before(s.Call.Deadline)
}

// finish returns the final step, which reports to the caller what is known about the
// execution of the request.
func (s *State) finish(reason peerv1.RefusalReason, retryAfter time.Duration) Step {
	step := Step{Kind: StepRefuse, Reason: reason, RetryAfter: retryAfter, Ran: s.executed}
	if s.executed == peerv1.Ran_RAN_NO {
		return step
	}
	step.Kind = StepUnknown
	if s.executed == peerv1.Ran_RAN_UNKNOWN || !s.Call.Idempotent {
		step.Reason = peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN
	}
	return step
}

// combineExecution returns what two attempts together say about the execution
// of a request.
func combineExecution(a, b peerv1.Ran) peerv1.Ran {
	switch {
	case a == peerv1.Ran_RAN_YES || b == peerv1.Ran_RAN_YES:
		return peerv1.Ran_RAN_YES
	case a == peerv1.Ran_RAN_UNKNOWN || b == peerv1.Ran_RAN_UNKNOWN:
		return peerv1.Ran_RAN_UNKNOWN
	}
	return peerv1.Ran_RAN_NO
}

// retryable reports whether another backend server may respond differently to a
// request refused for this reason.
func retryable(reason peerv1.RefusalReason) bool {
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
