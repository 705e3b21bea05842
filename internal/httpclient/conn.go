package httpclient

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/sending"
)

// writeTimeout is how long confirmWrites waits for a write in progress.
const writeTimeout = time.Second

// dialFunc is the type of http.Transport.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// observed returns a function that dials observed connections with dial, or with a net.Dialer
// if dial is nil. With singleCall, each connection carries one call only.
func observed(dial dialFunc, singleCall bool) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &observedConn{Conn: inner, singleCall: singleCall, writing: make(chan struct{}, 1)}, nil
	}
}

// observedConn is a connection that remembers whether a write has failed.
type observedConn struct {
	net.Conn
	// singleCall is whether writes that fail are reported by confirmWrites only. The transport
	// closes a connection as soon as a write fails, also if the server has answered before it
	// closed it; with the error hidden, the response decides. A connection that could carry
	// another call must not hide it, since the transport would use the connection again.
	singleCall bool
	// writing holds an element while a write is in progress, or writeErr is read.
	writing chan struct{}
	// writeErr is the error of the first write that failed.
	writeErr error
}

// Write implements net.Conn.
func (c *observedConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n := 0
	if c.writeErr == nil {
		n, c.writeErr = c.Conn.Write(p)
	}
	if c.writeErr != nil && c.singleCall {
		return len(p), nil
	}
	return n, c.writeErr
}

// confirmWrites returns an error that wraps sending.ErrIncomplete if a write has failed, or
// does not end.
func (c *observedConn) confirmWrites() error {
	timeout := time.NewTimer(writeTimeout)
	defer timeout.Stop()
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
	case <-timeout.C:
		return fmt.Errorf("%w: it is still being sent", sending.ErrIncomplete)
	}
	if c.writeErr != nil {
		return fmt.Errorf("%w: %w", sending.ErrIncomplete, c.writeErr)
	}
	return nil
}
