package serverspeed

import (
	"math"
	"time"
)

// crowdingSteps are the shares of a server's slots from which the steps of Crowding
// begin. Below the first one a server has no crowding.
var crowdingSteps = [...]float64{0.25, 0.5, 0.75, 1}

const (
	// crowdingHalfLife is the half-life of observations, if there are newer ones, and
	// crowdingPrior the weight of no crowding.
	crowdingHalfLife = 2 * time.Minute
	crowdingPrior    = 6
	// minCrowding is the logarithm of a slowdown up to which it is taken for noise.
	minCrowding = 0.1
)

// Crowding is the factor by which work takes longer on a server that has many requests,
// beyond what the predictions account for. Some servers slow down long before all their
// slots are taken.
type Crowding struct {
	steps [len(crowdingSteps)]mean
	// factors are the factors of the steps, none of which is below that of an earlier
	// one; 0 stands for 1.
	factors [len(crowdingSteps)]float64
}

// crowdingStep returns the step of a utilisation, or -1.
func crowdingStep(utilization float64) int {
	step := -1
	for step+1 < len(crowdingSteps) && utilization >= crowdingSteps[step+1] {
		step++
	}
	return step
}

// Observe records that work that was sent at the given utilisation of the server's slots
// took the given factor of the time that it takes without other requests.
func (c *Crowding) Observe(now time.Duration, utilization, factor float64) {
	step := crowdingStep(utilization)
	if step < 0 || !(factor > 0) {
		return
	}
	c.steps[step].add(now, crowdingHalfLife, clampLog(math.Log(factor)), 1)
	highest := 0.0
	for i := range c.steps {
		crowding := c.steps[i].value(crowdingPrior)
		if crowding > minCrowding {
			highest = max(highest, crowding)
		}
		c.factors[i] = math.Exp(highest)
	}
}

// Factor returns the factor at a utilisation.
func (c *Crowding) Factor(utilization float64) float64 {
	step := crowdingStep(utilization)
	if step < 0 || c.factors[step] == 0 {
		return 1
	}
	return c.factors[step]
}
