package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// entryWindow is how long an entry counts as present after its last message.
const entryWindow = 30 * time.Second

// entryTracker counts the entries from which the agent has received messages.
// The agent reports the number to the entries, which divide shared limits by
// it. The zero value is ready to use.
type entryTracker struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// recordHeartbeat records a heartbeat; those of processes other than entries
// have no effect.
func (t *entryTracker) recordHeartbeat(h *peerv1.Heartbeat) {
	if h.GetSenderRole() == "entry" {
		t.record(h.GetAddress())
	}
}

// record stores the time of a message from the entry at an address.
func (t *entryTracker) record(address string) {
	if address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last == nil {
		t.last = make(map[string]time.Time)
	}
	t.last[address] = time.Now()
}

// count returns the number of entries with a heartbeat within entryWindow.
func (t *entryTracker) count() int32 { return int32(len(t.addresses())) }

// addresses returns the addresses of the entries with a heartbeat within entryWindow.
func (t *entryTracker) addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.last, func(_ string, at time.Time) bool { return time.Since(at) > entryWindow })
	return slices.Collect(maps.Keys(t.last))
}
