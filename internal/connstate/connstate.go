// Package connstate reports whether the other side of a connection has sent something or
// closed it, without reading from the connection.
package connstate

import (
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
// another goroutine reads from the connection. It leaves the report of a reset, which the
// kernel makes once, to that goroutine.
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

// ended are the events of a connection that the other side has closed or reset.
const ended = unix.POLLERR | unix.POLLHUP | unix.POLLRDHUP

func peek(fd int) State {
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	if _, err := unix.Poll(events, 0); err != nil || events[0].Revents&unix.POLLNVAL != 0 {
		return Unknown
	}
	unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	switch {
	case err != nil:
		return Unknown
	case unread > 0:
		return Readable
	case events[0].Revents&ended != 0:
		return Closed
	default:
		return Idle
	}
}
