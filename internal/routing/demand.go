package routing

import (
	"math"
	"time"
)

// demandWindow is the time over which the entry's own demand is averaged.
const demandWindow = 10 * time.Second

// maxDemandShare bounds the share of an engine that more urgent work is
// expected to take.
const maxDemandShare = 0.8

// demand is the prompt tokens per second that the entry sends, by urgency.
type demand struct {
	tokens [UrgencyLevels]float64
	at     time.Duration
}

// add counts an attempt that the entry has sent.
func (d *demand) add(now time.Duration, s Attempt) {
	keep := d.keep(now)
	for i := range d.tokens {
		d.tokens[i] *= keep
	}
	d.at = max(d.at, now)
	d.tokens[levelOf(s.Remaining)] += float64(s.PromptTokens) / demandWindow.Seconds()
}

// keep returns the share of the average that is left at now.
func (d *demand) keep(now time.Duration) float64 {
	return math.Exp(-max(0, float64(now-d.at)) / float64(demandWindow))
}

// above returns the tokens per second that are more urgent than a level.
func (d *demand) above(now time.Duration, level int) float64 {
	sum := 0.0
	for _, n := range d.tokens[:level] {
		sum += n
	}
	return sum * d.keep(now)
}

// slowdown returns by how much the prefill of a request takes longer because
// more urgent requests will arrive before it is done: all entries' demand over
// all engines that prefill.
func (t *Table) slowdown(now time.Duration, c *candidate, level int) float64 {
	if t.opts.EntryCount <= 0 || c.PrefillRate <= 0 || len(t.prefills) == 0 {
		return 1
	}
	rate := chunkTokens / c.prefillStepSeconds(c.batch(c.work.Sequences))
	share := t.demand.above(now, level) * float64(t.opts.EntryCount) / (rate * float64(len(t.prefills)))
	return 1 / (1 - min(maxDemandShare, share))
}
