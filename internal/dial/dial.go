// Package dial creates TCP connections that detect a peer which stops
// responding without closing the connection.
package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// An idle connection sends keep-alive probes, the first one probeInterval after
// the last received data. It is closed after maxProbes probes without a
// response.
const (
	probeInterval = time.Second
	maxProbes     = 2
)

// NewDialer returns a dialer with a connect timeout. Its connections are closed
// if sent data stays unacknowledged for longer than userTimeout
// (TCP_USER_TIMEOUT).
func NewDialer(connectTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, userTimeout)
		},
	}
}

func setUserTimeout(c syscall.RawConn, userTimeout time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}
