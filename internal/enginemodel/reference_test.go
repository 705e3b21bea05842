package enginemodel

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// arrivalAt is a sequence with its arrival; arrivals are in order of time.
type arrivalAt struct {
	at  time.Duration
	seq Sequence
}

// referenceDone computes when each sequence ends, one step at a time and with
// no shortcuts: no caching, no imports, no runs of equal steps.
func referenceDone(s Settings, arrivals []arrivalAt) map[string]time.Duration {
	type job struct {
		arrivalAt
		order, left, chunk, out int
	}
	var waiting, running []*job
	done := make(map[string]time.Duration)
	sorted := func(jobs []*job) {
		sort.SliceStable(jobs, func(i, k int) bool {
			if jobs[i].seq.Priority != jobs[k].seq.Priority {
				return jobs[i].seq.Priority > jobs[k].seq.Priority
			}
			return jobs[i].order < jobs[k].order
		})
	}
	now, next, used := time.Duration(0), 0, 0
	for len(done) < len(arrivals) {
		if len(waiting)+len(running) == 0 {
			now = max(now, arrivals[next].at)
		}
		for next < len(arrivals) && arrivals[next].at <= now {
			a := arrivals[next]
			waiting = append(waiting, &job{arrivalAt: a, order: next, left: a.seq.PromptTokens})
			next++
			if len(running) == 0 && len(waiting) == 1 {
				break // an idle engine starts with the first arrival alone
			}
		}
		sorted(waiting)
		for len(waiting) > 0 && len(running) < s.MaxBatch {
			need := kvNeed(waiting[0].seq, s.BlockTokens)
			if used+need > s.KVTokens {
				break
			}
			used += need
			running = append(running, waiting[0])
			waiting = waiting[1:]
		}
		sorted(running)
		decoders := 0
		for _, j := range running {
			if j.left == 0 {
				decoders++
			}
		}
		budget, prefill := s.StepTokenBudget-decoders, 0
		for _, j := range running {
			j.chunk = min(j.left, budget-prefill)
			prefill += j.chunk
		}
		step := time.Duration(float64(prefill) / s.PrefillRate * float64(time.Second))
		if decoders > 0 {
			step += s.DecodeStep + time.Duration(decoders-1)*s.DecodeStepPerSequence
		}
		now += step
		var kept []*job
		for _, j := range running {
			j.left -= j.chunk
			if j.left == 0 {
				j.out++
			}
			if j.out < j.seq.OutputTokens {
				kept = append(kept, j)
				continue
			}
			done[j.seq.ID] = now
			used -= kvNeed(j.seq, s.BlockTokens)
		}
		running = kept
	}
	return done
}

func drawArrivals(t *rapid.T) []arrivalAt {
	n := rapid.IntRange(1, 25).Draw(t, "n")
	at := time.Duration(0)
	var out []arrivalAt
	for i := range n {
		at += time.Duration(rapid.IntRange(0, 400).Draw(t, "gap"))*time.Millisecond + time.Microsecond
		out = append(out, arrivalAt{at, Sequence{
			ID:           fmt.Sprint(i),
			PromptTokens: rapid.IntRange(1, 900).Draw(t, "prompt"),
			OutputTokens: rapid.IntRange(1, 60).Draw(t, "output"),
			Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
		}})
	}
	return out
}

func runModel(t require.TestingT, s Settings, arrivals []arrivalAt) map[string]time.Duration {
	m, err := New(s, 1)
	require.NoError(t, err)
	done := make(map[string]time.Duration)
	tokens := make(map[string]int)
	take := func(events []Event) {
		for _, event := range events {
			if event.Kind == EventTokens {
				require.Equal(t, tokens[event.ID], event.TokenIndex, "no gap in tokens")
			}
			tokens[event.ID] += event.Tokens
			if event.Kind == EventDone {
				done[event.ID] = event.At
			}
		}
	}
	for _, a := range arrivals {
		require.NoError(t, m.Submit(a.at, a.seq))
		take(m.Advance(a.at))
	}
	take(drive(m, time.Hour))
	require.Zero(t, m.kvUsed)
	require.Zero(t, m.queuedPrompt)
	for _, a := range arrivals {
		require.Equal(t, a.seq.OutputTokens, tokens[a.seq.ID])
	}
	return done
}

// TestEqualsReference compares the model, with and without runs of equal
// steps, with the slow reference.
func TestEqualsReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.MaxBatch = rapid.IntRange(1, 8).Draw(t, "batch")
		s.KVTokens = rapid.IntRange(1000, 4000).Draw(t, "kv")
		arrivals := drawArrivals(t)
		want := referenceDone(s, arrivals)
		require.Equal(t, want, runModel(t, s, arrivals))
		s.SingleStep = true
		require.Equal(t, want, runModel(t, s, arrivals))
	})
}
