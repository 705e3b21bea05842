// Package responsehead decides what is the header of an HTTP response. It is the one place for
// that decision: all clients of this system ask it before they use anything of a response.
package responsehead

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a header that net/http accepts and that is none. It is no
// answer, and nothing that it states may be believed. The request may have been executed, and
// where the next response begins on the connection is unknown.
var ErrMalformed = errors.New("malformed response header")

// ErrProtocolSwitched is returned for a response that switches to another protocol, which no
// request of this system asks for. It wraps ErrMalformed.
var ErrProtocolSwitched = fmt.Errorf("%w: server switched to another protocol", ErrMalformed)

// maxStatus is the largest status of three digits. RFC 9110, section 15, defines no class for
// those above 599, and lets clients treat them as a status of the class 5xx.
const maxStatus = 999

// Read reads the header of the final response to a request, and discards those of the interim
// responses before it. Errors are those of net/http, or wrap ErrMalformed.
func Read(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, request)
		if err != nil {
			return nil, err
		}
		if !isInterim(response.StatusCode) {
			return response, CheckFinal(response)
		}
		if err := CheckFields(response.Header); err != nil {
			return nil, err
		}
	}
}

// isInterim reports whether a status is that of a response before the final one.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckFinal returns an error unless the header is that of a final response.
func CheckFinal(response *http.Response) error {
	if err := CheckFinalStatus(response.StatusCode); err != nil {
		return err
	}
	return CheckFields(response.Header)
}

// CheckFinalStatus returns an error unless a status is that of a final response.
func CheckFinalStatus(status int) error {
	switch {
	case status == http.StatusSwitchingProtocols:
		return ErrProtocolSwitched
	case status < http.StatusOK || status > maxStatus:
		return fmt.Errorf("%w: %03d is no status of a response", ErrMalformed, status)
	default:
		return nil
	}
}

// CheckFields returns an error unless the names of all fields of a header, or of a trailer, are
// tokens. net/http accepts names that hold blanks, and would take a field that delimits the
// body for another one.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.*q is no token", ErrMalformed, maxQuotedBytes, name)
		}
	}
	return nil
}

// maxQuotedBytes is how much of a malformed name an error quotes.
const maxQuotedBytes = 40
