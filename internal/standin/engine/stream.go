package engine

import (
	"sync"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
)

// stream buffers the events of one sequence until the response writer has sent
// them.
type stream struct {
	id           string
	markKey      string
	promptTokens int
	cachedTokens int

	mu      sync.Mutex
	events  []*enginev1.GenerateEvent
	aborted bool
	ready   chan struct{} // receives a value after each change
}

func newStream(req *enginev1.GenerateRequest, markKey string) *stream {
	return &stream{
		id:           req.GetId(),
		markKey:      markKey,
		promptTokens: promptTokens(req.GetPrompt()),
		ready:        make(chan struct{}, 1),
	}
}

// tokensEvent returns the event that carries the text of newly generated
// tokens.
func (s *stream) tokensEvent(event enginemodel.Event) *enginev1.GenerateEvent {
	return &enginev1.GenerateEvent{
		Id:         s.id,
		Text:       mark.OutputText(s.markKey, event.TokenIndex, event.Tokens),
		TokenIndex: int32(event.TokenIndex),
		Tokens:     int32(event.Tokens),
	}
}

func (s *stream) push(event *enginev1.GenerateEvent) {
	s.mu.Lock()
	s.events = append(s.events, event)
	s.mu.Unlock()
	s.notify()
}

// abort makes the response break off after the events pushed so far.
func (s *stream) abort() {
	s.mu.Lock()
	s.aborted = true
	s.mu.Unlock()
	s.notify()
}

func (s *stream) notify() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// drain returns the events pushed since the last call, and whether the stream
// was aborted after them.
func (s *stream) drain() ([]*enginev1.GenerateEvent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.events
	s.events = nil
	return events, s.aborted
}
