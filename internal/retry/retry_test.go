package retry

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func drawAttempt(rt *rapid.T) Attempt {
	return Attempt{
		Idempotent:        rapid.Bool().Draw(rt, "idempotent"),
		Ran:               peerv1.Ran(rapid.IntRange(0, 3).Draw(rt, "ran")),
		Reason:            peerv1.RefusalReason(rapid.IntRange(0, 18).Draw(rt, "reason")),
		AttemptsMade:      rapid.IntRange(1, 6).Draw(rt, "number"),
		Remaining:         time.Duration(rapid.IntRange(0, 10).Draw(rt, "remaining")) * time.Second,
		PredictedDuration: time.Duration(rapid.IntRange(0, 5).Draw(rt, "predicted")) * time.Second,
		Seed:              rapid.Uint64().Draw(rt, "seed"),
	}
}

// alwaysRetry is a naive policy that retries any failure a fixed number of
// times.
func alwaysRetry(a Attempt) Decision {
	if a.AttemptsMade < 3 {
		return Decision{Action: ActionRetry}
	}
	return Decision{Action: ActionRefuse}
}

// unsafe reports whether a decision executes a request twice or reports a wrong
// result to the caller.
func unsafe(a Attempt, d Decision) bool {
	switch d.Action {
	case ActionRetry:
		return !a.Idempotent && a.Ran != peerv1.Ran_RAN_NO
	case ActionRefuse:
		return a.Ran != peerv1.Ran_RAN_NO
	case ActionFail:
		return a.Ran != peerv1.Ran_RAN_YES
	default:
		return a.Ran == peerv1.Ran_RAN_NO || a.Ran == peerv1.Ran_RAN_YES
	}
}

// No decision may execute a non-idempotent request twice or report a wrong result
// to the caller, regardless of what is known about the attempt.
func TestDecisionsAreSafe(t *testing.T) {
	naiveUnsafe := 0
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBudget(0, DefaultOptions(0.2))
		for range rapid.IntRange(1, 20).Draw(rt, "attempts") {
			a := drawAttempt(rt)
			d := b.Decide(0, a)
			require.False(rt, unsafe(a, d), "%+v: %+v", a, d)
			if d.Action == ActionRetry {
				require.Less(rt, d.Backoff+a.PredictedDuration, a.Remaining)
			}
			if unsafe(a, alwaysRetry(a)) {
				naiveUnsafe++
			}
		}
	})
	require.Positive(t, naiveUnsafe, "the naive policy must be seen to be unsafe")
}

// In an outage, in which every attempt fails, the retries must stay within the
// budget. Retries without a budget multiply the load on a service that is failing.
func TestBudgetBoundsRetries(t *testing.T) {
	const firsts, ratio = 10_000, 0.1
	opts := DefaultOptions(ratio)
	b := NewBudget(0, opts)
	retries, naive := 0, 0
	for i := range firsts {
		b.RecordFirstAttempt()
		exhausted := false
		for number := 1; number <= 3; number++ {
			a := Attempt{Idempotent: true, Ran: peerv1.Ran_RAN_UNKNOWN, AttemptsMade: number, Remaining: time.Minute, Seed: uint64(i)}
			if alwaysRetry(a).Action == ActionRetry {
				naive++
			}
			exhausted = exhausted || b.Decide(0, a).Action != ActionRetry
			if !exhausted {
				retries++
			}
		}
	}
	require.InDelta(t, ratio*firsts, retries, 1)
	require.Equal(t, 2*firsts, naive, "the naive policy triples the load in an outage")
}

// incarnation is one run of a process in a history with restarts.
type incarnation struct {
	lasts    time.Duration
	requests int
}

// serveFailing sends requests whose attempts all fail to a process with the
// budget, spread over its run, and returns the number of retries.
func (i incarnation) serveFailing(b *Budget, start time.Duration) int {
	retries := 0
	for n := range i.requests {
		now := start + i.lasts*time.Duration(n)/time.Duration(i.requests)
		b.RecordFirstAttempt()
		for made := 1; b.Decide(now, Attempt{Idempotent: true, AttemptsMade: made, Remaining: time.Minute}).Action == ActionRetry; made++ {
			retries++
		}
	}
	return retries
}

// Processes that share a budget and are killed again and again, while every attempt
// fails, must not retry more than the budget allows in one window.
func TestRestartsDoNotRefillRetryBudget(t *testing.T) {
	const processes, ratio, reserve, window = 5, 0.2, 50, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		opts := DefaultOptions(ratio)
		opts.RefillTime = 4 * window
		opts.BudgetReserve = 0.8 * reserve / processes
		requests, retries := 0, 0
		for range processes {
			start := opts.RefillTime
			budget := NewBudget(0, opts)
			for start < opts.RefillTime+window && rapid.IntRange(0, 9).Draw(rt, "goes on") > 0 {
				run := incarnation{
					lasts:    min(time.Duration(rapid.IntRange(10, 5000).Draw(rt, "lasts"))*time.Millisecond, opts.RefillTime+window-start),
					requests: rapid.IntRange(0, 60).Draw(rt, "requests"),
				}
				retries += run.serveFailing(budget, start)
				requests += run.requests
				start += run.lasts
				budget = NewBudget(start, opts)
			}
		}
		require.LessOrEqual(rt, float64(retries), ratio*float64(requests)+reserve)
	})
}

