package engine

import (
	"bufio"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protojson"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
)

// maxLineBytes limits the size of one encoded event.
const maxLineBytes = 1 << 20

// stream decodes events, one per line. It verifies that they belong to the
// requested sequence and that token indexes are contiguous.
type stream struct {
	id        string
	body      io.ReadCloser
	scanner   *bufio.Scanner
	nextIndex int32 // index of the next token; -1 before the first
	done      bool
}

func newStream(id string, body io.ReadCloser) *stream {
	scan := bufio.NewScanner(body)
	scan.Buffer(nil, maxLineBytes)
	return &stream{id: id, body: body, scanner: scan, nextIndex: -1}
}

// Next implements Stream.
func (s *stream) Next() (*enginev1.GenerateEvent, error) {
	if s.done {
		return nil, io.EOF
	}
	if !s.scanner.Scan() {
		return nil, fmt.Errorf("%w: stream ended early: %w", ErrInterrupted, s.endError())
	}
	event := &enginev1.GenerateEvent{}
	if err := protojson.Unmarshal(s.scanner.Bytes(), event); err != nil {
		return nil, fmt.Errorf("%w: malformed event: %w", ErrInterrupted, err)
	}
	if err := s.check(event); err != nil {
		return nil, err
	}
	s.done = event.GetDone()
	return event, nil
}

// endError returns why the stream ended without a last event.
func (s *stream) endError() error {
	if err := s.scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// check returns an error if the event belongs to another sequence or leaves a
// gap between tokens.
func (s *stream) check(event *enginev1.GenerateEvent) error {
	if event.GetId() != s.id {
		return fmt.Errorf("%w: event of sequence %q in the stream of %q", ErrInterrupted, event.GetId(), s.id)
	}
	if event.GetTokens() == 0 {
		return nil
	}
	if s.nextIndex >= 0 && event.GetTokenIndex() != s.nextIndex {
		return fmt.Errorf("%w: token %d follows, want %d", ErrInterrupted, event.GetTokenIndex(), s.nextIndex)
	}
	s.nextIndex = event.GetTokenIndex() + event.GetTokens()
	return nil
}

// Close implements Stream.
func (s *stream) Close() error { return s.body.Close() }
