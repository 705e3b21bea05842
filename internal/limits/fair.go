package limits

import (
	"math"
	"time"
)

// fairLevel finds the cost per second and unit of weight above which clients
// are throttled, so that the admitted cost equals the capacity. Like
// core-stateless fair queueing, it needs no list of clients: it scales the
// level by the ratio of the capacity to the admitted cost.
type fairLevel struct {
	// level is infinite while no client has to be throttled.
	level float64
	// offered and admitted are the cost since the period began, highestRate is
	// the highest offered rate per weight of a client in the period.
	offered, admitted, highestRate float64
	periodStart                    time.Duration
}

// newFairLevel returns a level that throttles no client.
func newFairLevel() fairLevel { return fairLevel{level: math.Inf(1)} }

// update adjusts the level at the end of a period.
func (f *fairLevel) update(now time.Duration, capacity float64) {
	period := now - f.periodStart
	if period < levelPeriod {
		return
	}
	offered := f.offered / period.Seconds()
	admitted := f.admitted / period.Seconds()
	switch {
	case offered <= capacity:
		f.level = math.Inf(1)
	case math.IsInf(f.level, 1):
		f.level = f.highestRate * capacity / offered
	case admitted > 0:
		f.level *= min(maxLevelChange, max(1/maxLevelChange, capacity/admitted))
	}
	*f = fairLevel{level: f.level, periodStart: now}
}

// maxLevelChange bounds the factor by which the level changes in one period.
const maxLevelChange = 2

// refund subtracts the cost of an admitted request that has not been executed.
func (f *fairLevel) refund(cost float64) { f.admitted = max(0, f.admitted-cost) }

// withinFairShare reports whether a request fits the client's fair share, and
// counts it. Clients up to the fair level are always admitted. Those above it
// are admitted with the probability that reduces their rate to the level.
func (l *Limiter) withinFairShare(now time.Duration, a *account, r Request) bool {
	f := &l.fair
	f.update(now, l.capacity*l.share)
	rate := a.offeredRate / a.weight
	f.offered += r.Cost
	f.highestRate = max(f.highestRate, rate)
	if rate > f.level && uniform(r.Seed) >= f.level/rate {
		return false
	}
	f.admitted += r.Cost
	return true
}

// uniform returns a pseudo-random number in [0, 1) that depends only on the
// seed.
func uniform(seed uint64) float64 {
	x := seed + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
