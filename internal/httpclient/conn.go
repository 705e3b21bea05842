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
// if dial is nil.
func observed(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &observedConn{Conn: inner, writing: make(chan struct{}, 1)}, nil
	}
}

// observedConn is a connection that remembers whether a write has failed.
type observedConn struct {
	net.Conn
	// writing holds an element while a write is in progress, or writeErr is read.
	writing chan struct{}
	// writeErr is the error of the first write that failed.
	writeErr error
}

// Write implements net.Conn.
func (c *observedConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
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
