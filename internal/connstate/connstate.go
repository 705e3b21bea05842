// Package connstate reports whether the other side of a connection has sent something or
// closed it, without reading from the connection.
package connstate

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of the receiving side of a connection.
type State int

const (
	// Unknown: the connection is not a TCP connection, or is closed on this side.
	Unknown State = iota
	// Idle: there is nothing to read, and the other side has not closed.
	Idle
	// Readable: there are bytes to read.
	Readable
	// Closed: the other side has closed or reset the connection, and there are no bytes
	// to read before that.
	Closed
)

// Peek returns the state of a connection. It does not block and may be called while
// another goroutine reads from the connection.
func Peek(conn net.Conn) State {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Unknown
	}
	state := Unknown
	if err := raw.Control(func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return Unknown
	}
	return state
}

func peek(fd int) State {
	var one [1]byte
	n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return Idle
	case errors.Is(err, unix.EINTR):
		return Unknown
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
