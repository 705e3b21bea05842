// Package httpclient is the HTTP transport of the calls of this system that go through
// net/http.
package httpclient

import (
	"errors"
	"net/http"
)

// ErrProtocolSwitched is returned for a response that switches to another protocol, which
// no call asks for. It is no answer, and the call may have had an effect.
var ErrProtocolSwitched = errors.New("server switched to another protocol")

// Transport is a transport whose responses are all final. net/http hands over a connection
// whose protocol the server has switched, and its reads then ignore the call's deadline.
type Transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil || resp.StatusCode != http.StatusSwitchingProtocols {
		return resp, err
	}
	_ = resp.Body.Close()
	return nil, ErrProtocolSwitched
}
