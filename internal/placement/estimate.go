package placement

import (
	"math"
	"time"
)

const (
	// slowdownShare is the weight of one observation in a server's slowdown.
	slowdownShare = 0.1
	// leastPredicted keeps noise on short times out of the slowdown, in
	// seconds.
	leastPredicted = 0.02
	// leastSlowdown and mostSlowdown bound the slowdown and an observation.
	leastSlowdown = 0.5
	mostSlowdown  = 8.0
	// slowdownHalfLife is the time without an observation in which half of a
	// slowdown is forgotten, so that a server that was slow is tried again.
	slowdownHalfLife = 4 * time.Second
)

// observe moves the slowdown towards a time that was seen.
func (s *server) observe(now time.Duration, took, predicted float64) {
	ratio := (took + leastPredicted) / (predicted + leastPredicted)
	ratio = min(max(ratio, 1/mostSlowdown), mostSlowdown)
	s.slowdown = s.slow(now)
	s.observedAt = now
	s.slowdown += slowdownShare * (ratio*s.slowdown - s.slowdown)
	s.slowdown = min(max(s.slowdown, leastSlowdown), mostSlowdown)
}

// slow returns how many times as long as usual the server takes.
func (s *server) slow(now time.Duration) float64 {
	age := float64(now-s.observedAt) / float64(slowdownHalfLife)
	return 1 + (s.slowdown-1)*math.Exp2(-age)
}

// rateEstimate follows the rate that one in five of the prefills exceed that
// are not known to wait, in work per second: some wait unknown to this gateway.
type rateEstimate struct{ perSecond float64 }

const (
	// leastRateWork is the smallest prefill that tells a rate.
	leastRateWork = 1500
	// rateRise and rateFall are the factors by which one observation moves the
	// rate.
	rateRise = 1.08
	rateFall = 1.02
	// leastRate and mostRate bound it.
	leastRate = 1000
	mostRate  = 10_000_000
)

// observe takes in a prefill that took some seconds beside its first step.
func (r *rateEstimate) observe(work, took float64) {
	if work < leastRateWork {
		return
	}
	if took*r.perSecond < work {
		r.perSecond *= rateRise
	} else {
		r.perSecond /= rateFall
	}
	r.perSecond = min(max(r.perSecond, leastRate), mostRate)
}

// attentionTokens is the length of a context at which attention to it costs as
// much as the rest of a token's prefill.
const attentionTokens = 28_000

// prefillWork returns the work of prefilling the last tokens of a prompt, in
// tokens without a context.
func prefillWork(tokens, prompt float64) float64 {
	return tokens * (1 + (prompt-tokens/2)/attentionTokens)
}
