package limits

import (
	"math"
	"time"
)

// fairLevel finds the cost per second and unit of weight above which clients
// are throttled, so that the admitted cost equals the capacity. Like
// core-stateless fair queueing, it needs no list of clients: it scales the
// level by the ratio of the capacity to the admitted cost. There is one for
// each priority; it counts the requests of this priority and of more urgent
// ones, but throttles only those of this priority.
type fairLevel struct {
	// level is infinite while no client has to be throttled.
	level float64
	// offered and admitted are the cost since the period began, highestRate is
	// the highest offered rate per weight of a client in the period.
	offered, admitted, highestRate float64
}

// newFairLevels returns levels that throttle no client.
func newFairLevels(priorities int) []fairLevel {
	levels := make([]fairLevel, max(1, priorities))
	for i := range levels {
		levels[i].level = math.Inf(1)
	}
	return levels
}

// end adjusts the level at the end of a period.
func (f *fairLevel) end(period time.Duration, capacity float64) {
	offered := f.offered / period.Seconds()
	admitted := f.admitted / period.Seconds()
	switch {
	case offered <= capacity:
		f.level = math.Inf(1)
	case math.IsInf(f.level, 1):
		f.level = f.highestRate * capacity / offered
	case admitted > 0:
		f.level *= min(maxLevelChange, max(1/maxLevelChange, capacity/admitted))
	case capacity > 0:
		f.level *= maxLevelChange
	}
	f.level = max(f.level, minLevelShare*offered)
}

// keep reduces the counts of the ended period to the part that the next one starts
// with.
func (f *fairLevel) keep(part float64) {
	f.offered *= part
	f.admitted *= part
	f.highestRate = 0
}

const (
	// maxLevelChange bounds the factor by which the level changes in one period.
	maxLevelChange = 2
	// minLevelShare bounds the level from below, as a share of what is offered. A
	// level that more urgent requests have reduced to 0 could not rise again.
	minLevelShare = 1e-5
)

// updateLevels adjusts the levels at the end of a period.
func (l *Limiter) updateLevels(now time.Duration) {
	period := now - l.periodStart
	if period < l.levelPeriod || l.periodRequests < l.opts.LevelRequests && period < maxPeriods*l.levelPeriod {
		return
	}
	admitted := l.fair[len(l.fair)-1].admitted
	kept := l.opts.LevelMemory
	counted := period + l.keptPeriod
	for i := range l.fair {
		if lessUrgent := admitted - l.fair[i].admitted; lessUrgent > maxLessUrgent*admitted {
			l.fair[i].level = math.Inf(1)
		} else {
			l.fair[i].end(counted, l.capacity*l.share)
		}
		l.fair[i].keep(kept)
	}
	l.keptPeriod = time.Duration(kept * float64(counted))
	l.periodStart, l.periodRequests = now, 0
}

const (
	// maxPeriods bounds the length of a period with few requests.
	maxPeriods = 16
	// maxLessUrgent is the part of the admitted cost that less urgent requests may
	// have while more urgent ones are throttled. The capacity may be estimated too
	// low, and then those have to make room first.
	maxLessUrgent = 0.05
)

// throttlesMoreUrgent reports whether requests that are more urgent than the given
// priority are throttled.
func (l *Limiter) throttlesMoreUrgent(priority int) bool {
	return priority > 0 && !math.IsInf(l.fair[priority-1].level, 1)
}

// refund subtracts the cost of an admitted request that has not been executed.
func (l *Limiter) refund(r Request) {
	for i := l.priority(r); i < len(l.fair); i++ {
		l.fair[i].admitted = max(0, l.fair[i].admitted-r.Cost)
	}
}

// priority returns the nearest priority that the limiter distinguishes.
func (l *Limiter) priority(r Request) int { return min(max(r.Priority, 0), len(l.fair)-1) }

// countOffered counts a request in the levels of its priority and of less
// urgent ones.
func (l *Limiter) countOffered(a *account, r Request) {
	l.periodRequests++
	for i := l.priority(r); i < len(l.fair); i++ {
		l.fair[i].offered += r.Cost
		l.fair[i].highestRate = max(l.fair[i].highestRate, a.offeredRates[i]/a.weight)
	}
}

// withinFairShare reports whether a request fits the client's fair share, and
// counts it. Clients up to the fair level are always admitted. Those above it
// are admitted with the probability that reduces their rate to the level. What
// a client uses for more urgent requests counts against its share. The level is
// divided by the pressure, which is 1 if the servers' queue is as long as it
// should be. The level itself remains the one for a pressure of 1.
func (l *Limiter) withinFairShare(now time.Duration, a *account, r Request, pressure float64) bool {
	l.updateLevels(now)
	l.countOffered(a, r)
	p := l.priority(r)
	level, rate, urgent := l.fair[p].level, a.offeredRates[p]/a.weight, 0.0
	if p > 0 {
		urgent = a.offeredRates[p-1] / a.weight
	}
	draw := urgent + uniform(r.Seed)*(rate-urgent)
	if rate <= level || draw < level {
		for i := p; i < len(l.fair); i++ {
			l.fair[i].admitted += r.Cost
		}
	}
	return rate*pressure <= level || draw*pressure < level
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
