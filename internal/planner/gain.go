package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// blockedDirections are the directions in which no role may change because of
// recent changes.
type blockedDirections struct {
	toPrefill bool
	toDecode  bool
}

func (b blockedDirections) blocks(direction int) bool {
	return direction > 0 && b.toPrefill || direction < 0 && b.toDecode
}

// candidateChange is a possible role change of one engine.
type candidateChange struct {
	engine int
	to     configv1.Role
	gain   float64 // points over the horizon, without the price of changes
}

// scoredOption is an alternative listed in the explanation.
type scoredOption struct {
	name  string
	score float64 // points, minus the price of the change
}

// gainSearch is the result of the search for changes with a gain.
type gainSearch struct {
	demand    demandEstimate
	scenarios []rates
	threshold float64 // points
	options   []scoredOption
	// changeCount is the number of changes that were applied.
	changeCount int
	score       float64 // points, minus the price of changes
}

// searchGain searches for role changes that gain more than they cost and
// applies them. It builds one sequence of changes greedily without regard to
// their price and takes the prefix of it with the best score, so that a higher
// price never leads to more changes.
func (w *workingState) searchGain() gainSearch {
	g := gainSearch{demand: estimateDemand(w.in.Demand, w.tuning.DemandHalfLife)}
	g.scenarios = g.demand.scenarios(w.in.Backlog, w.tuning.BacklogWindow)
	horizon := w.tuning.Horizon.Seconds()
	g.threshold = w.tuning.MinGainShare * w.in.Prices.Goodput * g.demand.requests * horizon
	if !g.demand.reliable || g.demand.requests <= 0 {
		return g
	}
	trial := w.clone()
	candidates := trial.greedyChanges(&g, w)
	best, n := 0.0, 0
	for i, candidate := range candidates {
		score := candidate.gain - w.in.Prices.RoleChange*float64(i+1)
		if score > g.threshold && score > best {
			best, n = score, i+1
		}
	}
	for _, candidate := range candidates[:n] {
		w.startChange(candidate.engine, candidate.to, KindGain)
	}
	g.changeCount, g.score = n, best
	return g
}

// greedyChanges takes the best change until the change budget is used up. The
// gain of each change includes that of all changes before it.
func (w *workingState) greedyChanges(g *gainSearch, base *workingState) []candidateChange {
	values := make([]float64, len(g.scenarios))
	for s, d := range g.scenarios {
		values[s] = w.goodputValue(base.capacityDuring, base.capacityAfter, d, g.demand.requests)
	}
	blocked := w.blockedByRecentChanges()
	var found []candidateChange
	for w.changeBudget > 0 {
		candidate, ok := w.bestChange(g, values, blocked, len(found) == 0)
		if !ok {
			break
		}
		if direction(w.assignments[candidate.engine].Role, candidate.to) > 0 {
			blocked.toDecode = true
		} else {
			blocked.toPrefill = true
		}
		w.startChange(candidate.engine, candidate.to, KindGain)
		found = append(found, candidate)
	}
	return found
}

// bestChange returns the role change with the largest gain among those of one
// representative engine per group, or false if none is possible. If first is
// set, it also lists the alternatives for the explanation.
func (w *workingState) bestChange(g *gainSearch, values []float64, blocked blockedDirections, first bool) (candidateChange, bool) {
	during, after := newCapacity(w.classes), newCapacity(w.classes)
	best := candidateChange{engine: -1, gain: math.Inf(-1)}
	for _, i := range w.representatives() {
		e, from := &w.in.Engines[i], w.assignments[i].Role
		class, efficiency := w.infos[i].class, w.tuning.MixedEfficiency
		for _, to := range roles {
			if to == from || blocked.blocks(direction(from, to)) || w.reversesRecentChange(i, to) {
				continue
			}
			during.copyFrom(w.capacityDuring)
			during.add(class, e, from, efficiency, -1)
			after.copyFrom(w.capacityAfter)
			after.add(class, e, from, efficiency, -1)
			after.add(class, e, to, efficiency, 1)
			gain := w.worstCaseGain(g, values, during, after)
			if first {
				g.options = append(g.options, scoredOption{
					name:  changeName(e.Name, from, to),
					score: gain - w.in.Prices.RoleChange,
				})
			}
			if gain > best.gain {
				best = candidateChange{engine: i, to: to, gain: gain}
			}
		}
	}
	return best, best.engine >= 0
}

