package limits

import (
	"math"
	"time"
)

// FairShare holds the clients of one service to their fair share while the
// service is short of capacity, and lets everything pass otherwise.
//
// The pressure on a request is 0 while it hardly waits behind others, and 1 once
// half of the time that it has to spare is predicted to pass before its turn. The
// service is short from the time at which its requests are under pressure until
// shortHold after the time at which they no longer are. Its capacity is what it
// has completed recently. Clients are held to the fair level divided by the
// pressure. That keeps the servers busy, without a queue everything is admitted,
// and what there is room for beyond the level is shared as fairly.
//
// The caller must call Admit once for each request, Completed when the request's
// work is done, and Refund if the request has not been executed after all.
//
// Like a Limiter it does no I/O and is not safe for concurrent use.
type FairShare struct {
	limiter *Limiter
	// pressure is the moving average of the pressure on requests, as of pressureAt.
	pressure   float64
	pressureAt time.Duration
	// completed is the moving average of the completed cost per second, as of
	// completedAt.
	completed   float64
	completedAt time.Duration
	// startedAt is the time of the first request, before which nothing can have been
	// completed; 0 if there was none.
	startedAt time.Duration
	// peak is the highest recent value of the completed cost per second, as of peakAt. It
	// decays with the time constant peakWindow.
	peak   float64
	peakAt time.Duration
	// capacityAt is when the capacity was set.
	capacityAt time.Duration
	// shortUntil is when the service is no longer short.
	shortUntil time.Duration
}

// Demand describes a request for a share of a service's capacity.
type Demand struct {
	Request
	// Wait is how long the request is predicted to wait behind others, and Spare
	// how long it may wait and be answered in time.
	Wait, Spare time.Duration
	// MaxRetryAfter is the longest time after which the caller comes back.
	MaxRetryAfter time.Duration
}

const (
	// noPressure and fullPressure are the parts of the time to spare from which a
	// predicted wait causes pressure and causes all of it. The ramp between them
	// keeps gateways that see an old queue from all refusing, and all admitting, at
	// the same time. The rest of the time is for what arrives before the level has
	// adjusted, and for errors of the predictions.
	noPressure, fullPressure = 0.1, 0.5
	// maxPressure bounds the pressure. Above 1 less than the capacity is given away, so
	// that the queue becomes shorter.
	maxPressure = 3
	// minSpare is the least time to spare, so that requests that can hardly be in
	// time on an idle server are not under pressure after a short wait.
	minSpare = 50 * time.Millisecond
	// pressureWindow is the time constant of the average pressure, and
	// minPressureGap the least time that one request stands for in it.
	pressureWindow = 250 * time.Millisecond
	minPressureGap = 10 * time.Millisecond
	// shortFrom is the average pressure from which the service is short, and
	// shortAbove that above which it remains so. Single long prompts wait without
	// any lack of capacity.
	shortFrom, shortAbove = 0.3, 0.1
	// queueFrom is the average pressure from which the level is sought. It is then
	// known when the service becomes short, a few hundred milliseconds later.
	queueFrom = 0.02
	// shortHold is how long the service then remains short, so that the level need
	// not be found again whenever the queue is empty for a moment.
	shortHold = 5 * time.Second
	// fairLevelPeriod and fairLevelRequests are the period of the level's
	// adjustment. A queue passes the objective within a second at twice the
	// capacity.
	fairLevelPeriod   = 250 * time.Millisecond
	fairLevelRequests = 8
	// fairLevelMemory bases a level on about three periods. Single periods of a
	// gateway with few requests differ from each other by a third.
	fairLevelMemory = 0.7
	// minOfPeak is the part of the peak, which decays with the time constant
	// peakWindow, that the capacity does not fall below. What is refused is not
	// completed either: if predictions are too long for a while, the capacity and the
	// level would reduce each other to 0.
	minOfPeak  = 0.5
	peakWindow = time.Minute
	// capacityInterval is the time between changes of the capacity, of which the level
	// makes use once in each period.
	capacityInterval = fairLevelPeriod / 8
	// minKnownWindow bounds the part of the window from which the completed cost is
	// inferred that has passed since the first request.
	minKnownWindow = 0.1
	// minReturn is the shortest time after which refused callers come back.
	minReturn = 50 * time.Millisecond
)

// NewFairShare returns the shares of a service that is not short of capacity. It
// keeps the usage of at most maxClients clients, and distinguishes the given number of
// priorities.
func NewFairShare(maxClients, priorities int) *FairShare {
	return &FairShare{limiter: New(Options{
		AllowUnlisted: true, MaxUnlisted: maxClients, Priorities: priorities,
		LevelPeriod: fairLevelPeriod, LevelRequests: fairLevelRequests, LevelMemory: fairLevelMemory,
	})}
}

