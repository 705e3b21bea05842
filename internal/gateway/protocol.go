package gateway

import (
	"net/http"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// Call is what a request tells of itself in its headers.
type Call struct {
	// ID of the request; each try of a caller has its own.
	ID string
	// Wait is how long the caller waits; 0 if it does not say.
	Wait time.Duration
	// Parts of the prompt in order, none for plain services.
	Parts []placement.Part
	// PromptTokens in all.
	PromptTokens int
	// LastEvent is the ID of the last event that the caller has; empty for a
	// stream from its start.
	LastEvent string
}

// Attempt is what the system tells a backend server beside the request.
type Attempt struct {
	// ServerID that must match; another server refuses.
	ServerID string
	// Remaining time until the request's deadline.
	Remaining time.Duration
	// PrefillOnly asks for the prompt to be prefilled and kept.
	PrefillOnly bool
	// Source is the prefilled KV cache to go on from; nil for none.
	Source *Handle
	// FetchFrom is the address of an engine that holds more of the prompt.
	FetchFrom string
	// Priority from 0, the most urgent.
	Priority int
	// LastEvent is the ID of the event to go on after.
	LastEvent string
}

// Handle names a prefilled KV cache.
type Handle struct {
	// Address of the engine that holds it.
	Address string
	ID      string
}

// Answer is what a backend server's answer tells in its head.
type Answer struct {
	// RequestID that the answer is for.
	RequestID string
	// Sealed answers bear the backend server's seal.
	Sealed bool
	// NotRun is set when the server says that it has not run the request.
	NotRun bool
	// Load of the server, if HasLoad.
	Load    placement.Load
	HasLoad bool
}

// Protocol is how callers and backend servers are spoken to. It translates
// and decides nothing.
type Protocol interface {
	// Call reads the headers of a caller's request.
	Call(h http.Header) Call
	// RequestHeader returns the headers to send to a backend server: the
	// caller's, less those that only the system may set, with the attempt's.
	RequestHeader(caller http.Header, a Attempt) http.Header
	// Answer reads the head of a backend server's answer.
	Answer(status int, h http.Header) Answer
	// AnswerHeader returns the headers of an answer for the caller.
	AnswerHeader(server http.Header) http.Header
	// ReadHandle reads the answer to a prefill.
	ReadHandle(body []byte) (id string, err error)
	// ReleaseTarget returns the request line's target that frees a handle.
	ReleaseTarget(handle string) string
}
