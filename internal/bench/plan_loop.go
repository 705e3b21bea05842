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

// policyPlanner makes its decisions with the policy under test.
type policyPlanner struct{}

func (policyPlanner) Plan(in planner.Input) planner.Decision { return planner.Plan(in) }

// fixedRolesPlanner leaves all roles unchanged.
type fixedRolesPlanner struct{}

func (fixedRolesPlanner) Plan(planner.Input) planner.Decision { return planner.Decision{} }

const (
	// demandPeriods is the number of past demand measurements that the planner
	// receives.
	demandPeriods = 24
	// expectedChangeTime is the expected duration of a role change, including
	// the draining.
	expectedChangeTime = 15 * time.Second
	// reversalWindow is the time within which changing a role back counts as a
	// reversal.
	reversalWindow = 10 * time.Minute
	// maxChanges is the maximum number of engines that change their roles
	// concurrently.
	maxChanges = 2
	// plannerSeed determines the choice among equivalent engines.
	plannerSeed = 1
)

// epoch is the start of simulated time, for code that takes a time.Time.
var epoch = time.Unix(1_800_000_000, 0)

// planLoop measures demand, runs the planner and carries out its decisions.
type planLoop struct {
	sim           *simulation
	planner       rolePlanner
	currentDemand planner.Demand
	demandHistory []planner.Demand
	desired       []planner.Assignment
}

func newPlanLoop(sim *simulation, p rolePlanner) *planLoop {
	return &planLoop{sim: sim, planner: p, desired: make([]planner.Assignment, len(sim.nodes))}
}

// recordDemand counts the demand of an attempt that an entry sends. Retries are
// not counted.
func (p *planLoop) recordDemand(a *attempt) {
	if a.attempts > 1 {
		return
	}
	p.currentDemand.Requests++
	p.currentDemand.PromptTokens += float64(a.promptTokens - a.cachedTokens)
	p.currentDemand.OutputTokens += float64(a.expectedOutput)
}

// plan runs the planner once.
func (p *planLoop) plan(now time.Duration) {
	p.currentDemand.Duration = planInterval
	p.demandHistory = append(p.demandHistory, p.currentDemand)
	p.currentDemand = planner.Demand{}
	if len(p.demandHistory) > demandPeriods {
		p.demandHistory = p.demandHistory[1:]
	}
	if p.sim.variant.baseline {
		p.planBaseline(now)
		return
	}
	decision := p.planner.Plan(p.input(now))
	if decision.Assignments == nil {
		return
	}
	p.desired = decision.Assignments
	for i, a := range p.desired {
		p.changeRole(now, p.sim.nodes[i], a)
	}
}

// changeRole starts changing a node to the assigned role and counts the role
// change. It has no effect on a node that is not serving or already has the
// role.
func (p *planLoop) changeRole(now time.Duration, n *node, a planner.Assignment) {
	if n.down || n.drained || n.changing || n.role == a.Role {
		return
	}
	p.sim.result.recordRoleChange(now, n, a.Role)
	n.changeRole(now, a.Role)
}

// input returns what the planner knows: the roles and states of the engines,
// the past demand, and the backlog according to the latest load reports.
func (p *planLoop) input(now time.Duration) planner.Input {
	in := planner.Input{
		Now:        epoch.Add(now),
		Seed:       plannerSeed,
		Service:    p.sim.profile.name,
		Prices:     planner.Prices{Goodput: p.sim.profile.prices.goodput, RoleChange: p.sim.profile.prices.roleChange},
		Limits:     planner.Limits{MaxConcurrentChanges: maxChanges, MinDecodePerDomain: 1},
		Demand:     p.demandHistory,
		ChangeTime: expectedChangeTime,
		Tuning:     planner.Tuning{ReverseWindow: p.sim.variant.reverseWindow},
	}
	if in.Tuning.ReverseWindow == 0 {
		in.Tuning.ReverseWindow = in.Prices.ReverseWindow()
	}
	for i, n := range p.sim.nodes {
		in.Engines = append(in.Engines, planner.Engine{
			Name:          n.name,
			FailureDomain: n.domain,
			State:         plannerState(n.state()),
			StateSince:    epoch.Add(n.stateSince),
			Role:          n.role,
			Desired:       p.desired[i],
			PrefillRate:   p.sim.profile.settings.PrefillRate,
			DecodeRate:    decodeRate(p.sim.profile.settings),
		})
		in.Backlog.PromptTokens += float64(n.lastReport.PromptTokens)
		in.Backlog.OutputTokens += float64(n.lastReport.OutputTokens)
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

// planBaseline runs the baseline planner once, unless the variant keeps all roles
// unchanged.
func (p *planLoop) planBaseline(now time.Duration) {
	if p.sim.variant.planner == nil {
		return
	}
	var loads []baseline.EngineLoad
	for _, n := range p.sim.nodes {
		if n.state() == peerv1.ServerState_SERVER_STATE_SERVING {
			loads = append(loads, baseline.EngineLoad{Engine: n.name, Role: n.role, QueuedPromptTokens: n.lastReport.PromptTokens, Sequences: n.lastReport.Sequences})
		}
	}
	change, ok := baseline.Plan(loads)
	if !ok {
		return
	}
	p.changeRole(now, p.sim.nodeByName(change.Engine), planner.Assignment{Role: change.Role})
}
