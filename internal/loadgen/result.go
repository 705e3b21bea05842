package loadgen

import (
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marigoldwing/marigoldwing/internal/loadgen/report"
)

// Result is the result of a run.
type Result struct {
	Name    string `json:"name"`
	Variant string `json:"variant"`
	Seed    int64  `json:"seed"`
	// Seconds is the total duration of the phases.
	Seconds float64 `json:"seconds"`
	// Goodput is the number of requests completed in time per second.
	Goodput float64       `json:"goodput"`
	Total   Counts        `json:"total"`
	Classes []ClassResult `json:"classes"`
	// Attempts are the attempts made by the entries, by kind.
	Attempts []Attempts `json:"attempts,omitempty"`
	// RoleChanges is the number of role changes observed at the sampled
	// engines.
	RoleChanges int             `json:"role_changes"`
	Judgment    Judgment        `json:"judgment"`
	Series      []report.Series `json:"series,omitempty"`
}

// Counts are numbers of requests by outcome.
type Counts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	InTime   int `json:"in_time"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	MixedUp  int `json:"mixed_up"`
	// RetryAfter is the number of error responses with a Retry-After header.
	RetryAfter int `json:"retry_after"`
}

// ClassResult is the result of one class of requests.
type ClassResult struct {
	Name     string    `json:"name"`
	Counts   Counts    `json:"counts"`
	Refusals []Refusal `json:"refusals,omitempty"`
	// The following times are in milliseconds.
	FirstToken Quantiles `json:"first_token_ms"`
	Between    Quantiles `json:"between_tokens_ms"`
	Whole      Quantiles `json:"whole_ms"`
}

// UnansweredCount is the number of requests that were not answered for the same
// reason.
type Refusal struct {
	Reason string `json:"reason"`
	NotRun string `json:"not_run"`
	Count  int    `json:"count"`
}

// Quantiles summarizes a distribution of times, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// EffectAudit compares the responses to non-idempotent requests with the
// effects that the stand-in services recorded.
type Judgment struct {
	// Checked is the number of non-idempotent requests that were looked up.
	Judged int `json:"judged"`
	// Duplicates is the number of effects beyond the first one of each
	// idempotency key.
	Doubled int `json:"doubled"`
	// FalseRefusals is the number of requests that were reported as not run
	// although they had an effect.
	Untrue int `json:"untrue"`
	// MissingEffects is the number of requests with a complete response but no
	// effect.
	Lost int `json:"lost"`
	// UnreadableRecords is the number of records that could not be read. If it
	// is not 0, Duplicates and FalseRefusals may be too low and MissingEffects
	// too high.
	Unread int `json:"unread"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(micros int64) float64 {
		return (time.Duration(micros) * time.Microsecond).Seconds() * 1000
	}
	return Quantiles{
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P95:   millis(h.ValueAtQuantile(95)),
		P99:   millis(h.ValueAtQuantile(99)),
		Max:   millis(h.Max()),
	}
}

// Passed reports whether the run has no unknown or mismatched outcome, no
// discrepancy in the audit, and no unreadable record.
func (r *Result) Sound() bool {
	j := r.Judgment
	return r.Total.Unknown+r.Total.MixedUp+j.Doubled+j.Untrue+j.Lost+j.Unread == 0
}
