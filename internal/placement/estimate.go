package placement

const (
	// slowdownShare is the weight of one observation in a server's slowdown.
	slowdownShare = 0.1
	// maxSlowdown bounds one observation.
	maxSlowdown = 8.0
	// leastPredicted keeps noise on short times out of the slowdown, in
	// seconds.
	leastPredicted = 0.02
)

// observe moves the slowdown towards a time that was seen.
func (s *server) observe(took, predicted float64) {
	ratio := (took + leastPredicted) / (predicted + leastPredicted)
	ratio = min(max(ratio, 1/maxSlowdown), maxSlowdown)
	s.slowdown += slowdownShare * (ratio*s.slowdown - s.slowdown)
	s.slowdown = min(max(s.slowdown, 0.5), maxSlowdown)
}

// rateEstimate follows the rate of a prefill that does not wait, in tokens per
// second: it rises with each faster one and falls slowly.
type rateEstimate struct{ perSecond float64 }

const (
	// leastRateTokens is the smallest prefill that tells a rate.
	leastRateTokens = 1500
	rateRise        = 0.3
	rateFall        = 0.01
)

func (r *rateEstimate) observe(tokens, took float64) {
	if tokens < leastRateTokens || took <= 0 {
		return
	}
	seen := tokens / took
	share := rateFall
	if seen > r.perSecond {
		share = rateRise
	}
	r.perSecond += share * (seen - r.perSecond)
}
