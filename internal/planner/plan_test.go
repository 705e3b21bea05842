package planner

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

const (
	mixed   = configv1.Role_ROLE_MIXED
	prefill = configv1.Role_ROLE_PREFILL
	decode  = configv1.Role_ROLE_DECODE
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// newTestEngines returns serving engines of one role over several domains.
func newTestEngines(n, domains int, role configv1.Role) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = Engine{
			Name:          fmt.Sprintf("e%03d", i),
			FailureDomain: fmt.Sprintf("d%d", i%domains),
			State:         StateServing,
			StateSince:    start.Add(-time.Hour),
			Role:          role,
			Desired:       Assignment{Role: role},
			PrefillRate:   8000,
			DecodeRate:    1000,
		}
	}
	return engines
}

// steadyDemand returns the same demand, given per second, for twelve periods.
func steadyDemand(requests, prompt, output float64) []Demand {
	out := make([]Demand, 12)
	for i := range out {
		out[i] = Demand{Duration: 5 * time.Second, Requests: 5 * requests,
			PromptTokens: 5 * prompt, OutputTokens: 5 * output}
	}
	return out
}

// baseInput returns an input for twelve mixed engines with spare capacity.
func baseInput() Input {
	return Input{
		Now: start, Seed: 7, Service: "tutor-lm",
		Prices:     Prices{Goodput: 1, RoleChange: 20},
		Limits:     Limits{MaxConcurrentChanges: 2, MinDecodePerDomain: 1},
		Engines:    newTestEngines(12, 4, mixed),
		Demand:     steadyDemand(10, 20000, 3000),
		ChangeTime: 8 * time.Second,
	}
}

// TestMixedEnginesAbsorbDemandShifts guards against role changes that gain
// nothing, because mixed engines already divide their time by the demand.
func TestMixedEnginesAbsorbDemandShifts(t *testing.T) {
	for _, demand := range [][]Demand{
		steadyDemand(10, 40000, 2000),
		steadyDemand(10, 10000, 5000),
	} {
		in := baseInput()
		in.Demand = demand
		require.Empty(t, Plan(in).Changes)
	}
}

func TestRolesChangeOnlyIfTheGainExceedsThePrice(t *testing.T) {
	in := baseInput()
	in.Engines = newTestEngines(12, 4, decode)
	for i := range 3 {
		in.Engines[i].Role, in.Engines[i].Desired.Role = prefill, prefill
	}
	in.Demand = steadyDemand(10, 40000, 2000)
	d := Plan(in)
	require.Equal(t, 2, d.RoleChanges())
	for _, c := range d.Changes {
		require.Equal(t, decode, c.From)
	}
	require.NotEmpty(t, d.Explanation.GetAlternatives())
	require.Contains(t, d.Explanation.GetReason(), "above the threshold")

	in.Prices.RoleChange = 1e6
	require.Empty(t, Plan(in).Changes)
}

func TestRepairs(t *testing.T) {
	t.Run("no engine can decode", func(t *testing.T) {
		in := baseInput()
		in.Engines = newTestEngines(4, 2, prefill)
		in.Limits.MinDecodePerDomain = 0
		in.Demand = nil
		require.Equal(t, 1, Plan(in).RoleChanges())
	})
	t.Run("minimum of a failure domain", func(t *testing.T) {
		in := baseInput()
		in.Engines = newTestEngines(12, 4, mixed)
		for i := range in.Engines {
			if in.Engines[i].FailureDomain != "d1" {
				continue
			}
			in.Engines[i].State = StateDown
			if i == 5 {
				in.Engines[i].State = StateServing
				in.Engines[i].Role, in.Engines[i].Desired.Role = prefill, prefill
			}
		}
		d := Plan(in)
		require.Equal(t, []Change{{"e005", KindRepair, prefill, mixed}}, d.Changes)
	})
	t.Run("engine down for less than lossTimeout", func(t *testing.T) {
		in := baseInput()
		in.Engines = newTestEngines(2, 1, prefill)
		in.Engines[0].Role, in.Engines[0].Desired.Role = decode, decode
		in.Engines[0].State = StateDown
		in.Engines[0].StateSince = start.Add(-lossTimeout + time.Second)
		require.Empty(t, Plan(in).Changes)
		in.Engines[0].StateSince = start.Add(-lossTimeout)
		require.Equal(t, 1, Plan(in).RoleChanges())
	})
	t.Run("engine that exceeds changeTimeout", func(t *testing.T) {
		in := baseInput()
		in.Limits.MaxConcurrentChanges = 1
		in.Engines = newTestEngines(3, 1, prefill)
		in.Engines[0].Role, in.Engines[0].Desired.Role = decode, decode
		in.Engines[0].State = StateChanging
		in.Engines[0].StateSince = start.Add(-changeTimeout + time.Second)
		require.Empty(t, Plan(in).Changes)
		in.Engines[0].StateSince = start.Add(-changeTimeout)
		require.Equal(t, 1, Plan(in).RoleChanges())
	})
	t.Run("engine returns with another role", func(t *testing.T) {
		in := baseInput()
		in.Engines[0].Role = prefill
		in.Engines[0].StateSince = start.Add(-time.Second)
		d := Plan(in)
		require.Equal(t, []Change{{"e000", KindAdopt, mixed, prefill}}, d.Changes)
	})
	t.Run("engine crashes during a recent change", func(t *testing.T) {
		in := baseInput()
		in.Engines[0].Desired = Assignment{Role: prefill, PreviousRole: mixed, RoleChangedAt: start.Add(-time.Minute)}
		in.Engines[0].StateSince = start.Add(-time.Second)
		require.Empty(t, Plan(in).Changes)
	})
}

