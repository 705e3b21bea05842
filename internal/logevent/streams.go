package logevent

import (
	"log/slog"
	"strings"
)

// TakeUp describes how a stream may go on that a request takes up again.
type TakeUp struct {
	RequestID, Service string
	// Resumes is the ID of the request that began the stream; empty if it names none.
	Resumes  string
	Decision string
	// Version and Weights are the software version and the version of the weights at which
	// it is continued; empty if at any.
	Version, Weights string
	// VersionsSeen are the software versions that were seen, and MixedWeights is set if
	// several versions of the weights were.
	VersionsSeen []string
	MixedWeights bool
	// Asked is the number of other gateways that were asked and answered.
	Asked int
}

// StreamTakenUp reports how a stream may go on that a request takes up again.
func StreamTakenUp(t TakeUp) Event {
	e := info("stream taken up", slog.String(KeyRequestID, t.RequestID), slog.String(keyService, t.Service),
		slog.String("decision", t.Decision), slog.String("versions_seen", strings.Join(t.VersionsSeen, ",")), slog.Int("asked", t.Asked))
	e.withText("resumes", t.Resumes)
	e.withText("server_version", t.Version)
	e.withText("weights", t.Weights)
	if t.MixedWeights {
		e.with(slog.Bool("mixed_weights", true))
	}
	return e
}

// EndOfConnection describes the end of an answer that had neither length nor chunks, so
// that its connection's end was its end.
type EndOfConnection struct {
	RequestID, Service, Server string
	// State is the server's state afterwards: same_start, same_id, ended, unasked or
	// unclear.
	State string
	// Open and Closed are the numbers of other connections to the server that were still
	// open, and that the server had closed.
	Open, Closed int
	// Complete is set if the answer was taken for complete.
	Complete bool
}

// AnswerEndedWithConnection reports how such an answer was judged.
func AnswerEndedWithConnection(end EndOfConnection) Event {
	return info("answer ended with its connection", slog.String(KeyRequestID, end.RequestID), slog.String(keyService, end.Service),
		slog.String(keyServer, end.Server), slog.String("server_state", end.State),
		slog.Int("open_connections", end.Open), slog.Int("closed_connections", end.Closed), slog.Bool("complete", end.Complete))
}

// StreamOriginsNotSent reports that another gateway could not be notified of begun
// streams.
func StreamOriginsNotSent(address string, streams int, err error) Event {
	return info("origins of streams were not sent", slog.String(keyAddress, address), slog.Int("streams", streams), errorText(err))
}

// StreamNotAsked reports that another gateway could not be asked for the origin of a
// stream.
func StreamNotAsked(address string, err error) Event {
	return info("gateway was not asked for the origin of a stream", slog.String(keyAddress, address), errorText(err))
}
