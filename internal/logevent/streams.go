package logevent

import (
	"log/slog"
	"strings"
)

// StreamTakenUp reports how a stream may go on that a request takes up again: at which
// version, if only at one, of those that were seen, and how many other gateways were
// asked.
func StreamTakenUp(requestID, service, resumes, decision, version string, seen []string, asked int) Event {
	e := info("stream taken up", slog.String(KeyRequestID, requestID), slog.String(keyService, service),
		slog.String("decision", decision), slog.String("versions_seen", strings.Join(seen, ",")), slog.Int("asked", asked))
	e.withText("resumes", resumes)
	e.withText("server_version", version)
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
