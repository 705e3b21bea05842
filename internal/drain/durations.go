package drain

import (
	"math"
	"slices"
	"time"
)

const (
	// keptDurations is the number of the latest answers whose durations are kept.
	keptDurations = 64
	// minDurations is the number of answers from which on their durations are used.
	minDurations = 8
)

// Durations holds how long the latest answers to similar requests have taken. It is not
// safe for concurrent use.
type Durations struct {
	latest []time.Duration
	next   int
}

// Record records the duration of a complete answer.
func (d *Durations) Record(took time.Duration) {
	if len(d.latest) < keptDurations {
		d.latest = append(d.latest, took)
		return
	}
	d.latest[d.next] = took
	d.next = (d.next + 1) % keptDurations
}

// Quantile returns the duration that a share of the latest answers, from 0 to 1, has not
// exceeded. It returns false if there were too few answers.
func (d *Durations) Quantile(share float64) (time.Duration, bool) {
	if len(d.latest) < minDurations {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(d.latest))
	rank := int(math.Ceil(share * float64(len(sorted))))
	return sorted[max(0, rank-1)], true
}
