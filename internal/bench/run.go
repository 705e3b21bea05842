package bench

import (
	"fmt"

	"github.com/marigoldwing/marigoldwing/internal/baseline"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// runOne simulates a profile with one variant and seed.
func runOne(p *profile, v variant, seed uint64) (*result, error) {
	w, err := newSimulation(p, v, seed)
	if err != nil {
		return nil, err
	}
	return w.simulate(), nil
}

// newSimulation prepares a run.
func newSimulation(p *profile, v variant, seed uint64) (*simulation, error) {
	w := &simulation{profile: p, variant: v, result: newResult(p)}
	w.requests = arrivals(p, seed, entryCount)
	w.end = p.end() + 2*p.longestDeadline()
	for i := range p.engines {
		n, err := newNode(w, i, seed)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	for i := range entryCount {
		w.routers = append(w.routers, newRouter(w, i))
	}
	w.planLoop = newPlanLoop(w, v.planner)
	return w, nil
}

// simulate runs the simulation to its end and returns the result.
func (w *simulation) simulate() *result {
	w.start()
	w.run()
	w.result.recordRequests(w.requests)
	w.result.summarize()
	return w.result
}

func newNode(w *simulation, i int, seed uint64) (*node, error) {
	settings := w.profile.settings
	settings.Role = w.profile.role(i)
	model, err := enginemodel.New(settings, hash(seed)+uint64(i))
	if err != nil {
		return nil, err
	}
	return &node{
		sim:        w,
		index:      i,
		name:       fmt.Sprintf("engine-%d", i),
		domain:     fmt.Sprintf("domain-%d", i%w.profile.domains),
		model:      model,
		gate:       w.variant.newGate(settings),
		attempts:   make(map[string]*attempt),
		role:       settings.Role,
		targetRole: settings.Role,
	}, nil
}

func newRouter(w *simulation, i int) router {
	var engines []routing.Engine
	for _, n := range w.nodes {
		engines = append(engines, routingEngine(n, w.profile, i))
	}
	if w.variant.baseline {
		return &baselineRouter{router: baseline.NewRouter(engines)}
	}
	return newPolicyRouter(i, w.variant, engines)
}
