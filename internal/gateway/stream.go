package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/eventstream"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

// streamBufferBytes is the size of one read; events are a few hundred bytes.
const streamBufferBytes = 4 << 10

// Reasons why a stream that the server ended is not complete.
var (
	errEndInsideEvent = errors.New("end inside an event")
	errNoEvents       = errors.New("end of the connection before the first event")
)

// errCallerDisconnected is returned if writing to the caller fails.
var errCallerDisconnected = errors.New("caller has left")

// stream relays events as they arrive, each one completely, so that a broken
// stream can be resumed at another server after its last relayed event.
func (q *request) stream(ctx context.Context, exchange *upstream.Exchange, weights string) outcome {
	q.order.Join(q.service.allowsGaps())
	q.stateWeights(weights)
	events := eventstream.Splitter{Order: &q.order, Field: q.g.opts.Protocol.WeightsField()}
	out, position := q.relayEvents(ctx, exchange, &events)
	if events.FirstID() != events.LastID("") {
		q.service.recordNumbering(q.order.HasGaps())
	}
	out.unresumable = !events.Resumable() || events.HasEvents() && !q.order.Comparable()
	out.streamEnd = &streamEnd{
		framing: exchange.Framing(), position: position, tailBytes: len(events.Tail()),
		events: events.Events(), firstID: events.FirstID(), lastID: events.LastID(""), weights: weights,
	}
	return out
}

// relayEvents relays events until the stream ends, and returns where it ended.
func (q *request) relayEvents(ctx context.Context, exchange *upstream.Exchange, events *eventstream.Splitter) (outcome, string) {
	chunk := make([]byte, streamBufferBytes)
	provenAt := time.Duration(math.MaxInt64)
	for {
		n, err := exchange.Response.Body.Read(chunk)
		complete, splitErr := events.Add(chunk[:n])
		if len(complete) > 0 {
			if writeErr := q.writeEvents(exchange.Response.Header, complete); writeErr != nil {
				return outcome{result: callerDisconnected, reason: writeErr.Error()}, endedByError
			}
			q.lastEventID = events.LastID(q.lastEventID)
			q.recordWeights(events)
			now := q.g.now()
			provenAt = min(provenAt, now+provenAfter)
			if now >= provenAt {
				q.recordSound()
			}
		}
		switch {
		case errors.Is(splitErr, eventstream.ErrOutOfOrder):
			return q.streamFailed(ctx, splitErr), endedOutOfOrder
		case err == io.EOF && events.InsideEvent():
			return q.streamFailed(ctx, errEndInsideEvent), endedInsideEvent
		case err == io.EOF:
			return q.streamEnded(ctx, exchange, events), endedBetweenEvents
		case err != nil:
			return q.streamFailed(ctx, err), endedByError
		case splitErr != nil:
			return q.streamFailed(ctx, splitErr), endedByError
		case !q.memory.Resize(len(events.Tail())):
			return q.streamFailed(ctx, upstream.ErrBuffersFull), endedByError
		}
	}
}

// streamEnded finishes a stream that the server ended between two events. If there
// was no event, or the server may have ended, the end of a connection may as well be a
// break.
func (q *request) streamEnded(ctx context.Context, exchange *upstream.Exchange, events *eventstream.Splitter) outcome {
	if !events.HasEvents() && exchange.Framing() == upstream.FramingClose {
		return q.streamFailed(ctx, errNoEvents)
	}
	if err := q.confirmEnd(ctx, exchange); err != nil {
		return q.streamFailed(ctx, err)
	}
	if err := q.writeEvents(exchange.Response.Header, events.Tail()); err != nil {
		return outcome{result: callerDisconnected, reason: err.Error()}
	}
	return outcome{result: delivered}
}

// streamFailed classifies a stream that broke before its end.
func (q *request) streamFailed(ctx context.Context, err error) outcome {
	if out, ended := q.ended(ctx); ended {
		return out
	}
	return outcome{result: q.incompleteResult(), reason: "stream broke: " + err.Error(), serverFault: q.isServerFault(err), connectionLost: isConnectionLost(err)}
}

// isServerFault reports whether a broken stream is a fault of its server. One that was not
// asked successfully may be sound, and a caller may state an event that its stream lacks.
func (q *request) isServerFault(err error) bool {
	isCallersClaim := errors.Is(err, eventstream.ErrOutOfOrder) && !q.headerSent
	return !isCallersClaim && !errors.Is(err, errEndUnconfirmed)
}

// incompleteResult returns the result of an attempt that brought no complete response.
func (q *request) incompleteResult() result {
	if q.headerSent {
		return streamCut
	}
	return noResponse
}

// isConnectionLost reports whether a stream ended for a reason that is not the
// gateway's own.
func isConnectionLost(err error) bool {
	ownReasons := []error{eventstream.ErrEventTooLong, eventstream.ErrOutOfOrder, upstream.ErrBuffersFull, errEndUnconfirmed}
	return !slices.ContainsFunc(ownReasons, func(own error) bool { return errors.Is(err, own) })
}

// writeEvents writes bytes to the caller, after the response header if it has
// not been sent yet.
func (q *request) writeEvents(header http.Header, data []byte) error {
	if !q.headerSent {
		copyHeader(q.w.Header(), q.g.opts.Protocol.ResponseHeader(header))
		q.pinVersion()
		q.w.WriteHeader(http.StatusOK)
		q.headerSent = true
		q.firstEventAt = q.g.now()
		q.completeShare()
		q.g.metrics.firstEvent.WithLabelValues(q.route.Name).Observe((q.firstEventAt - q.arrivedAt).Seconds())
	}
	if len(data) > 0 {
		if _, err := q.w.Write(data); err != nil {
			return errors.Join(errCallerDisconnected, err)
		}
		q.observeEventGap()
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}

// observeEventGap records the time since the previous event.
func (q *request) observeEventGap() {
	now := q.g.now()
	if q.lastEventAt > 0 {
		q.g.metrics.eventGap.WithLabelValues(q.route.Name).Observe((now - q.lastEventAt).Seconds())
	}
	q.lastEventAt = now
}
