package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

const (
	// streamBufferBytes is the size of one read; events are a few hundred bytes.
	streamBufferBytes = 4 << 10
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
)

// errEventTooLong is returned for an event larger than maxEventBytes.
var errEventTooLong = errors.New("event is too long")

// errCallerDisconnected is returned if writing to the caller fails.
var errCallerDisconnected = errors.New("caller has left")

// stream relays events as they arrive, each one completely, so that a broken
// stream can be resumed at another server after its last relayed event.
func (q *request) stream(ctx context.Context, exchange *upstream.Exchange) outcome {
	events := eventSplitter{}
	out, position := q.relayEvents(ctx, exchange, &events)
	out.streamEnd = &streamEnd{framing: exchange.Framing(), position: position, tailBytes: len(events.rest())}
	return out
}

// relayEvents relays events until the stream ends, and returns where it ended.
func (q *request) relayEvents(ctx context.Context, exchange *upstream.Exchange, events *eventSplitter) (outcome, string) {
	chunk := make([]byte, streamBufferBytes)
	for {
		n, err := exchange.Response.Body.Read(chunk)
		complete, splitErr := events.add(chunk[:n])
		if len(complete) > 0 {
			if writeErr := q.writeEvents(exchange.Response.Header, complete); writeErr != nil {
				return outcome{result: callerDisconnected, reason: writeErr.Error()}, endedByError
			}
			q.lastEventID = events.lastID(q.lastEventID)
		}
		switch {
		case err == io.EOF:
			return q.streamEnded(exchange, events), events.position()
		case err != nil:
			return q.streamFailed(ctx, err), endedByError
		case splitErr != nil:
			return q.streamFailed(ctx, splitErr), endedByError
		}
	}
}

// streamEnded finishes a stream that the server ended completely.
func (q *request) streamEnded(exchange *upstream.Exchange, events *eventSplitter) outcome {
	if err := q.writeEvents(exchange.Response.Header, events.rest()); err != nil {
		return outcome{result: callerDisconnected, reason: err.Error()}
	}
	return outcome{result: delivered}
}

// streamFailed classifies a stream that broke before its end.
func (q *request) streamFailed(ctx context.Context, err error) outcome {
	if out, ended := q.ended(ctx); ended {
		return out
	}
	result := noResponse
	if q.headerSent {
		result = streamCut
	}
	return outcome{result: result, reason: "stream broke: " + err.Error(), serverFault: true}
}

// writeEvents writes bytes to the caller, after the response header if it has
// not been sent yet.
func (q *request) writeEvents(header http.Header, data []byte) error {
	if !q.headerSent {
		copyHeader(q.w.Header(), q.g.opts.Protocol.ResponseHeader(header))
		q.w.WriteHeader(http.StatusOK)
		q.headerSent = true
		q.firstEventAt = q.g.now()
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

// eventSplitter splits a byte stream into complete server-sent events.
type eventSplitter struct {
	pending []byte
	id      string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add appends data and returns the complete events received so far that have
// not been returned yet.
func (s *eventSplitter) add(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		if len(s.pending) > maxEventBytes {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	complete := s.pending[:end+len(eventEnd)]
	s.pending = append([]byte(nil), s.pending[end+len(eventEnd):]...)
	s.recordID(complete)
	return complete, nil
}

// recordID stores the ID of the last event.
func (s *eventSplitter) recordID(events []byte) {
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			s.id = string(bytes.TrimSpace(value))
		}
	}
}

// lastID returns the ID of the last event, or before if no event had an ID.
func (s *eventSplitter) lastID(before string) string {
	if s.id == "" {
		return before
	}
	return s.id
}

// position returns where a stream is that has no further bytes.
func (s *eventSplitter) position() string {
	if len(s.pending) > 0 {
		return endedInsideEvent
	}
	return endedBetweenEvents
}

// rest returns the bytes after the last complete event.
func (s *eventSplitter) rest() []byte { return s.pending }
