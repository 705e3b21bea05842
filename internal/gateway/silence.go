package gateway

import (
	"sync"
	"time"
)

// silence remembers which gateways have not answered of late, so that they are
// not asked for a while.
type silence struct {
	mu sync.Mutex
	// until is when a gateway may be asked again; those that answer are not in
	// it.
	until map[string]time.Duration
}

// over tells whether a gateway may be asked.
func (s *silence) over(now time.Duration, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.until[name]
}

// begins takes in that a gateway has not answered. It reports whether it had
// answered until then.
func (s *silence) begins(now time.Duration, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[string]time.Duration)
	}
	_, known := s.until[name]
	s.until[name] = now + placePause
	return !known
}

// ends takes in that a gateway has answered. It reports whether it had been
// silent.
func (s *silence) ends(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.until[name]
	delete(s.until, name)
	return known
}
