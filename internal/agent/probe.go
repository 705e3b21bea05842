package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/connstate"
)

// errUnconfirmedEnd is why an answer that the end of its connection delimits is not
// complete: the service may have ended before the answer did.
var errUnconfirmedEnd = errors.New("answer has neither length nor chunks, and its service may have ended")

// probe is a connection to a plain service beside that of one call. It is established
// before the call is sent, so that only the process that received the call, and no later
// start of the service, can answer on it.
type probe struct {
	conn net.Conn
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

// open opens the connection. If this fails, the probe confirms nothing.
func (p *probe) open(ctx context.Context, address net.Addr) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, address.Network(), address.String())
	if err == nil {
		p.close()
		p.conn = conn
	}
}

// confirm asks the service for any answer, which shows that its process has not ended. The
// request concerns the service as a whole and runs nothing.
func (p *probe) confirm(ctx context.Context) error {
	// What came before the question does not answer it.
	if p == nil || p.conn == nil || connstate.Peek(p.conn) != connstate.Idle {
		return errUnconfirmedEnd
	}
	stop := context.AfterFunc(ctx, func() { _ = p.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request := &http.Request{Method: http.MethodOptions, URL: &url.URL{Opaque: "*"}, Host: p.conn.RemoteAddr().String(), Close: true}
	if err := request.Write(p.conn); err != nil {
		return fmt.Errorf("%w: %w", errUnconfirmedEnd, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(p.conn), request)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnconfirmedEnd, err)
	}
	return response.Body.Close()
}

// close closes the connection.
func (p *probe) close() {
	if p != nil && p.conn != nil {
		_ = p.conn.Close()
	}
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
	case resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.TLS != nil:
		return endMarked
	default:
		return endOfConnection
	}
}

// endsSeen is what the answers of a service have shown about their ends so far. It is safe
// for concurrent use.
type endsSeen struct {
	marked, ofConnection atomic.Bool
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
	return &probe{}
}
