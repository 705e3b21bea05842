// Package departure remembers which backend servers have stated in their answers
// that they leave.
//
// A statement holds for one start of a server: not for the next one under the
// same ID, nor for another server at the address. It does not expire, because
// nothing but the end of that start ends it, and it is independent of the
// server's registration, which may be late, missing or older than the statement.
//
// A Book holds what one gateway knows. The caller must call Observe for each
// statement in an answer, and Retain when the registered servers change.
//
// The package does no I/O, never blocks and takes all times as arguments. They
// are durations since an origin that the caller fixes once. A Book is not safe
// for concurrent use.
package departure

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// Book holds the departures of the servers of all services. The zero value is not
// usable; use New.
type Book struct {
	departures map[fleet.Key]*departure
}

// departure is what is known of one start of a server that leaves.
type departure struct {
	statedAt time.Duration
	// unregisteredAt is when the server was first missing from the registered ones;
	// 0 while it is registered.
	unregisteredAt time.Duration
}

const (
	// memory is how long the departure of a server that is no longer registered is
	// remembered. It exceeds the age of the copies from which the store is restored,
	// and the time after which a registration that expired in an outage is back.
	memory = 10 * time.Minute
	// maxUnregistered bounds the departures of servers that are no longer registered.
	maxUnregistered = 4096
)

// New returns an empty Book.
func New() *Book { return &Book{departures: make(map[fleet.Key]*departure)} }

// Observe records that a server has stated in an answer that it leaves. It reports
// whether this was not known.
func (b *Book) Observe(now time.Duration, server fleet.Key) bool {
	if b.Leaving(server) {
		return false
	}
	b.departures[server] = &departure{statedAt: now}
	return true
}

// Leaving reports whether a server has stated that it leaves.
func (b *Book) Leaving(server fleet.Key) bool { return b.departures[server] != nil }

// Retain updates which servers are registered. It forgets departures that are no
// longer needed.
func (b *Book) Retain(now time.Duration, registered []fleet.Key) {
	isRegistered := make(map[fleet.Key]bool, len(registered))
	for _, key := range registered {
		isRegistered[key] = true
	}
	var unregistered []fleet.Key
	for key, d := range b.departures {
		switch {
		case isRegistered[key]:
			d.unregisteredAt = 0
			continue
		case d.unregisteredAt == 0:
			d.unregisteredAt = now
		}
		if key.StartedUnixMs == 0 || now-d.unregisteredAt > memory {
			// A server that does not state its start and is registered again may
			// be another start.
			delete(b.departures, key)
			continue
		}
		unregistered = append(unregistered, key)
	}
	b.forgetOldest(unregistered)
}

// forgetOldest forgets the servers that have been unregistered for the longest time,
// if there are more than maxUnregistered.
func (b *Book) forgetOldest(unregistered []fleet.Key) {
	excess := len(unregistered) - maxUnregistered
	if excess <= 0 {
		return
	}
	slices.SortFunc(unregistered, func(x, y fleet.Key) int {
		return cmp.Compare(b.departures[x].unregisteredAt, b.departures[y].unregisteredAt)
	})
	for _, key := range unregistered[:excess] {
		delete(b.departures, key)
	}
}
