package reconcile

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// ErrListenerHeld says that another process of the instance holds the exclusive
// listener, running or paused.
var ErrListenerHeld = errors.New("order: another agent holds the exclusive listener")

// ExclusiveListener is a local listener that one process of an instance can hold. It
// is held until Close or the end of the process, also while the process is
// paused.
type ExclusiveListener struct{ listener net.Listener }

// Listen takes the exclusive listener at addr (IP:port), or returns ErrListenerHeld.
func ListenExclusive(addr string) (*ExclusiveListener, error) {
	l, err := net.Listen("tcp", addr)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("%w: %s", ErrListenerHeld, addr)
	}
	if err != nil {
		return nil, fmt.Errorf("order: exclusive listener: %w", err)
	}
	return &ExclusiveListener{listener: l}, nil
}

// Addr returns the address held.
func (e *ExclusiveListener) Addr() string { return e.listener.Addr().String() }

// Close gives the listener up.
func (e *ExclusiveListener) Close() error { return e.listener.Close() }
