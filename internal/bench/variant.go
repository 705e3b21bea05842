package bench

import (
	"time"

	"github.com/marigoldwing/marigoldwing/internal/admission"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/planner"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// variant is the policy, the policy with one part taken out, or the baseline.
type variant struct {
	name     string
	baseline bool
	// routing changes the options of routing.
	routing func(*routing.Options)
	// admit is whether requests are admitted by deadline.
	admit bool
	// edf is whether gates start the earliest deadline first.
	edf bool
	// enginePriority is whether engines are told priorities.
	enginePriority bool
	// urgency is whether predictions count only work that goes before.
	urgency bool
	// cancel is whether an expired request frees its engine.
	cancel bool
	// ejection is whether failing engines are ejected and start slowly.
	ejection bool
	// window is whether gates hold back prompts that an engine cannot yet
	// prefill.
	window  bool
	planner rolePlanner
	// reverseWindow of the planner; 0 takes that of the prices.
	reverseWindow time.Duration
}

// policyVariant is the whole policy.
func policyVariant() variant {
	return variant{
		name: "policy", admit: true, edf: true, enginePriority: true, urgency: true,
		cancel: true, ejection: true, window: true, planner: realPlanner{},
	}
}

// naiveVariant is the baseline. Its callers' cancellations reach the engines,
// as they do through common proxies.
func naiveVariant() variant {
	return variant{name: "naive", baseline: true, cancel: true, planner: realPlanner{}}
}

// heldNaiveVariant is the baseline with fixed roles.
func heldNaiveVariant() variant {
	v := naiveVariant()
	v.name, v.planner = "naive, roles held", nil
	return v
}

// ablations returns the policy with each part taken out alone.
func ablations() []variant {
	return []variant{
		without("own sends", func(v *variant) { v.routing = func(o *routing.Options) { o.OwnSendScale = 0 } }),
		without("sends of others", func(v *variant) { v.routing = func(o *routing.Options) { o.OwnSendScale = 1 } }),
		without("urgent arrivals", func(v *variant) { v.routing = func(o *routing.Options) { o.EntryCount = 0 } }),
		without("affinity", func(v *variant) { v.routing = func(o *routing.Options) { o.AffinityCandidates = 0 } }),
		without("cache hints", func(v *variant) { v.routing = func(o *routing.Options) { o.MaxPrefixBlocks = 0 } }),
		without("sampling", func(v *variant) { v.routing = func(o *routing.Options) { o.RandomCandidates = 32 } }),
		without("work price", func(v *variant) { v.routing = func(o *routing.Options) { o.EngineTimeWeight = 0 } }),
		without("pairs", func(v *variant) {
			v.routing = func(o *routing.Options) { o.TransferRate = 0 }
			v.planner = holdPlanner{}
		}),
		without("admission", func(v *variant) { v.admit = false }),
		without("earliest deadline", func(v *variant) { v.edf = false }),
		without("engine priority", func(v *variant) { v.enginePriority = false }),
		without("urgency", func(v *variant) { v.urgency = false }),
		without("prompt window", func(v *variant) { v.window = false }),
		without("cancellation", func(v *variant) { v.cancel = false }),
		without("ejection", func(v *variant) { v.ejection = false }),
		without("reverse window by price", func(v *variant) { v.reverseWindow = planner.DefaultReverseWindow }),
		without("planner", func(v *variant) { v.planner = holdPlanner{} }),
	}
}

const withoutPrefix = "without "

func without(part string, change func(*variant)) variant {
	v := policyVariant()
	v.name = withoutPrefix + part
	change(&v)
	return v
}

// admission returns the options for deciding on admission.
func (v variant) admission() admission.Options {
	opts := admission.DefaultOptions()
	if !v.admit {
		opts.SafetyFactor = 0
	}
	return opts
}

// unlimited stands for no bound on what an engine is handed.
const unlimited = 1 << 20

// gate returns the gate of an engine.
func (v variant) gate(s enginemodel.Settings) *admission.Gate {
	opts := admission.DefaultGateOptions(s.PrefillRate, decodeRate(s), s.MaxBatch)
	opts.Admission = v.admission()
	if !v.window {
		opts.PromptWindow, opts.MaxSequences = 0, unlimited
	}
	return admission.NewGate(opts)
}

// decodeRate returns an engine's output tokens per second over a full batch.
func decodeRate(s enginemodel.Settings) float64 {
	step := s.DecodeStep + time.Duration(s.MaxBatch-1)*s.DecodeStepPerSequence
	return float64(s.MaxBatch) / step.Seconds()
}

// routedEngine describes an engine to an entry of a failure domain.
func routedEngine(n *node, p *profile, entry int) routing.Engine {
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
