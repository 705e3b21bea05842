package gateway

import (
	"net/http"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// RequestMeta is what a request tells of itself in its headers.
type RequestMeta struct {
	// ID of the request; each try of a caller has its own.
	ID string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// Parts of the prompt in order, none for plain services.
	Parts []placement.PromptPart
	// PromptTokens in all.
	PromptTokens int
	// LastEventID is the ID of the last event that the caller has; empty for a
	// stream from its start.
	LastEventID string
}

// AttemptMeta is what the system tells a backend server beside the request.
type AttemptMeta struct {
	// ServerID that must match; another server refuses.
	ServerID string
	// Remaining time until the request's deadline.
	Remaining time.Duration
	// PrefillOnly asks for the prompt to be prefilled and kept.
	PrefillOnly bool
	// KVSource is the prefilled KV cache to go on from; nil for none.
	KVSource *KVHandle
	// FetchFrom is the address of an engine that holds more of the prompt.
	FetchFrom string
	// Priority from 0, the most urgent.
	Priority int
	// LastEventID is the ID of the event to go on after.
	LastEventID string
}

// KVHandle names a prefilled KV cache.
type KVHandle struct {
	// Address of the engine that holds it.
	Address string
	ID      string
}

// ResponseMeta is what a backend server's answer tells in its head.
type ResponseMeta struct {
	// RequestID that the answer is for.
	RequestID string
	// Sealed answers bear the backend server's seal.
	Sealed bool
	// NotExecuted is set when the server says that it has not run the request.
	NotExecuted bool
	// Load of the server, if HasLoad.
	Load    placement.Load
	HasLoad bool
}

// Protocol is how callers and backend servers are spoken to. It translates
// and decides nothing.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestMeta
	// RequestHeader returns the headers to send to a backend server: the
	// caller's, less those that only the system may set, with the attempt's.
	RequestHeader(caller http.Header, a AttemptMeta) http.Header
	// ParseResponse reads the head of a backend server's answer.
	ParseResponse(status int, h http.Header) ResponseMeta
	// ResponseHeader returns the headers of an answer for the caller.
	ResponseHeader(server http.Header) http.Header
	// ParseHandle reads the answer to a prefill.
	ParseHandle(body []byte) (id string, err error)
	// ReleaseTarget returns the request line's target that frees a handle.
	ReleaseTarget(handle string) string
}
