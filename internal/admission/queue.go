package admission

import (
	"container/heap"
	"time"
)

// Attempt is an attempt that waits at a gate.
type Attempt struct {
	// ID identifies the attempt.
	ID string
	// Priority ranges from 0 (lowest) to 9.
	Priority int
	// Deadline is the deadline of the request.
	Deadline time.Duration
	// MinServiceTime is the time from start to finish on an idle backend
	// server, which determines when the attempt expires. A Gate computes it
	// from the tokens.
	MinServiceTime time.Duration
	// TypicalServiceTime is the time from start to finish on a busy backend
	// server, which determines the order of attempts. A Gate computes it from
	// the tokens.
	TypicalServiceTime time.Duration
	// PromptTokens is the number of uncached prompt tokens, OutputTokens the
	// expected number of output tokens. Both are zero for plain services.
	PromptTokens, OutputTokens int
}

// latestStart returns the latest time at which the attempt can start and still
// meet its deadline on an idle backend server.
func (a Attempt) latestStart() time.Duration { return a.Deadline - a.MinServiceTime }

// dueAt returns the time at which the attempt should start on a busy backend
// server.
func (a Attempt) dueAt() time.Duration { return a.Deadline - a.TypicalServiceTime }

// queueEntry is a waiting attempt with its index in each of the two heaps.
type queueEntry struct {
	Attempt
	arrival     uint64
	startIndex  int
	expiryIndex int
}

// Queue orders the waiting attempts of one gate by priority (highest first),
// then by deadline minus TypicalServiceTime (earliest first), then by arrival.
// The gate must call:
//
//   - Push for each admitted attempt, and refuse the attempt with
//     RefuseQueueFull if it returns false;
//   - Pop whenever the backend server has room;
//   - Expire before each Pop and at NextExpiry, and refuse each returned
//     attempt at once, which has not been executed;
//   - Remove for a withdrawn attempt.
type Queue struct {
	limit    int
	byID     map[string]*queueEntry
	byStart  startHeap
	byExpiry expiryHeap
	arrivals uint64
}

// NewQueue returns an empty queue for up to limit attempts.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, byID: make(map[string]*queueEntry)}
}

// Len returns the number of waiting attempts.
func (q *Queue) Len() int { return len(q.byStart) }

// Push adds an attempt. It returns false and does nothing if the queue is full
// or already holds an attempt with the same ID.
func (q *Queue) Push(a Attempt) bool {
	if len(q.byStart) >= q.limit || q.byID[a.ID] != nil {
		return false
	}
	q.arrivals++
	e := &queueEntry{Attempt: a, arrival: q.arrivals}
	q.byID[a.ID] = e
	heap.Push(&q.byStart, e)
	heap.Push(&q.byExpiry, e)
	return true
}

// Peek returns the attempt that Pop would return, or false if the queue is
// empty.
func (q *Queue) Peek() (Attempt, bool) {
	if len(q.byStart) == 0 {
		return Attempt{}, false
	}
	return q.byStart[0].Attempt, true
}

// Pop removes and returns the attempt to start next, or false if the queue is
// empty.
func (q *Queue) Pop() (Attempt, bool) {
	if len(q.byStart) == 0 {
		return Attempt{}, false
	}
	e := q.byStart[0]
	q.remove(e)
	return e.Attempt, true
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

func (q *Queue) remove(e *queueEntry) {
	delete(q.byID, e.ID)
	heap.Remove(&q.byStart, e.startIndex)
	heap.Remove(&q.byExpiry, e.expiryIndex)
}

// Expire removes and returns the attempts that can no longer meet their
// deadline.
func (q *Queue) Expire(now time.Duration) []Attempt {
	var expired []Attempt
	for len(q.byExpiry) > 0 && q.byExpiry[0].latestStart() < now {
		e := q.byExpiry[0]
		q.remove(e)
		expired = append(expired, e.Attempt)
	}
	return expired
}

// NextExpiry returns the time after which Expire returns an attempt, or false
// if the queue is empty.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	if len(q.byExpiry) == 0 {
		return 0, false
	}
	return q.byExpiry[0].latestStart(), true
}

// startHeap is a heap of attempts with the one to start next at its root.
type startHeap []*queueEntry

func (h startHeap) Len() int { return len(h) }

func (h startHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.dueAt() != b.dueAt() {
		return a.dueAt() < b.dueAt()
	}
	return a.arrival < b.arrival
}

func (h startHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].startIndex, h[j].startIndex = i, j
}

func (h *startHeap) Push(x any) {
	e := x.(*queueEntry)
	e.startIndex = len(*h)
	*h = append(*h, e)
}

func (h *startHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// expiryHeap is a heap of attempts with the one that expires first at its root.
type expiryHeap []*queueEntry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if a, b := h[i].latestStart(), h[j].latestStart(); a != b {
		return a < b
	}
	return h[i].arrival < h[j].arrival
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*queueEntry)
	e.expiryIndex = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
