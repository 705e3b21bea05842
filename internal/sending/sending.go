// Package sending tells how the sending of a request has ended.
//
// A response that ends with its connection is whole only if the connection was closed in
// order, and the end of a read alone does not show that: the kernel reports a reset once for
// each socket. If a write gets that report, the next read returns what had arrived and then a
// plain io.EOF.
package sending

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// ErrIncomplete is returned for a response that ended with its connection although its
// request was not sent completely.
var ErrIncomplete = errors.New("connection ended before the request was sent completely")

// errStillSending is the error while a request is still being sent.
var errStillSending = fmt.Errorf("%w: it is still being sent", ErrIncomplete)

// confirmTimeout is how long Confirm waits for the end of the sending. The connection has
// ended by then, and a write in progress on it either fails at once or completes.
const confirmTimeout = time.Second

// Tracker records the end of the sending of one request. It is safe for concurrent use.
type Tracker struct {
	done chan struct{}
	once sync.Once
	// err is set before done is closed.
	err error
}

// NewTracker returns the Tracker of a request that is being sent.
func NewTracker() *Tracker { return &Tracker{done: make(chan struct{})} }

// End records that the sending has ended, with an error unless the request was sent
// completely. Only the first call has an effect.
func (t *Tracker) End(err error) {
	t.once.Do(func() {
		t.err = err
		close(t.done)
	})
}

// Done returns a channel that is closed when the sending has ended.
func (t *Tracker) Done() <-chan struct{} { return t.done }

// Sent reports whether the request has been sent completely.
func (t *Tracker) Sent() bool {
	select {
	case <-t.done:
		return t.err == nil
	default:
		return false
	}
}

// Confirm is called when the connection of the request has ended. It returns an error that
// wraps ErrIncomplete unless the request was sent completely, which it waits for shortly.
func (t *Tracker) Confirm() error {
	timeout := time.NewTimer(confirmTimeout)
	defer timeout.Stop()
	select {
	case <-t.done:
		return incomplete(t.err)
	case <-timeout.C:
		return errStillSending
	}
}

// incomplete returns the error of a request whose sending ended with an error; nil if there was
// none.
func incomplete(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}
