package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/marigoldwing/marigoldwing/internal/responsehead"
	"github.com/marigoldwing/marigoldwing/internal/sending"
)

// call observes how the request of one call is sent. It is safe for concurrent use.
type call struct {
	mu sync.Mutex
	// conn is the connection of the call; nil before there is one.
	conn net.Conn
	// sending tells how the writing of the request on that connection has ended.
	sending *sending.Tracker
	// interim is the number of interim responses on that connection.
	interim int
}

// trace returns a context whose call is observed.
func (c *call) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { c.begin(info) },
		WroteRequest:   func(info httptrace.WroteRequestInfo) { c.tracker().End(info.Err) },
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return c.checkInterim(http.Header(fields)) },
	})
}

// maxInterim is how many interim responses a call accepts. The transport does not limit those
// that it shows to a caller.
const maxInterim = 100

// errManyInterim is returned for a response after too many interim ones.
var errManyInterim = errors.New("too many interim responses")

// checkInterim returns an error unless the header of an interim response is one.
func (c *call) checkInterim(fields http.Header) error {
	c.mu.Lock()
	c.interim++
	isOver := c.interim > maxInterim
	c.mu.Unlock()
	if isOver {
		return errManyInterim
	}
	return responsehead.CheckFields(fields)
}

// begin records the connection of the call. The transport may send a call again on another
// one if it has sent nothing of it.
func (c *call) begin(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = info.Conn
	c.sending = sending.NewTracker()
	c.interim = 0
}

func (c *call) tracker() *sending.Tracker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sending
}

// confirmSent returns an error unless the request has been sent completely. The transport
// reports the writing as ended before it writes the rest that it has buffered. A connection
// with TLS is not observed, and shows by itself where a response ends.
func (c *call) confirmSent() error {
	if err := c.tracker().Confirm(); err != nil {
		return err
	}
	c.mu.Lock()
	conn, isObserved := c.conn.(*sending.Conn)
	c.mu.Unlock()
	if !isObserved {
		return nil
	}
	return conn.Confirm()
}

// abandon closes the connection of a response that is no answer, which the transport would
// otherwise use again where the response has ended.
func (c *call) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		// A connection that does not close in order is not used again either.
		_ = c.conn.Close()
	}
}

// body is the body of a response. It returns io.EOF only where the response ends.
type body struct {
	io.ReadCloser
	call     *call
	response *http.Response
	// isUnmarked is set if nothing but the end of its connection ends the body.
	isUnmarked bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.confirmEnd(); err != nil {
		b.call.abandon()
		return n, err
	}
	return n, io.EOF
}

// confirmEnd returns an error if the end of the body may be a broken connection, or what
// follows the body is no trailer.
func (b *body) confirmEnd() error {
	if b.isUnmarked {
		return b.call.confirmSent()
	}
	return responsehead.CheckFields(b.response.Trailer)
}
