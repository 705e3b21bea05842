package planner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// maxAlternatives bounds the number of alternatives listed in an explanation.
const maxAlternatives = 6

// changeName describes a role change in explanations.
func changeName(engine string, from, to configv1.Role) string {
	return engine + " " + roleName(from) + " to " + roleName(to)
}

// roleName returns the name of a role in explanations.
func roleName(r configv1.Role) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "ROLE_"))
}

// explain returns the explanation of the decision with its inputs and
// alternatives.
func (w *workingState) explain(g gainSearch) *peerv1.Explanation {
	return &peerv1.Explanation{
		UnixMs:       w.in.Now.UnixMilli(),
		Subject:      w.in.Service,
		Decision:     w.decisionText(),
		Reason:       w.reasonText(g),
		Inputs:       w.explainInputs(g),
		Alternatives: w.explainAlternatives(g),
	}
}

func (w *workingState) decisionText() string {
	if len(w.changes) == 0 {
		return "hold"
	}
	parts := make([]string, 0, len(w.changes))
	for _, c := range w.changes {
		parts = append(parts, c.Kind.String()+": "+changeName(c.Engine, c.From, c.To))
	}
	return strings.Join(parts, "; ")
}

func (w *workingState) reasonText(g gainSearch) string {
	switch {
	case len(w.changes) > g.changeCount && g.changeCount == 0:
		return "the fleet lacks a role, a floor or a model version, or an engine came back with another role"
	case g.changeCount > 0:
		return fmt.Sprintf("gain of %.1f points over the horizon, price deducted, is above the threshold of %.1f",
			g.score, g.threshold)
	case !g.demand.reliable:
		return "demand is known from too few periods"
	case w.changeBudget <= 0:
		return "the limit of changes at once is reached"
	case len(g.options) == 0:
		return "no engine may change: floors, last engines of a role or recent changes"
	default:
		return fmt.Sprintf("no change gains more than its price and the threshold of %.1f points", g.threshold)
	}
}

func (w *workingState) explainInputs(g gainSearch) []*peerv1.Input {
	demand := g.scenarios[0]
	return []*peerv1.Input{
		{Name: "requests", Value: g.demand.requests, Unit: "1/s"},
		{Name: "prompt_demand", Value: g.demand.mean.prefill, Unit: "tokens/s"},
		{Name: "prompt_demand_stderr", Value: g.demand.stderr.prefill, Unit: "tokens/s"},
		{Name: "output_demand", Value: g.demand.mean.decode, Unit: "tokens/s"},
		{Name: "output_demand_stderr", Value: g.demand.stderr.decode, Unit: "tokens/s"},
		{Name: "prompt_backlog", Value: w.in.Backlog.PromptTokens, Unit: "tokens"},
		{Name: "output_backlog", Value: w.in.Backlog.OutputTokens, Unit: "tokens"},
		{Name: "capacity_per_demand", Value: finite(w.capacityAfter.servableShare(demand)), Unit: "ratio"},
		{Name: "can_prefill", Value: float64(w.prefill.ready), Unit: "engines"},
		{Name: "can_decode", Value: float64(w.decode.ready), Unit: "engines"},
		{Name: "changing", Value: float64(w.changing), Unit: "engines"},
		{Name: "goodput_price", Value: w.in.Prices.Goodput, Unit: "points"},
		{Name: "role_change_price", Value: w.in.Prices.RoleChange, Unit: "points"},
		{Name: "horizon", Value: w.tuning.Horizon.Seconds(), Unit: "s"},
		{Name: "change_time", Value: w.in.ChangeTime.Seconds(), Unit: "s"},
	}
}

// finite replaces infinity by a large number that every encoding can represent.
func finite(v float64) float64 {
	const unbounded = 1e9
	return min(v, unbounded)
}

// explainAlternatives returns the alternatives with the highest scores, including
// that of no change.
func (w *workingState) explainAlternatives(g gainSearch) []*peerv1.Alternative {
	options := append([]scoredOption{{name: "hold"}}, g.options...)
	slices.SortStableFunc(options, func(a, b scoredOption) int { return cmp.Compare(b.score, a.score) })
	if len(options) > maxAlternatives {
		options = options[:maxAlternatives]
	}
	out := make([]*peerv1.Alternative, len(options))
	for i, o := range options {
		out[i] = &peerv1.Alternative{Name: o.name, Score: o.score}
	}
	return out
}
