package planner

import (
	"cmp"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// restoreMissingRoles makes an engine mixed if no engine can prefill or none
// can decode, even after the changes in progress. To restore prefill it prefers
// an engine that canSpare allows, and otherwise takes any.
func (w *workingState) restoreMissingRoles() {
	if w.decode.projected == 0 {
		w.repairOne(func(int) bool { return true })
	}
	if w.prefill.projected > 0 {
		return
	}
	spares := func(i int) bool { return w.canSpare(i, w.in.Limits.MinDecodePerDomain) }
	if !w.repairOne(spares) {
		w.repairOne(func(int) bool { return true })
	}
}

// restoreDomainMinimums makes prefill engines mixed in failure domains that
// have fewer decode engines than the configured minimum.
func (w *workingState) restoreDomainMinimums() {
	for i := range w.in.Engines {
		d := w.domainOf(i)
		for d.projected < w.in.Limits.MinDecodePerDomain {
			here := func(j int) bool {
				return w.domainOf(j) == d && !canDecode(w.assignments[j].Role) && w.prefill.ready > 1
			}
			if !w.repairOne(here) {
				break
			}
		}
	}
}

// repairOne makes the best eligible engine mixed and reports whether there was
// one.
func (w *workingState) repairOne(eligible func(int) bool) bool {
	if w.changeBudget <= 0 {
		return false
	}
	best := -1
	for i := range w.in.Engines {
		if !w.settled(i) || w.assignments[i].Role == configv1.Role_ROLE_MIXED || !eligible(i) {
			continue
		}
		if best < 0 || w.compareRepair(i, best) < 0 {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	w.startChange(best, configv1.Role_ROLE_MIXED, KindRepair)
	return true
}

// compareRepair orders engines for a repair. Those whose recent change would
// not be reversed come first.
func (w *workingState) compareRepair(i, j int) int {
	mixed := configv1.Role_ROLE_MIXED
	a, b := w.reversesRecentChange(i, mixed), w.reversesRecentChange(j, mixed)
	if a != b {
		if a {
			return 1
		}
		return -1
	}
	return w.compareEngines(i, j)
}

// compareEngines orders engines that are otherwise equal: first by the number
// of decode engines in the failure domain (most first), then by the time of the
// last change (longest ago first), then by a seeded hash.
func (w *workingState) compareEngines(i, j int) int {
	return cmp.Or(
		cmp.Compare(w.domainOf(j).ready, w.domainOf(i).ready),
		w.assignments[i].RoleChangedAt.Compare(w.assignments[j].RoleChangedAt),
		cmp.Compare(w.infos[i].tieBreak, w.infos[j].tieBreak),
	)
}

// changeModels assigns the configured model to engines within the limit of
// concurrent changes. In a failure domain that is at its minimum, one engine
// may change at a time.
func (w *workingState) changeModels() {
	for w.changeBudget > 0 {
		best := -1
		for i := range w.in.Engines {
			if !w.settled(i) || w.assignments[i].Model == w.in.Model || !w.canSpareForModel(i) {
				continue
			}
			if best < 0 || w.compareEngines(i, best) < 0 {
				best = i
			}
		}
		if best < 0 {
			return
		}
		w.startChange(best, w.assignments[best].Role, KindModel)
		w.assignments[best].Model = w.in.Model
	}
}

// canSpareForModel is like canSpare, but lowers the minimum so that a failure
// domain that is at its minimum can change one engine at a time. An engine that
// is the only one of its role may change if no other engine is changing.
func (w *workingState) canSpareForModel(i int) bool {
	minDecode := min(w.in.Limits.MinDecodePerDomain, w.domainOf(i).projected-1)
	if w.canSpare(i, minDecode) {
		return true
	}
	role := w.assignments[i].Role
	lastPrefill := canPrefill(role) && w.prefill.projected == 1
	lastDecode := canDecode(role) && w.decode.projected == 1
	return w.changing == 0 && (lastPrefill || lastDecode)
}
