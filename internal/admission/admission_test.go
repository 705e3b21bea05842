package admission

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// referenceQueue is a simple queue that sorts and scans a list on each call.
type referenceQueue struct {
	limit    int
	attempts []Attempt
}

func (q *referenceQueue) push(a Attempt) bool {
	same := func(o Attempt) bool { return o.ID == a.ID }
	if len(q.attempts) >= q.limit || slices.ContainsFunc(q.attempts, same) {
		return false
	}
	q.attempts = append(q.attempts, a)
	return true
}

func (q *referenceQueue) pop() (Attempt, bool) {
	if len(q.attempts) == 0 {
		return Attempt{}, false
	}
	next := slices.MinFunc(q.attempts, func(a, b Attempt) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Deadline-a.TypicalServiceTime, b.Deadline-b.TypicalServiceTime))
	})
	q.remove(next.ID)
	return next, true
}

func (q *referenceQueue) remove(id string) bool {
	before := len(q.attempts)
	q.attempts = slices.DeleteFunc(q.attempts, func(o Attempt) bool { return o.ID == id })
	return len(q.attempts) < before
}

func (q *referenceQueue) expire(now time.Duration) []string {
	var ids []string
	for _, o := range slices.Clone(q.attempts) {
		if o.Deadline-o.MinServiceTime < now {
			ids = append(ids, o.ID)
			q.remove(o.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func TestQueueMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(rt, "limit")
		queue, reference := NewQueue(limit), &referenceQueue{limit: limit}
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 30).Draw(rt, "id"))
			switch rapid.IntRange(0, 4).Draw(rt, "op") {
			case 0, 1:
				item := Attempt{
					ID: id, Priority: rapid.IntRange(0, 2).Draw(rt, "priority"),
					Deadline:           now + time.Duration(rapid.IntRange(0, 9).Draw(rt, "deadline"))*time.Second,
					TypicalServiceTime: time.Duration(rapid.IntRange(0, 4).Draw(rt, "typical")) * time.Second,
					MinServiceTime:     time.Duration(rapid.IntRange(0, 4).Draw(rt, "service")) * time.Second,
				}
				require.Equal(rt, reference.push(item), queue.Push(item))
			case 2:
				want, wantOK := reference.pop()
				got, ok := queue.Pop()
				require.Equal(rt, wantOK, ok)
				require.Equal(rt, want, got)
			case 3:
				require.Equal(rt, reference.remove(id), queue.Remove(id))
			case 4:
				now += time.Second
				var ids []string
				for _, o := range queue.Expire(now) {
					ids = append(ids, o.ID)
				}
				slices.Sort(ids)
				require.Equal(rt, reference.expire(now), ids)
			}
			require.Equal(rt, len(reference.attempts), queue.Len())
		}
	})
}

func TestDecide(t *testing.T) {
	opts := Options{SafetyFactor: 1, Slack: time.Second, MinRetryAfter: time.Second, MaxRetryAfter: time.Minute}
	for _, c := range []struct {
		name                 string
		remaining, predicted time.Duration
		want                 Reason
	}{
		{"in time", 5 * time.Second, 4 * time.Second, ReasonNone},
		{"too late", 5 * time.Second, 4*time.Second + 1, ReasonOverloaded},
		{"expired", 0, 0, ReasonExpired},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := Decide(0, Request{Remaining: c.remaining, PredictedFinish: c.predicted, Seed: 1}, &RetryAfterEstimator{}, opts)
			require.Equal(t, c.want, out.Reason)
			require.Equal(t, c.want == ReasonNone, out.Admitted)
			require.Equal(t, c.want != ReasonNone, out.RetryAfter >= opts.MinRetryAfter)
		})
	}
}

// returnPeak returns the largest share of refused callers whose Retry-After
// ends within the same second.
func returnPeak(retryAfter func(seed uint64) time.Duration) float64 {
	const callers = 2000
	bySecond := make(map[time.Duration]int)
	most := 0
	for seed := range uint64(callers) {
		second := retryAfter(seed) / time.Second
		bySecond[second]++
		most = max(most, bySecond[second])
	}
	return float64(most) / callers
}

// Callers refused together must not retry in the same second and overload the
// service again.
func TestRetryAfterSpreadsRetries(t *testing.T) {
	var estimator RetryAfterEstimator
	for range 500 {
		estimator.RecordAdmitted(0)
	}
	spread := func(seed uint64) time.Duration {
		return Decide(0, Request{Remaining: time.Second, PredictedFinish: 3 * time.Second, Seed: seed}, &estimator, DefaultOptions()).RetryAfter
	}
	fixed := func(uint64) time.Duration { return 2 * time.Second }
	require.Less(t, returnPeak(spread), 0.2)
	require.Equal(t, 1.0, returnPeak(fixed), "with a fixed Retry-After all callers retry at once")
}

func TestEnginePriorityOrdersByUrgency(t *testing.T) {
	require.Greater(t, EnginePriority(1, time.Hour), EnginePriority(0, time.Second))
	require.Greater(t, EnginePriority(0, 5*time.Second), EnginePriority(0, time.Minute))
}
