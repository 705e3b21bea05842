package bench

import (
	"container/heap"
	"math"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

const (
	// hop is the time of a message between an entry and an agent.
	hop = 2 * time.Millisecond
	// reportInterval is the time between load reports.
	reportInterval = time.Second
	// stateDelay is how long a change of state that an agent announces takes
	// to the entries and the planner.
	stateDelay = 500 * time.Millisecond
	// downDelay is how long the loss of an instance goes unnoticed.
	downDelay = 3 * time.Second
	// expiryInterval is the time between looks at the gates' deadlines.
	expiryInterval = 100 * time.Millisecond
	// planInterval is the time between decisions of the planner.
	planInterval = 5 * time.Second
	// entryCount is the number of entries of a run.
	entryCount = 4
)

// router is what one entry decides with.
type router interface {
	// choose says where the request goes; false refuses it.
	choose(now time.Duration, r *request) (routing.Choice, bool)
	sent(now time.Duration, a *attempt)
	// ended takes in the end of an attempt's stage at a node.
	ended(now time.Duration, a *attempt, n *node, failed bool)
	// again says whether and when another attempt follows one that did not
	// complete.
	again(now time.Duration, a *attempt, ran peerv1.Ran) (time.Duration, bool)
	report(now time.Duration, rep routing.LoadReport)
	state(now time.Duration, n *node, rep routing.LoadReport)
	cacheEvent(n *node, block uint64, evicted bool)
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq uint64
	do  func(now time.Duration)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// world is one run.
type world struct {
	profile  *profile
	variant  variant
	requests []*request
	routers  []router
	nodes    []*node
	planning *planning
	events   eventHeap
	seq      uint64
	end      time.Duration
	result   *result
}

func (w *world) schedule(at time.Duration, do func(now time.Duration)) {
	w.seq++
	heap.Push(&w.events, event{at: at, seq: w.seq, do: do})
}

// every schedules do at each multiple of the interval until the end.
func (w *world) every(interval time.Duration, do func(now time.Duration)) {
	var tick func(now time.Duration)
	tick = func(now time.Duration) {
		do(now)
		if now+interval <= w.end {
			w.schedule(now+interval, tick)
		}
	}
	w.schedule(interval, tick)
}

// run plays all events in order of time, the engines' own among them.
func (w *world) run() {
	for {
		at, next := w.nextEngineEvent()
		if len(w.events) > 0 && w.events[0].at <= at {
			e := heap.Pop(&w.events).(event)
			e.do(e.at)
			continue
		}
		if next == nil || at > w.end {
			return
		}
		next.advance(at)
	}
}

// nextEngineEvent returns the node whose engine changes first.
func (w *world) nextEngineEvent() (time.Duration, *node) {
	first := time.Duration(math.MaxInt64)
	var next *node
	for _, n := range w.nodes {
		if at, ok := n.nextEvent(); ok && at < first {
			first, next = at, n
		}
	}
	return first, next
}

// start schedules everything that happens from outside.
func (w *world) start() {
	for _, r := range w.requests {
		w.schedule(r.at, func(now time.Duration) { w.arrive(now, r) })
		w.schedule(r.deadline, func(now time.Duration) { w.expire(now, r) })
	}
	for _, f := range w.profile.faults {
		w.schedule(f.at, func(now time.Duration) { w.strike(now, f) })
	}
	w.every(reportInterval, w.publishReports)
	w.every(expiryInterval, w.expireGates)
	w.every(planInterval, w.planning.plan)
}

func (w *world) strike(now time.Duration, f fault) {
	for _, e := range f.engines {
		n := w.nodes[e]
		switch f.kind {
		case faultDrain:
			n.ownerDrain(now)
		case faultCrash:
			n.crash(now)
		case faultFail:
			n.failing = true
		case faultReturn:
			n.failing = false
			n.ownerReturn(now)
		}
	}
}

// publishReports takes a load report of every node that is up, which reaches
// the entries after the profile's lag, and passes on new cache events.
func (w *world) publishReports(now time.Duration) {
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		rep := n.report(now)
		w.schedule(now+w.profile.lag, func(later time.Duration) { w.deliverReport(later, n, rep) })
		w.deliverCacheEvents(now, n)
	}
}

func (w *world) deliverReport(now time.Duration, n *node, rep routing.LoadReport) {
	n.seen = rep
	// A state told by the agent is newer than the one in a lagging report.
	rep.State, rep.Role = 0, 0
	for _, r := range w.routers {
		r.report(now, rep)
	}
}

func (w *world) deliverCacheEvents(now time.Duration, n *node) {
	events, next := n.model.CacheEvents(now, n.cacheSeq)
	n.cacheSeq = next
	for _, e := range events {
		for _, r := range w.routers {
			r.cacheEvent(n, e.PrefixHash, e.Evicted)
		}
	}
}

// tell has the entries learn a node's state after a delay.
func (w *world) tell(now, delay time.Duration, n *node) {
	w.schedule(now+delay, func(later time.Duration) {
		rep := n.report(later)
		for _, r := range w.routers {
			r.state(later, n, rep)
		}
	})
}

func (w *world) expireGates(now time.Duration) {
	for _, n := range w.nodes {
		n.expire(now)
	}
}
