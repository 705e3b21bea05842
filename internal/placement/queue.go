package placement

import (
	"time"
)

// PriorityLevels is the number of priorities at an engine. 0 is the most urgent.
const PriorityLevels = 10

// QueuedWork is the prefill work at an engine, in the unit of prefillWork, in
// the order in which the engine does it.
type QueuedWork struct {
	// InService is the work left of the prompt that is being prefilled. The
	// engine completes it before it starts another, however urgent that is.
	InService float64
	// Waiting is the work of the waiting prompts by their priority.
	Waiting [PriorityLevels]float64
}

// ahead returns the work that is done before a new prompt.
func (w QueuedWork) ahead(priority int) float64 {
	work := w.InService
	for _, waiting := range w.Waiting[:priority+1] {
		work += waiting
	}
	return work
}

// behind returns the waiting work that a new prompt delays.
func (w QueuedWork) behind(priority int) float64 {
	work := 0.0
	for _, waiting := range w.Waiting[priority+1:] {
		work += waiting
	}
	return work
}

// total returns all the work.
func (w QueuedWork) total() float64 { return w.ahead(PriorityLevels - 1) }

// promptQueue holds the prompts that one gateway has sent to an engine and that
// have not been prefilled yet. The engine prefills one at a time: the most
// urgent, and among equals the one that was sent first.
type promptQueue struct {
	prompts []*InFlightSend
	// inService is the prompt assumed to be in service, since inServiceSince.
	inService      *InFlightSend
	inServiceSince time.Duration
}

// add adds a prompt that is being sent.
func (q *promptQueue) add(now time.Duration, f *InFlightSend) {
	q.prompts = append(q.prompts, f)
	if q.inService == nil {
		q.inService, q.inServiceSince = f, now
	}
}

// remove removes a prompt that has been prefilled or given up. After the one in
// service the engine starts on the next.
func (q *promptQueue) remove(now time.Duration, f *InFlightSend) {
	for i, p := range q.prompts {
		if p == f {
			q.prompts = append(q.prompts[:i], q.prompts[i+1:]...)
			break
		}
	}
	if q.inService == f {
		q.inService, q.inServiceSince = q.next(), now
	}
}

// next returns the prompt that the engine starts next, or nil.
func (q *promptQueue) next() *InFlightSend {
	var next *InFlightSend
	for _, p := range q.prompts {
		if next == nil || p.priority < next.priority {
			next = p
		}
	}
	return next
}

// work returns the work left at an engine with the given prefill rate in work
// per second. If coordinatedOnly is set, prompts that this gateway placed itself
// are left out.
func (q *promptQueue) work(now time.Duration, rate float64, coordinatedOnly bool) QueuedWork {
	var w QueuedWork
	for _, p := range q.prompts {
		if coordinatedOnly && !p.coordinated {
			continue
		}
		if p == q.inService {
			w.InService = remainingWork(p.work, now-q.inServiceSince, rate)
			continue
		}
		w.Waiting[p.priority] += p.work
	}
	return w
}

// remainingWork returns the work left after the given time at the given rate.
func remainingWork(work float64, elapsed time.Duration, rate float64) float64 {
	return max(0, work-rate*elapsed.Seconds())
}

// clampPriority returns the nearest priority that engines know.
func clampPriority(priority int) int { return min(max(priority, 0), PriorityLevels-1) }

// latePriorityOffset is added to the priority of a prompt whose first event is
// predicted to be late, so that it yields to prompts of about its size that can
// still be in time.
const latePriorityOffset = 1

// sizeShares are the shares of the objective that a prefill may take for each of
// the size classes. The last class is for prompts that take longer.
var sizeShares = [...]float64{0.08, 0.2, 0.5, 1}

// sizeClass returns the size class of a prefill that takes the given seconds,
// for an objective for the time to the first event.
// The smaller of two prompts is prefilled first: it delays the other one less,
// and is more likely to be in time.
func sizeClass(prefill float64, objective time.Duration) int {
	for class, share := range sizeShares {
		if prefill < share*objective.Seconds() {
			return class
		}
	}
	return len(sizeShares)
}

// prefillPriority returns the priority of a prompt at an engine that prefills it
// in the given seconds.
func (q *query) prefillPriority(prefill float64) int {
	priority := q.Priority
	if q.Objective > 0 {
		priority += sizeClass(prefill, q.Objective)
	}
	if q.deferred {
		priority += latePriorityOffset
	}
	return clampPriority(priority)
}
