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

// slowQueue is the queue as a list that is sorted and scanned each time.
type slowQueue struct {
	limit int
	items []Attempt
}

func (q *slowQueue) push(item Attempt) bool {
	same := func(o Attempt) bool { return o.ID == item.ID }
	if len(q.items) >= q.limit || slices.ContainsFunc(q.items, same) {
		return false
	}
	q.items = append(q.items, item)
	return true
}

func (q *slowQueue) pop() (Attempt, bool) {
	if len(q.items) == 0 {
		return Attempt{}, false
	}
	next := slices.MinFunc(q.items, func(a, b Attempt) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Deadline-a.TypicalServiceTime, b.Deadline-b.TypicalServiceTime))
	})
	q.remove(next.ID)
	return next, true
}

func (q *slowQueue) remove(id string) bool {
	before := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(o Attempt) bool { return o.ID == id })
	return len(q.items) < before
}

func (q *slowQueue) expire(now time.Duration) []string {
	var ids []string
	for _, o := range slices.Clone(q.items) {
		if o.Deadline-o.MinServiceTime < now {
			ids = append(ids, o.ID)
			q.remove(o.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func TestQueueMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(rt, "limit")
		fast, slow := NewQueue(limit), &slowQueue{limit: limit}
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
				require.Equal(rt, slow.push(item), fast.Push(item))
			case 2:
				want, wantOK := slow.pop()
				got, ok := fast.Pop()
				require.Equal(rt, wantOK, ok)
				require.Equal(rt, want, got)
			case 3:
				require.Equal(rt, slow.remove(id), fast.Remove(id))
			case 4:
				now += time.Second
				var ids []string
				for _, o := range fast.Expire(now) {
					ids = append(ids, o.ID)
				}
				slices.Sort(ids)
				require.Equal(rt, slow.expire(now), ids)
			}
			require.Equal(rt, len(slow.items), fast.Len())
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
// ends in the same second.
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

func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	var refusals RetryAfterEstimator
	for range 500 {
		refusals.RecordAdmitted(0)
	}
	spread := func(seed uint64) time.Duration {
		return Decide(0, Request{Remaining: time.Second, PredictedFinish: 3 * time.Second, Seed: seed}, &refusals, DefaultOptions()).RetryAfter
	}
	fixed := func(uint64) time.Duration { return 2 * time.Second }
	require.Less(t, returnPeak(spread), 0.2)
	require.Equal(t, 1.0, returnPeak(fixed), "a fixed Retry-After brings all back at once")
}

func TestEnginePriorityOrdersByUrgency(t *testing.T) {
	require.Greater(t, EnginePriority(1, time.Hour), EnginePriority(0, time.Second))
	require.Greater(t, EnginePriority(0, 5*time.Second), EnginePriority(0, time.Minute))
}
