package planner

import (
	"slices"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// Plan decides the assignment of each engine. It keeps the plan in force
// unless a repair is due or a change is worth more than it costs.
//
// In the order of their claim on the limit of changes at once: a role that no
// engine holds, the floor of a failure domain, another model version, gain.
// No change takes a failure domain below its floor or the last engine of a
// role away, except to repair a role that no engine holds.
func Plan(in Input) Decision {
	w := newWork(in)
	w.adopt()
	w.count()
	w.repairRoles()
	w.repairFloors()
	w.changeModels()
	g := w.seekGain()
	return Decision{
		Assignments: w.out,
		Changes:     w.changes,
		Explanation: w.explain(g),
	}
}

// lossDelay is how long an engine is down before the planner takes it for
// lost.
const lossDelay = 5 * time.Second

// stuckAfter is how long a change may take before the planner takes the
// engine for lost, so that it does not hold a place in the limit for good.
const stuckAfter = 2 * time.Minute

// domain counts the engines of a failure domain that can decode.
type domain struct {
	now  int // serving, with no change ahead
	soon int // those, and the ones that are changing or suspected
}

// fact is what a decision looks up often about one engine.
type fact struct {
	domain int    // index in work.domains
	class  int    // rate class
	tie    uint64 // order among equals
}

// work is the state of one decision.
type work struct {
	in      Input
	tuning  Tuning
	classes classes
	out     []Assignment
	changes []Change
	domains []domain
	facts   []fact
	// Engines that can prefill and decode, as in domain.
	prefill, decode domain
	// budget is how many more engines may start a change.
	budget int
	// away counts the engines with a change ahead.
	away int
	// before and after are the capacity while changes run, and then.
	before, after *fleet
}

func newWork(in Input) *work {
	in.Engines = withoutStuck(in.Engines, in.Now)
	w := &work{
		in:      in,
		tuning:  in.Tuning.withDefaults(),
		classes: classify(in.Engines),
		out:     make([]Assignment, len(in.Engines)),
		facts:   make([]fact, len(in.Engines)),
	}
	index := make(map[string]int)
	for i := range in.Engines {
		e := &in.Engines[i]
		w.out[i] = e.Desired
		w.out[i].Engine = e.Name
		d, ok := index[e.FailureDomain]
		if !ok {
			d = len(w.domains)
			index[e.FailureDomain] = d
			w.domains = append(w.domains, domain{})
		}
		w.facts[i] = fact{domain: d, class: w.classes.of(e), tie: tieBreak(in.Seed, e.Name)}
	}
	return w
}

// withoutStuck returns engines in which those that change for too long are
// down.
func withoutStuck(engines []Engine, now time.Time) []Engine {
	out := slices.Clone(engines)
	for i := range out {
		e := &out[i]
		if e.State == StateChanging && now.Sub(e.StateSince) >= stuckAfter {
			e.State = StateDown
		}
	}
	return out
}

// domainOf returns the counts of an engine's failure domain.
func (w *work) domainOf(i int) *domain { return &w.domains[w.facts[i].domain] }

// adopt takes the observed role as desired where nothing is gained by
// insisting: at engines that no plan has met, and at those that came back
// with another role long after their last change, or beyond the limit.
func (w *work) adopt() {
	pending := 0
	for i := range w.in.Engines {
		e, a := &w.in.Engines[i], &w.out[i]
		switch {
		case a.Role == configv1.Role_ROLE_UNSPECIFIED:
			w.adoptRole(i)
			a.Model = e.Model
		case e.State == StateChanging:
			pending++
		case e.State != StateServing || e.Role == a.Role || e.Role == configv1.Role_ROLE_UNSPECIFIED:
		case !w.recent(a.RoleChangedAt):
			w.adoptRole(i)
		case pending >= w.in.Limits.MaxConcurrentChanges && e.StateSince.After(a.RoleChangedAt):
			w.adoptRole(i)
		default:
			pending++
		}
	}
}

func (w *work) adoptRole(i int) {
	role := w.in.Engines[i].Role
	if role == configv1.Role_ROLE_UNSPECIFIED {
		return
	}
	from := w.out[i].Role
	w.out[i].Role = role
	w.changes = append(w.changes, Change{w.in.Engines[i].Name, KindAdopt, from, role})
}

// recent reports whether t is within the reverse window, on either side, as
// the clocks of two planners may differ.
func (w *work) recent(t time.Time) bool {
	return !t.IsZero() && w.in.Now.Sub(t).Abs() < w.tuning.ReverseWindow
}

// pending reports whether an engine has a change ahead of it.
func (w *work) pending(i int) bool {
	e, a := &w.in.Engines[i], &w.out[i]
	if e.State == StateChanging {
		return true
	}
	otherRole := e.Role != configv1.Role_ROLE_UNSPECIFIED && e.Role != a.Role
	return e.State == StateServing && (otherRole || e.Model != a.Model)
}

// suspected reports whether an engine has been down for so short a time that
// it may only have been silent.
func (w *work) suspected(i int) bool {
	e := &w.in.Engines[i]
	return e.State == StateDown && w.in.Now.Sub(e.StateSince) < lossDelay
}

// steady reports whether an engine serves and has no change ahead.
func (w *work) steady(i int) bool {
	return w.in.Engines[i].State == StateServing && !w.pending(i)
}

// count sums up engines and capacities.
func (w *work) count() {
	w.before, w.after = newFleet(w.classes), newFleet(w.classes)
	for i := range w.in.Engines {
		role := w.out[i].Role
		switch {
		case w.pending(i):
			w.away++
			w.tally(i, role, 0, 1)
		case w.steady(i):
			w.tally(i, role, 1, 1)
		case w.suspected(i):
			w.tally(i, role, 0, 1)
		}
	}
	w.budget = w.in.Limits.MaxConcurrentChanges - w.away
}

// tally adds an engine in a role to the present and to the coming counts.
func (w *work) tally(i int, role configv1.Role, now, soon int) {
	e := &w.in.Engines[i]
	d := w.domainOf(i)
	if canDecode(role) {
		d.now += now
		d.soon += soon
		w.decode.now += now
		w.decode.soon += soon
	}
	if canPrefill(role) {
		w.prefill.now += now
		w.prefill.soon += soon
	}
	class, eff := w.facts[i].class, w.tuning.MixedEfficiency
	w.before.add(class, e, role, eff, float64(now))
	w.after.add(class, e, role, eff, float64(soon))
}

// change starts the change of a steady engine.
func (w *work) change(i int, to configv1.Role, kind ChangeKind) {
	a := &w.out[i]
	from := a.Role
	w.tally(i, from, -1, -1)
	w.tally(i, to, 0, 1)
	w.budget--
	w.away++
	if from != to {
		a.PreviousRole, a.Role, a.RoleChangedAt = from, to, w.in.Now
	}
	w.changes = append(w.changes, Change{w.in.Engines[i].Name, kind, from, to})
}

// spare reports whether the fleet can do without a steady engine while it
// changes, keeping floor decoding engines in its failure domain.
func (w *work) spare(i, floor int) bool {
	role := w.out[i].Role
	if canPrefill(role) && w.prefill.now <= 1 {
		return false
	}
	if !canDecode(role) {
		return true
	}
	return w.decode.now > 1 && w.domainOf(i).now > floor
}

// direction is positive for a move towards prefill, negative towards decode.
func direction(from, to configv1.Role) int { return lean(to) - lean(from) }

func lean(r configv1.Role) int {
	switch r {
	case configv1.Role_ROLE_PREFILL:
		return 1
	case configv1.Role_ROLE_DECODE:
		return -1
	default:
		return 0
	}
}

// reverses reports whether a move would undo the engine's own recent one.
func (w *work) reverses(i int, to configv1.Role) bool {
	a := &w.out[i]
	if !w.recent(a.RoleChangedAt) {
		return false
	}
	return direction(a.PreviousRole, a.Role)*direction(a.Role, to) < 0
}
