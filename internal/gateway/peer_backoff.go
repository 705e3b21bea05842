package gateway

import (
	"sync"
	"time"
)

// peerBackoff tracks gateways that recently failed to answer, so that they are
// not called again until coordinatorBackoff has passed. The zero value is ready
// to use. It is safe for concurrent use.
type peerBackoff struct {
	mu sync.Mutex
	// until maps a gateway to the time from which it may be called again.
	// Gateways that answer have no entry.
	until map[string]time.Duration
}

// elapsed reports whether a gateway may be called.
func (b *peerBackoff) elapsed(now time.Duration, name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now >= b.until[name]
}

// start records that a gateway did not answer. It reports whether this is the
// first failure since the gateway last answered.
func (b *peerBackoff) start(now time.Duration, name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = make(map[string]time.Duration)
	}
	_, known := b.until[name]
	b.until[name] = now + coordinatorBackoff
	return !known
}

// reset records that a gateway answered. It reports whether the gateway had
// failed since its previous answer.
func (b *peerBackoff) reset(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.until[name]
	delete(b.until, name)
	return known
}
