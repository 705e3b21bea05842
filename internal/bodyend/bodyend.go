// Package bodyend decides whether a response is complete whose body has neither a length
// nor chunks, so that nothing but the end of its connection ends it. A process that is
// killed has its connections closed in order too, so that its answer ends in the same way
// wherever it was cut. The two differ in whether the process outlived its answer.
// The decision is pure.
package bodyend

import "net/http"

// IsConnectionEnd reports whether nothing but the end of its connection ends the body of a
// response: it has neither a length nor chunks, and no checksum of TLS or of a compression
// that the transport has removed.
func IsConnectionEnd(r *http.Response) bool {
	isMarked := r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.TLS != nil || r.Uncompressed
	return !isMarked && r.Body != http.NoBody
}

// Server is what a server's answer to a question after the end of its response shows.
type Server int

const (
	// Unclear: the server did not answer.
	Unclear Server = iota
	// Listening: something listens at the server's address, which was not asked or whose
	// answer does not show which process it is.
	Listening
	// SameID: a process with the ID of the server answered, which may have started since.
	SameID
	// SameStart: the process that sent the response answered.
	SameStart
	// Ended: nothing listens at the server's address, or another process does.
	Ended
)

var serverNames = map[Server]string{Unclear: "unclear", Listening: "listening", SameID: "same_id", SameStart: "same_start", Ended: "ended"}

// String returns the state as written to logs.
func (s Server) String() string { return serverNames[s] }

// Evidence is what is known about a server after the end of its response.
type Evidence struct {
	Server Server
	// Open and Closed are the numbers of other connections to the server, established
	// before the request was sent, that are still open or that the server has closed since.
	// Those of a process end with it.
	Open, Closed int
}

// Complete reports whether the response is complete. A response of which that is not known
// is not complete.
func Complete(e Evidence) bool {
	switch e.Server {
	case SameStart:
		return true
	case SameID, Listening:
		return e.Open > 0 || e.Closed == 0
	default:
		return e.Open > 0
	}
}
