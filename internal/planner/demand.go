package planner

import (
	"math"
	"time"
)

// minPeriods is the number of periods below which the demand is too little
// known to move a role for gain.
const minPeriods = 3

// rates is a demand or a capacity in tokens/s.
type rates struct {
	prefill float64
	decode  float64
}

// estimate is the demand with its uncertainty.
type estimate struct {
	requests float64 // requests/s
	mean     rates
	stderr   rates
	// known is false when there are too few periods.
	known bool
}

// estimateDemand weighs recent periods by age and gives the standard error
// of the weighted mean.
func estimateDemand(periods []Demand, halfLife time.Duration) estimate {
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
		return estimate{}
	}
	mean = rates{mean.prefill / sum, mean.decode / sum}
	effective := sum * sum / sumSq
	return estimate{
		requests: requests / sum,
		mean:     mean,
		stderr: rates{
			prefill: stderr(square.prefill/sum, mean.prefill, effective),
			decode:  stderr(square.decode/sum, mean.decode, effective),
		},
		known: len(periods) >= minPeriods,
	}
}

func stderr(square, mean, n float64) float64 {
	variance := math.Max(0, square-mean*mean)
	return math.Sqrt(variance / n)
}

// scenarios are the demands under which a change must pay: the mean, and the
// mean with the mix shifted by a standard error to either side.
func (e estimate) scenarios(b Backlog, window time.Duration) []rates {
	p := e.mean.prefill + b.PromptTokens/window.Seconds()
	d := e.mean.decode + b.OutputTokens/window.Seconds()
	return []rates{
		{p, d},
		{p + e.stderr.prefill, math.Max(0, d-e.stderr.decode)},
		{math.Max(0, p-e.stderr.prefill), d + e.stderr.decode},
	}
}