// A process that has had no requests yet must be able to retry the first ones,
// and a planned change must not need the budget at all.
func TestFirstRequestsAfterStartMayBeRetried(t *testing.T) {
	opts := DefaultOptions(0.1)
	b := NewBudget(0, opts)
	failed := Attempt{Idempotent: true, Ran: peerv1.Ran_RAN_UNKNOWN, AttemptsMade: 1, Remaining: time.Minute}
	require.Equal(t, DenialBudget, b.Decide(0, failed).Denial)
	leaving := Attempt{Ran: peerv1.Ran_RAN_NO, Reason: peerv1.RefusalReason_REFUSAL_REASON_LEAVING, AttemptsMade: 1, Remaining: time.Minute}
	require.Equal(t, ActionRetry, b.Decide(0, leaving).Action)
	require.Equal(t, ActionRetry, b.Decide(opts.RefillTime/5, failed).Action)
	require.InDelta(t, opts.BudgetReserve, b.Tokens(3*opts.RefillTime), 1e-9, "no more than the reserve")
}

// referenceHealth is a simple reference for HealthTracker that recounts
// ejections on each call.
type referenceHealth struct {
	opts         HealthOptions
	pool         int
	failures     map[string]int
	ejections    map[string]int
	ejectedUntil map[string]time.Duration
}

func (h *referenceHealth) failed(now time.Duration, name string) bool {
	h.failures[name]++
	ejected := 0
	for _, until := range h.ejectedUntil {
		if until > now {
			ejected++
		}
	}
	failedOften := h.failures[name] >= h.opts.ConsecutiveFailures
	room := float64(ejected+1) <= h.opts.MaxEjectedShare*float64(h.pool) && ejected+1 < h.pool
	if !failedOften || !room || h.ejectedUntil[name] > now {
		return false
	}
	duration := h.opts.BaseEjection
	for range h.ejections[name] {
		duration = min(2*duration, h.opts.MaxEjection)
	}
	h.ejections[name]++
	h.failures[name] = 0
	h.ejectedUntil[name] = now + duration
	return true
}

func TestHealthTrackerMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		opts := DefaultHealthOptions()
		pool := rapid.IntRange(1, 12).Draw(rt, "pool")
		var names []string
		for i := range pool {
			names = append(names, fmt.Sprint(i))
		}
		tracker := NewHealthTracker(opts)
		tracker.SetServers(names)
		reference := &referenceHealth{opts, pool, map[string]int{}, map[string]int{}, map[string]time.Duration{}}
		var now time.Duration
		for range rapid.IntRange(1, 100).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(rt, "gap")) * time.Millisecond
			name := names[rapid.IntRange(0, pool-1).Draw(rt, "server")]
			if rapid.IntRange(0, 4).Draw(rt, "event") == 0 {
				tracker.RecordSuccess(name)
				reference.failures[name], reference.ejections[name] = 0, 0
				continue
			}
			require.Equal(rt, reference.failed(now, name), tracker.RecordFailure(now, name) == Ejected)
			require.Equal(rt, now >= reference.ejectedUntil[name], tracker.Available(now, name))
		}
	})
}

// poolLeft returns how many of 12 backend servers remain available when every
// attempt on each of them fails.
func poolLeft(opts HealthOptions) int {
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprint(i))
	}
	h := NewHealthTracker(opts)
	h.SetServers(names)
	for range 100 {
		for _, name := range names {
			h.RecordFailure(0, name)
		}
	}
	left := 0
	for _, name := range names {
		if h.Available(0, name) {
			left++
		}
	}
	return left
}

// Errors on all backend servers at once, for example caused by a common
// dependency, must not eject the whole pool.
func TestErrorBurstNeverEmptiesThePool(t *testing.T) {
	require.Equal(t, 8, poolLeft(DefaultHealthOptions()))
	uncapped := DefaultHealthOptions()
	uncapped.MaxEjectedShare = 1
	require.Equal(t, 1, poolLeft(uncapped), "without the limit a single server remains")
}

