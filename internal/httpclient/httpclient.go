// Package httpclient is the HTTP transport of the calls of this system that go through
// net/http.
package httpclient

import (
	"errors"
	"net/http"

	"github.com/marigoldwing/marigoldwing/internal/bodyend"
)

// ErrProtocolSwitched is returned for a response that switches to another protocol, which
// no call asks for. It is no answer, and the call may have had an effect.
var ErrProtocolSwitched = errors.New("server switched to another protocol")

// Transport is a transport whose responses are all final, and whose bodies return io.EOF only
// where the response ends. net/http hands over a connection whose protocol the server has
// switched, and its reads then ignore the call's deadline.
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
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, ErrProtocolSwitched
	}
	if bodyend.IsConnectionEnd(resp) {
		resp.Body = &unmarkedBody{ReadCloser: resp.Body, call: c}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no call uses. http.Client calls it.
func (t Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }
