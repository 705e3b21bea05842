package loadgen

import "time"

// Verdict is what a caller can say of a request when it is over.
type Verdict string

const (
	// Answered: the whole answer came, and it was the request's own.
	Answered Verdict = "answered"
	// Refused: the caller was told that the request was not run, or it was
	// never sent.
	Refused Verdict = "refused"
	// Unknown: the caller can't tell whether the request ran, or was told
	// that it ran without getting the whole answer.
	Unknown Verdict = "unknown"
	// Mismatched: an answer that claims to be whole is not the request's own.
	Mismatched Verdict = "mixed up"
)

// Outcome is what became of one request.
type Outcome struct {
	Arrival Arrival
	// Sent is when it was sent, from the start of the run.
	Sent time.Duration
	// Key is the mark of the request, and its idempotency key if it is
	// non-idempotent.
	Key     string
	Verdict Verdict
	// Reason of a refusal, or what went wrong.
	Reason string
	// NotRun is what the refusal said: "true", "false" or "unknown".
	NotRun string
	// HasRetryAfter says whether the refusal told when to come back.
	HasRetryAfter bool
	// TimeToFirstToken and Whole count from the scheduled arrival.
	TimeToFirstToken time.Duration
	Latency          time.Duration
	// TokenGaps between the events of a stream.
	TokenGaps []time.Duration
}

// InTime reports whether the request was answered within its class's limits.
func (o Outcome) InTime() bool {
	class := o.Arrival.Class
	if o.Verdict != Answered {
		return false
	}
	if limit := class.GetDeadlineMs(); limit > 0 && o.Latency > time.Duration(limit)*time.Millisecond {
		return false
	}
	limit := time.Duration(class.GetFirstTokenMs()) * time.Millisecond
	return limit == 0 || o.TimeToFirstToken <= limit
}
