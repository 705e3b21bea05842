// Package retry decides whether a failed attempt is retried and which backend
// servers are ejected for a while.
//
// Budget limits the retries of one service. HealthTracker ejects backend
// servers that fail repeatedly and returns them with a slow start. Both do no
// I/O, never block and are not safe for concurrent use: each entry and each
// gateway keeps one of each per service under a lock. Times are durations since
// an origin that the caller fixes once.
//
// The caller must call:
//
//   - Budget.RecordFirstAttempt for each first attempt;
//   - Budget.Decide before an attempt that did not complete is retried, and
//     Budget.DecideSend for each send of the retry beyond one;
//   - HealthTracker.RecordSuccess for each completed attempt, and RecordFailure
//     for each that failed because of the backend server or the connection to
//     it;
//   - HealthTracker.Weight (passed on to SetWeight of routing.Table in an entry
//     and of placement.Table in a gateway) or Available before a backend server
//     is chosen.
package retry

import (
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Action is what the caller of this package has to do after an attempt that did
// not complete.
type Action int

const (
	// ActionRefuse reports to the caller of the request that it was refused and
	// has not been executed.
	ActionRefuse Action = iota + 1
	// ActionReportUnknown reports that it is unknown whether the request was
	// executed.
	ActionReportUnknown
	// ActionFail reports that the request was executed and failed.
	ActionFail
	// ActionRetry starts another attempt after Backoff.
	ActionRetry
)

// Attempt describes an attempt that did not complete.
type Attempt struct {
	// Idempotent is whether the request may be executed more than once.
	Idempotent bool
	// Ran is whether the backend server received the attempt, as reported by
	// the gate. It is RAN_UNKNOWN if the gate did not answer.
	Ran peerv1.Ran
	// Reason is the refusal reason from the gate, or unspecified if the
	// connection was lost.
	Reason peerv1.RefusalReason
	// AttemptsMade is the number of attempts made, 1 after the first.
	AttemptsMade int
	// Exhausted is whether the request may have been executed as often as its
	// route permits.
	Exhausted bool
	// Free is whether the next attempt is the first one that counts against the budget.
	Free bool
	// Remaining is the time until the deadline, PredictedDuration the predicted
	// duration of another attempt.
	Remaining, PredictedDuration time.Duration
	// Seed randomizes the backoff. It must differ between requests.
	Seed uint64
}

// Decision is the reaction to an attempt that did not complete.
type Decision struct {
	Action  Action
	Backoff time.Duration
	// Denial is why there is no retry.
	Denial Denial
	// Tokens and Reserve are the state of the budget before the decision.
	Tokens, Reserve float64
}

// Options configure the retries.
type Options struct {
	// BudgetRatio is the number of retries allowed per first attempt.
	BudgetRatio float64
	// BudgetReserve is the largest number of retries that can be accumulated.
	BudgetReserve float64
	// RefillTime is the time in which the reserve is filled without any first
	// attempts.
	RefillTime time.Duration
	// MaxAttempts is the largest number of attempts of one request, including
	// the first.
	MaxAttempts int
	// BaseBackoff is the backoff after the first attempt. It doubles with each
	// further attempt, up to MaxBackoff.
	BaseBackoff, MaxBackoff time.Duration
}

// DefaultOptions returns the default options with the budget ratio of a
// service.
func DefaultOptions(ratio float64) Options {
	return Options{
		BudgetRatio:   ratio,
		BudgetReserve: defaultBudgetReserve,
		RefillTime:    defaultRefillTime,
		MaxAttempts:   defaultMaxAttempts,
		BaseBackoff:   defaultBaseBackoff,
		MaxBackoff:    defaultMaxBackoff,
	}
}

const (
	defaultBudgetReserve = 10
	defaultRefillTime    = 10 * time.Second
	defaultMaxAttempts   = 4
	defaultBaseBackoff   = 10 * time.Millisecond
	defaultMaxBackoff    = time.Second
)

// Budget is the retry budget of one service in one process (an entry or a
// gateway), implemented as a token bucket. First attempts and time fill it. It
// is empty at first, because an earlier incarnation of the process may have
// spent the reserve: however often processes are restarted, a fleet earns no
// more than its requests and its uptime allow.
type Budget struct {
	opts   Options
	tokens float64
	// refilledAt is the time up to which the tokens earned by time are counted.
	refilledAt time.Duration
}

// NewBudget returns an empty budget.
func NewBudget(now time.Duration, opts Options) *Budget {
	return &Budget{opts: opts, refilledAt: now}
}

// SetOptions replaces the options when the configuration changes.
func (b *Budget) SetOptions(now time.Duration, opts Options) {
	b.refill(now)
	b.opts = opts
	b.tokens = min(b.tokens, opts.BudgetReserve)
}

// Tokens returns the number of retries that the budget permits at present.
func (b *Budget) Tokens(now time.Duration) float64 {
	b.refill(now)
	return b.tokens
}

// refill adds the tokens earned by the time since the last refill.
func (b *Budget) refill(now time.Duration) {
	elapsed := now - b.refilledAt
	b.refilledAt = now
	if b.opts.RefillTime > 0 {
		b.earn(b.opts.BudgetReserve * float64(elapsed) / float64(b.opts.RefillTime))
	}
}

// earn adds tokens up to the reserve.
func (b *Budget) earn(tokens float64) {
	b.tokens = min(b.opts.BudgetReserve, b.tokens+tokens)
}

// RecordFirstAttempt counts a first attempt, which adds BudgetRatio to the
// budget.
func (b *Budget) RecordFirstAttempt() { b.earn(b.opts.BudgetRatio) }

// Decide returns the reaction to an attempt that did not complete. A retry is
// deducted from the budget, unless a leaving backend server refused the attempt.
// A request that is not idempotent is retried only if the gate reported that it
// was not executed.
func (b *Budget) Decide(now time.Duration, a Attempt) Decision {
	b.refill(now)
	d := Decision{Tokens: b.tokens, Reserve: b.opts.BudgetReserve}
	backoff := b.backoff(a)
	d.Denial = b.denial(a, backoff)
	if d.Denial != DenialNone {
		d.Action = finalAction(a)
		return d
	}
	if !isFree(a) {
		b.tokens--
	}
	d.Action, d.Backoff = ActionRetry, backoff
	return d
}

// DecideSend decides whether a request may be sent once more in addition to the
// retry that Decide has permitted, and deducts it from the budget.
func (b *Budget) DecideSend(now time.Duration) Decision {
	b.refill(now)
	d := Decision{Tokens: b.tokens, Reserve: b.opts.BudgetReserve, Denial: DenialBudget}
	if b.tokens >= 1 {
		b.tokens--
		d.Action, d.Denial = ActionRetry, DenialNone
	}
	return d
}

// denial returns why an attempt must not be retried after the backoff.
func (b *Budget) denial(a Attempt, backoff time.Duration) Denial {
	switch {
	case !canRepeat(a):
		return DenialMayHaveRun
	case isTerminal(a.Reason):
		return DenialTerminal
	case a.Exhausted, a.AttemptsMade >= b.opts.MaxAttempts:
		return DenialAttempts
	case backoff+a.PredictedDuration >= a.Remaining:
		return DenialDeadline
	case b.tokens < 1 && !isFree(a):
		return DenialBudget
	}
	return DenialNone
}

// isFree reports whether the budget does not count the next attempt.
func isFree(a Attempt) bool { return a.Free || isPlanned(a) }

// isPlanned reports whether the gate in front of a leaving backend server refused
// the attempt. Such a retry costs the service nothing, and callers must not
// notice a planned change.
func isPlanned(a Attempt) bool {
	return a.Ran == peerv1.Ran_RAN_NO && a.Reason == peerv1.RefusalReason_REFUSAL_REASON_LEAVING
}

// canRepeat reports whether another attempt is safe because the request is
// idempotent or has not been executed.
func canRepeat(a Attempt) bool {
	return a.Idempotent || a.Ran == peerv1.Ran_RAN_NO
}

// finalAction returns what to report if there is no further attempt.
func finalAction(a Attempt) Action {
	switch a.Ran {
	case peerv1.Ran_RAN_NO:
		return ActionRefuse
	case peerv1.Ran_RAN_YES:
		return ActionFail
	default:
		return ActionReportUnknown
	}
}

// isTerminal reports whether any other backend server would refuse for the same
// reason.
func isTerminal(r peerv1.RefusalReason) bool {
	switch r {
	case peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST,
		peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_MODEL,
		peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE,
		peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_CLIENT,
		peerv1.RefusalReason_REFUSAL_REASON_BODY_TOO_LARGE,
		peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED,
		peerv1.RefusalReason_REFUSAL_REASON_KEY_REUSED,
		peerv1.RefusalReason_REFUSAL_REASON_KEY_MISSING,
		peerv1.RefusalReason_REFUSAL_REASON_CLIENT_LIMIT,
		peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN,
		peerv1.RefusalReason_REFUSAL_REASON_CANCELLED:
		return true
	}
	return false
}

// backoff returns the pause before the next attempt. After a first attempt that
// was not executed, for example because the backend server was full or
// draining, another one is tried at once.
func (b *Budget) backoff(a Attempt) time.Duration {
	if a.Ran == peerv1.Ran_RAN_NO && a.AttemptsMade <= 1 {
		return 0
	}
	backoff := b.opts.BaseBackoff << min(max(a.AttemptsMade-1, 0), maxDoublings)
	backoff = min(backoff, b.opts.MaxBackoff)
	return backoff/2 + time.Duration(uniform(a.Seed)*float64(backoff/2))
}

// maxDoublings bounds the exponents of the backoff and of the ejection time, so
// that they do not overflow.
const maxDoublings = 16

// uniform returns a pseudo-random number in [0, 1) that depends only on the
// seed.
func uniform(seed uint64) float64 {
	x := seed + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
