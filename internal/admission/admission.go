// Package admission decides whether a request is admitted, in which order
// admitted attempts start, and when a refused caller should retry.
//
// An entry calls Decide with the predicted finish from routing before it sends
// an attempt. The gate in front of a backend server keeps admitted attempts in
// a Queue. It starts them by priority and then by the latest time at which they
// should start, and refuses attempts as soon as they can no longer meet their
// deadline.
//
// The package does no I/O, never blocks and takes times and random seeds as
// arguments. Times are durations since an origin that the caller fixes once. A
// Gate, Queue or RetryAfterEstimator is not safe for concurrent use.
package admission

import (
	"math"
	"time"
)

// Reason is the reason for refusing a request.
type Reason int

const (
	// ReasonNone means that the request was admitted.
	ReasonNone Reason = iota
	// ReasonExpired means that the deadline has passed.
	ReasonExpired
	// ReasonOverloaded means that the request is predicted to miss its deadline
	// or that the gate's queue is full.
	ReasonOverloaded
)

// Options configure admission.
type Options struct {
	// SafetyFactor multiplies the predicted finish before it is compared with
	// the remaining time. Zero disables the comparison.
	SafetyFactor float64
	// Slack is the time reserved for returning the response to the caller.
	Slack time.Duration
	// MinRetryAfter is the shortest Retry-After and the least time over which
	// retries are spread.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the longest Retry-After.
	MaxRetryAfter time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		SafetyFactor:  defaultSafetyFactor,
		Slack:         defaultSlack,
		MinRetryAfter: defaultMinRetryAfter,
		MaxRetryAfter: defaultMaxRetryAfter,
	}
}

const (
	defaultSafetyFactor  = 1.0
	defaultSlack         = 50 * time.Millisecond
	defaultMinRetryAfter = time.Second
	defaultMaxRetryAfter = 60 * time.Second
)

// Request holds the properties of a request that admission depends on.
type Request struct {
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// PredictedFinish is the predicted time until the request finishes.
	PredictedFinish time.Duration
	// Priority ranges from 0 (lowest) to 9. Decide does not use it.
	Priority int
	// Seed randomizes the Retry-After. It must differ between requests.
	Seed uint64
}

// Decision is the result of admission. A refused request has not been executed.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// Decide admits a request that is predicted to finish before its deadline. The
// entry calls it for each request, and the gate calls it again with its own
// prediction when an attempt arrives. estimator counts the refusal and computes
// its Retry-After.
func Decide(now time.Duration, r Request, estimator *RetryAfterEstimator, opts Options) Decision {
	if r.Remaining <= 0 {
		return Decision{Reason: ReasonExpired, RetryAfter: estimator.retryAfter(now, 0, r.Seed, opts)}
	}
	late := time.Duration(float64(r.PredictedFinish)*opts.SafetyFactor) + opts.Slack - r.Remaining
	if opts.SafetyFactor <= 0 || late <= 0 {
		return Decision{Admitted: true}
	}
	return Decision{Reason: ReasonOverloaded, RetryAfter: estimator.retryAfter(now, late, r.Seed, opts)}
}

// RefuseQueueFull returns the decision for an attempt that finds the queue
// full.
func RefuseQueueFull(now time.Duration, seed uint64, estimator *RetryAfterEstimator, opts Options) Decision {
	return Decision{Reason: ReasonOverloaded, RetryAfter: estimator.retryAfter(now, 0, seed, opts)}
}

// refusalWindow is the time constant with which counts of refused and admitted
// requests decay.
const refusalWindow = 10 * time.Second

// RetryAfterEstimator counts recently refused and admitted requests. It spreads
// the retries of refused callers over the time in which that many requests can
// be served. The zero value is ready to use.
type RetryAfterEstimator struct {
	refused  float64
	admitted float64
	at       time.Duration
}

// RecordAdmitted counts a request that was admitted and started.
func (e *RetryAfterEstimator) RecordAdmitted(now time.Duration) {
	e.decay(now)
	e.admitted++
}

func (e *RetryAfterEstimator) decay(now time.Duration) {
	if now <= e.at {
		return
	}
	factor := math.Exp(-float64(now-e.at) / float64(refusalWindow))
	e.refused *= factor
	e.admitted *= factor
	e.at = now
}

// retryAfter counts a refusal and returns its Retry-After: at least the
// predicted lateness, plus a random part of the time that it takes to serve all
// recently refused callers at the recent admission rate.
func (e *RetryAfterEstimator) retryAfter(now, late time.Duration, seed uint64, opts Options) time.Duration {
	e.decay(now)
	e.refused++
	half := opts.MaxRetryAfter / 2
	spread := half
	if e.admitted > 0 {
		spread = time.Duration(min(float64(half), e.refused/e.admitted*float64(refusalWindow)))
	}
	base := min(half, max(late, opts.MinRetryAfter))
	fraction := float64(mix(seed)>>11) / (1 << 53)
	return base + time.Duration(fraction*float64(max(spread, opts.MinRetryAfter)))
}

// mix is one step of the splitmix64 random number generator.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// UrgencyLevels is the number of urgency levels. Level 0 covers requests with
// up to one second until their deadline. Each further level covers up to twice
// the time of the one before, and the last has no upper bound.
const UrgencyLevels = 8

// UrgencyLevel returns the urgency level of a remaining time. Level 0 is the most
// urgent.
func UrgencyLevel(remaining time.Duration) int {
	level := 0
	for limit := time.Second; remaining > limit && level < UrgencyLevels-1; limit *= 2 {
		level++
	}
	return level
}

// EnginePriority returns the priority of a sequence at its engine. It orders by
// the priority of the request and then by urgency, so that requests with short
// deadlines do not wait behind long prompts that have time.
func EnginePriority(priority int, remaining time.Duration) int {
	return priority*UrgencyLevels + UrgencyLevels - 1 - UrgencyLevel(remaining)
}