// TestModelChangeStaysWithinLimits checks that a new model version is loaded by
// as many engines at a time as may change concurrently, until all serve it.
func TestModelChangeStaysWithinLimits(t *testing.T) {
	in := baseInput()
	in.Model = Model{"tutor", "2"}
	for i := range in.Engines {
		in.Engines[i].Model = Model{"tutor", "1"}
		in.Engines[i].Desired.Model = Model{"tutor", "1"}
	}
	for range 6 {
		d := Plan(in)
		require.Len(t, d.Changes, 2)
		for i, a := range d.Assignments {
			in.Engines[i].Desired, in.Engines[i].Model = a, a.Model
		}
	}
	require.Empty(t, Plan(in).Changes)
}

// Without a plan yet, engines that serve no model must load it within the limit
// of concurrent changes.
func TestNewFleetLoadsItsModelWithinLimits(t *testing.T) {
	in := baseInput()
	in.Model = Model{"tutor", "1"}
	for i := range in.Engines {
		in.Engines[i].Desired = Assignment{}
	}
	for range 6 {
		loading := 0
		d := Plan(in)
		for i, a := range d.Assignments {
			if a.Model != in.Engines[i].Desired.Model {
				loading++
			}
			in.Engines[i].Desired, in.Engines[i].Model = a, a.Model
		}
		require.Equal(t, in.Limits.MaxConcurrentChanges, loading)
	}
	require.Empty(t, Plan(in).Changes)
}

// The capacity computed by servableShare must match a search over a grid of
// time shares of the mixed engines.
func TestServableShareMatchesGridSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 100)
		engines := make([]Engine, rapid.IntRange(1, 3).Draw(t, "n"))
		for i := range engines {
			engines[i] = Engine{PrefillRate: rate.Draw(t, "p"), DecodeRate: rate.Draw(t, "d")}
		}
		classes := classify(engines)
		total := newCapacity(classes)
		for i := range engines {
			total.add(classes.of(&engines[i]), &engines[i], mixed, 1, 1)
		}
		demand := rates{rate.Draw(t, "dp"), rate.Draw(t, "dd")}
		best := gridServableShare(engines, demand, rates{})
		got := total.servableShare(demand)
		require.LessOrEqual(t, best, got*1.1+1e-9)
		require.GreaterOrEqual(t, best, got*0.9-1e-9)
	})
}

// gridServableShare searches a grid of time shares for the largest servable
// share of the demand.
func gridServableShare(engines []Engine, demand, capacity rates) float64 {
	if len(engines) == 0 {
		return math.Min(capacity.prefill/demand.prefill, capacity.decode/demand.decode)
	}
	const steps = 40
	best := 0.0
	for i := range steps + 1 {
		x := float64(i) / steps
		best = max(best, gridServableShare(engines[1:], demand, rates{
			capacity.prefill + x*engines[0].PrefillRate,
			capacity.decode + (1-x)*engines[0].DecodeRate,
		}))
	}
	return best
}