var roles = []configv1.Role{
	configv1.Role_ROLE_MIXED,
	configv1.Role_ROLE_PREFILL,
	configv1.Role_ROLE_DECODE,
}

// worstCaseGain returns the gain over the baseline values in the worst
// scenario.
func (w *workingState) worstCaseGain(g *gainSearch, values []float64, during, after *capacity) float64 {
	least := math.Inf(1)
	for s, d := range g.scenarios {
		least = min(least, w.goodputValue(during, after, d, g.demand.requests)-values[s])
	}
	return least
}

// goodputValue returns the value, in points, of the requests completed in time
// over the horizon. during is the capacity while changes are in progress, after
// the capacity when they are done.
func (w *workingState) goodputValue(during, after *capacity, demand rates, requests float64) float64 {
	horizon := w.tuning.Horizon.Seconds()
	changeSeconds := min(w.in.ChangeTime.Seconds(), horizon)
	inTime := func(c *capacity) float64 {
		return min(1, w.tuning.TargetUtilization*c.servableShare(demand))
	}
	seconds := changeSeconds*inTime(during) + (horizon-changeSeconds)*inTime(after)
	return w.in.Prices.Goodput * requests * seconds
}

// engineGroup identifies engines that are equivalent for a role change, apart
// from the order of compareEngines.
type engineGroup struct {
	class int
	role  configv1.Role
	// recentDirection is the direction of the engine's recent change, or 0.
	recentDirection int
}

// representatives returns, ordered by group, the engine that each group would
// change first.
func (w *workingState) representatives() []int {
	bestOfGroup := make(map[engineGroup]int)
	for i := range w.in.Engines {
		if !w.settled(i) || !w.canSpare(i, w.in.Limits.MinDecodePerDomain) {
			continue
		}
		a := &w.assignments[i]
		k := engineGroup{class: w.infos[i].class, role: a.Role}
		if w.withinReverseWindow(a.RoleChangedAt) {
			k.recentDirection = direction(a.PreviousRole, a.Role)
		}
		j, ok := bestOfGroup[k]
		if !ok || w.compareEngines(i, j) < 0 {
			bestOfGroup[k] = i
		}
	}
	keys := make([]engineGroup, 0, len(bestOfGroup))
	for k := range bestOfGroup {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b engineGroup) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.role, b.role),
			cmp.Compare(a.recentDirection, b.recentDirection),
		)
	})
	picked := make([]int, len(keys))
	for i, k := range keys {
		picked[i] = bestOfGroup[k]
	}
	return picked
}

// blockedByRecentChanges returns the directions that would reverse a recent
// change anywhere in the fleet. Changes before the last loss of an engine do
// not count, because they were made for a different fleet.
func (w *workingState) blockedByRecentChanges() blockedDirections {
	lost := w.lastLoss()
	var b blockedDirections
	for i := range w.assignments {
		a := &w.assignments[i]
		if !w.withinReverseWindow(a.RoleChangedAt) || a.RoleChangedAt.Before(lost) {
			continue
		}
		switch d := direction(a.PreviousRole, a.Role); {
		case d > 0:
			b.toDecode = true
		case d < 0:
			b.toPrefill = true
		}
	}
	return b
}

// lastLoss returns when an engine was last lost or began to leave.
func (w *workingState) lastLoss() time.Time {
	var last time.Time
	for i := range w.in.Engines {
		e := &w.in.Engines[i]
		lost := e.State == StateLeaving || e.State == StateDown && !w.suspectedDown(i)
		if lost && e.StateSince.After(last) {
			last = e.StateSince
		}
	}
	return last
}

// clone returns a copy of the state on which a search can apply changes.
func (w *workingState) clone() *workingState {
	copied := *w
	copied.assignments = slices.Clone(w.assignments)
	copied.changes = nil
	copied.domains = slices.Clone(w.domains)
	copied.capacityDuring, copied.capacityAfter = newCapacity(w.classes), newCapacity(w.classes)
	copied.capacityDuring.copyFrom(w.capacityDuring)
	copied.capacityAfter.copyFrom(w.capacityAfter)
	return &copied
}

// tieBreak returns a hash that orders otherwise equal engines.
func tieBreak(seed uint64, name string) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
