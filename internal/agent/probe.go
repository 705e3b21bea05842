package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/bodyend"
)

// errUnconfirmedEnd is why an answer that the end of its connection delimits is not
// complete: the service may have ended before the answer did.
var errUnconfirmedEnd = errors.New("answer has neither length nor chunks, and its service may have ended")

// probe holds connections to a plain service beside that of one call. The first one is
// established before the call is sent, so that only the process that received the call, and
// no later start of the service, can answer on it. A service closes connections without a
// request after a time, so that further ones are opened while the call runs. They are linked
// to the process by another linked connection that is open linkTime after they were
// established: a process whose address another one has taken over has ended, or closes its
// idle connections.
type probe struct {
	seen *endsSeen
	// cancel ends the goroutine of the probe; nil until the probe is opened.
	cancel context.CancelFunc

	mu sync.Mutex
	// conns are the open connections, the newest last.
	conns []*probeConn
}

// withProbe returns a context for a call that opens p once the call's own connection is
// established, before anything is sent. A service that accepts one connection at a time
// thus accepts that of the call first. A nil probe is not opened.
func withProbe(ctx context.Context, p *probe) context.Context {
	if p == nil {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { p.open(ctx, info.Conn.RemoteAddr()) },
	})
}

// open opens the first connection. If this fails, the probe confirms nothing.
func (p *probe) open(ctx context.Context, address net.Addr) {
	p.close()
	ctx, p.cancel = context.WithCancel(ctx)
	if p.add(ctx, address, true) {
		go p.renew(ctx, address)
	}
}

// add opens a connection and reports whether it is open.
func (p *probe) add(ctx context.Context, address net.Addr, linked bool) bool {
	conn, err := dialAddr(ctx, address)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		_ = conn.Close()
		return false
	}
	p.conns = append(p.conns, &probeConn{Conn: conn, opened: time.Now(), linked: linked, further: !linked})
	return true
}

// renew opens further connections until ctx is done or no linked connection is open.
func (p *probe) renew(ctx context.Context, address net.Addr) {
	begun := time.Now()
	for sleep(ctx, p.seen.renewalInterval(time.Since(begun))) && p.check() {
		p.add(ctx, address, false)
		if !sleep(ctx, linkTime) || !p.check() {
			return
		}
	}
}

// check removes the connections that the service has closed, links those that can be
// linked, and reports whether a linked connection is open.
func (p *probe) check() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var open, closed []*probeConn
	for _, c := range p.conns {
		if c.isIdle() {
			open = append(open, c)
			continue
		}
		_ = c.Close()
		closed = append(closed, c)
	}
	p.conns = open
	if !slices.ContainsFunc(open, func(c *probeConn) bool { return c.linked }) {
		return false
	}
	for _, c := range open {
		c.linked = c.linked || c.openFor >= linkTime
	}
	p.seen.recordOpen(open[0].openFor)
	for _, c := range closed {
		p.seen.recordClosed(c.openFor)
	}
	if len(open) > maxProbeConns {
		// The oldest one shows how long the service leaves connections open.
		_ = open[1].Close()
		p.conns = slices.Delete(open, 1, 2)
	}
	return true
}

// confirm asks the service for any answer, which shows that its process has not ended. The
// request concerns the service as a whole and runs nothing.
func (p *probe) confirm(ctx context.Context) error {
	if p == nil || !p.check() {
		return errUnconfirmedEnd
	}
	c := p.takeNewest()
	if c == nil {
		return errUnconfirmedEnd
	}
	defer func() { _ = c.Close() }()
	if err := c.confirm(ctx); err != nil {
		return fmt.Errorf("%w: %w", errUnconfirmedEnd, err)
	}
	return nil
}

// takeNewest removes and returns the newest linked connection; nil if there is none.
func (p *probe) takeNewest() *probeConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.conns) {
		if c.linked {
			p.conns = slices.Delete(p.conns, i, i+1)
			return c
		}
	}
	return nil
}

// close closes all connections.
func (p *probe) close() {
	if p == nil || p.cancel == nil {
		return
	}
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// bodyEnd is what shows where the body of an answer ends.
type bodyEnd int

const (
	// endMarked: a length, chunks or TLS shows whether the body is complete.
	endMarked bodyEnd = iota
	// endOfConnection: the body ends with its connection, also if the service ends.
	endOfConnection
	// noBody: the answer can't have a body.
	noBody
)

// bodyEndOf returns what shows where the body of an answer ends.
func bodyEndOf(method string, resp *http.Response) bodyEnd {
	switch {
	case method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		return noBody
	case bodyend.IsConnectionEnd(resp):
		return endOfConnection
	default:
		return endMarked
	}
}

// endsSeen is what the answers of a service have shown about their ends so far. It is safe
// for concurrent use.
type endsSeen struct {
	marked, ofConnection atomic.Bool
	// lifetime is the time in nanoseconds for which the service leaves connections without
	// a request open at least; 0 if it has closed none.
	lifetime atomic.Int64
}

// recordClosed records how long a connection was open that the service has closed.
func (s *endsSeen) recordClosed(openFor time.Duration) {
	openFor = max(openFor, minLifetime)
	if recorded := time.Duration(s.lifetime.Load()); recorded == 0 || openFor < recorded {
		s.lifetime.Store(int64(openFor))
	}
}

// recordOpen records how long a connection has been open that is open still.
func (s *endsSeen) recordOpen(openFor time.Duration) {
	if recorded := time.Duration(s.lifetime.Load()); recorded > 0 && openFor > recorded {
		s.lifetime.Store(int64(openFor))
	}
}

// renewalInterval returns how long a probe that has been open for a time waits before it
// opens another connection. While it is not known when the service closes connections, the
// intervals grow.
func (s *endsSeen) renewalInterval(openFor time.Duration) time.Duration {
	if lifetime := time.Duration(s.lifetime.Load()); lifetime > 0 {
		return lifetime/renewalsPerLifetime - linkTime
	}
	if openFor < firstRenewal {
		return firstRenewal
	}
	return max(minLifetime, openFor)/renewalsPerLifetime - linkTime
}

// record records the end of an answer.
func (s *endsSeen) record(end bodyEnd) {
	switch end {
	case endMarked:
		s.marked.Store(true)
	case endOfConnection:
		s.ofConnection.Store(true)
	}
}

// newProbe returns the probe of the next call; nil if it needs none. A service that has
// marked the ends of all its answers gets no connections beside those of its calls.
func (s *endsSeen) newProbe() *probe {
	if s.marked.Load() && !s.ofConnection.Load() {
		return nil
	}
	return &probe{seen: s}
}
