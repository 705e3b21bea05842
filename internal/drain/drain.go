// Package drain decides what a gateway does with requests while it stops.
//
// A stop has a grace period, after which the process is killed. A Schedule divides it:
// the gateway first accepts requests, while load balancers learn of the stop; then
// requests in flight may end; those that don't are answered, so that no caller loses its
// connection without an answer. A request that was not sent to a backend server yet is
// refused as soon as it probably can't end in time, while its caller can still try
// another gateway.
//
// The package does no I/O and takes all times as arguments.
package drain

import "time"

const (
	// maxAccept is the longest time for which requests are accepted, and acceptRatio the
	// largest part of the grace period.
	maxAccept   = 2500 * time.Millisecond
	acceptRatio = 5.0 / 12
	// maxMargin is the longest time that is kept back at the end for the answers to
	// requests that are still at work and for the shutdown after them, and marginRatio the
	// largest part of the grace period.
	maxMargin   = time.Second
	marginRatio = 1.0 / 6
	// closeRatio and exitRatio are the parts of that time after which connections are
	// closed and after which background work ends.
	closeRatio = 0.3
	exitRatio  = 0.8
)

// Schedule holds the times of a stop, each counted from its beginning.
type Schedule struct {
	// AcceptUntil is when the listener and idle connections are closed.
	AcceptUntil time.Duration
	// AnswerUntil is when requests that are still at work are answered.
	AnswerUntil time.Duration
	// CloseUntil is when the connections that are still open are closed.
	CloseUntil time.Duration
	// ExitUntil is when the process ends.
	ExitUntil time.Duration
}

// NewSchedule returns the schedule of a stop with a grace period.
func NewSchedule(grace time.Duration) Schedule {
	margin := min(maxMargin, part(grace, marginRatio))
	answerUntil := grace - margin
	return Schedule{
		AcceptUntil: min(maxAccept, part(grace, acceptRatio)),
		AnswerUntil: answerUntil,
		CloseUntil:  answerUntil + part(margin, closeRatio),
		ExitUntil:   answerUntil + part(margin, exitRatio),
	}
}

func part(d time.Duration, ratio float64) time.Duration { return time.Duration(ratio * float64(d)) }

// Request is what the decision about a request depends on.
type Request struct {
	// Deadline is the earlier one of the caller's deadline and the route's timeout,
	// counted from the beginning of the stop.
	Deadline time.Duration
	// Usual is how long answers to such requests usually take.
	Usual time.Duration
	// MayHaveRun is set if a backend server may have run the request.
	MayHaveRun bool
}

// Action is what becomes of a request that is about to be sent to a backend server.
type Action int

const (
	// Send: the request is sent.
	Send Action = iota
	// Refuse: the request is refused as one that has not run.
	Refuse
	// End: the request has been sent before and is answered with what came of that.
	End
)

var actionNames = map[Action]string{Send: "send", Refuse: "refuse", End: "end"}

// String returns the action as written to logs.
func (a Action) String() string { return actionNames[a] }

// SendUntil returns until when a request may be sent, counted from the beginning of the
// stop. A request that is over in time at the latest by its deadline may always be sent.
func (s Schedule) SendUntil(r Request) time.Duration {
	if r.Deadline <= s.AnswerUntil {
		return s.AnswerUntil
	}
	return s.AnswerUntil - r.Usual
}

// Decide decides about a request that is about to be sent, at a time since the beginning
// of the stop.
func (s Schedule) Decide(sinceStop time.Duration, r Request) Action {
	switch {
	case sinceStop < s.SendUntil(r):
		return Send
	case r.MayHaveRun:
		return End
	default:
		return Refuse
	}
}
