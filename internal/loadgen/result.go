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
	Attempts []AttemptCount `json:"attempts,omitempty"`
	// RoleChanges is the number of role changes observed at the sampled
	// engines.
	RoleChanges int             `json:"role_changes"`
	Audit       EffectAudit     `json:"judgment"`
	Series      []report.Series `json:"series,omitempty"`
}

// Counts are numbers of requests by outcome.
type Counts struct {
	Sent       int `json:"sent"`
	Answered   int `json:"answered"`
	InTime     int `json:"in_time"`
	Refused    int `json:"refused"`
	Unknown    int `json:"unknown"`
	Mismatched int `json:"mixed_up"`
	// RetryAfter is the number of error responses with a Retry-After header.
	RetryAfter int `json:"retry_after"`
}

// ClassResult is the result of one class of requests.
type ClassResult struct {
	Name       string            `json:"name"`
	Counts     Counts            `json:"counts"`
	Unanswered []UnansweredCount `json:"refusals,omitempty"`
	// TimeToFirstToken, InterTokenLatency and Latency are in milliseconds.
	TimeToFirstToken  Quantiles `json:"first_token_ms"`
	InterTokenLatency Quantiles `json:"between_tokens_ms"`
	Latency           Quantiles `json:"whole_ms"`
}

// UnansweredCount is the number of requests that were not answered for the same
// reason.
type UnansweredCount struct {
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
type EffectAudit struct {
	// Checked is the number of non-idempotent requests that were looked up.
	Checked int `json:"judged"`
	// Duplicates is the number of effects beyond the first one of each
	// idempotency key.
	Duplicates int `json:"doubled"`
	// FalseRefusals is the number of requests that were reported as not run
	// although they had an effect.
	FalseRefusals int `json:"untrue"`
	// MissingEffects is the number of requests with a complete response but no
	// effect.
	MissingEffects int `json:"lost"`
	// UnreadableRecords is the number of records that could not be read. If it
	// is not 0, Duplicates and FalseRefusals may be too low and MissingEffects
	// too high.
	UnreadableRecords int `json:"unread"`
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
func (r *Result) Passed() bool {
	audit := r.Audit
	return r.Total.Unknown+r.Total.Mismatched+audit.Duplicates+audit.FalseRefusals+audit.MissingEffects+audit.UnreadableRecords == 0
}
