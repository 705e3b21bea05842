package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// bars tells which directions recent changes close.
type bars struct {
	toPrefill bool
	toDecode  bool
}

func (b bars) closes(direction int) bool {
	return direction > 0 && b.toPrefill || direction < 0 && b.toDecode
}

// move is one candidate of a step.
type move struct {
	engine int
	to     configv1.Role
	gain   float64 // points over the horizon, without the price
}

// option is a weighed choice for the explanation.
type option struct {
	name  string
	score float64
}

// gains is what the search for gain found.
type gains struct {
	demand    estimate
	scenarios []rates
	threshold float64 // points
	options   []option
	taken     int
	score     float64 // points, price deducted
}

// seekGain finds the number of changes with the best score. Steps are taken
// greedily whatever the price, so that a higher price never buys more
// changes.
func (w *work) seekGain() gains {
	g := gains{demand: estimateDemand(w.in.Demand, w.tuning.DemandHalfLife)}
	g.scenarios = g.demand.scenarios(w.in.Backlog, w.tuning.BacklogWindow)
	horizon := w.tuning.Horizon.Seconds()
	g.threshold = w.tuning.MinGainShare * w.in.Prices.Goodput * g.demand.requests * horizon
	if !g.demand.known || g.demand.requests <= 0 {
		return g
	}
	trial := w.fork()
	moves := trial.search(&g, w)
	best, n := 0.0, 0
	for i, m := range moves {
		score := m.gain - w.in.Prices.RoleChange*float64(i+1)
		if score > g.threshold && score > best {
			best, n = score, i+1
		}
	}
	for _, m := range moves[:n] {
		w.change(m.engine, m.to, KindGain)
	}
	g.taken, g.score = n, best
	return g
}

// search takes the best move until the budget is spent; the gain of each is
// that of all moves up to it.
func (w *work) search(g *gains, base *work) []move {
	values := make([]float64, len(g.scenarios))
	for s, d := range g.scenarios {
		values[s] = w.value(base.before, base.after, d, g.demand.requests)
	}
	closed := w.recentMoves()
	var moves []move
	for w.budget > 0 {
		m, ok := w.bestMove(g, values, closed, len(moves) == 0)
		if !ok {
			break
		}
		if direction(w.out[m.engine].Role, m.to) > 0 {
			closed.toDecode = true
		} else {
			closed.toPrefill = true
		}
		w.change(m.engine, m.to, KindGain)
		moves = append(moves, m)
	}
	return moves
}

// bestMove weighs one engine of each rate class and role.
func (w *work) bestMove(g *gains, values []float64, closed bars, first bool) (move, bool) {
	before, after := newFleet(w.classes), newFleet(w.classes)
	best := move{engine: -1, gain: math.Inf(-1)}
	for _, i := range w.representatives() {
		e, from := &w.in.Engines[i], w.out[i].Role
		class, eff := w.facts[i].class, w.tuning.MixedEfficiency
		for _, to := range roles {
			if to == from || closed.closes(direction(from, to)) || w.reverses(i, to) {
				continue
			}
			before.copyFrom(w.before)
			before.add(class, e, from, eff, -1)
			after.copyFrom(w.after)
			after.add(class, e, from, eff, -1)
			after.add(class, e, to, eff, 1)
			gain := w.leastGain(g, values, before, after)
			if first {
				g.options = append(g.options, option{
					name:  moveName(e.Name, from, to),
					score: gain - w.in.Prices.RoleChange,
				})
			}
			if gain > best.gain {
				best = move{engine: i, to: to, gain: gain}
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

// leastGain is the gain over the base values in the worst scenario.
func (w *work) leastGain(g *gains, values []float64, before, after *fleet) float64 {
	least := math.Inf(1)
	for s, d := range g.scenarios {
		least = min(least, w.value(before, after, d, g.demand.requests)-values[s])
	}
	return least
}

// value is the worth of the requests completed in time over the horizon, in
// points: with one capacity while changes run and another after.
func (w *work) value(before, after *fleet, demand rates, requests float64) float64 {
	horizon := w.tuning.Horizon.Seconds()
	change := min(w.in.ChangeTime.Seconds(), horizon)
	inTime := func(f *fleet) float64 {
		return min(1, w.tuning.TargetUtilization*f.served(demand))
	}
	seconds := change*inTime(before) + (horizon-change)*inTime(after)
	return w.in.Prices.Goodput * requests * seconds
}

// group names engines between which only the order of compare decides.
type group struct {
	class int
	role  configv1.Role
	// leaning is the direction of the engine's recent change.
	leaning int
}

// representatives picks the engine that each group would change first,
// ordered by group.
func (w *work) representatives() []int {
	first := make(map[group]int)
	for i := range w.in.Engines {
		if !w.steady(i) || !w.spare(i, w.in.Limits.MinDecodePerDomain) {
			continue
		}
		a := &w.out[i]
		k := group{class: w.facts[i].class, role: a.Role}
		if w.recent(a.RoleChangedAt) {
			k.leaning = direction(a.PreviousRole, a.Role)
		}
		j, ok := first[k]
		if !ok || w.compare(i, j) < 0 {
			first[k] = i
		}
	}
	keys := make([]group, 0, len(first))
	for k := range first {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b group) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.role, b.role),
			cmp.Compare(a.leaning, b.leaning),
		)
	})
	picked := make([]int, len(keys))
	for i, k := range keys {
		picked[i] = first[k]
	}
	return picked
}

// recentMoves returns the directions that recent changes anywhere in the
// fleet close. A loss of engines since then opens them again, as the fleet is
// no longer the one that the change was made for.
func (w *work) recentMoves() bars {
	lost := w.lastLoss()
	var b bars
	for i := range w.out {
		a := &w.out[i]
		if !w.recent(a.RoleChangedAt) || a.RoleChangedAt.Before(lost) {
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

// lastLoss is when an engine last went down or was about to leave.
func (w *work) lastLoss() time.Time {
	var last time.Time
	for i := range w.in.Engines {
		e := &w.in.Engines[i]
		lost := e.State == StateLeaving || e.State == StateDown && !w.suspected(i)
		if lost && e.StateSince.After(last) {
			last = e.StateSince
		}
	}
	return last
}

// fork copies what a search changes.
func (w *work) fork() *work {
	c := *w
	c.out = slices.Clone(w.out)
	c.changes = nil
	c.domains = slices.Clone(w.domains)
	c.before, c.after = newFleet(w.classes), newFleet(w.classes)
	c.before.copyFrom(w.before)
	c.after.copyFrom(w.after)
	return &c
}

func tieBreak(seed uint64, name string) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
