package loadgen

import "time"

// Verdict classifies the outcome of a request as its caller sees it.
type Verdict string

const (
	// Answered means that a complete response arrived and that it belongs to
	// the request.
	Answered Verdict = "answered"
	// Refused means that the response states that the request was not run, or
	// that the request was never sent.
	Refused Verdict = "refused"
	// Unknown means that it is not known whether the request was run, or that it
	// was run but no complete response arrived.
	Unknown Verdict = "unknown"
	// Mismatched means that a response claims to be complete but does not
	// belong to the request, or has the wrong content.
	Mismatched Verdict = "mixed up"
)

// Outcome is the outcome of one request.
type Outcome struct {
	Arrival Arrival
	// Sent is when the request was sent, measured from the start of the run.
	Sent time.Duration
	// Key is the mark of the request. Non-idempotent requests also use it as
	// their idempotency key.
	Key     string
	Verdict Verdict
	// Reason is the reason given in an error response, or a description of what
	// failed. It is empty for complete responses.
	Reason string
	// NotRun is the not_run member of the error response: "true", "false" or
	// "unknown".
	NotRun string
	// HasRetryAfter means that the error response had a Retry-After header.
	HasRetryAfter bool
	// TimeToFirstToken and Latency are measured from the scheduled arrival, so
	// that delays in sending count as well. They are equal if the response is
	// not streamed.
	TimeToFirstToken time.Duration
	Latency          time.Duration
	// TokenGaps are the times between successive events of a stream.
	TokenGaps []time.Duration
}

// InTime reports whether the request was answered within the deadline and the
// first-token limit of its class.
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
