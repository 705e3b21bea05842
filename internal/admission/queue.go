package admission

import (
	"container/heap"
	"time"
)

// Attempt is one attempt that waits at a gate.
type Attempt struct {
	// ID of the attempt.
	ID string
	// Priority, 0 (lowest) to 9.
	Priority int
	// Deadline of the request.
	Deadline time.Duration
	// MinServiceTime is the time from start to finish that the attempt needs on an
	// otherwise idle backend server. A Gate works it out from the tokens.
	MinServiceTime time.Duration
	// TypicalServiceTime is the same on a busy backend server, by which attempts are put
	// in order. A Gate works it out too.
	TypicalServiceTime time.Duration
	// PromptTokens not cached, and OutputTokens expected; 0 for plain services.
	PromptTokens, OutputTokens int
}

// latestStart is when the attempt must start to finish in time.
func (i Attempt) latestStart() time.Duration { return i.Deadline - i.MinServiceTime }

// due is when the attempt should start, by which attempts are put in order.
func (i Attempt) due() time.Duration { return i.Deadline - i.TypicalServiceTime }

// entry is an item with its places in the two heaps.
type entry struct {
	Attempt
	arrival  uint64
	inOrder  int
	inExpiry int
}

// Queue orders the attempts at one gate: highest priority first, then earliest
// deadline less the time that the attempt typically needs, then arrival. The gate's use:
//
//   - Push for each attempt that cannot start at once; false means full, and
//     the attempt is refused at once with RefuseQueueFull;
//   - Pop whenever the backend server has room;
//   - Expire before each Pop and at NextExpiry: what it returns is refused at
//     once and has not run;
//   - Remove for a withdrawn attempt.
type Queue struct {
	limit    int
	byID     map[string]*entry
	order    orderHeap
	expiry   expiryHeap
	arrivals uint64
}

// NewQueue returns an empty queue that holds up to limit attempts.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, byID: make(map[string]*entry)}
}

// Len returns the number of attempts that wait.
func (q *Queue) Len() int { return len(q.order) }

// Push adds an attempt. It returns false, and changes nothing, if the queue is
// full or holds an attempt with the same ID.
func (q *Queue) Push(item Attempt) bool {
	if len(q.order) >= q.limit || q.byID[item.ID] != nil {
		return false
	}
	q.arrivals++
	e := &entry{Attempt: item, arrival: q.arrivals}
	q.byID[item.ID] = e
	heap.Push(&q.order, e)
	heap.Push(&q.expiry, e)
	return true
}

// Peek returns the attempt that Pop would return.
func (q *Queue) Peek() (Attempt, bool) {
	if len(q.order) == 0 {
		return Attempt{}, false
	}
	return q.order[0].Attempt, true
}

// Pop removes and returns the attempt that starts next.
func (q *Queue) Pop() (Attempt, bool) {
	if len(q.order) == 0 {
		return Attempt{}, false
	}
	e := q.order[0]
	q.remove(e)
	return e.Attempt, true
}

// Remove takes an attempt out; it reports whether the attempt was waiting.
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

// Expire removes and returns the attempts that can no longer finish in time.
func (q *Queue) Expire(now time.Duration) []Attempt {
	var expired []Attempt
	for len(q.expiry) > 0 && q.expiry[0].latestStart() < now {
		e := q.expiry[0]
		q.remove(e)
		expired = append(expired, e.Attempt)
	}
	return expired
}

// NextExpiry returns the time after which Expire has something to return, or
// false if nothing waits.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	if len(q.expiry) == 0 {
		return 0, false
	}
	return q.expiry[0].latestStart(), true
}

// orderHeap has the attempt that starts next at its root.
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

// expiryHeap has the attempt with the earliest latest start at its root.
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
