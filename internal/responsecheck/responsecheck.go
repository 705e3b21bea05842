// Package responsecheck decides whose a response from a backend server is and what may be
// done with it. The decisions are pure: they depend on what was sent, on what its caller
// already has and on what came back. Whose a response is comes before all that it says.
package responsecheck

import "net/http"

// Owner is whose a response is.
type Owner int

const (
	// Unidentified is a response that does not identify its request.
	Unidentified Owner = iota
	// Other is a response to another request.
	Other
	// Own is the response to the request that was sent last on the connection.
	Own
)

// OwnerOf returns whose a response is that names the request with the ID named, empty if
// it names none, after the request with the ID sent. A request without an ID has a
// connection of its own, on which every response is its own.
func OwnerOf(sent, named string) Owner {
	switch {
	case sent == "" || named == sent:
		return Own
	case named == "":
		return Unidentified
	default:
		return Other
	}
}

// Sent is the attempt that a response answers.
type Sent struct {
	// RequestID is the ID of the request; empty for calls of the system's own.
	RequestID string
	// Prefill is set if the server only prefills the prompt and returns a handle.
	Prefill bool
	// Streaming is set if the response is expected to be a stream of events.
	Streaming bool
	// Begun is set if the caller already has the header and a part of the stream, which
	// this attempt is to continue.
	Begun bool
	// Weights is the version of the weights with which the stream has been made so far;
	// empty if the stream has not begun, or its servers have stated none.
	Weights string
}

// Content is what a response says of the type of its body.
type Content int

// Types of bodies.
const (
	// Unstated: the response does not state a type.
	Unstated Content = iota
	// Events is a stream of events.
	Events
	// Different is any other type.
	Different
)

// Response is the header of a response.
type Response struct {
	// RequestID is the ID of the request that the response names; empty if none.
	RequestID string
	// Status is the HTTP status.
	Status int
	// Sealed is set if the response carries the server's seal.
	Sealed bool
	// NotExecuted is set if it states that the server did not execute the request.
	NotExecuted bool
	// Weights is the version of the weights that the response states; empty if none.
	Weights string
	// Content is the type of the body.
	Content Content
}

// Verdict is what a response means for its attempt.
type Verdict int

const (
	// Unusable: the response says nothing that can be relied on. The request may have
	// been executed, and nothing of the response may reach the caller.
	Unusable Verdict = iota
	// NotExecuted: the server did not execute the request.
	NotExecuted
	// Prefilled: the body names the handle of the prefilled KV cache.
	Prefilled
	// Stream: the body is a stream of events, which are relayed as they arrive.
	Stream
	// Whole: the response is relayed once it has been read completely. It ends the
	// request.
	Whole
	// Failure is like Whole, but reports that the server has failed. Another attempt may
	// follow instead.
	Failure
)

// Judge returns what a response means for an attempt.
func Judge(s Sent, r Response) Verdict {
	success := r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
	switch {
	case OwnerOf(s.RequestID, r.RequestID) != Own:
		return Unusable
	case r.NotExecuted && !success:
		return NotExecuted
	case r.NotExecuted || ImpliesNotExecuted(r.Status):
		return Unusable
	case s.Prefill:
		return judgePrefill(r)
	case success && !r.Sealed:
		return Unusable
	case success && HasOtherWeights(s, r):
		return Unusable
	case s.Streaming && isStream(s, r):
		return Stream
	case s.Begun:
		return Unusable
	case r.Status >= http.StatusInternalServerError:
		return Failure
	default:
		return Whole
	}
}

// HasOtherWeights reports whether a response states other weights than those with which the
// stream has been made so far. One without further events may state none.
func HasOtherWeights(s Sent, r Response) bool {
	return s.Weights != "" && r.Weights != "" && r.Weights != s.Weights
}

// isStream reports whether the body of a response is a stream of events. One that states
// no type is, unless it would have to continue another.
func isStream(s Sent, r Response) bool {
	return r.Status == http.StatusOK && (r.Content == Events || r.Content == Unstated && !s.Begun)
}

// judgePrefill judges the response of a server that states no refusal.
func judgePrefill(r Response) Verdict {
	if r.Status != http.StatusOK {
		return Unusable
	}
	return Prefilled
}

// ImpliesNotExecuted reports whether callers take an HTTP status to mean that the request
// was not executed.
func ImpliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
