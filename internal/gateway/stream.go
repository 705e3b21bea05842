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
	// streamBufferBytes is read at once; events are some hundred bytes.
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// errEventTooLong says that a stream holds an event over maxEventBytes.
var errEventTooLong = errors.New("event is too long")

// errCallerLeft says that the caller can't be written to.
var errCallerLeft = errors.New("caller has left")

// stream passes events on as they arrive, each one whole, so that a stream
// that breaks can go on elsewhere after its last event.
func (q *request) stream(ctx context.Context, e *upstream.Exchange) outcome {
	events := eventReader{}
	chunk := make([]byte, streamBufferBytes)
	for {
		n, err := e.Response.Body.Read(chunk)
		whole, splitErr := events.add(chunk[:n])
		if len(whole) > 0 {
			if writeErr := q.writeEvents(e.Response.Header, whole); writeErr != nil {
				return outcome{result: callerLeft, reason: writeErr.Error()}
			}
			q.lastEvent = events.lastID(q.lastEvent)
		}
		switch {
		case err == io.EOF:
			return q.streamEnded(e, &events)
		case err != nil:
			return q.streamBroken(ctx, err)
		case splitErr != nil:
			return q.streamBroken(ctx, splitErr)
		}
	}
}

// streamEnded ends a stream that the server has ended whole.
func (q *request) streamEnded(e *upstream.Exchange, events *eventReader) outcome {
	if err := q.writeEvents(e.Response.Header, events.rest()); err != nil {
		return outcome{result: callerLeft, reason: err.Error()}
	}
	return outcome{result: delivered}
}

func (q *request) streamBroken(ctx context.Context, err error) outcome {
	if out, over := q.over(ctx); over {
		return out
	}
	result := noAnswer
	if q.committed {
		result = broken
	}
	return outcome{result: result, reason: "stream broke: " + err.Error(), serverFault: true}
}

// writeEvents sends bytes to the caller, with the head of the answer before
// the first of them.
func (q *request) writeEvents(header http.Header, data []byte) error {
	if !q.committed {
		copyHeader(q.w.Header(), q.g.opts.Protocol.ResponseHeader(header))
		q.w.WriteHeader(http.StatusOK)
		q.committed = true
		q.firstEvent = q.g.now()
		q.g.metrics.firstEvent.WithLabelValues(q.route.Name).Observe((q.firstEvent - q.arrived).Seconds())
	}
	if len(data) > 0 {
		if _, err := q.w.Write(data); err != nil {
			return errors.Join(errCallerLeft, err)
		}
		q.noteGap()
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	return nil
}

// noteGap counts the time since the event before.
func (q *request) noteGap() {
	now := q.g.now()
	if q.newestEvent > 0 {
		q.g.metrics.eventGap.WithLabelValues(q.route.Name).Observe((now - q.newestEvent).Seconds())
	}
	q.newestEvent = now
}

// eventReader splits a stream into whole events.
type eventReader struct {
	pending []byte
	id      string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add takes in bytes and returns those that end an event.
func (s *eventReader) add(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		if len(s.pending) > maxEventBytes {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	whole := s.pending[:end+len(eventEnd)]
	s.pending = append([]byte(nil), s.pending[end+len(eventEnd):]...)
	s.noteID(whole)
	return whole, nil
}

// noteID keeps the ID of the last event.
func (s *eventReader) noteID(events []byte) {
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			s.id = string(bytes.TrimSpace(value))
		}
	}
}

// lastID returns the ID of the last event, or the one before if there was
// none.
func (s *eventReader) lastID(before string) string {
	if s.id == "" {
		return before
	}
	return s.id
}

// rest returns what follows the last whole event.
func (s *eventReader) rest() []byte { return s.pending }
