package enginemodel

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// arrival is a sequence with its submission time. Lists of arrivals are sorted
// by time.
type arrival struct {
	at  time.Duration
	seq Sequence
}

// referenceCompletions computes when each sequence ends by simulating every
// single step, without the optimizations of the model. It covers neither prefix
// caching nor imports.
func referenceCompletions(s Settings, arrivals []arrival) map[string]time.Duration {
	type job struct {
		arrival
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
			waiting = append(waiting, &job{arrival: a, order: next, left: a.seq.PromptTokens})
			next++
			if len(running) == 0 && len(waiting) == 1 {
				break // an idle engine starts with the first arrival alone
			}
		}
		sorted(waiting)
		for len(waiting) > 0 && len(running) < s.MaxBatch {
			need := kvReservation(waiting[0].seq, s.BlockTokens)
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
			used -= kvReservation(j.seq, s.BlockTokens)
		}
		running = kept
	}
	return done
}

func drawArrivals(t *rapid.T) []arrival {
	n := rapid.IntRange(1, 25).Draw(t, "n")
	at := time.Duration(0)
	var out []arrival
	for i := range n {
		at += time.Duration(rapid.IntRange(0, 400).Draw(t, "gap"))*time.Millisecond + time.Microsecond
		out = append(out, arrival{at, Sequence{
			ID:           fmt.Sprint(i),
			PromptTokens: rapid.IntRange(1, 900).Draw(t, "prompt"),
			OutputTokens: rapid.IntRange(1, 60).Draw(t, "output"),
			Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
		}})
	}
	return out
}

// modelCompletions runs the model and returns when each sequence ends. It also
// checks that no token is missing and that all memory is free in the end.
func modelCompletions(t require.TestingT, s Settings, arrivals []arrival) map[string]time.Duration {
	m, err := New(s, 1)
	require.NoError(t, err)
	done := make(map[string]time.Duration)
	tokens := make(map[string]int)
	take := func(events []Event) {
		for _, event := range events {
			if event.Kind == EventTokens {
				require.Equal(t, tokens[event.ID], event.TokenIndex, "token indexes are contiguous")
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
	take(advanceAll(m, time.Hour))
	require.Zero(t, m.kvUsed)
	require.Zero(t, m.queuedPrompt)
	for _, a := range arrivals {
		require.Equal(t, a.seq.OutputTokens, tokens[a.seq.ID])
	}
	return done
}

// The model gives the same completion times as the step-by-step reference, both
// with identical steps processed together and with SingleStep.
func TestMatchesStepByStepReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.MaxBatch = rapid.IntRange(1, 8).Draw(t, "batch")
		s.KVTokens = rapid.IntRange(1000, 4000).Draw(t, "kv")
		arrivals := drawArrivals(t)
		want := referenceCompletions(s, arrivals)
		require.Equal(t, want, modelCompletions(t, s, arrivals))
		s.SingleStep = true
		require.Equal(t, want, modelCompletions(t, s, arrivals))
	})
}
