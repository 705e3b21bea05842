package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// referenceGate is a simple gate that keeps lists and recounts everything on
// each call.
type referenceGate struct {
	opts    GateOptions
	waiting []Attempt
	started []referenceRunning
}

type referenceRunning struct {
	Attempt
	priority  int
	prefilled bool
}

// next returns the next attempt to start: the first in order, unless the engine
// is full or busy with prompts of at least the same priority.
func (g *referenceGate) next(now time.Duration) (Attempt, bool) {
	if len(g.waiting) == 0 || len(g.started) >= g.opts.MaxSequences {
		return Attempt{}, false
	}
	slices.SortStableFunc(g.waiting, func(a, b Attempt) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return int(a.Deadline - a.TypicalServiceTime - b.Deadline + b.TypicalServiceTime)
	})
	a := g.waiting[0]
	priority := EnginePriority(a.Priority, a.Deadline-now)
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
	g.started = append(g.started, referenceRunning{a, priority, false})
	return a, true
}

func (g *referenceGate) load() (prompt, output int) {
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

func (g *referenceGate) find(id string) int {
	return slices.IndexFunc(g.started, func(s referenceRunning) bool { return s.ID == id })
}

func TestGateMatchesReference(t *testing.T) {
	opts := GateOptions{MaxSequences: 4, PromptWindow: 1000, QueueLimit: 100, PrefillRate: 8000, MinDecodeStep: time.Millisecond, FullBatchStep: 100 * time.Millisecond}
	rapid.Check(t, func(rt *rapid.T) {
		gate, reference := NewGate(opts), &referenceGate{opts: opts}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now := time.Duration(i) * 100 * time.Millisecond
			id := fmt.Sprint(rapid.IntRange(0, i).Draw(rt, "id"))
			at := reference.find(id)
			switch rapid.IntRange(0, 4).Draw(rt, "op") {
			case 0, 1:
				item := Attempt{
					ID: fmt.Sprint(i), Priority: rapid.IntRange(0, 1).Draw(rt, "priority"),
					Deadline:     now + time.Duration(rapid.IntRange(1, 60).Draw(rt, "deadline"))*time.Second,
					PromptTokens: rapid.IntRange(1, 1500).Draw(rt, "prompt"), OutputTokens: rapid.IntRange(0, 50).Draw(rt, "output"),
				}
				require.True(rt, gate.Submit(now, item, 1).Admitted)
				item = gate.withServiceTimes(item)
				reference.waiting = append(reference.waiting, item)
			case 2:
				gate.RecordPrefilled(id)
				if at >= 0 {
					reference.started[at].prefilled = true
				}
			case 3:
				gate.RecordEnd(id)
				if at >= 0 {
					reference.started = slices.Delete(reference.started, at, at+1)
				}
			case 4:
				before := len(reference.waiting)
				reference.waiting = slices.DeleteFunc(reference.waiting, func(o Attempt) bool { return o.ID == id })
				require.Equal(rt, len(reference.waiting) < before, gate.Withdraw(id))
			}
			want, wantOK := reference.next(now)
			got, ok := gate.StartNext(now)
			require.Equal(rt, wantOK, ok)
			require.Equal(rt, want, got)
			prompt, output := reference.load()
			load := gate.Load(now)
			require.Equal(rt, prompt, load.PromptTokens)
			require.Equal(rt, output, load.OutputTokens)
			require.Equal(rt, len(reference.waiting), load.Waiting)
			require.Equal(rt, len(reference.started), load.Running)
		}
	})
}

func TestSubmitRefusesAttemptsThatCannotFinish(t *testing.T) {
	opts := GateOptions{MaxSequences: 1, QueueLimit: 2, PrefillRate: 1000, Admission: DefaultOptions()}
	g := NewGate(opts)
	require.True(t, g.Submit(0, Attempt{ID: "a", Deadline: 10 * time.Second, PromptTokens: 5000}, 1).Admitted)
	out := g.Submit(0, Attempt{ID: "b", Deadline: 11 * time.Second, PromptTokens: 6000}, 2)
	require.Equal(t, ReasonOverloaded, out.Reason)
	require.Positive(t, out.RetryAfter)
	require.True(t, g.Submit(0, Attempt{ID: "c", Deadline: 3 * time.Second, PromptTokens: 2000}, 3).Admitted, "an earlier deadline is served first")
	require.Equal(t, ReasonOverloaded, g.Submit(0, Attempt{ID: "d", Deadline: time.Hour, PromptTokens: 1}, 4).Reason, "queue is full")
	require.Len(t, g.Expire(2*time.Second), 1)
}
