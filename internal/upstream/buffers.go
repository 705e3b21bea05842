package upstream

import (
	"errors"
	"sync/atomic"
)

// ErrBuffersFull is returned if an answer or the body of a request would take more
// memory than is left for those that are buffered at the same time.
var ErrBuffersFull = errors.New("buffered answers take too much memory")

// uncountedBytes is the part of each message that is not counted against Buffers, so
// that ordinary ones do not suffer from servers or callers that send without end.
const uncountedBytes = 64 << 10

// Buffers bounds the memory of all answers, or of all bodies of requests, that are
// buffered at the same time. It is safe for concurrent use.
type Buffers struct {
	limit int64
	used  atomic.Int64
}

// NewBuffers returns Buffers for a number of bytes.
func NewBuffers(limit int64) *Buffers { return &Buffers{limit: limit} }

// Reservation is the memory that one request takes for its answer or its body. It is
// not safe for concurrent use.
type Reservation struct {
	buffers *Buffers
	bytes   int64
}

// NewReservation returns a reservation of no memory.
func (b *Buffers) NewReservation() *Reservation { return &Reservation{buffers: b} }

// Resize reserves memory for a message of a number of bytes instead of the present
// size. It reports false and changes nothing if there is not enough.
func (r *Reservation) Resize(bytes int) bool {
	counted := max(0, int64(bytes)-uncountedBytes)
	grow := counted - r.bytes
	if used := r.buffers.used.Add(grow); grow > 0 && used > r.buffers.limit {
		r.buffers.used.Add(-grow)
		return false
	}
	r.bytes = counted
	return true
}

// Release returns all memory of the reservation.
func (r *Reservation) Release() { r.Resize(0) }
