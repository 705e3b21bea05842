package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/connstate"
	"github.com/marigoldwing/marigoldwing/internal/responsehead"
)

const (
	// linkTime is the time within which all connections of a process that ends, or that
	// hands its address over, are closed once another process listens there.
	linkTime = 10 * time.Millisecond
	// firstRenewal is when the second connection of a probe is opened. Most calls take less
	// time and need one connection only.
	firstRenewal = 40 * time.Millisecond
	// renewalsPerLifetime is how many connections a probe opens in the time after which the
	// service closes one, so that three quarters of it may pass before a late one breaks the
	// chain.
	renewalsPerLifetime = 4
	// minLifetime bounds the further connections of a probe to one every 20 ms.
	minLifetime = 2 * renewalsPerLifetime * linkTime
	// maxProbeHeadBytes bounds the header of an answer to a probe, with the interim answers
	// before it.
	maxProbeHeadBytes = 64 << 10
	// maxProbeConns bounds the open connections of a probe.
	maxProbeConns = 6
)

// dialAddr opens a connection to an address within dialTimeout.
func dialAddr(ctx context.Context, address net.Addr) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, address.Network(), address.String())
}

// sleep waits and reports whether ctx is not done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// probeConn is one connection of a probe.
type probeConn struct {
	net.Conn
	opened time.Time
	// openFor is how long the connection was open when that was last checked.
	openFor time.Duration
	// linked is whether only the process that received the call can answer, and further
	// whether the connection was established after the call was sent.
	linked, further bool
}

// isIdle reports whether the connection is open and no data has arrived. Data that arrives
// before a request does not answer it.
func (c *probeConn) isIdle() bool {
	openFor := time.Since(c.opened)
	if connstate.Peek(c.Conn) != connstate.Idle {
		return false
	}
	c.openFor = openFor
	return true
}

// confirm returns an error unless the process at the other end answers. For a connection
// established after the call was sent, the service must also accept another one: a process
// that no longer listens may be ending.
func (c *probeConn) confirm(ctx context.Context) error {
	if c.further {
		conn, err := dialAddr(ctx, c.RemoteAddr())
		if err != nil {
			return err
		}
		_ = conn.Close()
	}
	return c.ask(ctx)
}

// ask sends a request that concerns the service as a whole, and returns an error unless
// there is an answer.
func (c *probeConn) ask(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request := &http.Request{Method: http.MethodOptions, URL: &url.URL{Opaque: "*"}, Host: c.RemoteAddr().String(), Close: true}
	if err := request.Write(c); err != nil {
		return err
	}
	response, err := responsehead.Read(bufio.NewReader(io.LimitReader(c, maxProbeHeadBytes)), request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
