package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// simulation runs a planner, one decision every five seconds, against a fleet
// that executes its changes.
type simulation struct {
	in      Input
	plan    func(Input) Decision
	pending map[string]time.Time
	changes []timedChange
}

type timedChange struct {
	at        time.Time
	engine    string
	direction int
	kind      ChangeKind
}

// step completes due changes, adds a period of demand and makes one decision.
func (s *simulation) step(d Demand) {
	s.in.Demand = append(s.in.Demand, d)
	if len(s.in.Demand) > 24 {
		s.in.Demand = s.in.Demand[1:]
	}
	s.in.Now = s.in.Now.Add(d.Duration)
	for i := range s.in.Engines {
		e := &s.in.Engines[i]
		if at, ok := s.pending[e.Name]; ok && !s.in.Now.Before(at) {
			delete(s.pending, e.Name)
			e.Role, e.State, e.StateSince = e.Desired.Role, StateServing, s.in.Now
		}
	}
	out := s.plan(s.in)
	for i, a := range out.Assignments {
		s.in.Engines[i].Desired = a
	}
	for _, c := range out.Changes {
		if c.From == c.To || c.Kind == KindAdopt {
			continue
		}
		s.pending[c.Engine] = s.in.Now.Add(s.in.ChangeTime)
		s.changes = append(s.changes, timedChange{s.in.Now, c.Engine, direction(c.From, c.To), c.Kind})
		for i := range s.in.Engines {
			if s.in.Engines[i].Name == c.Engine {
				s.in.Engines[i].State = StateChanging
			}
		}
	}
}

// reversals counts pairs of opposite changes within the window.
func (s *simulation) reversals(window time.Duration) int {
	n := 0
	for i, change := range s.changes {
		for _, earlier := range s.changes[:i] {
			if change.at.Sub(earlier.at) < window && change.direction*earlier.direction < 0 {
				n++
			}
		}
	}
	return n
}

// thresholdPlan is a naive planner without prices or memory. It changes an
// engine as soon as one role looks busier than the other.
func thresholdPlan(in Input) Decision {
	d := Decision{Assignments: make([]Assignment, len(in.Engines))}
	last := in.Demand[len(in.Demand)-1]
	busy := last.PromptTokens/8 - last.OutputTokens
	for i, e := range in.Engines {
		d.Assignments[i] = e.Desired
		to := decode
		if busy > 0 {
			to = prefill
		}
		if len(d.Changes) < in.Limits.MaxConcurrentChanges && e.State == StateServing && e.Role != to {
			d.Assignments[i].Role = to
			d.Changes = append(d.Changes, Change{e.Name, KindGain, e.Role, to})
		}
	}
	return d
}

// simulateNoise runs a planner for 30 minutes of virtual time under demand that
// varies randomly around a mean.
func simulateNoise(t *rapid.T, prices Prices, mean rates, plan func(Input) Decision) *simulation {
	s := &simulation{in: baseInput(), plan: plan, pending: make(map[string]time.Time)}
	for i := range s.in.Engines {
		role := []configv1.Role{mixed, prefill, decode}[i%3]
		s.in.Engines[i].Role, s.in.Engines[i].Desired.Role = role, role
	}
	s.in.Demand = nil
	s.in.Prices = prices
	s.in.Tuning.ReverseWindow = prices.ReverseWindow()
	noise := rapid.Float64Range(0.4, 1.6)
	for range 360 {
		s.step(Demand{
			Duration: 5 * time.Second, Requests: 50,
			PromptTokens: 5 * mean.prefill * noise.Draw(t, "p"),
			OutputTokens: 5 * mean.decode * noise.Draw(t, "d"),
		})
	}
	return s
}

// Random noise in the demand must not cause changes back and forth, neither
// with expensive changes and a fleet near its capacity nor with cheap changes
// and a fleet well within it. The naive planner must reverse changes.
func TestNoFlappingOnNoise(t *testing.T) {
	for _, c := range []struct {
		prices Prices
		mean   rates
	}{
		{Prices{Goodput: 1, RoleChange: 200}, rates{52000, 4500}},
		{Prices{Goodput: 10, RoleChange: 5}, rates{30000, 4000}},
	} {
		naiveReversals, totalChanges := 0, 0
		rapid.Check(t, func(t *rapid.T) {
			s := simulateNoise(t, c.prices, c.mean, Plan)
			require.Zero(t, s.reversals(DefaultReverseWindow))
			totalChanges += len(s.changes)
			if naiveReversals == 0 {
				naiveReversals = simulateNoise(t, c.prices, c.mean, thresholdPlan).reversals(DefaultReverseWindow)
			}
		})
		require.Positive(t, naiveReversals, "the naive planner must be seen to flap")
		t.Logf("%+v: changes in all runs: %d; reversals of the naive planner in one run: %d", c, totalChanges, naiveReversals)
	}
}

// When the demand shifts towards prefill for ten minutes and back again, the
// first change must follow the shift within 30 s, and no change may be reversed
// within the reverse window.
func TestRolesFollowADemandShift(t *testing.T) {
	s := &simulation{in: baseInput(), plan: Plan, pending: make(map[string]time.Time)}
	for i := range s.in.Engines {
		role := []configv1.Role{decode, prefill}[i/4%2]
		s.in.Engines[i].Role, s.in.Engines[i].Desired.Role = role, role
	}
	s.in.Demand = nil
	noise := []float64{0.8, 1.1, 1.2, 0.9}
	for i := range 720 {
		prompt, output := 20000.0, 7000.0
		if i >= 240 && i < 360 {
			prompt, output = 60000, 2000
		}
		f := noise[i%len(noise)]
		s.step(Demand{5 * time.Second, 50, 5 * prompt * f, 5 * output / f})
	}
	require.NotEmpty(t, s.changes)
	shift := start.Add(240 * 5 * time.Second)
	var after []timedChange
	for _, change := range s.changes {
		if change.at.After(shift) {
			after = append(after, change)
		}
	}
	require.NotEmpty(t, after)
	t.Logf("first change after the shift: %v; changes: %d", after[0].at.Sub(shift), len(s.changes))
	require.Less(t, after[0].at.Sub(shift), 30*time.Second)
	require.Zero(t, s.reversals(DefaultReverseWindow))
}
