// Package retry decides whether an attempt that did not complete is followed
// by another, and which backend servers are left alone for a while.
//
// Budget bounds the retries of one service; Health ejects and brings back its
// backend servers. Both are pure state, not safe for concurrent use: an entry
// keeps one of each per service under a lock. Times are durations since an
// origin that the caller fixes once.
//
// The caller's part: Budget.Attempted for each first attempt, Decide for each
// attempt that did not complete, Health.Succeeded and Health.Failed for each
// end of an attempt, and Health.Weight (passed on to routing.Table.SetWeight)
// or Health.Allowed before a choice.
package retry

import (
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Action is what to do after an attempt that did not complete.
type Action int

const (
	// Refuse: tell the caller that the request was refused and has not run.
	ActionRefuse Action = iota + 1
	// Unknown: tell the caller that it cannot be known whether it ran.
	ActionReportUnknown
	// Fail: tell the caller that it ran and failed.
	ActionFail
	// Retry: start another attempt, after Backoff.
	ActionRetry
)

// Attempt is an attempt that did not complete, and what is known of it.
type Attempt struct {
	// Idempotent is whether the request may run more than once.
	Idempotent bool
	// Ran is whether the backend server saw the attempt, by the gate's word;
	// RAN_UNKNOWN if the gate could not be asked.
	Ran peerv1.Ran
	// Reason the gate gave; unspecified if the connection was lost.
	Reason peerv1.RefusalReason
	// AttemptsMade of attempts made, 1 after the first.
	AttemptsMade int
	// Remaining time until the deadline, and the time that another attempt is
	// predicted to take.
	Remaining, PredictedDuration time.Duration
	// Seed spreads the backoff; it must differ between requests.
	Seed uint64
}

// Decision is what follows an attempt.
type Decision struct {
	Action  Action
	Backoff time.Duration
}

// Options set how often requests are retried.
type Options struct {
	// BudgetRatio is the retries allowed as a share of first attempts.
	BudgetRatio float64
	// BudgetReserve is the retries allowed without first attempts, and the
	// most that can be saved up.
	BudgetReserve float64
	// MaxAttempts of one request, the first included.
	MaxAttempts int
	// BaseBackoff doubles with each attempt up to MaxBackoff.
	BaseBackoff, MaxBackoff time.Duration
}

// DefaultOptions returns the usual options with a service's budget ratio.
func DefaultOptions(ratio float64) Options {
	return Options{
		BudgetRatio:   ratio,
		BudgetReserve: defaultBudgetReserve,
		MaxAttempts:   defaultMaxAttempts,
		BaseBackoff:   defaultBaseBackoff,
		MaxBackoff:    defaultMaxBackoff,
	}
}

const (
	defaultBudgetReserve = 10
	defaultMaxAttempts   = 4
	defaultBaseBackoff   = 10 * time.Millisecond
	defaultMaxBackoff    = time.Second
)

// Budget holds the retries that one service may still make at one entry.
type Budget struct {
	opts   Options
	tokens float64
}

// NewBudget returns a budget with its reserve full.
func NewBudget(opts Options) *Budget {
	return &Budget{opts: opts, tokens: opts.BudgetReserve}
}

// SetOptions replaces the options with each configuration in force.
func (b *Budget) SetOptions(opts Options) {
	b.opts = opts
	b.tokens = min(b.tokens, opts.BudgetReserve)
}

// RecordFirstAttempt counts a first attempt, which earns a part of a retry.
func (b *Budget) RecordFirstAttempt() {
	b.tokens = min(b.opts.BudgetReserve, b.tokens+b.opts.BudgetRatio)
}

// Decide says what follows an attempt that did not complete. A retry is taken
// off the budget. A non-idempotent request is retried only if the gate has said
// that it was not run.
func (b *Budget) Decide(a Attempt) Decision {
	if !mayRepeat(a) || final(a.Reason) {
		return Decision{Action: answer(a)}
	}
	backoff := b.backoff(a)
	if a.AttemptsMade >= b.opts.MaxAttempts || backoff+a.PredictedDuration >= a.Remaining || b.tokens < 1 {
		return Decision{Action: answer(a)}
	}
	b.tokens--
	return Decision{Action: ActionRetry, Backoff: backoff}
}

// mayRepeat is whether another attempt cannot repeat an effect.
func mayRepeat(a Attempt) bool {
	return a.Idempotent || a.Ran == peerv1.Ran_RAN_NO
}

// answer is what the caller is told when no attempt follows.
func answer(a Attempt) Action {
	switch a.Ran {
	case peerv1.Ran_RAN_NO:
		return ActionRefuse
	case peerv1.Ran_RAN_YES:
		return ActionFail
	default:
		return ActionReportUnknown
	}
}

// final is whether another backend server would refuse for the same reason.
func final(r peerv1.RefusalReason) bool {
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

// backoff returns the pause before the next attempt. After a refusal by a
// backend server that had no room or is leaving, another one is tried at once.
func (b *Budget) backoff(a Attempt) time.Duration {
	if a.Ran == peerv1.Ran_RAN_NO && a.AttemptsMade <= 1 {
		return 0
	}
	backoff := b.opts.BaseBackoff << min(max(a.AttemptsMade-1, 0), maxDoublings)
	backoff = min(backoff, b.opts.MaxBackoff)
	return backoff/2 + time.Duration(uniform(a.Seed)*float64(backoff/2))
}

// maxDoublings bounds the exponent of the backoff.
const maxDoublings = 16

// uniform returns a number in [0, 1) that depends on the seed alone.
func uniform(seed uint64) float64 {
	x := seed + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
