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
	// watchers are told of the sequences' progress, by sequence.
	watchers map[string]*watcher
}

// watcher is told of one sequence at one engine.
type watcher struct {
	started func(now time.Duration)
	done    func(now time.Duration)
}

// timer is something that happens at a time.
type timer struct {
	at     time.Duration
	number int
	do     func(now time.Duration)
}

// timers implements heap.Interface, in order of time and then of making.
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

// world is one run.
type world struct {
	profile  *profile
	requests []*request
	nodes    []*node
	byID     map[string]*node
	timers   timers
	made     int
}

// router sends requests to engines.
type router interface {
	// send has a request that has arrived served.
	send(w *world, now time.Duration, r *request)
	// tick tells the gateways of each other; it is called each news interval.
	tick(now time.Duration)
}

// newsInterval is the time between exchanges of gateways.
const newsInterval = 400 * time.Millisecond

func newWorld(p *profile, seed uint64) (*world, error) {
	w := &world{profile: p, requests: arrivals(p, seed), byID: make(map[string]*node)}
	e := p.engines
	for i := range e.prefills + e.decodes {
		n, err := newNode(p, i, seed)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
		w.byID[n.server.ID] = n
	}
	return w, nil
}

func newNode(p *profile, i int, seed uint64) (*node, error) {
	e := p.engines
	s := enginemodel.DefaultSettings()
	s.PrefillRate, s.StepTokenBudget, s.Role = e.prefillRate, prefillChunk, configv1.Role_ROLE_PREFILL
	s.DecodeStep, s.DecodeStepPerSequence = e.step, e.stepPerSlot
	s.MaxBatch, s.KVTokens, s.BlockTokens = e.slots, e.memoryTokens, blockTokens
	s.PrefixCacheBlocks = e.memoryTokens / blockTokens
	s.ImportTimePerToken = time.Duration(float64(e.bytesPerToken) * 8 / (e.linkMbps * 1e6) * float64(time.Second))
	s.ExportTTL = exportHold
	stage := fleet.StagePrefill
	if i >= e.prefills {
		// A decode engine prefills at half the speed in a quarter of the pieces.
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
	// prefillChunk is the number of tokens that a prefill engine reads in a
	// step.
	prefillChunk = 4096
	// exportHold is how long a prefilled prompt waits for its decode engine at
	// most.
	exportHold = 5 * time.Second
)

// servers returns all engines as they are registered.
func (w *world) servers() []fleet.Server {
	var list []fleet.Server
	for _, n := range w.nodes {
		list = append(list, n.server)
	}
	return list
}

// spec is what a configuration says of the engines.
func (p *profile) spec() *fleet.EngineSpec {
	e := p.engines
	return &fleet.EngineSpec{Slots: e.slots, KVCapacityTokens: e.memoryTokens, KVBytesPerToken: e.bytesPerToken, LinkMbps: e.linkMbps}
}

// after has something done later.
func (w *world) after(at time.Duration, do func(now time.Duration)) {
	w.made++
	heap.Push(&w.timers, timer{at: at, number: w.made, do: do})
}

// play plays the run to its end.
func (w *world) play(r router) {
	for _, request := range w.requests {
		w.after(request.at, func(now time.Duration) { r.send(w, now, request) })
	}
	for at := newsInterval; at < length; at += newsInterval {
		w.after(at, r.tick)
	}
	for now := time.Duration(0); now < length+tail; {
		next := w.next(now)
		for _, n := range w.nodes {
			n.advance(next)
		}
		for len(w.timers) > 0 && w.timers[0].at <= next {
			heap.Pop(&w.timers).(timer).do(next)
		}
		now = next
	}
}

// tail is how long answers are awaited after the last arrival.
const tail = 10 * time.Second

// next returns the time of the next event.
func (w *world) next(now time.Duration) time.Duration {
	next := length + tail
	if len(w.timers) > 0 {
		next = min(next, w.timers[0].at)
	}
	for _, n := range w.nodes {
		if at, ok := n.model.NextEvent(); ok {
			next = min(next, at)
		}
	}
	return max(now, next)
}

// advance passes on what an engine has done.
func (n *node) advance(now time.Duration) {
	for _, e := range n.model.Advance(now) {
		watch := n.watchers[e.ID]
		if watch == nil {
			continue
		}
		switch e.Kind {
		case enginemodel.EventTokens:
			watch.begin(e.At)
		case enginemodel.EventDone, enginemodel.EventFailed:
			delete(n.watchers, e.ID)
			watch.done(e.At)
		}
	}
}

// begin tells of the first event, once.
func (w *watcher) begin(at time.Duration) {
	if w.started != nil {
		started := w.started
		w.started = nil
		started(at)
	}
}

// submit runs a sequence and reports whether the engine has taken it.
func (n *node) submit(now time.Duration, s enginemodel.Sequence, watch *watcher) bool {
	if err := n.model.Submit(now, s); err != nil {
		return false
	}
	n.watchers[s.ID] = watch
	return true
}

// sequence is a request as its engine sees it.
func (r *request) sequence() enginemodel.Sequence {
	return enginemodel.Sequence{ID: r.id, PromptTokens: r.prompt, PrefixHashes: r.hashes, OutputTokens: r.class.output}
}

// wanted is a request as the placement sees it.
func (r *request) wanted() placement.Request {
	const bytesPerToken = 2
	return placement.Request{
		Parts: r.parts, PromptTokens: r.prompt, BodyBytes: bytesPerToken * r.prompt, FirstEventBudget: r.class.aim, OriginDomain: r.domain,
	}
}
