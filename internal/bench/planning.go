package bench

import (
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/baseline"
	"github.com/marigoldwing/marigoldwing/internal/planner"
)

// rolePlanner decides on the roles of the engines.
type rolePlanner interface {
	Plan(in planner.Input) planner.Decision
}

// realPlanner is the planner of the system.
type realPlanner struct{}

func (realPlanner) Plan(in planner.Input) planner.Decision { return planner.Plan(in) }

// holdPlanner leaves all roles as they are.
type holdPlanner struct{}

func (holdPlanner) Plan(planner.Input) planner.Decision { return planner.Decision{} }

const (
	// demandPeriods is the number of periods that the planner sees.
	demandPeriods = 24
	// changeTime is how long a role change is expected to take, drain included.
	changeTime = 15 * time.Second
	// undoWindow is the time within which a change back counts as undone.
	undoWindow = 10 * time.Minute
	// maxChanges is the largest number of engines that change at once.
	maxChanges = 2
	// seedOfPlans orders equal engines.
	seedOfPlans = 1
)

// epoch is the start of virtual time for decisions that take a time.Time.
var epoch = time.Unix(1_800_000_000, 0)

// planning feeds the planner and carries out its decisions.
type planning struct {
	world   *world
	planner rolePlanner
	current planner.Demand
	demand  []planner.Demand
	desired []planner.Assignment
}

func newPlanning(w *world, p rolePlanner) *planning {
	return &planning{world: w, planner: p, desired: make([]planner.Assignment, len(w.nodes))}
}

// admitted counts the demand of an attempt that an entry sends.
func (p *planning) admitted(a *attempt) {
	if a.attempts > 1 {
		return
	}
	p.current.Requests++
	p.current.PromptTokens += float64(a.prompt - a.cached)
	p.current.OutputTokens += float64(a.expected)
}

// plan takes one decision.
func (p *planning) plan(now time.Duration) {
	p.current.Duration = planInterval
	p.demand = append(p.demand, p.current)
	p.current = planner.Demand{}
	if len(p.demand) > demandPeriods {
		p.demand = p.demand[1:]
	}
	if p.world.variant.baseline {
		p.planNaively(now)
		return
	}
	decision := p.planner.Plan(p.input(now))
	if decision.Assignments == nil {
		return
	}
	p.desired = decision.Assignments
	for i, a := range p.desired {
		p.order(now, p.world.nodes[i], a)
	}
}

// order has a node take the assigned role and counts a role change.
func (p *planning) order(now time.Duration, n *node, a planner.Assignment) {
	if n.down || n.drained || n.changing || n.role == a.Role {
		return
	}
	p.world.result.change(now, n, a.Role)
	n.order(now, a.Role)
}

func (p *planning) input(now time.Duration) planner.Input {
	in := planner.Input{
		Now:        epoch.Add(now),
		Seed:       seedOfPlans,
		Service:    p.world.profile.name,
		Prices:     planner.Prices{Goodput: p.world.profile.prices.goodput, RoleChange: p.world.profile.prices.roleChange},
		Limits:     planner.Limits{MaxConcurrentChanges: maxChanges, MinDecodePerDomain: 1},
		Demand:     p.demand,
		ChangeTime: changeTime,
		Tuning:     planner.Tuning{ReverseWindow: p.world.variant.reverseWindow},
	}
	if in.Tuning.ReverseWindow == 0 {
		in.Tuning.ReverseWindow = in.Prices.ReverseWindow()
	}
	for i, n := range p.world.nodes {
		in.Engines = append(in.Engines, planner.Engine{
			Name:          n.name,
			FailureDomain: n.domain,
			State:         plannerState(n.state()),
			StateSince:    epoch.Add(n.since),
			Role:          n.role,
			Desired:       p.desired[i],
			PrefillRate:   p.world.profile.settings.PrefillRate,
			DecodeRate:    decodeRate(p.world.profile.settings),
		})
		in.Backlog.PromptTokens += float64(n.seen.PromptTokens)
		in.Backlog.OutputTokens += float64(n.seen.OutputTokens)
	}
	return in
}

func plannerState(s peerv1.ServerState) planner.EngineState {
	switch s {
	case peerv1.ServerState_SERVER_STATE_SERVING:
		return planner.StateServing
	case peerv1.ServerState_SERVER_STATE_CHANGING:
		return planner.StateChanging
	case peerv1.ServerState_SERVER_STATE_DRAINING:
		return planner.StateLeaving
	default:
		return planner.StateDown
	}
}

// planNaively takes one decision of the baseline.
func (p *planning) planNaively(now time.Duration) {
	if p.world.variant.planner == nil {
		return
	}
	var loads []baseline.EngineLoad
	for _, n := range p.world.nodes {
		if n.state() == peerv1.ServerState_SERVER_STATE_SERVING {
			loads = append(loads, baseline.EngineLoad{Engine: n.name, Role: n.role, QueuedPromptTokens: n.seen.PromptTokens, Sequences: n.seen.Sequences})
		}
	}
	change, ok := baseline.Plan(loads)
	if !ok {
		return
	}
	p.order(now, p.world.nodeOf(change.Engine), planner.Assignment{Role: change.Role})
}
