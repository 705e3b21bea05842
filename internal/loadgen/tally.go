package loadgen

import (
	"cmp"
	"slices"
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
)

// Histograms hold microseconds up to an hour with three digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// tally counts outcomes as they come.
type tally struct {
	experiment *loadv1.Experiment

	mu       sync.Mutex
	classes  map[string]*classTally
	outcomes []Outcome
	judgment EffectAudit
}

// classTally counts the outcomes of one class.
type classTally struct {
	counts                     Counts
	refusals                   map[refusalKey]int
	firstToken, between, whole *hdrhistogram.Histogram
}

// refusalKey tells refusals apart.
type refusalKey struct{ reason, notRun string }

func newTally(experiment *loadv1.Experiment) *tally {
	t := &tally{experiment: experiment, classes: make(map[string]*classTally)}
	for _, class := range experiment.GetClasses() {
		t.classes[class.GetName()] = &classTally{
			refusals:   make(map[refusalKey]int),
			firstToken: newHistogram(),
			between:    newHistogram(),
			whole:      newHistogram(),
		}
	}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// record adds a time; one beyond the histogram counts as its maximum.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), 1), histogramMax)
	if err := h.RecordValue(micros); err != nil {
		panic("load: a bounded time does not fit its histogram: " + err.Error())
	}
}

// add counts an outcome.
func (t *tally) add(out Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	class := t.classes[out.Arrival.Class.GetName()]
	class.counts.add(out)
	if out.Verdict == Answered {
		class.times(out)
	} else {
		class.refusals[refusalKey{out.Reason, out.NotRun}]++
	}
	out.TokenGaps = nil
	t.outcomes = append(t.outcomes, out)
}

func (c *classTally) times(out Outcome) {
	record(c.whole, out.Latency)
	if out.Arrival.Class.GetKind() != loadv1.ClassKind_CLASS_KIND_MODEL {
		return
	}
	record(c.firstToken, out.TimeToFirstToken)
	for _, gap := range out.TokenGaps {
		record(c.between, gap)
	}
}

// add counts an outcome.
func (c *Counts) add(out Outcome) {
	c.Sent++
	switch out.Verdict {
	case Answered:
		c.Answered++
	case Refused:
		c.Refused++
	case Unknown:
		c.Unknown++
	case Mismatched:
		c.Mismatched++
	}
	if out.InTime() {
		c.InTime++
	}
	if out.HasRetryAfter {
		c.RetryAfter++
	}
}

// plus adds other counts.
func (c *Counts) plus(other Counts) {
	c.Sent += other.Sent
	c.Answered += other.Answered
	c.Refused += other.Refused
	c.Unknown += other.Unknown
	c.Mismatched += other.Mismatched
	c.InTime += other.InTime
	c.RetryAfter += other.RetryAfter
}

// result sums up when all outcomes are in.
func (t *tally) result(p *probe) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Result{
		Name:        t.experiment.GetName(),
		Variant:     t.experiment.GetVariant(),
		Seed:        t.experiment.GetSeed(),
		Seconds:     SendDuration(t.experiment).Seconds(),
		Audit:       t.judgment,
		RoleChanges: p.roleChanges,
	}
	for _, class := range t.experiment.GetClasses() {
		tallied := t.classes[class.GetName()]
		r.Total.plus(tallied.counts)
		r.Classes = append(r.Classes, tallied.result(class.GetName()))
	}
	r.Goodput = float64(r.Total.InTime) / r.Seconds
	r.Series = append(goodputSeries(t.outcomes), p.series()...)
	return r
}

func (c *classTally) result(name string) ClassResult {
	r := ClassResult{
		Name:              name,
		Counts:            c.counts,
		TimeToFirstToken:  quantiles(c.firstToken),
		InterTokenLatency: quantiles(c.between),
		Latency:           quantiles(c.whole),
	}
	for key, count := range c.refusals {
		r.Unanswered = append(r.Unanswered, UnansweredCount{Reason: key.reason, NotRun: key.notRun, Count: count})
	}
	slices.SortFunc(r.Unanswered, func(a, b UnansweredCount) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.NotRun, b.NotRun))
	})
	return r
}
