package planner

import (
	"cmp"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// restoreMissingRoles makes an engine mixed if no engine can prefill or none
// can decode, even after the changes in progress.
func (w *work) repairRoles() {
	if w.decode.soon == 0 {
		w.repairWith(func(int) bool { return true })
	}
	if w.prefill.soon > 0 {
		return
	}
	spares := func(i int) bool { return w.spare(i, w.in.Limits.MinDecodePerDomain) }
	if !w.repairWith(spares) {
		w.repairWith(func(int) bool { return true })
	}
}

// restoreDomainMinimums makes prefill engines mixed in failure domains that
// have fewer decode engines than the configured minimum.
func (w *work) repairFloors() {
	for i := range w.in.Engines {
		d := w.domainOf(i)
		for d.soon < w.in.Limits.MinDecodePerDomain {
			here := func(j int) bool {
				return w.domainOf(j) == d && !canDecode(w.out[j].Role) && w.prefill.now > 1
			}
			if !w.repairWith(here) {
				break
			}
		}
	}
}

// repairOne makes the best eligible engine mixed and reports whether there was
// one.
func (w *work) repairWith(eligible func(int) bool) bool {
	if w.budget <= 0 {
		return false
	}
	best := -1
	for i := range w.in.Engines {
		if !w.steady(i) || w.out[i].Role == configv1.Role_ROLE_MIXED || !eligible(i) {
			continue
		}
		if best < 0 || w.compareRepair(i, best) < 0 {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	w.change(best, configv1.Role_ROLE_MIXED, KindRepair)
	return true
}

// compareRepair orders engines for a repair. Those whose recent change would
// not be reversed come first.
func (w *work) compareRepair(i, j int) int {
	mixed := configv1.Role_ROLE_MIXED
	a, b := w.reverses(i, mixed), w.reverses(j, mixed)
	if a != b {
		if a {
			return 1
		}
		return -1
	}
	return w.compare(i, j)
}

// compareEngines orders engines that are otherwise equal: first by the number
// of decode engines in the failure domain (most first), then by the time of the
// last change (longest ago first), then by a seeded hash.
func (w *work) compare(i, j int) int {
	return cmp.Or(
		cmp.Compare(w.domainOf(j).now, w.domainOf(i).now),
		w.out[i].Changed.Compare(w.out[j].Changed),
		cmp.Compare(w.facts[i].tie, w.facts[j].tie),
	)
}

// changeModels assigns the configured model to engines within the limit of
// concurrent changes. In a failure domain that is at its minimum, one engine
// may change at a time.
func (w *work) changeModels() {
	for w.budget > 0 {
		best := -1
		for i := range w.in.Engines {
			if !w.steady(i) || w.out[i].Model == w.in.Model || !w.spareForModel(i) {
				continue
			}
			if best < 0 || w.compare(i, best) < 0 {
				best = i
			}
		}
		if best < 0 {
			return
		}
		w.change(best, w.out[best].Role, KindModel)
		w.out[best].Model = w.in.Model
	}
}

// canSpareForModel is like canSpare, but lowers the minimum so that a failure
// domain that is at its minimum can change one engine at a time. An engine that
// is the only one of its role may change if no other engine is changing.
func (w *work) spareForModel(i int) bool {
	floor := min(w.in.Limits.MinDecodePerDomain, w.domainOf(i).soon-1)
	if w.spare(i, floor) {
		return true
	}
	role := w.out[i].Role
	lastPrefill := canPrefill(role) && w.prefill.soon == 1
	lastDecode := canDecode(role) && w.decode.soon == 1
	return w.away == 0 && (lastPrefill || lastDecode)
}
