package gatewaybench

import (
	"container/heap"
	"fmt"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// node is one engine.
type node struct {
	server fleet.Server
	model  *enginemodel.Model
	// watchers holds the callbacks of the running sequences, by sequence ID.
	watchers map[string]*watcher
}

// watcher holds the callbacks for a sequence: started is called at its first
// output token, done when it ends.
type watcher struct {
	started func(now time.Duration)
	done    func(now time.Duration)
}

// timer is a function to be called at a simulated time.
type timer struct {
	at     time.Duration
	number int
	do     func(now time.Duration)
}

// timers implements heap.Interface. It orders timers by time, and by creation
// among equals.
type timers []timer

func (t timers) Len() int      { return len(t) }
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].number < t[j].number
}
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	profile    *profile
	requests   []*request
	nodes      []*node
	byID       map[string]*node
	timers     timers
	timerCount int
}

// router decides which engines serve a request.
type router interface {
	// send serves a request that has just arrived.
	send(sim *simulation, now time.Duration, r *request)
	// tick exchanges load information between gateways. It is called every
	// exchangeInterval.
	tick(now time.Duration)
}

// exchangeInterval is the time between two load exchanges of the gateways.
const exchangeInterval = 400 * time.Millisecond

func newSimulation(p *profile, seed uint64) (*simulation, error) {
	sim := &simulation{profile: p, requests: arrivals(p, seed), byID: make(map[string]*node)}
	e := p.engines
	for i := range e.prefillEngines + e.decodeEngines {
		n, err := newNode(p, i, seed)
		if err != nil {
			return nil, err
		}
		sim.nodes = append(sim.nodes, n)
		sim.byID[n.server.ID] = n
	}
	return sim, nil
}

// newNode returns engine i. The first prefillEngines engines prefill, the
// others decode.
func newNode(p *profile, i int, seed uint64) (*node, error) {
	e := p.engines
	s := enginemodel.DefaultSettings()
	s.PrefillRate, s.StepTokenBudget, s.Role = e.prefillRate, prefillChunk, configv1.Role_ROLE_PREFILL
	s.DecodeStep, s.DecodeStepPerSequence = e.decodeStep, e.decodeStepPerSequence
	s.MaxBatch, s.KVTokens, s.BlockTokens = e.slots, e.memoryTokens, blockTokens
	s.PrefixCacheBlocks = e.memoryTokens / blockTokens
	s.ImportTimePerToken = time.Duration(float64(e.bytesPerToken) * 8 / (e.linkMbps * 1e6) * float64(time.Second))
	s.ExportTTL = exportTTL
	stage := fleet.StagePrefill
	if i >= e.prefillEngines {
		// A decode engine prefills at half the speed, in chunks of a quarter of
		// the size.
		stage, s.Role = fleet.StageDecode, configv1.Role_ROLE_MIXED
		s.PrefillRate, s.StepTokenBudget = e.prefillRate/2, prefillChunk/4
	}
	model, err := enginemodel.New(s, seed+uint64(i))
	if err != nil {
		return nil, err
	}
	server := fleet.Server{ID: fmt.Sprint("engine-", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Stage: stage, Slots: e.slots, FailureDomain: domainOf(i, p)}
	return &node{server: server, model: model, watchers: make(map[string]*watcher)}, nil
}

const (
	// prefillChunk is the number of tokens that a prefill engine processes per
	// step.
	prefillChunk = 4096
	// exportTTL is the maximum time that a prefilled prompt waits for its
	// decode engine.
	exportTTL = 5 * time.Second
)

// servers returns all engines as registered servers.
func (sim *simulation) servers() []fleet.Server {
	var list []fleet.Server
	for _, n := range sim.nodes {
		list = append(list, n.server)
	}
	return list
}

// spec returns the engine properties that a configuration would contain.
func (p *profile) spec() *fleet.EngineSpec {
	e := p.engines
	return &fleet.EngineSpec{Slots: e.slots, KVCapacityTokens: e.memoryTokens, KVBytesPerToken: e.bytesPerToken, LinkMbps: e.linkMbps}
}

// schedule calls do at the given time.
func (sim *simulation) schedule(at time.Duration, do func(now time.Duration)) {
	sim.timerCount++
	heap.Push(&sim.timers, timer{at: at, number: sim.timerCount, do: do})
}

// simulate runs the simulation to its end.
func (sim *simulation) simulate(r router) {
	for _, request := range sim.requests {
		sim.schedule(request.at, func(now time.Duration) { r.send(sim, now, request) })
	}
	for at := exchangeInterval; at < arrivalDuration; at += exchangeInterval {
		sim.schedule(at, r.tick)
	}
	for now := time.Duration(0); now < arrivalDuration+drainTime; {
		next := sim.nextEventTime(now)
		for _, n := range sim.nodes {
			n.advance(next)
		}
		for len(sim.timers) > 0 && sim.timers[0].at <= next {
			heap.Pop(&sim.timers).(timer).do(next)
		}
		now = next
	}
}

// drainTime is how long responses are awaited after the last arrival.
const drainTime = 10 * time.Second

func (sim *simulation) nextEventTime(now time.Duration) time.Duration {
	next := arrivalDuration + drainTime
	if len(sim.timers) > 0 {
		next = min(next, sim.timers[0].at)
	}
	for _, n := range sim.nodes {
		if at, ok := n.model.NextEvent(); ok {
			next = min(next, at)
		}
	}
	return max(now, next)
}

// advance simulates the engine up to now and calls the callbacks of its
// sequences.
func (n *node) advance(now time.Duration) {
	for _, e := range n.model.Advance(now) {
		watcher := n.watchers[e.ID]
		if watcher == nil {
			continue
		}
		switch e.Kind {
		case enginemodel.EventTokens:
			watcher.notifyStarted(e.At)
		case enginemodel.EventDone, enginemodel.EventFailed:
			delete(n.watchers, e.ID)
			watcher.done(e.At)
		}
	}
}

// notifyStarted calls started once.
func (w *watcher) notifyStarted(at time.Duration) {
	if w.started != nil {
		started := w.started
		w.started = nil
		started(at)
	}
}

// submit starts a sequence and reports whether the engine accepted it.
func (n *node) submit(now time.Duration, s enginemodel.Sequence, watch *watcher) bool {
	if err := n.model.Submit(now, s); err != nil {
		return false
	}
	n.watchers[s.ID] = watch
	return true
}

// sequence returns the request to the engine.
func (r *request) sequence() enginemodel.Sequence {
	return enginemodel.Sequence{ID: r.id, PromptTokens: r.promptTokens, PrefixHashes: r.prefixHashes, OutputTokens: r.class.outputTokens}
}

// placementRequest returns the request to the placement.
func (r *request) placementRequest() placement.Request {
	const bytesPerToken = 2
	return placement.Request{
		Parts: r.parts, PromptTokens: r.promptTokens, BodyBytes: bytesPerToken * r.promptTokens, FirstEventBudget: r.class.objective, OriginDomain: r.domain,
	}
}
