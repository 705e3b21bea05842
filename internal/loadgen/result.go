package loadgen

import (
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marigoldwing/marigoldwing/internal/loadgen/report"
)

// Result is what a run gave.
type Result struct {
	Name    string `json:"name"`
	Variant string `json:"variant"`
	Seed    int64  `json:"seed"`
	// Seconds of sending.
	Seconds float64 `json:"seconds"`
	// Goodput is in requests completed in time per second.
	Goodput float64       `json:"goodput"`
	Total   Counts        `json:"total"`
	Classes []ClassResult `json:"classes"`
	// Attempts that the entries made, by kind.
	Attempts []AttemptCount `json:"attempts,omitempty"`
	// RoleChanges seen at the engines that were read.
	RoleChanges int             `json:"role_changes"`
	Audit       EffectAudit     `json:"judgment"`
	Series      []report.Series `json:"series,omitempty"`
}

// Counts are numbers of requests.
type Counts struct {
	Sent       int `json:"sent"`
	Answered   int `json:"answered"`
	InTime     int `json:"in_time"`
	Refused    int `json:"refused"`
	Unknown    int `json:"unknown"`
	Mismatched int `json:"mixed_up"`
	// HasRetryAfter counts refusals that told when to come back.
	RetryAfter int `json:"retry_after"`
}

// ClassResult is what became of one class.
type ClassResult struct {
	Name       string            `json:"name"`
	Counts     Counts            `json:"counts"`
	Unanswered []UnansweredCount `json:"refusals,omitempty"`
	// Times in milliseconds.
	TimeToFirstToken  Quantiles `json:"first_token_ms"`
	InterTokenLatency Quantiles `json:"between_tokens_ms"`
	Latency           Quantiles `json:"whole_ms"`
}

// UnansweredCount counts the requests that were not answered for one reason.
type UnansweredCount struct {
	Reason string `json:"reason"`
	NotRun string `json:"not_run"`
	Count  int    `json:"count"`
}

// Quantiles of a time in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// EffectAudit compares what callers were told with what the backend servers
// recorded.
type EffectAudit struct {
	// Checked counts the non-idempotent requests that were looked up.
	Checked int `json:"judged"`
	// Duplicates counts effects beyond the first of a key.
	Duplicates int `json:"doubled"`
	// FalseRefusals counts requests told not run that ran.
	FalseRefusals int `json:"untrue"`
	// MissingEffects counts requests answered whole without an effect.
	MissingEffects int `json:"lost"`
	// UnreadableRecords counts records that could not be read; with any, the other
	// figures are too low.
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

// Passed reports whether nothing was unknown, doubled, mixed up, untrue, lost
// or left unjudged.
func (r *Result) Passed() bool {
	j := r.Audit
	return r.Total.Unknown+r.Total.Mismatched+j.Duplicates+j.FalseRefusals+j.MissingEffects+j.UnreadableRecords == 0
}
