package placement

import (
	"math"
	"time"
)

const (
	// slowdownSmoothing is the weight of one observation in the moving average
	// of a server's slowdown.
	slowdownSmoothing = 0.1
	// slowdownNoiseSeconds is added to the observed and the predicted time, in
	// seconds, so that noise in short times does not distort their ratio.
	slowdownNoiseSeconds = 0.02
	// minSlowdown and maxSlowdown bound the slowdown. maxSlowdown also bounds
	// the ratio of a single observation in both directions.
	minSlowdown = 0.5
	maxSlowdown = 8.0
	// slowdownHalfLife is the time without observations after which half of the
	// slowdown is forgotten, so that a server that was slow is tried again.
	slowdownHalfLife = 4 * time.Second
)

// observeLatency updates the slowdown with the observed and the predicted time
// to first event, in seconds. The prediction already includes the slowdown, so
// their ratio is the factor by which the slowdown has to change.
func (s *server) observeLatency(now time.Duration, took, predicted float64) {
	ratio := (took + slowdownNoiseSeconds) / (predicted + slowdownNoiseSeconds)
	ratio = min(max(ratio, 1/maxSlowdown), maxSlowdown)
	s.slowdown = s.currentSlowdown(now)
	s.observedAt = now
	s.slowdown += slowdownSmoothing * (ratio*s.slowdown - s.slowdown)
	s.slowdown = min(max(s.slowdown, minSlowdown), maxSlowdown)
}

// currentSlowdown returns the factor by which the server takes longer than
// usual.
func (s *server) currentSlowdown(now time.Duration) float64 {
	age := float64(now-s.observedAt) / float64(slowdownHalfLife)
	return 1 + (s.slowdown-1)*math.Exp2(-age)
}

// prefillRateEstimate estimates the prefill rate of an unloaded engine, in work
// per second. It tracks the rate that about one in five prefills exceeds, among
// those with no queue known to this gateway. A plain mean would be too low
// because some of these wait behind requests that this gateway does not know
// of.
type prefillRateEstimate struct{ perSecond float64 }

const (
	// minRateSample is the smallest prefill, in work, that updates the rate.
	minRateSample = 1500
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
	if work < minRateSample {
		return
	}
	if took*r.perSecond < work {
		r.perSecond *= rateIncrease
	} else {
		r.perSecond /= rateDecrease
	}
	r.perSecond = min(max(r.perSecond, minRate), maxRate)
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
