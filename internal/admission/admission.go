// Package admission decides whether a request is taken in, in which order
// admitted requests start, and when a refused caller is to come back.
//
// The entry calls Decide with the finish that routing predicts, before it
// sends an attempt. The gate of a backend server holds admitted attempts in a
// Queue, which starts them by priority and then by earliest deadline, less the
// time that they typically need, and gives up at once on those that can no
// longer be met.
//
// Everything is pure state: time and seeds are arguments and nothing blocks.
// Times are durations since an origin that the caller fixes once. A Queue or a
// Refusals is not safe for concurrent use.
package admission

import (
	"math"
	"time"
)

// Reason is why a request was refused.
type Reason int

const (
	// ReasonNone: the request was admitted.
	ReasonNone Reason = iota
	// ReasonExpired: its deadline has passed.
	ReasonExpired
	// ReasonOverloaded: it is not predicted to finish in time, or the gate's
	// queue is full.
	ReasonOverloaded
)

// Options set how requests are admitted.
type Options struct {
	// SafetyFactor multiplies the predicted finish before it is compared with the
	// remaining time; 0 takes the comparison out.
	SafetyFactor float64
	// Slack is time kept for the way back to the caller.
	Slack time.Duration
	// MinRetryAfter is the least Retry-After; spreads start from it.
	MinRetryAfter time.Duration
	// MaxRetryAfter bounds the Retry-After.
	MaxRetryAfter time.Duration
}

// DefaultOptions returns the usual options.
func DefaultOptions() Options {
	return Options{
		SafetyFactor:  defaultMargin,
		Slack:         defaultSlack,
		MinRetryAfter: defaultMinRetryAfter,
		MaxRetryAfter: defaultMaxRetryAfter,
	}
}

const (
	defaultMargin        = 1.0
	defaultSlack         = 50 * time.Millisecond
	defaultMinRetryAfter = time.Second
	defaultMaxRetryAfter = 60 * time.Second
)

// Request is what the decision at the entry depends on.
type Request struct {
	// Remaining time until the deadline.
	Remaining time.Duration
	// PredictedFinish time until the finish, from routing.
	PredictedFinish time.Duration
	// Priority, 0 (lowest) to 9.
	Priority int
	// Seed spreads the Retry-After; it must differ between requests.
	Seed uint64
}

// Decision is the decision on one request. A refused request has not run.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
}

// Decide admits a request that is predicted to finish before its deadline. The
// entry calls it for each request, and the gate again when an attempt arrives,
// with the gate's own prediction. refusals spreads the Retry-After of refused
// callers and takes this refusal in.
func Decide(now time.Duration, r Request, refusals *RetryAfterEstimator, opts Options) Decision {
	if r.Remaining <= 0 {
		return Decision{Reason: ReasonExpired, RetryAfter: refusals.retryAfter(now, 0, r.Seed, opts)}
	}
	late := time.Duration(float64(r.PredictedFinish)*opts.SafetyFactor) + opts.Slack - r.Remaining
	if opts.SafetyFactor <= 0 || late <= 0 {
		return Decision{Admitted: true}
	}
	return Decision{Reason: ReasonOverloaded, RetryAfter: refusals.retryAfter(now, late, r.Seed, opts)}
}

// RefuseQueueFull is the outcome for an attempt that a full queue cannot take.
func RefuseQueueFull(now time.Duration, seed uint64, refusals *RetryAfterEstimator, opts Options) Decision {
	return Decision{Reason: ReasonOverloaded, RetryAfter: refusals.retryAfter(now, 0, seed, opts)}
}

// refusalWindow is the time over which refusals are counted.
const refusalWindow = 10 * time.Second

// RetryAfterEstimator counts recent refusals and admitted requests, to spread the return
// of refused callers over the time in which that many can be served. The zero
// value is ready for use.
type RetryAfterEstimator struct {
	refused  float64
	admitted float64
	at       time.Duration
}

// RecordAdmitted counts a request that was admitted and started.
func (f *RetryAfterEstimator) RecordAdmitted(now time.Duration) {
	f.decay(now)
	f.admitted++
}

func (f *RetryAfterEstimator) decay(now time.Duration) {
	if now <= f.at {
		return
	}
	keep := math.Exp(-float64(now-f.at) / float64(refusalWindow))
	f.refused *= keep
	f.admitted *= keep
	f.at = now
}

// retryAfter counts a refusal and returns when the caller is to come back: not
// before the lateness is over, and spread evenly over the time that serving
// all recently refused callers takes at the recent rate of admission.
func (f *RetryAfterEstimator) retryAfter(now, late time.Duration, seed uint64, opts Options) time.Duration {
	f.decay(now)
	f.refused++
	half := opts.MaxRetryAfter / 2
	spread := half
	if f.admitted > 0 {
		spread = time.Duration(min(float64(half), f.refused/f.admitted*float64(refusalWindow)))
	}
	base := min(half, max(late, opts.MinRetryAfter))
	share := float64(mix(seed)>>11) / (1 << 53)
	return base + time.Duration(share*float64(max(spread, opts.MinRetryAfter)))
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// UrgencyLevels is the number of levels by which work is told apart: the first
// for requests with up to a second until their deadline, each further one for
// up to twice the time, and the last without bound.
const UrgencyLevels = 8

// Urgency returns the level of a remaining time, 0 for the most urgent.
func Urgency(remaining time.Duration) int {
	level := 0
	for limit := time.Second; remaining > limit && level < UrgencyLevels-1; limit *= 2 {
		level++
	}
	return level
}

// EnginePriority returns the priority that the gate gives a sequence at its
// engine: the client's priority first, then the more urgent level, so that
// short deadlines do not wait behind long prompts that can.
func EnginePriority(priority int, remaining time.Duration) int {
	return priority*UrgencyLevels + UrgencyLevels - 1 - Urgency(remaining)
}
