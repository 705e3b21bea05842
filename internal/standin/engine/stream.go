package engine

import (
	"sync"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
)

// stream holds the events of one sequence until its caller has read them.
type stream struct {
	id           string
	key          string
	promptTokens int
	cached       int

	mu      sync.Mutex
	events  []*enginev1.GenerateEvent
	aborted bool
	ready   chan struct{}
}

func newStream(req *enginev1.GenerateRequest, key string) *stream {
	return &stream{
		id:           req.GetId(),
		key:          key,
		promptTokens: promptTokens(req.GetPrompt()),
		ready:        make(chan struct{}, 1),
	}
}

// tokens returns the event with the text of the sequence's next tokens.
func (s *stream) tokens(event enginemodel.Event) *enginev1.GenerateEvent {
	return &enginev1.GenerateEvent{
		Id:         s.id,
		Text:       mark.OutputText(s.key, event.TokenIndex, event.Tokens),
		TokenIndex: int32(event.TokenIndex),
		Tokens:     int32(event.Tokens),
	}
}

func (s *stream) push(event *enginev1.GenerateEvent) {
	s.mu.Lock()
	s.events = append(s.events, event)
	s.mu.Unlock()
	s.signal()
}

// abort breaks the stream off after what has been pushed.
func (s *stream) abort() {
	s.mu.Lock()
	s.aborted = true
	s.mu.Unlock()
	s.signal()
}

func (s *stream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// take returns the events pushed since the last call, and whether the stream
// breaks off after them.
func (s *stream) take() ([]*enginev1.GenerateEvent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.events
	s.events = nil
	return events, s.aborted
}
