package bench

import (
	"fmt"

	"github.com/marigoldwing/marigoldwing/internal/baseline"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// runOne simulates a profile with one variant and seed.
func runOne(p *profile, v variant, seed uint64) (*result, error) {
	sim, err := newSimulation(p, v, seed)
	if err != nil {
		return nil, err
	}
	return sim.simulate(), nil
}

// newSimulation prepares a run.
func newSimulation(p *profile, v variant, seed uint64) (*simulation, error) {
	sim := &simulation{profile: p, variant: v, result: newResult(p)}
	sim.requests = arrivals(p, seed, entryCount)
	sim.end = p.end() + 2*p.longestDeadline()
	for i := range p.engines {
		n, err := newNode(sim, i, seed)
		if err != nil {
			return nil, err
		}
		sim.nodes = append(sim.nodes, n)
	}
	for i := range entryCount {
		sim.routers = append(sim.routers, newRouter(sim, i))
	}
	sim.planLoop = newPlanLoop(sim, v.planner)
	return sim, nil
}

// simulate runs the simulation to its end and returns the result.
func (sim *simulation) simulate() *result {
	sim.start()
	sim.run()
	sim.result.recordRequests(sim.requests)
	sim.result.summarize()
	return sim.result
}

// newNode returns node i. Nodes are assigned to the failure domains in turn.
func newNode(sim *simulation, i int, seed uint64) (*node, error) {
	settings := sim.profile.settings
	settings.Role = sim.profile.role(i)
	model, err := enginemodel.New(settings, hash(seed)+uint64(i))
	if err != nil {
		return nil, err
	}
	return &node{
		sim:        sim,
		index:      i,
		name:       fmt.Sprintf("engine-%d", i),
		domain:     fmt.Sprintf("domain-%d", i%sim.profile.domains),
		model:      model,
		gate:       sim.variant.newGate(settings),
		attempts:   make(map[string]*attempt),
		role:       settings.Role,
		targetRole: settings.Role,
	}, nil
}

// newRouter returns the router of entry i.
func newRouter(sim *simulation, i int) router {
	var engines []routing.Engine
	for _, n := range sim.nodes {
		engines = append(engines, routingEngine(n, sim.profile, i))
	}
	if sim.variant.baseline {
		return &baselineRouter{router: baseline.NewRouter(engines)}
	}
	return newPolicyRouter(i, sim.variant, engines)
}
