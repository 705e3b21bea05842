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

// alwaysRetry is the naive policy: a fixed number of retries of whatever fails.
func alwaysRetry(a Attempt) Decision {
	if a.AttemptsMade < 3 {
		return Decision{Action: ActionRetry}
	}
	return Decision{Action: ActionRefuse}
}

// unsafe reports a decision that repeats an effect or tells the caller wrong.
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

func TestDecisionsAreSafe(t *testing.T) {
	naiveUnsafe := 0
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBudget(DefaultOptions(0.2))
		for range rapid.IntRange(1, 20).Draw(rt, "attempts") {
			a := drawAttempt(rt)
			d := b.Decide(a)
			require.False(rt, unsafe(a, d), "%+v: %+v", a, d)
			if d.Action == ActionRetry {
				require.Less(rt, d.Backoff+a.PredictedDuration, a.Remaining)
			}
			if unsafe(a, alwaysRetry(a)) {
				naiveUnsafe++
			}
		}
	})
	require.Positive(t, naiveUnsafe, "fixed retries repeat effects")
}

func TestBudgetBoundsRetries(t *testing.T) {
	const firsts, ratio = 10_000, 0.1
	opts := DefaultOptions(ratio)
	b := NewBudget(opts)
	retries, naive := 0, 0
	for i := range firsts {
		b.RecordFirstAttempt()
		spent := false
		for number := 1; number <= 3; number++ {
			a := Attempt{Idempotent: true, Ran: peerv1.Ran_RAN_UNKNOWN, AttemptsMade: number, Remaining: time.Minute, Seed: uint64(i)}
			if alwaysRetry(a).Action == ActionRetry {
				naive++
			}
			spent = spent || b.Decide(a).Action != ActionRetry
			if !spent {
				retries++
			}
		}
	}
	require.InDelta(t, ratio*firsts+opts.BudgetReserve, retries, 1)
	require.Equal(t, 2*firsts, naive, "fixed retries triple the load of an outage")
}

// slowHealth recounts everything from the list of failures and ejections.
type slowHealth struct {
	opts     HealthOptions
	pool     int
	failures map[string]int
	rounds   map[string]int
	until    map[string]time.Duration
}

func (h *slowHealth) failed(now time.Duration, name string) bool {
	h.failures[name]++
	away := 0
	for _, until := range h.until {
		if until > now {
			away++
		}
	}
	enough := h.failures[name] >= h.opts.ConsecutiveFailures
	room := float64(away+1) <= h.opts.MaxEjectedShare*float64(h.pool) && away+1 < h.pool
	if !enough || !room || h.until[name] > now {
		return false
	}
	length := h.opts.BaseEjection
	for range h.rounds[name] {
		length = min(2*length, h.opts.MaxEjection)
	}
	h.rounds[name]++
	h.failures[name] = 0
	h.until[name] = now + length
	return true
}

func TestHealthMatchesRecount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		opts := DefaultHealthOptions()
		pool := rapid.IntRange(1, 12).Draw(rt, "pool")
		var names []string
		for i := range pool {
			names = append(names, fmt.Sprint(i))
		}
		fast := NewHealthTracker(opts)
		fast.SetServers(names)
		slow := &slowHealth{opts, pool, map[string]int{}, map[string]int{}, map[string]time.Duration{}}
		var now time.Duration
		for range rapid.IntRange(1, 100).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(rt, "gap")) * time.Millisecond
			name := names[rapid.IntRange(0, pool-1).Draw(rt, "server")]
			if rapid.IntRange(0, 4).Draw(rt, "event") == 0 {
				fast.RecordSuccess(name)
				slow.failures[name], slow.rounds[name] = 0, 0
				continue
			}
			require.Equal(rt, slow.failed(now, name), fast.RecordFailure(now, name))
			require.Equal(rt, now >= slow.until[name], fast.Available(now, name))
		}
	})
}

// poolLeft returns how many of 12 backend servers are left when every attempt
// on every one of them fails.
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

func TestWaveOfErrorsNeverEmptiesThePool(t *testing.T) {
	require.Equal(t, 8, poolLeft(DefaultHealthOptions()))
	uncapped := DefaultHealthOptions()
	uncapped.MaxEjectedShare = 1
	require.Equal(t, 1, poolLeft(uncapped), "without the cap one is left")
}

func TestSlowStart(t *testing.T) {
	h := NewHealthTracker(DefaultHealthOptions())
	h.SetServers([]string{"a", "b", "c"})
	for range defaultFailures {
		h.RecordFailure(0, "a")
	}
	require.Zero(t, h.Weight(time.Second, "a"))
	start := defaultBaseEjection
	require.InDelta(t, startWeight, h.Weight(start, "a"), 1e-9)
	require.InDelta(t, 0.55, h.Weight(start+defaultSlowStart/2, "a"), 1e-9)
	require.InDelta(t, 1, h.Weight(start+defaultSlowStart, "a"), 1e-9)
	require.InDelta(t, 1, h.Weight(0, "b"), 1e-9)
}