func TestSlowStart(t *testing.T) {
	h := NewHealthTracker(DefaultHealthOptions())
	h.SetServers([]string{"a", "b", "c"})
	for range defaultConsecutiveFailures {
		h.RecordFailure(0, "a")
	}
	require.Zero(t, h.Weight(time.Second, "a"))
	start := defaultBaseEjection
	require.InDelta(t, startWeight, h.Weight(start, "a"), 1e-9)
	require.InDelta(t, 0.55, h.Weight(start+defaultSlowStart/2, "a"), 1e-9)
	require.InDelta(t, 1, h.Weight(start+defaultSlowStart, "a"), 1e-9)
	require.InDelta(t, 1, h.Weight(0, "b"), 1e-9)
}

// A backend server that fails again and again must not keep its load because no more
// may be ejected.
func TestFailingServersBeyondEjectionCapAreAvoided(t *testing.T) {
	h := NewHealthTracker(DefaultHealthOptions())
	h.SetServers([]string{"a", "b", "c", "d"})
	for range defaultConsecutiveFailures {
		h.RecordFailure(0, "a")
	}
	for range defaultConsecutiveFailures - 1 {
		require.Equal(t, NotEjected, h.RecordFailure(0, "b"))
	}
	require.Equal(t, Avoided, h.RecordFailure(0, "b"))
	require.True(t, h.Available(0, "b"))
	require.InDelta(t, avoidedWeight, h.Weight(0, "b"), 1e-9)
	require.Equal(t, NotEjected, h.RecordFailure(time.Second, "b"), "it is avoided already")
	require.InDelta(t, avoidedWeight, h.Weight(2*time.Second, "b"), 1e-9, "another failure prolongs it")
	require.InDelta(t, startWeight, h.Weight(time.Second+defaultBaseEjection, "b"), 1e-9)
	h.RecordSuccess("b")
	require.GreaterOrEqual(t, h.Weight(2*time.Second, "b"), startWeight)
	require.Equal(t, Ejected, h.RecordFailure(defaultBaseEjection, failing(h, "b", defaultBaseEjection)), "there is room again")
}

// failing lets a backend server fail until its next failure may eject it.
func failing(h *HealthTracker, name string, now time.Duration) string {
	for range defaultConsecutiveFailures - 1 {
		h.RecordFailure(now, name)
	}
	return name
}

// TestEndedServerIsEjectedAtOnce checks that no further failures of a server that has
// ended are awaited, and that its next start is used, slowly at first.
func TestEndedServerIsEjectedAtOnce(t *testing.T) {
	h := NewHealthTracker(DefaultHealthOptions())
	h.SetServers([]string{"a", "b", "c"})
	require.Equal(t, Ejected, h.RecordEnd(time.Second, "a"))
	require.Equal(t, NotEjected, h.RecordEnd(time.Second, "a"), "known")
	require.Equal(t, Avoided, h.RecordEnd(time.Second, "b"), "no more may be ejected")
	require.Equal(t, NotEjected, h.RecordEnd(time.Second, "unknown"))
	require.Zero(t, h.Weight(2*time.Second, "a"))
	require.InDelta(t, avoidedWeight, h.Weight(2*time.Second, "b"), 1e-9)
	for _, name := range []string{"a", "b"} {
		h.RecordStart(2*time.Second, name)
		require.InDelta(t, startWeight, h.Weight(2*time.Second, name), 1e-9)
		require.InDelta(t, 1, h.Weight(2*time.Second+defaultSlowStart, name), 1e-9)
	}
	h.RecordStart(2*time.Second, "c")
	require.InDelta(t, 1, h.Weight(2*time.Second, "c"), 1e-9, "its former start was sound")
}

// TestSuspectedServerIsAvoided checks a server that may have ended, until it is known.
func TestSuspectedServerIsAvoided(t *testing.T) {
	suspecting := func() *HealthTracker {
		h := NewHealthTracker(DefaultHealthOptions())
		h.SetServers([]string{"a", "b", "c"})
		h.Suspect("a", 2*time.Second)
		require.InDelta(t, avoidedWeight, h.Weight(time.Second, "a"), 1e-9)
		return h
	}
	h := suspecting()
	require.InDelta(t, 1, h.Weight(2*time.Second, "a"), 1e-9, "no answer")
	h = suspecting()
	h.Trust("a")
	require.InDelta(t, 1, h.Weight(time.Second, "a"), 1e-9, "alive")
	h.EndSuspicion("a", 3*time.Second)
	require.InDelta(t, 1, h.Weight(time.Second, "a"), 1e-9, "not suspected")
	h = suspecting()
	h.EndSuspicion("a", 3*time.Second)
	require.InDelta(t, 1, h.Weight(2*time.Second, "a"), 1e-9, "not prolonged")
	h = suspecting()
	h.EndSuspicion("a", time.Second+1)
	require.InDelta(t, avoidedWeight, h.Weight(time.Second, "a"), 1e-9, "not yet ended")
	require.InDelta(t, 1, h.Weight(time.Second+1, "a"), 1e-9, "unclear")
	h = suspecting()
	h.RecordEnd(time.Second, "a")
	require.Zero(t, h.Weight(time.Second, "a"), "ended")
}
