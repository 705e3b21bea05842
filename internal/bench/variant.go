package bench

import (
	"time"

	"github.com/marigoldwing/marigoldwing/internal/admission"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/planner"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// variant is the policy, the policy with one part removed, or the baseline.
type variant struct {
	name string
	// baseline selects the baseline's routing and planning.
	baseline bool
	// changeRouting modifies the routing options; nil leaves them unchanged.
	changeRouting func(*routing.Options)
	// admissionControl enables admission control by predicted completion time.
	admissionControl bool
	// edf makes gates start attempts in order of deadline.
	edf bool
	// enginePriority passes priorities to the engines.
	enginePriority bool
	// urgency makes predictions count only the queued work that is started
	// before a request.
	urgency bool
	// cancel propagates the expiry of a request to its engine.
	cancel bool
	// ejection removes failing engines from rotation and ramps them up slowly
	// afterwards.
	ejection bool
	// promptWindow makes gates hold back prompts that the engine cannot prefill
	// yet.
	promptWindow bool
	// planner decides on the roles of the engines. With baseline set, its only
	// meaning is that nil disables role changes.
	planner rolePlanner
	// reverseWindow is the planner's reverse window; 0 derives it from the
	// prices.
	reverseWindow time.Duration
}

// policyVariant returns the complete policy.
func policyVariant() variant {
	return variant{
		name: "policy", admissionControl: true, edf: true, enginePriority: true, urgency: true,
		cancel: true, ejection: true, promptWindow: true, planner: policyPlanner{},
	}
}

// baselineVariant returns the baseline. Cancellations by callers reach its
// engines, as they do through common proxies.
func baselineVariant() variant {
	return variant{name: "naive", baseline: true, cancel: true, planner: policyPlanner{}}
}

// fixedRolesBaselineVariant returns the baseline without role changes.
func fixedRolesBaselineVariant() variant {
	v := baselineVariant()
	v.name, v.planner = "naive, roles held", nil
	return v
}

// ablations returns one variant for each part of the policy, with only that
// part removed.
func ablations() []variant {
	return []variant{
		ablation("own sends", func(v *variant) { v.changeRouting = func(o *routing.Options) { o.OwnSendScale = 0 } }),
		ablation("sends of others", func(v *variant) { v.changeRouting = func(o *routing.Options) { o.OwnSendScale = 1 } }),
		ablation("urgent arrivals", func(v *variant) { v.changeRouting = func(o *routing.Options) { o.EntryCount = 0 } }),
		ablation("affinity", func(v *variant) { v.changeRouting = func(o *routing.Options) { o.AffinityCandidates = 0 } }),
		ablation("cache hints", func(v *variant) { v.changeRouting = func(o *routing.Options) { o.MaxPrefixBlocks = 0 } }),
		ablation("sampling", func(v *variant) { v.changeRouting = func(o *routing.Options) { o.RandomCandidates = 32 } }),
		ablation("work price", func(v *variant) { v.changeRouting = func(o *routing.Options) { o.EngineTimeWeight = 0 } }),
		ablation("pairs", func(v *variant) {
			v.changeRouting = func(o *routing.Options) { o.TransferRate = 0 }
			v.planner = fixedRolesPlanner{}
		}),
		ablation("admission", func(v *variant) { v.admissionControl = false }),
		ablation("earliest deadline", func(v *variant) { v.edf = false }),
		ablation("engine priority", func(v *variant) { v.enginePriority = false }),
		ablation("urgency", func(v *variant) { v.urgency = false }),
		ablation("prompt window", func(v *variant) { v.promptWindow = false }),
		ablation("cancellation", func(v *variant) { v.cancel = false }),
		ablation("ejection", func(v *variant) { v.ejection = false }),
		ablation("reverse window by price", func(v *variant) { v.reverseWindow = planner.DefaultReverseWindow }),
		ablation("planner", func(v *variant) { v.planner = fixedRolesPlanner{} }),
	}
}

// ablationPrefix starts the names of all ablations.
const ablationPrefix = "without "

// ablation returns the policy with a change that removes the named part.
func ablation(part string, change func(*variant)) variant {
	v := policyVariant()
	v.name = ablationPrefix + part
	change(&v)
	return v
}

func (v variant) admission() admission.Options {
	opts := admission.DefaultOptions()
	if !v.admissionControl {
		opts.SafetyFactor = 0
	}
	return opts
}

// unlimitedSequences effectively disables the limit on sequences submitted to
// an engine.
const unlimitedSequences = 1 << 20

// newGate returns the admission gate of an engine.
func (v variant) newGate(s enginemodel.Settings) *admission.Gate {
	opts := admission.DefaultGateOptions(s.PrefillRate, decodeRate(s), s.MaxBatch)
	opts.Admission = v.admission()
	if !v.promptWindow {
		opts.PromptWindow, opts.MaxSequences = 0, unlimitedSequences
	}
	return admission.NewGate(opts)
}

// decodeRate returns the output tokens per second of an engine with a full
// batch.
func decodeRate(s enginemodel.Settings) float64 {
	step := s.DecodeStep + time.Duration(s.MaxBatch-1)*s.DecodeStepPerSequence
	return float64(s.MaxBatch) / step.Seconds()
}

// routingEngine describes an engine to the router of an entry. Engines in the
// entry's failure domain have distance 0, others 1.
func routingEngine(n *node, p *profile, entry int) routing.Engine {
	distance := 1
	if n.index%p.domains == entry%p.domains {
		distance = 0
	}
	return routing.Engine{
		Name:        n.name,
		Distance:    distance,
		PrefillRate: p.settings.PrefillRate,
		DecodeRate:  decodeRate(p.settings),
		MaxBatch:    p.settings.MaxBatch,
		Role:        n.role,
	}
}
