package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/marigoldwing/marigoldwing/internal/sending"
)

// call observes how the request of one call is sent. It is safe for concurrent use.
type call struct {
	mu sync.Mutex
	// conn is the connection of the call; nil before there is one.
	conn net.Conn
	// sending tells how the writing of the request on that connection has ended.
	sending *sending.Tracker
}

// trace returns a context whose call is observed.
func (c *call) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { c.begin(info) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { c.tracker().End(info.Err) },
	})
}

// begin records the connection of the call. The transport may send a call again on another
// one if it has sent nothing of it.
func (c *call) begin(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = info.Conn
	c.sending = sending.NewTracker()
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
	conn, isObserved := c.conn.(*observedConn)
	c.mu.Unlock()
	if !isObserved {
		return nil
	}
	return conn.confirmWrites()
}

// abandon closes the connection of a response that is no answer. The transport would use it
// again if the body of the response is empty.
func (c *call) abandon(resp *http.Response) {
	// There is nothing to do about a connection that does not close in order.
	_ = resp.Body.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// unmarkedBody is a body that ends with its connection. It returns io.EOF only if the request
// has been sent completely.
type unmarkedBody struct {
	io.ReadCloser
	call *call
}

// Read implements io.Reader.
func (b *unmarkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.call.confirmSent(); err != nil {
		return n, err
	}
	return n, io.EOF
}
