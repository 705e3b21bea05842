package gateway

import (
	"net/http"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/serverlimit"
)

// RequestMeta is what the headers of a caller's request say about it.
type RequestMeta struct {
	// ID of the request. Each retry by the caller has an ID of its own.
	ID string
	// Caller is the identity that the caller states, of which only the equality
	// matters; empty if it states none.
	Caller string
	// Key is the key of a client account that the caller presents; empty if it presents
	// none. It must not leave the process.
	Key string
	// Timeout is how long the caller waits for the response; 0 if unspecified.
	Timeout time.Duration
	// Parts of the prompt, in order; empty for plain services.
	Parts []placement.PromptPart
	// PromptTokens is the total number of tokens in the prompt.
	PromptTokens int
	// LastEventID is the ID of the last event that the caller has received;
	// empty to start the stream from its beginning.
	LastEventID string
	// Resumes is the ID of the caller's request that brought the first event of the
	// stream that this one takes up; empty if the caller names none.
	Resumes string
}

// AttemptMeta is the metadata that the gateway sends to a backend server with a
// request.
type AttemptMeta struct {
	// ServerID is the intended server. A server with another ID refuses the
	// request.
	ServerID string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// PrefillOnly asks the engine to prefill the prompt and keep its KV cache.
	PrefillOnly bool
	// KVSource is the prefilled KV cache to continue from; nil if there is none.
	KVSource *KVHandle
	// FetchFrom is the address of an engine whose prefix cache holds more of the
	// prompt; empty if there is none.
	FetchFrom string
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// Account is the name of the client account for which the request is served; empty if
	// there is none. OmitKey leaves out the key that the caller has presented.
	Account string
	OmitKey bool
	// LastEventID is the ID of the event after which the stream is to continue.
	LastEventID string
	// Weights is the version of the weights that the server must have. One with another
	// version refuses the request. Empty if any version will do.
	Weights string
}

// KVHandle identifies a prefilled KV cache.
type KVHandle struct {
	// Address of the engine that holds the cache.
	Address string
	ID      string
	// Weights is the version of the weights with which the cache was made; empty if the
	// engine has not stated it.
	Weights string
}

// ResponseMeta is what the status and headers of a backend server's response
// say about it.
type ResponseMeta struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// ServerID is the ID of the server that answers a health check, or that refuses a
	// misdirected request; empty if the response does not name it.
	ServerID string
	// Weights is the version of the model's weights with which the response begins; empty
	// if it states none.
	Weights string
	// Sealed is set if the response carries the backend server's seal.
	Sealed bool
	// NotExecuted is set if the server states that it did not execute the
	// request.
	NotExecuted bool
	// Load is the server's load report; valid if HasLoad is set.
	// LoadMalformed is set if a part of the report can't be read.
	Load          placement.Load
	HasLoad       bool
	LoadMalformed bool
	// Misdirected is set if the server refuses because the request is meant for another:
	// one that has taken over the address, or one with other weights or of the wrong stage.
	Misdirected bool
	// Limit is the request rate that the server takes from all gateways together.
	// It says nothing if LimitMalformed is set.
	Limit          serverlimit.Statement
	LimitMalformed bool
	// Leaving is set if the server states that it leaves.
	Leaving bool
	// Pause is how long the server, which refuses the request, wants no more from this
	// gateway; 0 if it asks for no pause. It says nothing if PauseMalformed is set.
	Pause          time.Duration
	PauseMalformed bool
}

// Protocol translates between the gateway and the headers used by callers and
// backend servers. It makes no decisions.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestMeta
	// RequestHeader returns the headers to send to a backend server: the
	// caller's headers without those that only the gateway may set, plus the
	// attempt's.
	RequestHeader(caller http.Header, a AttemptMeta) http.Header
	// ParseResponse reads the status and headers of a backend server's response.
	ParseResponse(status int, h http.Header) ResponseMeta
	// ResponseID returns the ID of the request that a response names; empty if it
	// names none.
	ResponseID(h http.Header) string
	// ResponseHeader returns the headers to send to the caller for a backend
	// server's response.
	ResponseHeader(server http.Header) http.Header
	// WeightsField returns the name of the field with which an event states that the
	// version of the weights changes there.
	WeightsField() string
	// ParseWeights returns the version of the weights that a header or an event states;
	// empty if the text is no version.
	ParseWeights(text string) string
	// ParseHandle reads the response to a prefill and returns the ID of the KV
	// cache and the version of its weights.
	ParseHandle(body []byte) (id, weights string, err error)
	// ReleaseTarget returns the request target that frees a KV cache.
	ReleaseTarget(handle string) string
}
