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

// AnswerEndedWithConnection reports the state of a server after an answer that had neither
// length nor chunks, so that its connection's end was its end: alive, ended (or started
// again) or unclear.
func AnswerEndedWithConnection(requestID, service, server, state string) Event {
	return info("answer ended with its connection", slog.String(KeyRequestID, requestID), slog.String(keyService, service),
		slog.String(keyServer, server), slog.String("server_state", state))
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
