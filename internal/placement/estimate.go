package placement

import (
	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// prefillRateEstimate estimates the prefill rate of an unloaded engine, in work
// per second. It tracks the rate that about one in five prefills exceeds, among
// those with no queue known to this gateway. A plain mean would be too low
// because some of these wait behind requests that this gateway does not know
// of.
type prefillRateEstimate struct{ perSecond float64 }

const (
	// rateIncrease and rateDecrease are the factors by which one observation
	// moves the rate. Together they determine the tracked quantile.
	rateIncrease = 1.08
	rateDecrease = 1.02
	// minRate and maxRate bound the rate.
	minRate = 1000
	maxRate = 10_000_000
)

// observe updates the rate with a prefill that took the given seconds,
// excluding its first step.
func (r *prefillRateEstimate) observe(work, took float64) {
	if took*r.perSecond < work {
		r.perSecond *= rateIncrease
	} else {
		r.perSecond /= rateDecrease
	}
	r.perSecond = min(max(r.perSecond, minRate), maxRate)
}

// stepKind distinguishes the ways to a first event that take different times
// beside the prefill.
type stepKind int

const (
	// prefillStep: a prefill engine reports that it has prefilled a prompt.
	prefillStep stepKind = iota
	// importStep: a decode engine sends the first event of a prompt whose KV
	// cache it imports.
	importStep
	// directStep: a decode engine sends the first event of a prompt that it
	// prefills itself.
	directStep
	stepKindCount
)

// firstStepEstimate estimates the time in seconds that an unloaded engine takes
// beside the prefill, including the way to the engine and back. It tracks the
// time that about two in three requests exceed, among those with no queue known
// to this gateway.
type firstStepEstimate struct{ seconds float64 }

const (
	// initialFirstStepSeconds is assumed until the time has been observed.
	initialFirstStepSeconds = 0.09
	// firstStepIncrease and firstStepDecrease are the factors by which one
	// observation moves the time. Together they determine the tracked quantile.
	firstStepIncrease = 1.02
	firstStepDecrease = 1.05
	// minFirstStepSeconds and maxFirstStepSeconds bound the time.
	minFirstStepSeconds = 0.002
	maxFirstStepSeconds = 0.3
	// rateSampleShare is the least prefill time, as a share of the first step's,
	// of a request that updates the prefill rate. Requests with shorter prefills
	// update the first step's time.
	rateSampleShare = 0.5
)

// observe updates the time with a request whose first event took the given
// seconds, excluding its prefill.
func (e *firstStepEstimate) observe(took float64) {
	if took > e.seconds {
		e.seconds *= firstStepIncrease
	} else {
		e.seconds /= firstStepDecrease
	}
	e.seconds = min(max(e.seconds, minFirstStepSeconds), maxFirstStepSeconds)
}

// stepOf returns the kind of a request's first step.
func (f *InFlightSend) stepOf() stepKind {
	switch {
	case f.server.Stage == fleet.StagePrefill:
		return prefillStep
	case f.imported:
		return importStep
	default:
		return directStep
	}
}

// observeUnqueued updates the estimates with a request that waited behind no
// other one that this gateway knows of. They are those of a usual server.
func (t *Table) observeUnqueued(f *InFlightSend, took float64) {
	took *= t.conditions[f.server.Stage].Usual() / f.server.speed.estimate.LongTerm()
	step := &t.firstSteps[f.stepOf()]
	prefill := f.work / t.rateOf(f.server)
	switch {
	case prefill < rateSampleShare*step.seconds:
		step.observe(took - prefill)
	case f.server.Stage == fleet.StagePrefill:
		t.prefillRate.observe(f.work, took-step.seconds)
	}
}

// attentionTokens is the context length at which attention to the context costs
// as much as the rest of a token's prefill.
const attentionTokens = 28_000

// prefillWork returns the work of prefilling the last tokens of a prompt,
// including attention to the context before them. The unit is the work of
// prefilling one token without context.
func prefillWork(tokens, prompt float64) float64 {
	return tokens * (1 + (prompt-tokens/2)/attentionTokens)
}
