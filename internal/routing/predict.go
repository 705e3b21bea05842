package routing

import (
	"time"

	"github.com/marigoldwing/marigoldwing/internal/admission"
)

// UrgencyLevels is the number of urgency levels of prompt tokens.
const UrgencyLevels = admission.UrgencyLevels

// Backlog is what stands before a new request at one engine.
type Backlog struct {
	// PromptByUrgency tokens not yet prefilled, by urgency. Gates and engines start
	// the more urgent first.
	PromptByUrgency [UrgencyLevels]float64
	// OutputTokens still to be generated.
	OutputTokens float64
	// Sequences running or waiting.
	Sequences float64
}

// PromptTokensAhead returns the prompt tokens that go before a request of a level.
func (w Backlog) PromptTokensAhead(level int) float64 {
	tokens := 0.0
	for _, n := range w.PromptByUrgency[:level+1] {
		tokens += n
	}
	return tokens
}

// levelOf returns the level of a remaining time; all work goes before a request
// whose deadline is not known.
func levelOf(remaining time.Duration) int {
	if remaining <= 0 {
		return UrgencyLevels - 1
	}
	return admission.Urgency(remaining)
}

// add returns w with scale times the work of one request added.
func (w Backlog) add(scale float64, s Attempt) Backlog {
	w.PromptByUrgency[levelOf(s.Remaining)] += scale * float64(s.PromptTokens)
	w.OutputTokens += scale * float64(s.OutputTokens)
	w.Sequences += scale
	return w
}

// atLeastZero returns w without negative amounts.
func (w Backlog) atLeastZero() Backlog {
	for i := range w.PromptByUrgency {
		w.PromptByUrgency[i] = max(0, w.PromptByUrgency[i])
	}
	w.OutputTokens = max(0, w.OutputTokens)
	w.Sequences = max(0, w.Sequences)
	return w
}

// prefill returns w with so many prompt tokens less, the most urgent first.
func (w Backlog) prefill(tokens float64) Backlog {
	for i := range w.PromptByUrgency {
		done := min(tokens, w.PromptByUrgency[i])
		w.PromptByUrgency[i] -= done
		tokens -= done
	}
	return w
}

const (
	// minStepShare is the time of a decode step with one sequence, as a share
	// of the time with a full batch.
	minStepShare = 0.4
	// chunkTokens is the number of prompt tokens that a step prefills beside
	// its decodes.
	chunkTokens = 256.0
)

// stepSeconds returns the time of one decode step with a batch of this size.
func (e Engine) stepSeconds(batch float64) float64 {
	if e.DecodeRate <= 0 {
		return 0
	}
	full := float64(e.MaxBatch) / e.DecodeRate
	fill := min(1, batch/float64(max(1, e.MaxBatch)))
	return full * (minStepShare + (1-minStepShare)*fill)
}

// prefillStepSeconds returns the time of a step that prefills a chunk beside
// a batch of decodes.
func (e Engine) prefillStepSeconds(batch float64) float64 {
	step := chunkTokens / e.PrefillRate
	if batch > 0 {
		step += e.stepSeconds(batch)
	}
	return step
}

// batch returns the sequences that decode together.
func (e Engine) batch(sequences float64) float64 {
	return min(sequences, float64(e.MaxBatch))
}

// drain returns what is left of w after some seconds of work: prefill steps
// first, which also decode, then decode steps alone.
func (e Engine) drain(w Backlog, seconds float64) Backlog {
	if seconds <= 0 {
		return w
	}
	batch := e.batch(w.Sequences)
	steps := 0.0
	prompt := w.PromptTokensAhead(UrgencyLevels - 1)
	if prompt > 0 && e.PrefillRate > 0 {
		step := e.prefillStepSeconds(batch)
		steps = min(seconds/step, prompt/chunkTokens)
		w = w.prefill(steps * chunkTokens)
		prompt -= steps * chunkTokens
		seconds -= steps * step
	}
	if step := e.stepSeconds(batch); step > 0 {
		steps += seconds / step
	}
	if w.OutputTokens <= 0 {
		if prompt <= 0 {
			w.Sequences = 0
		}
		return w
	}
	left := max(0, w.OutputTokens-steps*batch)
	w.Sequences *= left / w.OutputTokens
	w.OutputTokens = left
	return w
}

// firstToken returns the seconds until the first token of a request with this
// many uncached prompt tokens, at a level.
func (e Engine) firstToken(w Backlog, prompt float64, level int) float64 {
	return e.waitForSlot(w) + e.prefillSeconds(w, prompt, level)
}

// prefillSeconds returns the seconds until the prompt has been prefilled,
// given a place in the batch.
func (e Engine) prefillSeconds(w Backlog, prompt float64, level int) float64 {
	if e.PrefillRate <= 0 {
		return 0
	}
	steps := (w.PromptTokensAhead(level) + prompt) / chunkTokens
	return steps * e.prefillStepSeconds(e.batch(w.Sequences))
}

// waitForSlot returns the seconds until the batch has room.
func (e Engine) waitForSlot(w Backlog) float64 {
	over := w.Sequences + 1 - float64(e.MaxBatch)
	if over <= 0 || w.Sequences <= 0 {
		return 0
	}
	mean := w.OutputTokens / w.Sequences
	return over * mean * e.stepSeconds(float64(e.MaxBatch)) / float64(e.MaxBatch)
}

// decodeSeconds returns the seconds from the first token to the last.
func (e Engine) decodeSeconds(w Backlog, output float64) float64 {
	return max(0, output-1) * e.stepSeconds(e.batch(w.Sequences+1))
}

// busySeconds returns the engine time that the work needs in full batches.
func (e Engine) busySeconds(w Backlog) float64 {
	busy := 0.0
	if e.PrefillRate > 0 {
		busy += w.PromptTokensAhead(UrgencyLevels-1) / e.PrefillRate
	}
	if e.DecodeRate > 0 {
		busy += w.OutputTokens / e.DecodeRate
	}
	return busy
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
