// Package dial sets up TCP connections that notice when the other end has gone
// silent, which shows in no reset.
package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeInterval is the time between keep-alive probes, and after the last
// byte that was heard; two without an answer end the connection.
const (
	probeInterval = time.Second
	probes        = 2
)

// NewDialer returns a dialer whose connections stand within a timeout, and end
// when data stays unacknowledged for the silent time.
func NewDialer(timeout, silent time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probes},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, silent)
		},
	}
}

func setUserTimeout(c syscall.RawConn, silent time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
	})
	return errors.Join(err, failed)
}
