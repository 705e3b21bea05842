package bench

import (
	"container/heap"
	"math"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

const (
	// messageLatency is the latency of a message between an entry and an agent.
	messageLatency = 2 * time.Millisecond
	// reportInterval is the time between two load reports of an engine.
	reportInterval = time.Second
	// statePropagationDelay is how long a state change announced by an agent
	// takes to reach the entries and the planner.
	statePropagationDelay = 500 * time.Millisecond
	// lossDetectionDelay is how long it takes to detect the loss of an
	// instance.
	lossDetectionDelay = 3 * time.Second
	// expiryInterval is the time between two checks of the gates for expired
	// deadlines.
	expiryInterval = 100 * time.Millisecond
	// planInterval is the time between two decisions of the planner.
	planInterval = 5 * time.Second
	// entryCount is the number of entries in a run.
	entryCount = 4
)

// router makes the decisions of one entry.
type router interface {
	// choose selects the engines for a request. It returns false to reject the
	// request.
	choose(now time.Duration, r *request) (routing.Choice, bool)
	// sent records that an attempt has been sent to its first stage.
	sent(now time.Duration, a *attempt)
	// ended records that an attempt's current stage has ended at a node.
	ended(now time.Duration, a *attempt, n *node, failed bool)
	// retryDecision decides whether to retry after an attempt that did not
	// complete, and after which backoff.
	retryDecision(now time.Duration, a *attempt, ran peerv1.Ran) (time.Duration, bool)
	// report records a load report.
	report(now time.Duration, rep routing.LoadReport)
	// stateChanged records the role and the state that a node's agent has
	// announced.
	stateChanged(now time.Duration, n *node, rep routing.LoadReport)
	// cacheEvent records that a node has inserted a block into its prefix cache
	// or evicted it.
	cacheEvent(n *node, block uint64, evicted bool)
}

// event is a function to be called at a simulated time. Events at the same time
// are called in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	do  func(now time.Duration)
}

// eventHeap implements heap.Interface, earliest event first.
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

// simulation is the state of one run.
type simulation struct {
	profile  *profile
	variant  variant
	requests []*request
	routers  []router
	nodes    []*node
	planLoop *planLoop
	events   eventHeap
	seq      uint64
	end      time.Duration
	result   *result
}

// schedule calls do at the given time.
func (sim *simulation) schedule(at time.Duration, do func(now time.Duration)) {
	sim.seq++
	heap.Push(&sim.events, event{at: at, seq: sim.seq, do: do})
}

// every schedules do at each multiple of the interval until the end of the run.
func (sim *simulation) every(interval time.Duration, do func(now time.Duration)) {
	var tick func(now time.Duration)
	tick = func(now time.Duration) {
		do(now)
		if now+interval <= sim.end {
			sim.schedule(now+interval, tick)
		}
	}
	sim.schedule(interval, tick)
}

// run processes all events in order of time, including those of the engine
// models.
func (sim *simulation) run() {
	for {
		at, next := sim.nextEngineEvent()
		if len(sim.events) > 0 && sim.events[0].at <= at {
			e := heap.Pop(&sim.events).(event)
			e.do(e.at)
			continue
		}
		if next == nil || at > sim.end {
			return
		}
		next.advance(at)
	}
}

// nextEngineEvent returns the time of the earliest event of any engine model,
// and its node.
func (sim *simulation) nextEngineEvent() (time.Duration, *node) {
	first := time.Duration(math.MaxInt64)
	var next *node
	for _, n := range sim.nodes {
		if at, ok := n.nextEvent(); ok && at < first {
			first, next = at, n
		}
	}
	return first, next
}

// start schedules the arrivals, the deadlines, the faults and the periodic
// tasks.
func (sim *simulation) start() {
	for _, r := range sim.requests {
		sim.schedule(r.at, func(now time.Duration) { sim.arrive(now, r) })
		sim.schedule(r.deadline, func(now time.Duration) { sim.expire(now, r) })
	}
	for _, f := range sim.profile.faults {
		sim.schedule(f.at, func(now time.Duration) { sim.injectFault(now, f) })
	}
	sim.every(reportInterval, sim.publishReports)
	sim.every(expiryInterval, sim.expireGates)
	sim.every(planInterval, sim.planLoop.plan)
}

// injectFault applies a fault to its engines.
func (sim *simulation) injectFault(now time.Duration, f fault) {
	for _, e := range f.engines {
		n := sim.nodes[e]
		switch f.kind {
		case faultDrain:
			n.drain(now)
		case faultCrash:
			n.crash(now)
		case faultFail:
			n.failing = true
		case faultReturn:
			n.failing = false
			n.resume(now)
		}
	}
}

// publishReports takes a load report from every node that is up. Reports reach
// the entries after the profile's lag; cache events reach them at once, since
// the model has already delayed them.
func (sim *simulation) publishReports(now time.Duration) {
	for _, n := range sim.nodes {
		if n.down {
			continue
		}
		rep := n.report(now)
		sim.schedule(now+sim.profile.reportLag, func(later time.Duration) { sim.deliverReport(later, n, rep) })
		sim.deliverCacheEvents(now, n)
	}
}

// deliverReport passes a load report to the entries.
func (sim *simulation) deliverReport(now time.Duration, n *node, rep routing.LoadReport) {
	n.lastReport = rep
	// The state announced by the agent is newer than the one in a delayed
	// report.
	rep.State, rep.Role = 0, 0
	for _, r := range sim.routers {
		r.report(now, rep)
	}
}

// deliverCacheEvents passes the newly published cache events of a node to the
// entries.
func (sim *simulation) deliverCacheEvents(now time.Duration, n *node) {
	events, next := n.model.CacheEvents(now, n.cacheSeq)
	n.cacheSeq = next
	for _, e := range events {
		for _, r := range sim.routers {
			r.cacheEvent(n, e.PrefixHash, e.Evicted)
		}
	}
}

// announceState propagates a node's state to the entries after a delay.
func (sim *simulation) announceState(now, delay time.Duration, n *node) {
	sim.schedule(now+delay, func(later time.Duration) {
		rep := n.report(later)
		for _, r := range sim.routers {
			r.stateChanged(later, n, rep)
		}
	})
}

// expireGates rejects attempts in all gates that can no longer meet their
// deadlines.
func (sim *simulation) expireGates(now time.Duration) {
	for _, n := range sim.nodes {
		n.expire(now)
	}
}
