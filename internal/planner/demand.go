package planner

import (
	"math"
	"time"
)

// minPeriods is the number of periods from which the demand is known well
// enough to change roles for gain.
const minPeriods = 3

// rates is a demand or a capacity in tokens/s.
type rates struct {
	prefill float64
	decode  float64
}

// demandEstimate is the estimated demand with its standard error.
type demandEstimate struct {
	requests float64 // requests/s
	mean     rates
	stderr   rates
	// reliable is false if there are too few periods.
	reliable bool
}

// estimateDemand returns the mean demand, with exponentially decreasing weights
// for older periods, and the standard error of that mean.
func estimateDemand(periods []Demand, halfLife time.Duration) demandEstimate {
	var sum, sumSq, requests float64
	var mean, square rates
	var age time.Duration
	for i := len(periods) - 1; i >= 0; i-- {
		p := periods[i]
		if p.Duration <= 0 {
			continue
		}
		secs := p.Duration.Seconds()
		w := secs * math.Exp2(-age.Seconds()/halfLife.Seconds())
		age += p.Duration
		in, out := p.PromptTokens/secs, p.OutputTokens/secs
		sum += w
		sumSq += w * w
		requests += w * p.Requests / secs
		mean.prefill += w * in
		mean.decode += w * out
		square.prefill += w * in * in
		square.decode += w * out * out
	}
	if sum == 0 {
		return demandEstimate{}
	}
	mean = rates{mean.prefill / sum, mean.decode / sum}
	effective := sum * sum / sumSq
	return demandEstimate{
		requests: requests / sum,
		mean:     mean,
		stderr: rates{
			prefill: stderr(square.prefill/sum, mean.prefill, effective),
			decode:  stderr(square.decode/sum, mean.decode, effective),
		},
		reliable: len(periods) >= minPeriods,
	}
}

// stderr returns the standard error of a mean from n observations, given the
// mean of their squares.
func stderr(square, mean, n float64) float64 {
	variance := math.Max(0, square-mean*mean)
	return math.Sqrt(variance / n)
}

// scenarios returns the demands under which a change must pay off: the mean
// including the backlog, and two with the mix shifted by one standard error
// towards prefill and towards decode.
func (e demandEstimate) scenarios(b Backlog, window time.Duration) []rates {
	p := e.mean.prefill + b.PromptTokens/window.Seconds()
	d := e.mean.decode + b.OutputTokens/window.Seconds()
	return []rates{
		{p, d},
		{p + e.stderr.prefill, math.Max(0, d-e.stderr.decode)},
		{math.Max(0, p-e.stderr.prefill), d + e.stderr.decode},
	}
}
