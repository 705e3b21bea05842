package planner

import (
	"slices"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// Plan decides on the role and model of each engine. It keeps the plan in force
// unless a repair is due or a change gains more than it costs.
//
// Changes compete for the limit of concurrent changes in this order: a role
// that no engine has, the minimum of decode engines of a failure domain, a new
// model version, gain. A change never takes a failure domain below its minimum
// or removes the last engine of a role, except to restore a role that no engine
// has.
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

// lossTimeout is how long an engine must be down before the planner treats it
// as lost.
const lossDelay = 5 * time.Second

// changeTimeout is how long a change may take before the planner treats the
// engine as lost, so that it does not use up the limit of concurrent changes
// forever.
const stuckAfter = 2 * time.Minute

// roleCount counts engines with a certain ability.
type domain struct {
	now  int // serving without a pending change
	soon int // ready engines, plus those that are changing or suspected to be down
}

// engineInfo holds derived properties of an engine.
type fact struct {
	domain int    // index in workingState.domains
	class  int    // index of the rate class
	tie    uint64 // order among otherwise equal engines
}

// workingState is the state of one planning decision.
type work struct {
	in      Input
	tuning  Tuning
	classes classes
	out     []Assignment
	changes []Change
	domains []domain
	facts   []fact
	// prefill and decode count the engines that can prefill and decode, domains
	// those that can decode in each failure domain.
	prefill, decode domain
	// changeBudget is the number of further engines that may start to change.
	budget int
	// changing is the number of engines with a pending change.
	away int
	// capacityDuring is the capacity while changes are in progress,
	// capacityAfter the capacity when they are done.
	before, after *fleet
}

// newWorkingState returns the state before any decision.
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

// markStuckDown returns a copy of the engines in which those that exceeded
// changeTimeout are down.
func withoutStuck(engines []Engine, now time.Time) []Engine {
	out := slices.Clone(engines)
	for i := range out {
		e := &out[i]
		if e.State == Changing && now.Sub(e.Since) >= stuckAfter {
			e.State = Down
		}
	}
	return out
}

// domainOf returns the count of an engine's failure domain.
func (w *work) domainOf(i int) *domain { return &w.domains[w.facts[i].domain] }

// adoptObservedRoles makes the observed role the desired one where enforcing
// the plan has no benefit: for engines that are not in the plan yet, and for
// engines that returned with another role long after their last change or while
// the limit of concurrent changes is used up.
func (w *work) adopt() {
	pending := 0
	for i := range w.in.Engines {
		e, a := &w.in.Engines[i], &w.out[i]
		switch {
		case a.Role == configv1.Role_ROLE_UNSPECIFIED:
			w.adoptRole(i)
			a.Model = e.Model
		case e.State == Changing:
			pending++
		case e.State != Serving || e.Role == a.Role || e.Role == configv1.Role_ROLE_UNSPECIFIED:
		case !w.recent(a.Changed):
			w.adoptRole(i)
		case pending >= w.in.Limits.MaxChanges && e.Since.After(a.Changed):
			w.adoptRole(i)
		default:
			pending++
		}
	}
}

// adoptRole makes the observed role of an engine the desired one, if it is
// known.
func (w *work) adoptRole(i int) {
	role := w.in.Engines[i].Role
	if role == configv1.Role_ROLE_UNSPECIFIED {
		return
	}
	from := w.out[i].Role
	w.out[i].Role = role
	w.changes = append(w.changes, Change{w.in.Engines[i].Name, KindAdopt, from, role})
}

// withinReverseWindow reports whether t is within the reverse window before or
// after now. It may be after now because the clocks of two planners can differ.
func (w *work) recent(t time.Time) bool {
	return !t.IsZero() && w.in.Now.Sub(t).Abs() < w.tuning.ReverseWindow
}

// changePending reports whether an engine is changing or differs from its
// assignment.
func (w *work) pending(i int) bool {
	e, a := &w.in.Engines[i], &w.out[i]
	if e.State == Changing {
		return true
	}
	otherRole := e.Role != configv1.Role_ROLE_UNSPECIFIED && e.Role != a.Role
	return e.State == Serving && (otherRole || e.Model != a.Model)
}

// suspectedDown reports whether an engine has been down for less than
// lossTimeout, so that it may only have missed heartbeats.
func (w *work) suspected(i int) bool {
	e := &w.in.Engines[i]
	return e.State == Down && w.in.Now.Sub(e.Since) < lossDelay
}

// settled reports whether an engine is serving without a pending change.
func (w *work) steady(i int) bool {
	return w.in.Engines[i].State == Serving && !w.pending(i)
}

// countEngines computes the counts and capacities of the present assignments.
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
	w.budget = w.in.Limits.MaxChanges - w.away
}

// tally adds an engine with the given role to the counts and capacities.
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

// startChange assigns a new role, or only a new model, to a settled engine.
func (w *work) change(i int, to configv1.Role, kind ChangeKind) {
	a := &w.out[i]
	from := a.Role
	w.tally(i, from, -1, -1)
	w.tally(i, to, 0, 1)
	w.budget--
	w.away++
	if from != to {
		a.Previous, a.Role, a.Changed = from, to, w.in.Now
	}
	w.changes = append(w.changes, Change{w.in.Engines[i].Name, kind, from, to})
}

// canSpare reports whether a settled engine may be unavailable during a change.
// Its failure domain must keep floor other engines that can decode.
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

// direction is positive for a change towards prefill and negative for one
// towards decode.
func direction(from, to configv1.Role) int { return lean(to) - lean(from) }

// roleDirection returns 1 for prefill, -1 for decode and 0 for mixed engines.
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

// reversesRecentChange reports whether a change would reverse a recent change
// of the same engine.
func (w *work) reverses(i int, to configv1.Role) bool {
	a := &w.out[i]
	if !w.recent(a.Changed) {
		return false
	}
	return direction(a.Previous, a.Role)*direction(a.Role, to) < 0
}
