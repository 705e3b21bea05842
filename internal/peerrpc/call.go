package peerrpc

import (
	"context"
	"errors"
	"sync"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// ErrConnectionLost says that the connection of an attempt is gone, so that
// no further frame of it will arrive.
var ErrConnectionLost = errors.New("peer: connection lost")

// Call is one submitted attempt. Its frames queue up without bound, because
// the reader of a connection must not wait for one attempt; an answer's size
// is bounded where it is made.
type Call struct {
	attemptID string
	forget    func()

	mu     sync.Mutex
	frames []*peerv1.Frame
	lost   bool
	wake   chan struct{}
}

func newCall(attemptID string, forget func()) *Call {
	return &Call{attemptID: attemptID, forget: forget, wake: make(chan struct{}, 1)}
}

// Next returns the next frame in the order of arrival. It fails with ctx's
// error, or with ErrConnectionLost once all frames that arrived are read.
func (c *Call) Next(ctx context.Context) (*peerv1.Frame, error) {
	for {
		frame, lost := c.take()
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

// Close ends the caller's interest; later frames of the attempt are stray.
func (c *Call) Close() { c.forget() }

func (c *Call) take() (frame *peerv1.Frame, lost bool) {
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

func (c *Call) lose() {
	c.mu.Lock()
	c.lost = true
	c.mu.Unlock()
	c.signal()
}

func (c *Call) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
