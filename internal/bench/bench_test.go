package bench

import (
	"context"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
)

// TestMain fixes the seed of the property-based tests, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// shorten reduces a profile to a run of a few seconds without faults.
func shorten(p profile) *profile {
	p.phases = []phase{{10 * time.Second, p.phases[0].rates}, {25 * time.Second, p.phases[1].rates}}
	p.faults, p.measureFrom = nil, 0
	return &p
}

// Two runs with the same seed give the same results.
func TestRunIsReproducible(t *testing.T) {
	p := shorten(servicioMorning("short"))
	first, err := runOne(p, policyVariant(), 1)
	require.NoError(t, err)
	second, err := runOne(p, policyVariant(), 1)
	require.NoError(t, err)
	require.Equal(t, first.inTime, second.inTime)
	require.Equal(t, first.firstTokenP95, second.firstTokenP95)
	require.Positive(t, first.goodput())
}

// Every request has exactly one outcome under the policy and the baseline, and
// neither exceeds the bound.
func TestEveryRequestHasOneOutcomeWithinBound(t *testing.T) {
	for _, base := range profiles() {
		p := shorten(base)
		requests := arrivals(p, 1, entryCount)
		limit := goodputBound(p, requests, func(*request) bool { return true })
		require.LessOrEqual(t, limit, float64(len(requests)))
		for _, v := range []variant{policyVariant(), baselineVariant()} {
			res, err := runOne(p, v, 1)
			require.NoError(t, err)
			require.Zero(t, res.unknown, "%s %s", p.name, v.name)
			require.Zero(t, res.duplicates, "%s %s", p.name, v.name)
			require.Equal(t, len(requests), sum(res.offered))
			require.LessOrEqual(t, res.goodput(), limit, "%s %s", p.name, v.name)
		}
	}
}

// fitsEDF reports whether all jobs can be completed in their windows, by
// assigning each bucket to the job with the earliest end.
func fitsEDF(jobs []job, capacity float64, n int) bool {
	left := make([]float64, len(jobs))
	order := make([]int, len(jobs))
	for i, j := range jobs {
		left[i], order[i] = j.work, i
	}
	slices.SortFunc(order, func(a, b int) int { return jobs[a].last - jobs[b].last })
	for b := range n {
		room := capacity
		for _, i := range order {
			if jobs[i].first <= b && b <= jobs[i].last {
				take := min(room, left[i])
				left[i] -= take
				room -= take
			}
		}
	}
	return slices.Max(left) < 1e-9
}

// The bound accepts all jobs in full exactly if earliest-deadline-first
// scheduling can complete them all.
func TestBoundMatchesEDF(t *testing.T) {
	p := &profile{engines: 1, settings: enginemodel.DefaultSettings(), phases: []phase{{end: 20 * time.Second}}}
	rapid.Check(t, func(rt *rapid.T) {
		table := newCapacityTable(p, []*request{{deadline: 20*time.Second - 1}})
		var jobs []job
		accepted, requested := 0.0, 0.0
		for range rapid.IntRange(1, 12).Draw(rt, "jobs") {
			first := rapid.IntRange(0, 9).Draw(rt, "first")
			j := job{first, rapid.IntRange(first, 9).Draw(rt, "last"), float64(rapid.IntRange(1, 60).Draw(rt, "work")) / 10}
			jobs = append(jobs, j)
			accepted += table.accept(j)
			requested += j.work
		}
		require.Equal(rt, fitsEDF(jobs, boundBucket.Seconds(), table.buckets), accepted > requested-1e-9)
	})
}

// Unknown profile names are rejected, and the summary line has the format that
// scripts parse.
func TestSummaryLineFormat(t *testing.T) {
	var out strings.Builder
	err := Run(context.Background(), &out, Options{Seeds: 1, Profiles: "no-such", Workers: 1})
	require.ErrorContains(t, err, "no-such")
	p := shorten(servicioMorning("short"))
	runs, err := runAll(context.Background(), []profile{*p}, []variant{policyVariant(), baselineVariant()}, []uint64{1}, func(variant) int { return 1 }, 2, newProgress(nil))
	require.NoError(t, err)
	require.NoError(t, runs[0].writeTable(&out))
	runs[0].writeSummary(&out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Regexp(t, `^profile=short goodput=[0-9.]+ naive_goodput=[0-9.]+ bound=[0-9.]+ role_changes=\d+ naive_role_changes=\d+ unknown=0 doubled=0$`, lines[len(lines)-1])
}
