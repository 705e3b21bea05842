package loadgen

import (
	"cmp"
	"slices"
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
)

// Histograms record microseconds, up to one hour, with three significant
// digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// tally aggregates outcomes as they arrive.
type tally struct {
	experiment *loadv1.Experiment

	mu       sync.Mutex
	classes  map[string]*classTally
	outcomes []Outcome
	audit    EffectAudit
}

// classTally aggregates the outcomes of one class.
type classTally struct {
	counts                          Counts
	unanswered                      map[unansweredKey]int
	firstToken, interToken, latency *hdrhistogram.Histogram
}

// unansweredKey groups the requests that were not answered.
type unansweredKey struct{ reason, notRun string }

func newTally(experiment *loadv1.Experiment) *tally {
	t := &tally{experiment: experiment, classes: make(map[string]*classTally)}
	for _, class := range experiment.GetClasses() {
		t.classes[class.GetName()] = &classTally{
			unanswered: make(map[unansweredKey]int),
			firstToken: newHistogram(),
			interToken: newHistogram(),
			latency:    newHistogram(),
		}
	}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// recordDuration adds a time to a histogram. Times beyond the range of the
// histogram are clamped.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), 1), histogramMax)
	if err := h.RecordValue(micros); err != nil {
		panic("loadgen: clamped time is outside the histogram range: " + err.Error())
	}
}

// add counts an outcome.
func (t *tally) add(out Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	class := t.classes[out.Arrival.Class.GetName()]
	class.counts.add(out)
	if out.Verdict == Answered {
		class.recordTimes(out)
	} else {
		class.unanswered[unansweredKey{out.Reason, out.NotRun}]++
	}
	out.TokenGaps = nil
	t.outcomes = append(t.outcomes, out)
}

// recordTimes records the times of an answered request. Only model requests
// have token times.
func (c *classTally) recordTimes(out Outcome) {
	recordDuration(c.latency, out.Latency)
	if out.Arrival.Class.GetKind() != loadv1.ClassKind_CLASS_KIND_MODEL {
		return
	}
	recordDuration(c.firstToken, out.TimeToFirstToken)
	for _, gap := range out.TokenGaps {
		recordDuration(c.interToken, gap)
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

// addAll adds other to c.
func (c *Counts) addAll(other Counts) {
	c.Sent += other.Sent
	c.Answered += other.Answered
	c.Refused += other.Refused
	c.Unknown += other.Unknown
	c.Mismatched += other.Mismatched
	c.InTime += other.InTime
	c.RetryAfter += other.RetryAfter
}

// result summarizes the outcomes once all of them have been added.
func (t *tally) result(p *probe) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Result{
		Name:        t.experiment.GetName(),
		Variant:     t.experiment.GetVariant(),
		Seed:        t.experiment.GetSeed(),
		Seconds:     SendDuration(t.experiment).Seconds(),
		Audit:       t.audit,
		RoleChanges: p.roleChanges,
	}
	for _, class := range t.experiment.GetClasses() {
		tallied := t.classes[class.GetName()]
		r.Total.addAll(tallied.counts)
		r.Classes = append(r.Classes, tallied.result(class.GetName()))
	}
	r.Goodput = float64(r.Total.InTime) / r.Seconds
	r.Series = append(requestSeries(t.outcomes), p.series()...)
	return r
}

func (c *classTally) result(name string) ClassResult {
	r := ClassResult{
		Name:              name,
		Counts:            c.counts,
		TimeToFirstToken:  quantiles(c.firstToken),
		InterTokenLatency: quantiles(c.interToken),
		Latency:           quantiles(c.latency),
	}
	for key, count := range c.unanswered {
		r.Unanswered = append(r.Unanswered, UnansweredCount{Reason: key.reason, NotRun: key.notRun, Count: count})
	}
	slices.SortFunc(r.Unanswered, func(a, b UnansweredCount) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.NotRun, b.NotRun))
	})
	return r
}
