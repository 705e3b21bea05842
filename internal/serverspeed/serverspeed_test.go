package serverspeed

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// observed returns an estimate that has observed a factor a number of times, 100 ms apart.
func observed(factor float64, times int) (*Estimate, time.Duration) {
	e, now := new(Estimate), time.Duration(0)
	for range times {
		now += 100 * time.Millisecond
		e.Observe(now, factor)
	}
	return e, now
}

// TestEstimateRevertsToWhatIsKnown guards against a slow server that counts as an average one
// when nobody has used it for a while.
func TestEstimateRevertsToWhatIsKnown(t *testing.T) {
	e, now := observed(1.6, 300)
	require.InDelta(t, 1.6, e.Factor(now+time.Hour), 0.05)
	for range 20 {
		now += 100 * time.Millisecond
		e.Observe(now, 4.5)
	}
	require.Greater(t, e.Factor(now), 2.3, "it is followed within 2 s")
	require.InDelta(t, 1.6, e.Factor(now+20*time.Second), 0.25, "the deviation is forgotten")
	var unknown Estimate
	require.Equal(t, 1.0, unknown.Factor(0))
	require.False(t, unknown.Known())
}

// TestOneObservationAfterAPause guards against a long-term part that one observation
// replaces because all others are old.
func TestOneObservationAfterAPause(t *testing.T) {
	e, now := observed(1.5, 300)
	e.Observe(now+time.Hour, 4)
	require.Less(t, e.LongTerm(), 1.8)
}

// TestOutliersAndFaultyStatementsAreBounded guards against values that make a server
// unusable for good.
func TestOutliersAndFaultyStatementsAreBounded(t *testing.T) {
	e, now := observed(1, 100)
	e.Observe(now, 1e9)
	require.Less(t, e.Factor(now), 1.2, "a single outlier")
	for _, factor := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		before := *e
		e.Observe(now, factor)
		require.Equal(t, before, *e, factor)
		require.False(t, e.Merge(now, "peer", Report{Factor: factor, Weight: math.NaN()}))
		require.False(t, e.Merge(now, "peer", Report{Factor: 1, Weight: factor, Age: -1}))
	}
	require.True(t, e.Merge(now, "peer", Report{Factor: 1e300, Weight: 1e300}))
	require.LessOrEqual(t, e.Factor(now), MaxFactor)
	require.Less(t, e.LongTerm(), 2.0, "a gateway does not outvote what is known")
}

// reportsOf draws what some gateways report in the course of time.
func reportsOf(t *rapid.T) []func(*Estimate) {
	const now = 10 * time.Second
	var merges []func(*Estimate)
	for i := range rapid.IntRange(1, 12).Draw(t, "gateways") {
		gateway := fmt.Sprint("g", i)
		r := Report{
			Factor: rapid.Float64Range(0.3, 4).Draw(t, "factor"), Weight: rapid.Float64Range(0.5, 10).Draw(t, "weight"),
			Age: time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond,
		}
		merges = append(merges, func(e *Estimate) { e.Merge(now, gateway, r) })
	}
	return merges
}

// TestReportsCommuteAndRepeatsChangeNothing guards against an estimate that depends on the
// order in which heartbeats arrive, or that counts a repeated report as new observations.
func TestReportsCommuteAndRepeatsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		merges := reportsOf(t)
		var a, b Estimate
		for _, merge := range merges {
			merge(&a)
		}
		once := a
		for _, merge := range merges {
			merge(&a)
		}
		if a.recent != once.recent || a.long != once.long || a.seen != once.seen {
			t.Fatal("repeated reports change the estimate")
		}
		for _, merge := range rapid.Permutation(merges).Draw(t, "order") {
			merge(&b)
		}
		const now = 11 * time.Second
		if math.Abs(a.Factor(now)-b.Factor(now)) > 1e-6 || math.Abs(a.LongTerm()-b.LongTerm()) > 0.35 {
			t.Fatalf("factors %v and %v, long-term %v and %v", a.Factor(now), b.Factor(now), a.LongTerm(), b.LongTerm())
		}
	})
}

// TestOwnStatementsDoNotComeBack guards against two gateways that confirm each other in what
// only one of them has observed.
func TestOwnStatementsDoNotComeBack(t *testing.T) {
	a, now := observed(3, 20)
	var b Estimate
	before := a.Weight()
	for range 100 {
		now += 100 * time.Millisecond
		b.Merge(now, "a", a.Report(now))
		a.Merge(now, "b", b.Report(now))
	}
	require.Equal(t, before, a.Weight())
	require.LessOrEqual(t, b.Weight(), before)
	require.Zero(t, b.ReportPriority(), "only own observations are reported")
}

// TestReportsAddWhatIsNew checks that a gateway learns all that another one observes from a
// part of its reports.
func TestReportsAddWhatIsNew(t *testing.T) {
	var a, b Estimate
	now := time.Duration(0)
	for i := range 400 {
		now += 100 * time.Millisecond
		a.Observe(now, 2)
		if i%7 == 0 {
			b.Merge(now, "a", a.Report(now))
		}
	}
	require.InDelta(t, 2, b.LongTerm(), 0.05)
	require.InEpsilon(t, a.Weight(), b.Weight(), 0.25)
}

// TestMemoryOfReportersIsBounded guards against a state that grows with the gateways that
// come and go.
func TestMemoryOfReportersIsBounded(t *testing.T) {
	var e Estimate
	now := time.Duration(0)
	for i := range 10_000 {
		now += 10 * time.Millisecond
		e.Merge(now, fmt.Sprint("g", i), Report{Factor: 1, Weight: 1})
	}
	require.LessOrEqual(t, len(e.reporters), maxReporters)
}

// TestDeviationsAreReportedFirst checks that observations that differ from the estimate are
// reported first, and that reports end without new observations.
func TestDeviationsAreReportedFirst(t *testing.T) {
	usual, now := observed(1, 3)
	slow, _ := observed(3, 1)
	require.Greater(t, slow.ReportPriority(), usual.ReportPriority())
	for range 200 {
		slow.Report(now)
	}
	require.Zero(t, slow.ReportPriority())
}

// TestTrialOfNewStart checks the bounds for a new start: gateways begin apart, with one request
// at a time each, until its speed is known.
func TestTrialOfNewStart(t *testing.T) {
	begin := make(map[time.Duration]int)
	for i := range 40 {
		trial := NewTrial(fmt.Sprint("gateway-", i), "new")
		var e Estimate
		now := time.Second
		for trial.CostFactor(now, &e, 0) == heldFactor {
			now += 100 * time.Millisecond
		}
		require.LessOrEqual(t, now, time.Second+trialSpread+100*time.Millisecond)
		begin[now]++
		require.Equal(t, float64(heldFactor), trial.CostFactor(now, &e, 1), "one request at a time")
		known, _ := observed(1, KnownWeight)
		require.Equal(t, 1.0, trial.CostFactor(now, known, 5))
	}
	for at, gateways := range begin {
		require.Less(t, gateways, 10, at)
	}
	var old Trial
	require.Equal(t, 1.0, old.CostFactor(0, new(Estimate), 5))
}
