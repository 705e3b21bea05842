package planner

import (
	"cmp"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// repairRoles makes an engine mixed when none can prefill or none can decode,
// now or after the changes in progress.
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

// repairFloors makes prefill engines mixed in failure domains that have too
// few engines to decode.
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

// repairWith makes the best eligible engine mixed and reports whether there
// was one.
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

// compareRepair orders engines for a repair: those whose recent change it
// would not undo come first.
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

// compare orders engines of like worth: from the failure domain with most
// engines to decode, then the one left alone longest, then by seed.
func (w *work) compare(i, j int) int {
	return cmp.Or(
		cmp.Compare(w.domainOf(j).now, w.domainOf(i).now),
		w.out[i].RoleChangedAt.Compare(w.out[j].RoleChangedAt),
		cmp.Compare(w.facts[i].tie, w.facts[j].tie),
	)
}

// changeModels has engines load the configured model, as many at once as the
// limits allow. Where a failure domain has no engine above its floor, one at
// a time may go.
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

// spareForModel is spare with a floor that the failure domain can meet while
// one of its engines is away. A role with a single engine is let go.
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
