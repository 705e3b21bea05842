package bench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// seedRuns holds the results of all variants for one profile and seed. A
// variant that was not run with the seed has a nil result.
type seedRuns struct {
	bound      float64
	classBound []float64
	results    []*result
}

// profileRuns holds the results of all variants for one profile, by seed.
type profileRuns struct {
	profile  *profile
	variants []variant
	seeds    []seedRuns
}

// measure extracts one metric of a variant from the results of a seed.
type measure func(s seedRuns, variant int) float64

// medianAndRange returns the median, the minimum and the maximum of a metric
// over the seeds that the variant was run with.
func (p *profileRuns) medianAndRange(v int, m measure) (median, low, high float64) {
	var all []float64
	for _, s := range p.seeds {
		if s.results[v] != nil {
			all = append(all, m(s, v))
		}
	}
	if len(all) == 0 {
		return 0, 0, 0
	}
	slices.Sort(all)
	n := len(all)
	return (all[(n-1)/2] + all[n/2]) / 2, all[0], all[n-1]
}

func fractionOfBound(s seedRuns, v int) float64 { return s.results[v].goodput() / s.bound }

// fractionOfClassBound returns a measure of a class's goodput relative to the
// bound of that class with the whole fleet to itself.
func fractionOfClassBound(class int) measure {
	return func(s seedRuns, v int) float64 {
		return float64(s.results[v].inTime[class]) / s.classBound[class]
	}
}

func roleChanges(s seedRuns, v int) float64 { return float64(s.results[v].roleChanges) }

func reversedChanges(s seedRuns, v int) float64 { return float64(s.results[v].reversed) }

func retries(s seedRuns, v int) float64 { return float64(s.results[v].retries) }

func refusedFraction(s seedRuns, v int) float64 {
	return float64(sum(s.results[v].refused)) / float64(sum(s.results[v].offered))
}

// firstTokenP95 returns the 95th percentile of the time to the first token, in
// milliseconds.
func firstTokenP95(s seedRuns, v int) float64 {
	return s.results[v].firstTokenP95.Seconds() * 1e3
}

// interTokenP95 returns the 95th percentile of the time between tokens, in
// milliseconds.
func interTokenP95(s seedRuns, v int) float64 {
	return s.results[v].interTokenP95.Seconds() * 1e3
}

// writeTable writes the table of one profile. For each variant it shows the
// goodput relative to the bound (median and worst seed) and further metrics.
func (p *profileRuns) writeTable(out io.Writer) error {
	fmt.Fprintf(out, "\n%s, %d seeds\n", p.profile.name, len(p.seeds))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "variant\tseeds\tof bound\tworst")
	for _, c := range p.profile.classes {
		fmt.Fprintf(w, "\t%s\tworst", c.name)
	}
	fmt.Fprintln(w, "\trefused\tretries\tchanges\tmax\treversed\tfirst token ms\tinter-token ms")
	for v := range p.variants {
		p.writeVariant(w, v)
	}
	return w.Flush()
}

// seedCount returns the number of seeds that a variant was run with.
func (p *profileRuns) seedCount(v int) int {
	n := 0
	for _, s := range p.seeds {
		if s.results[v] != nil {
			n++
		}
	}
	return n
}

// writeVariant writes the row of one variant. Role changes are shown as median
// and maximum, reversed changes as maximum, and the other metrics as medians.
func (p *profileRuns) writeVariant(w io.Writer, v int) {
	median, worst, _ := p.medianAndRange(v, fractionOfBound)
	fmt.Fprintf(w, "%s\t%d\t%.4f\t%.4f", p.variants[v].name, p.seedCount(v), median, worst)
	for c := range p.profile.classes {
		median, worst, _ = p.medianAndRange(v, fractionOfClassBound(c))
		fmt.Fprintf(w, "\t%.4f\t%.4f", median, worst)
	}
	refused, _, _ := p.medianAndRange(v, refusedFraction)
	retried, _, _ := p.medianAndRange(v, retries)
	changes, _, maxChanged := p.medianAndRange(v, roleChanges)
	_, _, reversed := p.medianAndRange(v, reversedChanges)
	first, _, _ := p.medianAndRange(v, firstTokenP95)
	interToken, _, _ := p.medianAndRange(v, interTokenP95)
	fmt.Fprintf(w, "\t%.4f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\n", refused, retried, changes, maxChanged, reversed, first, interToken)
}

// writeSummary writes the summary line of one profile. It shows medians over
// the seeds, goodput and bound in requests in time per second of arrivals, and
// totals of the errors that must be 0. Variant 0 is the policy, variant 1 the
// baseline.
func (p *profileRuns) writeSummary(out io.Writer) {
	perSecond := func(m measure) measure {
		return func(s seedRuns, v int) float64 { return m(s, v) / p.profile.measuredDuration().Seconds() }
	}
	goodput := perSecond(func(s seedRuns, v int) float64 { return s.results[v].goodput() })
	policy, _, _ := p.medianAndRange(0, goodput)
	baseline, _, _ := p.medianAndRange(1, goodput)
	bound, _, _ := p.medianAndRange(0, perSecond(func(s seedRuns, _ int) float64 { return s.bound }))
	changes, _, _ := p.medianAndRange(0, roleChanges)
	baselineChanges, _, _ := p.medianAndRange(1, roleChanges)
	unknown, duplicates := 0, 0
	for _, s := range p.seeds {
		unknown += s.results[0].unknown
		duplicates += s.results[0].duplicates
	}
	fmt.Fprintf(out, "profile=%s goodput=%.2f naive_goodput=%.2f bound=%.2f role_changes=%g naive_role_changes=%g unknown=%d doubled=%d\n",
		p.profile.name, policy, baseline, bound, changes, baselineChanges, unknown, duplicates)
}

func writeElapsed(out io.Writer, elapsed time.Duration) {
	fmt.Fprintf(out, "\ncompleted in %s\n\n", elapsed.Round(time.Second))
}
