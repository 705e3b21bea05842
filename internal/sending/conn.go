package sending

import (
	"net"
	"time"
)

// Conn is a connection that remembers whether a write on it has failed.
type Conn struct {
	net.Conn
	// hidesErrors is set if Confirm alone reports that a write has failed.
	hidesErrors bool
	// writing holds an element while a write is in progress, or writeErr is read.
	writing chan struct{}
	// writeErr is the error of the first write that failed.
	writeErr error
}

// NewConn returns a Conn on a connection.
func NewConn(inner net.Conn) *Conn { return &Conn{Conn: inner, writing: make(chan struct{}, 1)} }

// HideErrors lets all writes succeed, so that only Confirm reports that one has failed. It must
// be called before the first write.
func (c *Conn) HideErrors() { c.hidesErrors = true }

// Write implements net.Conn. Nothing is written after a write has failed.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n := 0
	if c.writeErr == nil {
		n, c.writeErr = c.Conn.Write(p)
	}
	if c.writeErr != nil && c.hidesErrors {
		return len(p), nil
	}
	return n, c.writeErr
}

// Confirm is called when a read has returned io.EOF. It returns an error that wraps
// ErrIncomplete unless all writes so far have succeeded; it waits shortly for one in progress.
func (c *Conn) Confirm() error {
	timeout := time.NewTimer(confirmTimeout)
	defer timeout.Stop()
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
		return incomplete(c.writeErr)
	case <-timeout.C:
		return errStillSending
	}
}
