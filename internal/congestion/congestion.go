// Package congestion bounds the requests that a process works on at the same time.
//
// A process that works on more requests than its processor bears divides it among
// all of them: each takes so long that attempts time out and are repeated, and none
// is answered, for as long as callers come back. The bound is lowered while
// goroutines that are ready to run wait long for the processor, and raised while
// requests wait for the bound instead (additive increase, multiplicative
// decrease). Requests beyond the bound stand in a line in the order of their
// arrival. One that would not be reached before its deadline is refused at once.
//
// The load that this answers is a burst of requests that takes longer to serve than
// the timeouts of attempts.
//
// The caller must call:
//
//   - Arrive for each request, and Abandon if it leaves the line by itself;
//   - Finish for each request that has started;
//   - StartNext after each of these and after Observe, until it returns false;
//   - Observe regularly with the time that goroutines wait for the processor.
//
// The package does no I/O, never blocks and takes all times as arguments. They are
// durations since an origin that the caller fixes once. A Limiter is not safe for
// concurrent use.
package congestion

import (
	"slices"
	"time"
)

// Options configure a Limiter.
type Options struct {
	// MinLimit and MaxLimit bound the number of requests in progress. MaxLimit is the
	// first bound.
	MinLimit, MaxLimit int
	// MaxDelay is how long goroutines may wait for the processor.
	MaxDelay time.Duration
}

// DefaultOptions returns the default options of an entry. An instance at the target's
// rate has some 440 streams in progress, twice as many if half of the instances are lost.
func DefaultOptions() Options {
	return Options{MinLimit: defaultMinLimit, MaxLimit: defaultMaxLimit, MaxDelay: defaultMaxDelay}
}

const (
	defaultMinLimit = 32
	defaultMaxLimit = 2048
	defaultMaxDelay = 100 * time.Millisecond
	// decrease is the factor by which the bound is lowered.
	decrease = 0.8
	// increase is the number of requests by which it is raised.
	increase = 1
	// rateWindow is the time over which the rate of finished requests is counted, and
	// minRateWindow the shortest for which the rate is relied on.
	rateWindow    = 5 * time.Second
	minRateWindow = time.Second
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = time.Second
)

// Verdict is what becomes of a request that arrives.
type Verdict int

const (
	// Started requests are to be worked on now.
	Started Verdict = iota + 1
	// Waiting requests stand in the line until StartNext returns them.
	Waiting
	// Refused requests would not be reached before their deadline.
	Refused
)

// Arrival is the decision on a request that arrives.
type Arrival struct {
	Verdict Verdict
	// ID identifies a waiting request.
	ID uint64
	// RetryAfter is the time in which the present line is worked off, for a refused
	// request.
	RetryAfter time.Duration
}

// Limiter bounds the requests in progress of one process. The zero value is not
// usable; use New.
type Limiter struct {
	opts       Options
	limit      float64
	inProgress int
	line       []uint64
	// lineSince is the time since which there has been a line; it is valid if there is.
	lineSince time.Duration
	lastID    uint64
	// finished holds the times at which requests have finished, within rateWindow.
	finished []time.Duration
}

// New returns a Limiter without requests.
func New(opts Options) *Limiter {
	return &Limiter{opts: opts, limit: float64(opts.MaxLimit)}
}

// Arrive decides on a request that arrives and must be answered by deadline.
func (l *Limiter) Arrive(now, deadline time.Duration) Arrival {
	if len(l.line) == 0 && l.hasRoom() {
		l.inProgress++
		return Arrival{Verdict: Started}
	}
	if wait, known := l.expectedWait(now); known && now+wait >= deadline {
		return Arrival{Verdict: Refused, RetryAfter: max(wait, minRetryAfter)}
	}
	if len(l.line) == 0 {
		l.lineSince = now
	}
	l.lastID++
	l.line = append(l.line, l.lastID)
	return Arrival{Verdict: Waiting, ID: l.lastID}
}

// Abandon removes a request from the line. It reports false if the request does not
// stand there any more, because StartNext has returned it.
func (l *Limiter) Abandon(id uint64) bool {
	i, found := slices.BinarySearch(l.line, id)
	if found {
		l.line = slices.Delete(l.line, i, i+1)
	}
	return found
}

// Finish records that a request that has started has ended.
func (l *Limiter) Finish(now time.Duration) {
	l.inProgress--
	l.finished = append(l.forgetFinished(now), now)
}

// StartNext returns the first waiting request if it may start now.
func (l *Limiter) StartNext() (id uint64, ok bool) {
	if len(l.line) == 0 || !l.hasRoom() {
		return 0, false
	}
	id = l.line[0]
	l.line = l.line[1:]
	l.inProgress++
	return id, true
}

// Observe adjusts the bound to the time that goroutines wait for the processor. It
// reports whether requests have begun or ceased to be held back.
func (l *Limiter) Observe(delay time.Duration) (changed bool) {
	before := l.Limited()
	switch {
	case delay > l.opts.MaxDelay:
		l.limit = max(float64(l.opts.MinLimit), decrease*min(l.limit, float64(l.inProgress)))
	case l.Limited():
		l.limit = min(float64(l.opts.MaxLimit), l.limit+increase)
	}
	return l.Limited() != before
}

// Limited reports whether the bound is lower than at first.
func (l *Limiter) Limited() bool { return l.limit < float64(l.opts.MaxLimit) }

// Counts are the numbers of requests of a Limiter, for logs and metrics.
type Counts struct {
	Limit, InProgress, Waiting int
}

// Counts returns the present numbers of requests.
func (l *Limiter) Counts() Counts {
	return Counts{Limit: int(l.limit), InProgress: l.inProgress, Waiting: len(l.line)}
}

func (l *Limiter) hasRoom() bool { return l.inProgress < int(l.limit) }

// expectedWait returns the time until a request that joins the line starts, if enough
// requests have finished since there has been a line.
func (l *Limiter) expectedWait(now time.Duration) (time.Duration, bool) {
	l.finished = l.forgetFinished(now)
	window := min(rateWindow, now-l.lineSince)
	if len(l.line) == 0 || window < minRateWindow {
		return 0, false
	}
	first, _ := slices.BinarySearch(l.finished, now-window)
	finished := len(l.finished) - first
	if finished == 0 {
		return 0, false
	}
	return window * time.Duration(len(l.line)+1) / time.Duration(finished), true
}

// forgetFinished returns the times of finished requests within rateWindow.
func (l *Limiter) forgetFinished(now time.Duration) []time.Duration {
	first, _ := slices.BinarySearch(l.finished, now-rateWindow)
	return l.finished[first:]
}
