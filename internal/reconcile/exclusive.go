package reconcile

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// ErrListenerHeld is returned if another process of the instance, running or
// paused, holds the exclusive listener.
var ErrListenerHeld = errors.New("reconcile: another agent holds the exclusive listener")

// ExclusiveListener is a local listener that only one process of an instance
// can hold. It is held until Close or the end of the process, including while
// the process is paused.
type ExclusiveListener struct{ listener net.Listener }

// ListenExclusive opens the exclusive listener at addr (IP:port). It returns
// ErrListenerHeld if another process holds it.
func ListenExclusive(addr string) (*ExclusiveListener, error) {
	l, err := net.Listen("tcp", addr)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("%w: %s", ErrListenerHeld, addr)
	}
	if err != nil {
		return nil, fmt.Errorf("reconcile: open exclusive listener: %w", err)
	}
	return &ExclusiveListener{listener: l}, nil
}

// Addr returns the address (IP:port) of the listener.
func (e *ExclusiveListener) Addr() string { return e.listener.Addr().String() }

// Close releases the listener.
func (e *ExclusiveListener) Close() error { return e.listener.Close() }
