package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// slowGate keeps lists and recounts everything at each call.
type slowGate struct {
	opts    GateOptions
	waiting []Attempt
	started []slowStarted
}

type slowStarted struct {
	Attempt
	priority  int
	prefilled bool
}

// next returns what starts: first in order, if the engine has room and is not
// busy with prompts that it would put before it.
func (g *slowGate) next(now time.Duration) (Attempt, bool) {
	if len(g.waiting) == 0 || len(g.started) >= g.opts.MaxSequences {
		return Attempt{}, false
	}
	slices.SortStableFunc(g.waiting, func(a, b Attempt) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return int(a.Deadline - a.TypicalServiceTime - b.Deadline + b.TypicalServiceTime)
	})
	item := g.waiting[0]
	priority := EnginePriority(item.Priority, item.Deadline-now)
	tokens := 0
	for _, s := range g.started {
		if !s.prefilled && s.priority >= priority {
			tokens += s.PromptTokens
		}
	}
	if tokens >= g.opts.PromptWindow {
		return Attempt{}, false
	}
	g.waiting = g.waiting[1:]
	g.started = append(g.started, slowStarted{item, priority, false})
	return item, true
}

func (g *slowGate) load() (prompt, output int) {
	for _, o := range g.waiting {
		prompt += o.PromptTokens
		output += o.OutputTokens
	}
	for _, s := range g.started {
		output += s.OutputTokens
		if !s.prefilled {
			prompt += s.PromptTokens
		}
	}
	return prompt, output
}

func (g *slowGate) find(id string) int {
	return slices.IndexFunc(g.started, func(s slowStarted) bool { return s.ID == id })
}

func TestGateMatchesLists(t *testing.T) {
	opts := GateOptions{MaxSequences: 4, PromptWindow: 1000, QueueLimit: 100, PrefillRate: 8000, MinDecodeStep: time.Millisecond, FullBatchStep: 100 * time.Millisecond}
	rapid.Check(t, func(rt *rapid.T) {
		fast, slow := NewGate(opts), &slowGate{opts: opts}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now := time.Duration(i) * 100 * time.Millisecond
			id := fmt.Sprint(rapid.IntRange(0, i).Draw(rt, "id"))
			at := slow.find(id)
			switch rapid.IntRange(0, 4).Draw(rt, "op") {
			case 0, 1:
				item := Attempt{
					ID: fmt.Sprint(i), Priority: rapid.IntRange(0, 1).Draw(rt, "priority"),
					Deadline:     now + time.Duration(rapid.IntRange(1, 60).Draw(rt, "deadline"))*time.Second,
					PromptTokens: rapid.IntRange(1, 1500).Draw(rt, "prompt"), OutputTokens: rapid.IntRange(0, 50).Draw(rt, "output"),
				}
				require.True(rt, fast.Submit(now, item, 1).Admitted)
				item = fast.withTimes(item)
				slow.waiting = append(slow.waiting, item)
			case 2:
				fast.RecordPrefilled(id)
				if at >= 0 {
					slow.started[at].prefilled = true
				}
			case 3:
				fast.RecordEnd(id)
				if at >= 0 {
					slow.started = slices.Delete(slow.started, at, at+1)
				}
			case 4:
				before := len(slow.waiting)
				slow.waiting = slices.DeleteFunc(slow.waiting, func(o Attempt) bool { return o.ID == id })
				require.Equal(rt, len(slow.waiting) < before, fast.Withdraw(id))
			}
			want, wantOK := slow.next(now)
			got, ok := fast.StartNext(now)
			require.Equal(rt, wantOK, ok)
			require.Equal(rt, want, got)
			prompt, output := slow.load()
			load := fast.Load(now)
			require.Equal(rt, prompt, load.PromptTokens)
			require.Equal(rt, output, load.OutputTokens)
			require.Equal(rt, len(slow.waiting), load.Waiting)
			require.Equal(rt, len(slow.started), load.Running)
		}
	})
}

func TestGateRefusesAtOnceWhatCannotFinish(t *testing.T) {
	opts := GateOptions{MaxSequences: 1, QueueLimit: 2, PrefillRate: 1000, Admission: DefaultOptions()}
	g := NewGate(opts)
	require.True(t, g.Submit(0, Attempt{ID: "a", Deadline: 10 * time.Second, PromptTokens: 5000}, 1).Admitted)
	out := g.Submit(0, Attempt{ID: "b", Deadline: 11 * time.Second, PromptTokens: 6000}, 2)
	require.Equal(t, ReasonOverloaded, out.Reason)
	require.Positive(t, out.RetryAfter)
	require.True(t, g.Submit(0, Attempt{ID: "c", Deadline: 3 * time.Second, PromptTokens: 2000}, 3).Admitted, "goes first")
	require.Equal(t, ReasonOverloaded, g.Submit(0, Attempt{ID: "d", Deadline: time.Hour, PromptTokens: 1}, 4).Reason, "queue is full")
	require.Len(t, g.Expire(2*time.Second), 1)
}
