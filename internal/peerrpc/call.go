package peerrpc

import (
	"context"
	"errors"
	"sync"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// ErrConnectionLost is returned when the connection over which an attempt was
// submitted has been closed, so that no further frames will arrive.
var ErrConnectionLost = errors.New("peer: connection lost")

// Call receives the frames of one submitted attempt. Frames are queued without
// a limit, because the reader of a connection, which serves all of its attempts,
// must not block on one of them. The size of a response is limited by the
// process that sends it.
type Call struct {
	attemptID  string
	unregister func()

	mu     sync.Mutex
	frames []*peerv1.Frame
	// lost is true if the connection has been closed.
	lost bool
	// wake holds a token after a change of frames or lost.
	wake chan struct{}
}

func newCall(attemptID string, unregister func()) *Call {
	return &Call{attemptID: attemptID, unregister: unregister, wake: make(chan struct{}, 1)}
}

// Next returns the next frame in the order of arrival, and waits for one if
// necessary. It returns ErrConnectionLost when the connection has been closed
// and all received frames have been returned, and ctx's error if ctx is done.
func (c *Call) Next(ctx context.Context) (*peerv1.Frame, error) {
	for {
		frame, lost := c.pop()
		if frame != nil {
			return frame, nil
		}
		if lost {
			return nil, ErrConnectionLost
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Close stops receiving frames. Frames that arrive later are counted as stray
// and dropped.
func (c *Call) Close() { c.unregister() }

// pop removes the first frame from the queue. If the queue is empty, it returns
// nil and whether the connection is lost.
func (c *Call) pop() (frame *peerv1.Frame, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.frames) == 0 {
		return nil, c.lost
	}
	frame = c.frames[0]
	c.frames[0] = nil
	c.frames = c.frames[1:]
	return frame, false
}

func (c *Call) push(frame *peerv1.Frame) {
	c.mu.Lock()
	c.frames = append(c.frames, frame)
	c.mu.Unlock()
	c.signal()
}

func (c *Call) markLost() {
	c.mu.Lock()
	c.lost = true
	c.mu.Unlock()
	c.signal()
}

// signal wakes up a waiting Next. It does not block.
func (c *Call) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
