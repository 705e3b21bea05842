// Package eventstream splits a stream of server-sent events (text/event-stream)
// into complete events, and reports whether the stream ended inside an event.
package eventstream

import (
	"bytes"
	"cmp"
	"errors"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

// ErrEventTooLong is returned for an event larger than 1 MiB.
var ErrEventTooLong = errors.New("event is too long")

// Splitter splits a stream into complete events. Lines may end with LF, CR LF or
// CR. The zero Splitter is at the beginning of a response.
type Splitter struct {
	// Order is the order of the stream's events, which the Splitter checks; nil if it
	// checks none.
	Order *Order
	// Field is the name of a field whose latest value Value returns; empty if none is.
	Field string
	// orderErr is set at the end of an event that is out of order.
	orderErr error
	// pending holds the bytes after the last complete event, of which the first
	// scanned ones have been examined. The current line begins at lineStart.
	pending            []byte
	scanned, lineStart int
	// inLine is set inside a line. afterCR is set directly after a CR, which an LF
	// may follow as part of the same line end, and afterBlank after a blank line.
	inLine, afterCR, afterBlank bool
	// inEvent is set once the current event has a line that is no comment. eventID is
	// its ID so far, and eventValue its value of Field.
	inEvent    bool
	eventID    string
	eventValue string
	// events is the number of complete events, and lastHasID is set if the last one had
	// an ID. firstID and id are the first and the latest ID; empty if there was none.
	events      int
	lastHasID   bool
	firstID, id string
	// value is the latest value of Field; empty if there was none.
	value string
}

// Add appends data and returns the bytes up to the end of the last complete event
// that have not been returned yet. The result is valid until the next call. With
// ErrOutOfOrder it ends before the event that is out of order, and nothing may be added
// any more.
func (s *Splitter) Add(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	end := 0
	for ; s.scanned < len(s.pending) && s.orderErr == nil; s.scanned++ {
		if s.inLine {
			s.scanned += lineLength(s.pending[s.scanned:])
		}
		if s.scanned < len(s.pending) && s.scan(s.pending[s.scanned]) {
			end = s.scanned + 1
		}
	}
	if s.orderErr != nil {
		return s.take(end), s.orderErr
	}
	s.scanned = len(s.pending)
	if end == 0 {
		if len(s.pending) > maxEventBytes {
			return nil, ErrEventTooLong
		}
		return nil, nil
	}
	return s.take(end), nil
}

// take removes the first n bytes from the pending ones and returns them.
func (s *Splitter) take(n int) []byte {
	taken := s.pending[:n]
	s.pending = append([]byte(nil), s.pending[n:]...)
	s.scanned -= n
	s.lineStart -= n
	return taken
}

// scan processes the byte at scanned and reports whether the bytes up to it end with
// a blank line, which ends an event that is in order.
func (s *Splitter) scan(b byte) bool {
	if s.afterCR && b == '\n' {
		s.afterCR = false
		return s.afterBlank
	}
	s.afterCR = b == '\r'
	if !isLineEnd(b) {
		s.lineStart = s.scanned
		s.inEvent = s.inEvent || b != ':'
		s.inLine, s.afterBlank = true, false
		return false
	}
	s.afterBlank = !s.inLine
	if s.inLine {
		s.inLine = false
		s.endLine(s.pending[s.lineStart:s.scanned])
		return false
	}
	s.endEvent()
	return s.orderErr == nil
}

var idField = []byte("id:")

// endLine processes a complete line.
func (s *Splitter) endLine(line []byte) {
	if value, ok := bytes.CutPrefix(line, idField); ok {
		s.eventID = string(bytes.TrimSpace(value))
	}
	if value, ok := s.fieldValue(line); ok {
		s.eventValue = string(bytes.TrimSpace(value))
	}
}

// fieldValue returns the value of Field if the line has that field.
func (s *Splitter) fieldValue(line []byte) ([]byte, bool) {
	name, value, hasValue := bytes.Cut(line, []byte(":"))
	return value, hasValue && s.Field != "" && string(name) == s.Field
}

// endEvent processes a blank line.
func (s *Splitter) endEvent() {
	if !s.inEvent {
		return
	}
	if s.Order != nil {
		s.orderErr = s.Order.Next(s.eventID)
	}
	if s.orderErr != nil {
		return
	}
	s.events++
	s.lastHasID = s.eventID != ""
	if s.lastHasID {
		s.id = s.eventID
		s.firstID = cmp.Or(s.firstID, s.id)
	}
	s.value = cmp.Or(s.eventValue, s.value)
	s.inEvent, s.eventID, s.eventValue = false, "", ""
}

// lineLength returns the number of bytes before the first line end, or all.
func lineLength(data []byte) int {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		data = data[:end]
	}
	if end := bytes.IndexByte(data, '\r'); end >= 0 {
		return end
	}
	return len(data)
}

func isLineEnd(b byte) bool { return b == '\n' || b == '\r' }

// LastID returns the ID of the last complete event, or before if no event had an
// ID.
func (s *Splitter) LastID(before string) string {
	if s.id == "" {
		return before
	}
	return s.id
}

// FirstID returns the ID of the first complete event that had one; empty if none had.
func (s *Splitter) FirstID() string { return s.firstID }

// Value returns the latest value of Field in a complete event; empty if there was none.
func (s *Splitter) Value() string { return s.value }

// Events returns the number of complete events.
func (s *Splitter) Events() int { return s.events }

// Resumable reports whether the stream can be resumed after the last complete event,
// because there was none or it had an ID.
func (s *Splitter) Resumable() bool { return !s.HasEvents() || s.lastHasID }

// HasEvents reports whether there was a complete event.
func (s *Splitter) HasEvents() bool { return s.events > 0 }

// InsideEvent reports whether the stream would be broken off if it ended here:
// inside a line, or after a line of an event whose blank line is missing.
func (s *Splitter) InsideEvent() bool { return s.inLine || s.inEvent }

// Tail returns the bytes after the last complete event.
func (s *Splitter) Tail() []byte { return s.pending }
