package admission

import (
	"container/heap"
	"time"
)

// Attempt is an attempt that waits at a gate.
type Item struct {
	// ID identifies the attempt.
	ID string
	// Priority ranges from 0 (lowest) to 9.
	Priority int
	// Deadline is the deadline of the request.
	Deadline time.Duration
	// MinServiceTime is the time from start to finish on an idle backend
	// server, which determines when the attempt expires. A Gate computes it
	// from the tokens.
	Service time.Duration
	// TypicalServiceTime is the time from start to finish on a busy backend
	// server, which determines the order of attempts. A Gate computes it from
	// the tokens.
	Typical time.Duration
	// PromptTokens is the number of uncached prompt tokens, OutputTokens the
	// expected number of output tokens. Both are zero for plain services.
	PromptTokens, OutputTokens int
}

// latestStart returns the latest time at which the attempt can start and still
// meet its deadline on an idle backend server.
func (i Item) latestStart() time.Duration { return i.Deadline - i.Service }

// dueAt returns the time at which the attempt should start on a busy backend
// server.
func (i Item) due() time.Duration { return i.Deadline - i.Typical }

// queueEntry is a waiting attempt with its index in each of the two heaps.
type entry struct {
	Item
	arrival  uint64
	inOrder  int
	inExpiry int
}

// Queue orders the waiting attempts of one gate by priority (highest first),
// then by deadline minus TypicalServiceTime (earliest first), then by arrival.
// The gate must call:
//
//   - Push for each attempt that cannot start at once, and refuse the attempt
//     with RefuseQueueFull if it returns false;
//   - Pop whenever the backend server has room;
//   - Expire before each Pop and at NextExpiry, and refuse each returned
//     attempt at once, which has not been executed;
//   - Remove for a withdrawn attempt.
type Queue struct {
	limit    int
	byID     map[string]*entry
	order    orderHeap
	expiry   expiryHeap
	arrivals uint64
}

// NewQueue returns an empty queue for up to limit attempts.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, byID: make(map[string]*entry)}
}

// Len returns the number of waiting attempts.
func (q *Queue) Len() int { return len(q.order) }

// Push adds an attempt. It returns false and does nothing if the queue is full
// or already holds an attempt with the same ID.
func (q *Queue) Push(item Item) bool {
	if len(q.order) >= q.limit || q.byID[item.ID] != nil {
		return false
	}
	q.arrivals++
	e := &entry{Item: item, arrival: q.arrivals}
	q.byID[item.ID] = e
	heap.Push(&q.order, e)
	heap.Push(&q.expiry, e)
	return true
}

// Peek returns the attempt that Pop would return, or false if the queue is
// empty.
func (q *Queue) Peek() (Item, bool) {
	if len(q.order) == 0 {
		return Item{}, false
	}
	return q.order[0].Item, true
}

// Pop removes and returns the attempt to start next, or false if the queue is
// empty.
func (q *Queue) Pop() (Item, bool) {
	if len(q.order) == 0 {
		return Item{}, false
	}
	e := q.order[0]
	q.remove(e)
	return e.Item, true
}

// Remove removes an attempt. It reports whether the attempt was waiting.
func (q *Queue) Remove(id string) bool {
	e := q.byID[id]
	if e == nil {
		return false
	}
	q.remove(e)
	return true
}

func (q *Queue) remove(e *entry) {
	delete(q.byID, e.ID)
	heap.Remove(&q.order, e.inOrder)
	heap.Remove(&q.expiry, e.inExpiry)
}

// Expire removes and returns the attempts that can no longer meet their
// deadline.
func (q *Queue) Expire(now time.Duration) []Item {
	var expired []Item
	for len(q.expiry) > 0 && q.expiry[0].latestStart() < now {
		e := q.expiry[0]
		q.remove(e)
		expired = append(expired, e.Item)
	}
	return expired
}

// NextExpiry returns the time after which Expire returns an attempt, or false
// if the queue is empty.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	if len(q.expiry) == 0 {
		return 0, false
	}
	return q.expiry[0].latestStart(), true
}

// startHeap is a heap of attempts with the one to start next at its root.
type orderHeap []*entry

func (h orderHeap) Len() int { return len(h) }

func (h orderHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.due() != b.due() {
		return a.due() < b.due()
	}
	return a.arrival < b.arrival
}

func (h orderHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].inOrder, h[j].inOrder = i, j
}

func (h *orderHeap) Push(x any) {
	e := x.(*entry)
	e.inOrder = len(*h)
	*h = append(*h, e)
}

func (h *orderHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// expiryHeap is a heap of attempts with the one that expires first at its root.
type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if a, b := h[i].latestStart(), h[j].latestStart(); a != b {
		return a < b
	}
	return h[i].arrival < h[j].arrival
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].inExpiry, h[j].inExpiry = i, j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.inExpiry = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
