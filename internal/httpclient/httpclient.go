// Package httpclient is the HTTP transport of the calls of this system that go through
// net/http.
package httpclient

import (
	"net/http"

	"github.com/marigoldwing/marigoldwing/internal/bodyend"
	"github.com/marigoldwing/marigoldwing/internal/responsehead"
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
