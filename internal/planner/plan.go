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
	w := newWorkingState(in)
	w.adoptObservedRoles()
	w.countEngines()
	w.restoreMissingRoles()
	w.restoreDomainMinimums()
	w.changeModels()
	g := w.searchGain()
	return Decision{
		Assignments: w.assignments,
		Changes:     w.changes,
		Explanation: w.explain(g),
	}
}

// lossTimeout is how long an engine must be down before the planner treats it
// as lost.
const lossTimeout = 5 * time.Second

// changeTimeout is how long a change may take before the planner treats the
// engine as lost, so that it does not use up the limit of concurrent changes
// permanently.
const changeTimeout = 2 * time.Minute

// roleCount counts engines with a certain ability.
type roleCount struct {
	ready     int // serving without a pending change
	projected int // ready engines, plus those that are changing or suspected to be down
}

// engineInfo holds derived properties of an engine.
type engineInfo struct {
	domain   int    // index in workingState.domains
	class    int    // index of the rate class
	tieBreak uint64 // order among otherwise equal engines
}

// workingState is the state of one planning decision.
type workingState struct {
	in          Input
	tuning      Tuning
	classes     rateClasses
	assignments []Assignment
	changes     []Change
	domains     []roleCount
	infos       []engineInfo
	// prefill and decode count the engines that can prefill and decode, domains
	// those that can decode in each failure domain.
	prefill, decode roleCount
	// changeBudget is the number of further engines that may start to change.
	changeBudget int
	// changing is the number of engines with a pending change.
	changing int
	// capacityDuring is the capacity while changes are in progress,
	// capacityAfter the capacity when they are done.
	capacityDuring, capacityAfter *capacity
}

// newWorkingState returns the state before any decision.
func newWorkingState(in Input) *workingState {
	in.Engines = markStuckDown(in.Engines, in.Now)
	w := &workingState{
		in:          in,
		tuning:      in.Tuning.withDefaults(),
		classes:     classify(in.Engines),
		assignments: make([]Assignment, len(in.Engines)),
		infos:       make([]engineInfo, len(in.Engines)),
	}
	index := make(map[string]int)
	for i := range in.Engines {
		e := &in.Engines[i]
		w.assignments[i] = e.Desired
		w.assignments[i].Engine = e.Name
		d, ok := index[e.FailureDomain]
		if !ok {
			d = len(w.domains)
			index[e.FailureDomain] = d
			w.domains = append(w.domains, roleCount{})
		}
		w.infos[i] = engineInfo{domain: d, class: w.classes.of(e), tieBreak: tieBreak(in.Seed, e.Name)}
	}
	return w
}

// markStuckDown returns a copy of the engines in which those that exceeded
// changeTimeout are down.
func markStuckDown(engines []Engine, now time.Time) []Engine {
	out := slices.Clone(engines)
	for i := range out {
		e := &out[i]
		if e.State == StateChanging && now.Sub(e.StateSince) >= changeTimeout {
			e.State = StateDown
		}
	}
	return out
}

// domainOf returns the count of an engine's failure domain.
func (w *workingState) domainOf(i int) *roleCount { return &w.domains[w.infos[i].domain] }

// adoptObservedRoles makes the observed role the desired one where enforcing
// the plan has no benefit: for engines that are not in the plan yet, and for
// engines that returned with another role long after their last change or while
// the limit of concurrent changes is used up.
func (w *workingState) adoptObservedRoles() {
	pending := 0
	for i := range w.in.Engines {
		e, a := &w.in.Engines[i], &w.assignments[i]
		switch {
		case a.Role == configv1.Role_ROLE_UNSPECIFIED:
			w.adoptRole(i)
			a.Model = e.Model
		case e.State == StateChanging:
			pending++
		case e.State != StateServing || e.Role == a.Role || e.Role == configv1.Role_ROLE_UNSPECIFIED:
		case !w.withinReverseWindow(a.RoleChangedAt):
			w.adoptRole(i)
		case pending >= w.in.Limits.MaxConcurrentChanges && e.StateSince.After(a.RoleChangedAt):
			w.adoptRole(i)
		default:
			pending++
		}
	}
}

// adoptRole makes the observed role of an engine the desired one, if it is
// known.
func (w *workingState) adoptRole(i int) {
	role := w.in.Engines[i].Role
	if role == configv1.Role_ROLE_UNSPECIFIED {
		return
	}
	from := w.assignments[i].Role
	w.assignments[i].Role = role
	w.changes = append(w.changes, Change{w.in.Engines[i].Name, KindAdopt, from, role})
}

// withinReverseWindow reports whether t is within the reverse window before or
// after now. It may be after now because the clocks of two planners can differ.
func (w *workingState) withinReverseWindow(t time.Time) bool {
	return !t.IsZero() && w.in.Now.Sub(t).Abs() < w.tuning.ReverseWindow
}

// changePending reports whether an engine is changing or differs from its
// assignment.
func (w *workingState) changePending(i int) bool {
	e, a := &w.in.Engines[i], &w.assignments[i]
	if e.State == StateChanging {
		return true
	}
	otherRole := e.Role != configv1.Role_ROLE_UNSPECIFIED && e.Role != a.Role
	return e.State == StateServing && (otherRole || e.Model != a.Model)
}

// suspectedDown reports whether an engine has been down for less than
// lossTimeout, so that it may only have missed heartbeats.
func (w *workingState) suspectedDown(i int) bool {
	e := &w.in.Engines[i]
	return e.State == StateDown && w.in.Now.Sub(e.StateSince) < lossTimeout
}

// settled reports whether an engine is serving without a pending change.
func (w *workingState) settled(i int) bool {
	return w.in.Engines[i].State == StateServing && !w.changePending(i)
}

// countEngines computes the counts and capacities of the present assignments.
func (w *workingState) countEngines() {
	w.capacityDuring, w.capacityAfter = newCapacity(w.classes), newCapacity(w.classes)
	for i := range w.in.Engines {
		role := w.assignments[i].Role
		switch {
		case w.changePending(i):
			w.changing++
			w.tally(i, role, 0, 1)
		case w.settled(i):
			w.tally(i, role, 1, 1)
		case w.suspectedDown(i):
			w.tally(i, role, 0, 1)
		}
	}
	w.changeBudget = w.in.Limits.MaxConcurrentChanges - w.changing
}

// tally adds an engine with the given role to the counts and capacities.
func (w *workingState) tally(i int, role configv1.Role, ready, projected int) {
	e := &w.in.Engines[i]
	d := w.domainOf(i)
	if canDecode(role) {
		d.ready += ready
		d.projected += projected
		w.decode.ready += ready
		w.decode.projected += projected
	}
	if canPrefill(role) {
		w.prefill.ready += ready
		w.prefill.projected += projected
	}
	class, efficiency := w.infos[i].class, w.tuning.MixedEfficiency
	w.capacityDuring.add(class, e, role, efficiency, float64(ready))
	w.capacityAfter.add(class, e, role, efficiency, float64(projected))
}

// startChange assigns a new role, or only a new model, to a settled engine.
func (w *workingState) startChange(i int, to configv1.Role, kind ChangeKind) {
	a := &w.assignments[i]
	from := a.Role
	w.tally(i, from, -1, -1)
	w.tally(i, to, 0, 1)
	w.changeBudget--
	w.changing++
	if from != to {
		a.PreviousRole, a.Role, a.RoleChangedAt = from, to, w.in.Now
	}
	w.changes = append(w.changes, Change{w.in.Engines[i].Name, kind, from, to})
}

// canSpare reports whether a settled engine may be unavailable during a change.
// Its failure domain must keep minDecode other engines that can decode.
func (w *workingState) canSpare(i, minDecode int) bool {
	role := w.assignments[i].Role
	if canPrefill(role) && w.prefill.ready <= 1 {
		return false
	}
	if !canDecode(role) {
		return true
	}
	return w.decode.ready > 1 && w.domainOf(i).ready > minDecode
}

// direction is positive for a change towards prefill and negative for one
// towards decode.
func direction(from, to configv1.Role) int { return roleDirection(to) - roleDirection(from) }

// roleDirection returns 1 for prefill, -1 for decode and 0 for mixed engines.
func roleDirection(r configv1.Role) int {
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
func (w *workingState) reversesRecentChange(i int, to configv1.Role) bool {
	a := &w.assignments[i]
	if !w.withinReverseWindow(a.RoleChangedAt) {
		return false
	}
	return direction(a.PreviousRole, a.Role)*direction(a.Role, to) < 0
}
