// Package httpclient is the HTTP transport of the calls of this system that go through
// net/http.
package httpclient

import (
	"context"
	"net"
	"net/http"

	"github.com/marigoldwing/marigoldwing/internal/bodyend"
	"github.com/marigoldwing/marigoldwing/internal/responsehead"
	"github.com/marigoldwing/marigoldwing/internal/sending"
)

// Transport is a transport whose responses all have a header that is one, and whose bodies
// return io.EOF only where the response ends. Errors that wrap responsehead.ErrMalformed are
// about responses that are no answer.
type Transport struct {
	inner *http.Transport
}

// New returns a Transport that sends calls with inner, whose connections it observes. Inner
// must not be used otherwise.
func New(inner *http.Transport) Transport {
	inner.DialContext = observed(inner.DialContext, inner.DisableKeepAlives)
	return Transport{inner: inner}
}

// dialFunc is the type of http.Transport.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// observed returns a function that dials observed connections with dial, or with a net.Dialer
// if dial is nil.
//
// The transport closes a connection as soon as a write fails, also if the server has answered
// before it closed the connection. The errors of connections for a single call are therefore
// hidden, so that the response decides. Others must not hide them, since the transport would
// use the connection again.
func observed(dial dialFunc, singleCall bool) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := sending.NewConn(inner)
		if singleCall {
			conn.HideErrors()
		}
		return conn, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := &call{}
	resp, err := t.inner.RoundTrip(r.WithContext(c.trace(r.Context())))
	if err != nil {
		return nil, err
	}
	if err := responsehead.CheckFinal(resp); err != nil {
		// There is nothing to do about a body that does not close in order.
		_ = resp.Body.Close()
		c.abandon()
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, call: c, response: resp, isUnmarked: bodyend.IsConnectionEnd(resp)}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no call uses. http.Client calls it.
func (t Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }
