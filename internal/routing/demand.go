package routing

import (
	"math"
	"time"
)

// demandWindow is the time constant of the moving average of the entry's own
// demand.
const demandWindow = 10 * time.Second

// maxUrgentShare bounds the share of an engine's prefill rate that more urgent
// arrivals are expected to take.
const maxUrgentShare = 0.8

// demand is a moving average of the prompt tokens per second that this entry
// sends, by urgency level.
type demand struct {
	tokensPerSecond [UrgencyLevels]float64
	updatedAt       time.Duration
}

// add counts a sent attempt.
func (d *demand) add(now time.Duration, a Attempt) {
	decay := d.decayFactor(now)
	for i := range d.tokensPerSecond {
		d.tokensPerSecond[i] *= decay
	}
	d.updatedAt = max(d.updatedAt, now)
	d.tokensPerSecond[urgencyLevel(a.Remaining)] += float64(a.PromptTokens) / demandWindow.Seconds()
}

// decayFactor returns the factor by which the average has decayed at now.
func (d *demand) decayFactor(now time.Duration) float64 {
	return math.Exp(-max(0, float64(now-d.updatedAt)) / float64(demandWindow))
}

// moreUrgentRate returns the demand, in prompt tokens per second, of the levels
// more urgent than the given one.
func (d *demand) moreUrgentRate(now time.Duration, level int) float64 {
	sum := 0.0
	for _, n := range d.tokensPerSecond[:level] {
		sum += n
	}
	return sum * d.decayFactor(now)
}

// arrivalSlowdown returns the factor by which a prefill takes longer because
// more urgent requests arrive before it is done. It assumes that all entries
// send as much as this one and that the demand spreads evenly over the prefill
// engines.
func (t *Table) arrivalSlowdown(now time.Duration, c *candidate, level int) float64 {
	if t.opts.EntryCount <= 0 || c.PrefillRate <= 0 || len(t.prefillEngines) == 0 {
		return 1
	}
	rate := chunkTokens / c.prefillStepSeconds(c.batchSize(c.backlogNow.Sequences))
	share := t.demand.moreUrgentRate(now, level) * float64(t.opts.EntryCount) / (rate * float64(len(t.prefillEngines)))
	return 1 / (1 - min(maxUrgentShare, share))
}
