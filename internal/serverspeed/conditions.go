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
	// commonHalfLife is the time after which half of what is common to all servers is
	// forgotten, and commonPriorPerServer the weight of no deviation, per server. With
	// them predictions exceed those for usual servers as far as they did while each
	// server had an average of its own with a weight of 0.1 for one observation.
	commonHalfLife       = 4 * time.Second
	commonPriorPerServer = 10
)

// Conditions is what is common to all servers of a kind from the point of view of one
// gateway: a slow link or processor of its own, a usual time that is not known exactly,
// or requests that it does not know of. It is no property of a server and therefore
// not reported to other gateways.
type Conditions struct{ bias, common mean }

// Observe records that work took the given ratio of the time that the server's factor
// predicts. It returns the ratio without this gateway's own conditions.
func (c *Conditions) Observe(now time.Duration, ratio float64) float64 {
	logRatio := clampLog(math.Log(ratio))
	c.bias.add(now, biasHalfLife, logRatio, 1)
	c.common.add(now, commonHalfLife, logRatio, 1)
	return ratio / math.Exp(c.bias.value(biasPrior))
}

// Factor returns the factor by which work takes longer than predicted at all of the
// given number of servers.
func (c *Conditions) Factor(now time.Duration, servers int) float64 {
	return math.Exp(c.common.valueAt(now, commonHalfLife, commonPriorPerServer*float64(max(1, servers))))
}
