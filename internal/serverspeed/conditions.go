package serverspeed

import (
	"math"
	"time"
)

const (
	// biasHalfLife and biasPrior determine how fast this gateway's own conditions are
	// learned.
	biasHalfLife = 60 * time.Second
	biasPrior    = 5
	// centering is the part of the servers' mean factor that counts as this gateway's
	// conditions. Without it the factors of all servers drift together, since a faster
	// usual server with slower servers predicts the same.
	centering = 1
	// commonHalfLife is the half-life of observations of what is common to all servers, and
	// commonPriorPerServer the weight of no deviation, per server, so that a few
	// observations do not change the predictions for many servers.
	commonHalfLife       = 4 * time.Second
	commonPriorPerServer = 10
)

// Conditions is what is common to all servers of a kind from the point of view of one
// gateway: a slow link or processor of its own, a usual time that is not known exactly,
// or requests that it does not know of. It is no property of a server and therefore
// not reported to other gateways.
type Conditions struct {
	bias, common mean
	// center is the mean of the logarithms of the servers' long-term factors.
	center float64
	// usual is the factor of a usual server: their geometric mean; 0 stands for 1.
	usual float64
}

// Usual returns the factor of a usual server, by which those of the estimates are to be
// divided. Estimates of different gateways agree only up to such a factor.
func (c *Conditions) Usual() float64 {
	if c.usual == 0 {
		return 1
	}
	return c.usual
}

// SetServers updates what the factors of the known servers have in common.
func (c *Conditions) SetServers(estimates func(yield func(*Estimate) bool)) {
	sum, known := 0.0, 0
	for e := range estimates {
		if e.Known() {
			sum += e.logLong
			known++
		}
	}
	c.center = sum / float64(max(1, known))
	c.usual = math.Exp(c.center)
}

// Observe records that work took the given ratio of the time that the server's factor
// predicts. It returns the ratio without this gateway's own conditions.
func (c *Conditions) Observe(now time.Duration, ratio float64) float64 {
	// The same bound as in Estimate.Observe: with another one, the difference of the means
	// would accumulate in the factors.
	limit := math.Log(MaxDeviation)
	logRatio := min(max(math.Log(ratio), -limit), limit)
	c.bias.add(now, biasHalfLife, logRatio+centering*c.center, 1)
	c.common.add(now, commonHalfLife, logRatio, 1)
	return math.Exp(logRatio - c.bias.value(biasPrior))
}

// Factor returns the factor by which work takes longer than predicted at all of the
// given number of servers.
func (c *Conditions) Factor(now time.Duration, servers int) float64 {
	return math.Exp(c.common.valueAt(now, commonHalfLife, commonPriorPerServer*float64(max(1, servers))))
}
