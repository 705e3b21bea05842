package gateway

import (
	"net/http"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

// result classifies the end of one attempt.
type result int

const (
	// delivered: the caller received the server's complete response.
	delivered result = iota
	// notExecuted: the server did not execute the request, or it was not sent.
	notExecuted
	// failedResponse: the server's complete response reports a failure.
	failedResponse
	// noResponse: there is no complete response, and the request may have been
	// executed.
	noResponse
	// streamCut: the caller received only a part of the response.
	streamCut
	// callerDisconnected: the caller closed its connection.
	callerDisconnected
	// timedOut: the deadline of the request passed.
	timedOut
)

var resultNames = map[result]string{
	delivered: "delivered", notExecuted: "not_run", failedResponse: "failed_answer", noResponse: "no_answer",
	streamCut: "broken", callerDisconnected: "caller_left", timedOut: "timed_out",
}

// String returns the result as written to logs and metrics.
func (r result) String() string { return resultNames[r] }

// outcome is the result of one attempt with its details.
type outcome struct {
	result result
	// reason explains the result to operators and callers. Its beginning is also
	// a metric label, so its texts must remain stable.
	reason string
	// response is the buffered response that was delivered or, for a
	// failedResponse, is relayed to the caller if no retry follows. It is nil for
	// streams and for attempts without a complete response.
	response *bufferedResponse
	// serverFault is set if the server or the connection to it caused the
	// failure.
	serverFault bool
	// serverUntried is set if no send to the chosen server was attempted, so that
	// the server is not excluded from further attempts. A failed connection counts
	// as an attempted send.
	serverUntried bool
	// prefillLost is set if the connection of the first prefill of a stream that has
	// begun before was lost. The run that follows is its first send.
	prefillLost bool
	// weightsRefused is set if the server may have refused the weights that the attempt
	// expected.
	weightsRefused bool
	// paused is set if the server refused the request and asked for a pause, which keeps
	// requests from it.
	paused bool
	// unsent is set if nothing was sent: no connection stood, the server has stated since
	// the choice that it wants no request, or no server was left. The next attempt takes
	// the place of this one and costs nothing.
	unsent bool
	// connectionLost is set if the connection ended after the request was sent and
	// before the answer was complete.
	connectionLost bool
	// unresumable is set if a stream cannot go on after what the caller has received.
	unresumable bool
	// streamEnd describes the end of a stream; nil if the attempt relayed none.
	streamEnd *streamEnd
}

// streamEnd describes how a server ended a stream.
type streamEnd struct {
	framing upstream.Framing
	// position is where in the sequence of events the stream ended.
	position string
	// tailBytes is the number of bytes after the last complete event.
	tailBytes int
	// events is the number of complete events, of which firstID and lastID are the first
	// and the latest ID; empty if none had one.
	events          int
	firstID, lastID string
	// weights is the version of the weights that the response states; empty if none.
	weights string
}

// Positions at which a stream ends, as written to logs and metrics.
const (
	// endedBetweenEvents: the body ended after a complete event.
	endedBetweenEvents = "between_events"
	// endedInsideEvent: the body ended and its last event has no end.
	endedInsideEvent = "inside_event"
	// endedOutOfOrder: the stream was broken off at an event that does not follow those
	// before it.
	endedOutOfOrder = "out_of_order"
	// endedByError: the connection failed before the end of the body.
	endedByError = "error"
)

// bufferedResponse is a server response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// executed returns what the result says about execution, for the retry
// decision.
func (o outcome) executed() peerv1.Ran {
	switch o.result {
	case notExecuted:
		return peerv1.Ran_RAN_NO
	case failedResponse:
		return peerv1.Ran_RAN_YES
	default:
		return peerv1.Ran_RAN_UNKNOWN
	}
}

// mayHaveExecuted reports whether the server may have executed the request.
func (o outcome) mayHaveExecuted() bool { return o.result != notExecuted }
