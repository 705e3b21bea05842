package reconcile

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// ErrHeld says that another process of the instance holds the exclusive
// listener, running or paused.
var ErrHeld = errors.New("order: another agent holds the exclusive listener")

// Exclusive is a local listener that one process of an instance can hold. It
// is held until Close or the end of the process, also while the process is
// paused.
type Exclusive struct{ listener net.Listener }

// Listen takes the exclusive listener at addr (IP:port), or returns ErrHeld.
func Listen(addr string) (*Exclusive, error) {
	l, err := net.Listen("tcp", addr)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("%w: %s", ErrHeld, addr)
	}
	if err != nil {
		return nil, fmt.Errorf("order: exclusive listener: %w", err)
	}
	return &Exclusive{listener: l}, nil
}

// Addr returns the address held.
func (e *Exclusive) Addr() string { return e.listener.Addr().String() }

// Close gives the listener up.
func (e *Exclusive) Close() error { return e.listener.Close() }
