// Package usage counts the runs of client accounts by windows of time, so that each run is
// reported once.
//
// A Counter holds what one gateway has counted. The holder of the usage duty collects it in
// numbered batches and keeps the sums of all gateways in a Ledger, which it stores. A counter
// discards a batch only when the ledger that contains it is stored, and the ledger knows the
// number of the latest batch of each counter, so that a count is neither lost nor added twice
// by messages that are lost or holders that change. If a gateway is killed, what it has
// counted since the latest collection is lost.
//
// The package does no I/O. Counter is safe for concurrent use, Ledger is not.
package usage

import (
	"maps"
	"sync"
)

// Counts holds numbers of runs by client account.
type Counts map[string]int64

// maxCount keeps sums within the integers that every JSON decoder reads exactly.
const maxCount = 1<<53 - 1

// add adds other counts.
func (c Counts) add(other Counts) {
	for account, n := range other {
		c[account] = min(c[account]+max(0, n), maxCount)
	}
}

// Windows holds counts by window.
type Windows map[int64]Counts

// add adds the counts of a window.
func (w Windows) add(window int64, counts Counts) {
	if w[window] == nil {
		w[window] = make(Counts, len(counts))
	}
	w[window].add(counts)
}

// clone returns a copy of all counts.
func (w Windows) clone() Windows {
	copied := make(Windows, len(w))
	for window, counts := range w {
		copied[window] = maps.Clone(counts)
	}
	return copied
}

// Batch is what a counter has counted since an acknowledged batch.
type Batch struct {
	// Incarnation identifies the counter among all of its gateway.
	Incarnation uint64
	// Number of the batch. It grows with each batch that holds something new.
	Number  uint64
	Windows Windows
	// Next is the first window that is not final, as far as the gateway knows.
	Next int64
}

// Counter counts the runs that one gateway has seen begin.
type Counter struct {
	incarnation uint64

	mu sync.Mutex
	// pending is what is in no batch yet.
	pending Windows
	// batches are those that are not acknowledged, oldest first, with consecutive numbers
	// up to number.
	batches []Windows
	number  uint64
	// next is the highest first window that is not final, as holders of the duty state it.
	next int64
}

// NewCounter returns a counter. The incarnation must differ from those of earlier counters
// of the gateway.
func NewCounter(incarnation uint64) *Counter {
	return &Counter{incarnation: incarnation, pending: make(Windows)}
}

// Record counts a run of an account in a window.
func (c *Counter) Record(window int64, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.pending[window]
	if counts == nil {
		counts = make(Counts)
		c.pending[window] = counts
	}
	counts[account]++
}

// Collect discards the batches up to the acknowledged one, and returns the sum of the others
// and of what has been counted since. next is the first window that is not final.
func (c *Counter) Collect(acknowledged Source, next int64) Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, next)
	if acknowledged.Incarnation == c.incarnation {
		c.discard(acknowledged.Number)
	}
	if len(c.pending) > 0 {
		c.number++
		c.batches = append(c.batches, c.pending)
		c.pending = make(Windows)
	}
	sum := make(Windows)
	for _, batch := range c.batches {
		for window, counts := range batch {
			sum.add(window, counts)
		}
	}
	return Batch{Incarnation: c.incarnation, Number: c.number, Windows: sum, Next: c.next}
}

// discard drops the batches up to a number. The caller holds c.mu.
func (c *Counter) discard(acknowledged uint64) {
	oldest := c.number - uint64(len(c.batches)) + 1
	if acknowledged < oldest || acknowledged > c.number {
		return
	}
	c.batches = c.batches[acknowledged-oldest+1:]
}
