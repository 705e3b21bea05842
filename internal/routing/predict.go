package routing

import (
	"time"

	"github.com/marigoldwing/marigoldwing/internal/admission"
)

// UrgencyLevels is the number of urgency levels of prompt tokens.
const UrgencyLevels = admission.UrgencyLevels

// Backlog is the work of one engine that is ahead of a new request.
type Backlog struct {
	// PromptByUrgency is the number of prompt tokens not prefilled yet, by
	// urgency level. Gates and engines prefill more urgent levels first.
	PromptByUrgency [UrgencyLevels]float64
	// OutputTokens is the number of output tokens still to be generated.
	OutputTokens float64
	// Sequences is the number of running and waiting sequences.
	Sequences float64
}

// PromptTokensAhead returns the number of prompt tokens that are prefilled
// before a request of the given urgency level.
func (b Backlog) PromptTokensAhead(level int) float64 {
	tokens := 0.0
	for _, n := range b.PromptByUrgency[:level+1] {
		tokens += n
	}
	return tokens
}

// urgencyLevel returns the urgency level of a remaining time. A request without
// deadline gets the least urgent level.
func urgencyLevel(remaining time.Duration) int {
	if remaining <= 0 {
		return UrgencyLevels - 1
	}
	return admission.UrgencyLevel(remaining)
}

// add returns b plus scale times the work of an attempt.
func (b Backlog) add(scale float64, a Attempt) Backlog {
	b.PromptByUrgency[urgencyLevel(a.Remaining)] += scale * float64(a.PromptTokens)
	b.OutputTokens += scale * float64(a.OutputTokens)
	b.Sequences += scale
	return b
}

// nonNegative returns b with negative amounts replaced by zero.
func (b Backlog) nonNegative() Backlog {
	for i := range b.PromptByUrgency {
		b.PromptByUrgency[i] = max(0, b.PromptByUrgency[i])
	}
	b.OutputTokens = max(0, b.OutputTokens)
	b.Sequences = max(0, b.Sequences)
	return b
}

// afterPrefill returns b after a prefill of this many tokens, the most urgent
// first.
func (b Backlog) afterPrefill(tokens float64) Backlog {
	for i := range b.PromptByUrgency {
		done := min(tokens, b.PromptByUrgency[i])
		b.PromptByUrgency[i] -= done
		tokens -= done
	}
	return b
}

const (
	// minStepShare is the duration of a decode step with one sequence, as a
	// share of that with a full batch.
	minStepShare = 0.4
	// chunkTokens is the number of prompt tokens in a prefill chunk, which an
	// engine processes in one step together with its decodes.
	chunkTokens = 256.0
)

// stepSeconds returns the duration of a decode step with the given batch size.
func (e Engine) stepSeconds(batch float64) float64 {
	if e.DecodeRate <= 0 {
		return 0
	}
	full := float64(e.MaxBatch) / e.DecodeRate
	fill := min(1, batch/float64(max(1, e.MaxBatch)))
	return full * (minStepShare + (1-minStepShare)*fill)
}

// prefillStepSeconds returns the duration of a step that prefills one chunk and
// decodes the given batch.
func (e Engine) prefillStepSeconds(batch float64) float64 {
	step := chunkTokens / e.PrefillRate
	if batch > 0 {
		step += e.stepSeconds(batch)
	}
	return step
}

// batchSize returns the number of sequences that are decoded together.
func (e Engine) batchSize(sequences float64) float64 {
	return min(sequences, float64(e.MaxBatch))
}

// drain returns what is left of b after the given seconds. The engine first
// runs prefill steps, which include decodes, and then pure decode steps.
func (e Engine) drain(b Backlog, seconds float64) Backlog {
	if seconds <= 0 {
		return b
	}
	batch := e.batchSize(b.Sequences)
	steps := 0.0
	prompt := b.PromptTokensAhead(UrgencyLevels - 1)
	if prompt > 0 && e.PrefillRate > 0 {
		step := e.prefillStepSeconds(batch)
		steps = min(seconds/step, prompt/chunkTokens)
		b = b.afterPrefill(steps * chunkTokens)
		prompt -= steps * chunkTokens
		seconds -= steps * step
	}
	if step := e.stepSeconds(batch); step > 0 {
		steps += seconds / step
	}
	if b.OutputTokens <= 0 {
		if prompt <= 0 {
			b.Sequences = 0
		}
		return b
	}
	left := max(0, b.OutputTokens-steps*batch)
	b.Sequences *= left / b.OutputTokens
	b.OutputTokens = left
	return b
}

// firstTokenSeconds returns the predicted time to first token of a request with
// the given number of uncached prompt tokens and urgency level.
func (e Engine) firstTokenSeconds(b Backlog, prompt float64, level int) float64 {
	return e.slotWaitSeconds(b) + e.prefillSeconds(b, prompt, level)
}

// prefillSeconds returns the time until the prompt has been prefilled once the
// request is in the batch.
func (e Engine) prefillSeconds(b Backlog, prompt float64, level int) float64 {
	if e.PrefillRate <= 0 {
		return 0
	}
	steps := (b.PromptTokensAhead(level) + prompt) / chunkTokens
	return steps * e.prefillStepSeconds(e.batchSize(b.Sequences))
}

// slotWaitSeconds returns the time until the batch has room for another
// sequence.
func (e Engine) slotWaitSeconds(b Backlog) float64 {
	over := b.Sequences + 1 - float64(e.MaxBatch)
	if over <= 0 || b.Sequences <= 0 {
		return 0
	}
	mean := b.OutputTokens / b.Sequences
	return over * mean * e.stepSeconds(float64(e.MaxBatch)) / float64(e.MaxBatch)
}

// decodeSeconds returns the time from the first to the last output token.
func (e Engine) decodeSeconds(b Backlog, output float64) float64 {
	return max(0, output-1) * e.stepSeconds(e.batchSize(b.Sequences+1))
}

// engineSeconds returns the engine time that the backlog takes with full
// batches.
func (e Engine) engineSeconds(b Backlog) float64 {
	busy := 0.0
	if e.PrefillRate > 0 {
		busy += b.PromptTokensAhead(UrgencyLevels-1) / e.PrefillRate
	}
	if e.DecodeRate > 0 {
		busy += b.OutputTokens / e.DecodeRate
	}
	return busy
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