func drawInput(t *rapid.T) Input {
	in := baseInput()
	n, domains := rapid.IntRange(1, 16).Draw(t, "n"), rapid.IntRange(1, 4).Draw(t, "domains")
	in.Engines = newTestEngines(n, domains, mixed)
	role := rapid.SampledFrom(roles)
	for i := range in.Engines {
		e := &in.Engines[i]
		e.Role = role.Draw(t, "role")
		e.Desired = Assignment{Role: e.Role}
		e.PrefillRate *= rapid.Float64Range(0.5, 2).Draw(t, "rate")
		e.StateSince = start.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "since")) * time.Second)
		e.State = rapid.SampledFrom([]EngineState{StateServing, StateServing, StateServing, StateServing, StateDown, StateChanging, StateLeaving}).Draw(t, "state")
		if rapid.Bool().Draw(t, "changed") {
			e.Desired.PreviousRole = role.Draw(t, "previous")
			age := rapid.IntRange(0, 1200).Draw(t, "age")
			e.Desired.RoleChangedAt = start.Add(-time.Duration(age) * time.Second)
		}
	}
	in.Limits.MaxConcurrentChanges = rapid.IntRange(0, 4).Draw(t, "max")
	in.Limits.MinDecodePerDomain = rapid.IntRange(0, 3).Draw(t, "floor")
	in.Prices.RoleChange = rapid.Float64Range(0, 200).Draw(t, "price")
	in.Seed = rapid.Uint64().Draw(t, "seed")
	in.Demand = steadyDemand(rapid.Float64Range(1, 50).Draw(t, "requests"),
		rapid.Float64Range(0, 100000).Draw(t, "prompt"), rapid.Float64Range(0, 10000).Draw(t, "output"))
	return in
}

// available counts the engines that serve without a pending change and have an
// ability, by failure domain and in total.
func available(in Input, out []Assignment, can func(configv1.Role) bool) (map[string]int, int) {
	byDomain, all := make(map[string]int), 0
	for i, e := range in.Engines {
		if e.State == StateServing && e.Role == out[i].Role && can(e.Role) {
			byDomain[e.FailureDomain]++
			all++
		}
	}
	return byDomain, all
}

// TestPlanStaysWithinLimits checks on random fleets that equal inputs give equal
// decisions, that no more engines change than the limit allows, and that changes
// for gain leave each failure domain its minimum and each role an engine.
func TestPlanStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		d := Plan(in)
		require.Equal(t, d, Plan(in), "same input, same decision")
		require.Len(t, d.Assignments, len(in.Engines))
		away := 0
		for i, e := range in.Engines {
			if e.State == StateChanging || e.State == StateServing && e.Role != d.Assignments[i].Role {
				away++
			}
		}
		if d.RoleChanges() > 0 {
			require.LessOrEqual(t, away, in.Limits.MaxConcurrentChanges)
		}
		gained := make(map[string]bool)
		for _, c := range d.Changes {
			gained[c.Engine] = c.Kind == KindGain
		}
		decoding, allDecode := available(in, d.Assignments, canDecode)
		_, allPrefill := available(in, d.Assignments, canPrefill)
		for _, e := range in.Engines {
			if !gained[e.Name] {
				continue
			}
			if canDecode(e.Role) {
				require.GreaterOrEqual(t, decoding[e.FailureDomain], in.Limits.MinDecodePerDomain)
				require.Positive(t, allDecode)
			}
			if canPrefill(e.Role) {
				require.Positive(t, allPrefill)
			}
		}
	})
}

func TestHigherPriceNeverCausesMoreChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		expensive := in
		expensive.Prices.RoleChange += rapid.Float64Range(0, 500).Draw(t, "more")
		require.LessOrEqual(t, Plan(expensive).RoleChanges(), Plan(in).RoleChanges())
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{94, 235, 470, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			in := baseInput()
			in.Engines = newTestEngines(n, 7, decode)
			for i := range in.Engines {
				in.Engines[i].PrefillRate *= 1 + float64(i%10)/10
				if i%5 == 0 {
					in.Engines[i].Role, in.Engines[i].Desired.Role = prefill, prefill
				}
			}
			in.Limits.MaxConcurrentChanges = 8
			k := float64(n) / 12
			in.Demand = steadyDemand(10*k, 40000*k, 2000*k)
			b.ReportAllocs()
			for b.Loop() {
				if d := Plan(in); d.RoleChanges() == 0 {
					b.Fatal("expected changes")
				}
			}
		})
	}
}