// Admit decides on a request and counts it.
func (f *FairShare) Admit(now time.Duration, d Demand) Decision {
	if f.startedAt == 0 {
		f.startedAt = now
	}
	pressure := pressureOn(d)
	f.observe(now, pressure)
	l := f.limiter
	a, err := l.account(now, d.Client)
	if err != nil {
		// Unlisted clients are allowed.
		return Decision{Admitted: true}
	}
	priority := l.priority(d.Request)
	a.recordOffered(now, priority, d.Cost)
	if pressure > 0 && l.throttlesMoreUrgent(priority) {
		pressure = maxPressure
	}
	if l.withinFairShare(now, a, d.Request, pressure) || !f.Short(now) {
		return Decision{Admitted: true}
	}
	return Decision{Reason: ReasonFairShare, RetryAfter: returnAfter(d)}
}

// returnAfter returns when the caller of a refused request may come back: late in the
// time in which it does, when a short burst is over, and spread over half of that time.
func returnAfter(d Demand) time.Duration {
	return max(minReturn, time.Duration((1+uniform(d.Seed+1))/2*float64(d.MaxRetryAfter)))
}

// pressureOn returns the pressure on a request.
func pressureOn(d Demand) float64 {
	waits := d.Wait.Seconds() / max(d.Spare, minSpare).Seconds()
	return min(maxPressure, max(0, (waits-noPressure)/(fullPressure-noPressure)))
}

// observe records the pressure on a request, and sets the capacity.
func (f *FairShare) observe(now time.Duration, pressure float64) {
	gap := max(minPressureGap, now-f.pressureAt)
	f.pressure += -math.Expm1(-float64(gap)/float64(pressureWindow)) * (pressure - f.pressure)
	f.pressureAt = now
	if f.pressure >= shortFrom || f.pressure >= shortAbove && f.Short(now) {
		f.shortUntil = now + shortHold
	}
	if now-f.capacityAt < capacityInterval {
		return
	}
	f.capacityAt = now
	if f.pressure >= queueFrom || f.Short(now) {
		f.limiter.SetCapacity(f.capacity(now))
		return
	}
	f.limiter.SetCapacity(math.Inf(1))
}

// Short reports whether the service is short of capacity.
func (f *FairShare) Short(now time.Duration) bool { return now < f.shortUntil }

// Completed counts the cost of a request whose work is done, and returns the cost per
// second that has been completed recently.
func (f *FairShare) Completed(now time.Duration, cost float64) float64 {
	f.completed = f.completed*math.Exp(-float64(now-f.completedAt)/float64(usageWindow)) + cost/usageWindow.Seconds()
	f.completedAt = now
	return f.completed
}

// FairShareState is the state of a service's fair shares as shown to operators.
type FairShareState struct {
	Short bool `json:"short"`
	// Pressure is the average pressure on requests.
	Pressure float64 `json:"pressure"`
	// CompletedPerSecond is the cost that has been completed recently.
	CompletedPerSecond float64 `json:"completed_per_s"`
	// Level is the cost per second up to which a client is not held back at a pressure of
	// 1, for requests of the lowest priority; 0 if none is.
	Level float64 `json:"level"`
	// Clients is the number of clients whose usage is known.
	Clients int `json:"clients"`
}

// State returns the current state.
func (f *FairShare) State(now time.Duration) FairShareState {
	s := FairShareState{
		Short: f.Short(now), Pressure: f.pressure, CompletedPerSecond: f.Completed(now, 0),
		Level: f.limiter.fair[len(f.limiter.fair)-1].level, Clients: len(f.limiter.accounts),
	}
	if math.IsInf(s.Level, 1) {
		s.Level = 0
	}
	return s
}

// capacity returns the cost per second that the service can complete: what it has
// completed recently, and at least minOfPeak of the peak.
func (f *FairShare) capacity(now time.Duration) float64 {
	completed := f.Completed(now, 0) / max(minKnownWindow, -math.Expm1(-float64(now-f.startedAt)/float64(usageWindow)))
	f.peak = max(completed, f.peak*math.Exp(-float64(now-f.peakAt)/float64(peakWindow)))
	f.peakAt = now
	return max(completed, minOfPeak*f.peak)
}

// Refund reverts the count of a request that was admitted and not executed.
func (f *FairShare) Refund(r Request) { f.limiter.refund(r) }
