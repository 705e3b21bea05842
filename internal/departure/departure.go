// Package departure remembers which backend servers have stated in their answers
// that they leave.
//
// A statement holds for one start of a server: not for the next one under the
// same ID, nor for another server at the address. It does not expire, because
// nothing but the end of that start ends it, and it is independent of the
// server's registration, which may be late, missing or older than the statement.
// Answers do not name the start, so that the first statement after a restart may
// be taken for one of the start that is registered: the next start is unclear
// until it has been asked. Servers that may start again under their ID state their
// start: an ID without one names a single start.
//
// A Book holds what one gateway knows. The caller must call Observe for each
// statement in an answer, Merge for each report of another gateway, Retain when
// the registered servers change, and Stays once an unclear server was asked.
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

const (
	// memory is how long the departure of a server that is no longer registered is
	// remembered. It exceeds the age of the copies from which the store is restored,
	// and the time after which a registration that expired in an outage is back.
	memory = 10 * time.Minute
	// maxUnregistered bounds the departures of servers that are no longer registered.
	maxUnregistered = 4096
	// reportTTL is how long a departure is reported to other gateways that their
	// registrations name as well.
	reportTTL = 10 * time.Second
	// maxReports bounds the reports in one heartbeat.
	maxReports = 8
)

// Book holds the departures of the servers of all services. The zero value is not
// usable; use New.
type Book struct {
	departures map[name]*departure
}

// name identifies a server over its starts.
type name struct{ id, address string }

func nameOf(server fleet.Key) name { return name{server.ID, server.Address} }

// departure is what is known of a server that leaves.
type departure struct {
	// start is the latest start that has stated its departure, and stays the latest
	// one that was asked and does not leave; both in Unix milliseconds, 0 if unknown.
	start, stays int64
	// statedAt is the time of the first answer of that start that stated it.
	statedAt time.Duration
	// registered is whether the server is registered, registeredLeaving whether its
	// registration states the departure too.
	registered, registeredLeaving bool
	// unregisteredAt is when the server was first found to be missing from the
	// registered ones.
	unregisteredAt time.Duration
}

// Report is what one gateway reports to others about a server.
type Report struct {
	ServerID      string
	StartedUnixMs int64
	// Age is the time since the server's first answer that stated its departure.
	Age time.Duration
}

// New returns an empty Book.
func New() *Book { return &Book{departures: make(map[name]*departure)} }

// Observe records that a registered server has stated in an answer that it leaves.
// It reports whether this was not known.
func (b *Book) Observe(now time.Duration, server fleet.Key) bool {
	return b.record(server, server.StartedUnixMs, now)
}

// Merge records a report of another gateway about a registered server. It reports
// whether this was not known. A report about an earlier start of the server, or
// about one that does not state its start, is ignored.
func (b *Book) Merge(now time.Duration, server fleet.Key, r Report) bool {
	if r.ServerID != server.ID || r.StartedUnixMs < server.StartedUnixMs || server.StartedUnixMs == 0 {
		return false
	}
	return b.record(server, r.StartedUnixMs, now-r.Age)
}

func (b *Book) record(server fleet.Key, start int64, statedAt time.Duration) bool {
	if b.Leaving(server) {
		return false
	}
	b.departures[nameOf(server)] = &departure{start: start, statedAt: statedAt, registered: true}
	return true
}

// Leaving reports whether a server has stated that it leaves. A registration that
// names an earlier start, or none, is older than the statement.
func (b *Book) Leaving(server fleet.Key) bool {
	d := b.departures[nameOf(server)]
	return d != nil && server.StartedUnixMs <= d.start
}

// Unclear reports whether an earlier start of the server has stated its departure
// and the server has not been asked yet.
func (b *Book) Unclear(server fleet.Key) bool {
	d := b.departures[nameOf(server)]
	return d != nil && server.StartedUnixMs > max(d.start, d.stays)
}

// Stays records that a server was asked and, unless it has stated otherwise, does not
// leave.
func (b *Book) Stays(server fleet.Key) {
	if d := b.departures[nameOf(server)]; d != nil {
		d.stays = max(d.stays, server.StartedUnixMs)
	}
}

// Retain updates which servers are registered. It forgets departures that are no
// longer needed.
func (b *Book) Retain(now time.Duration, servers []fleet.Server) {
	registeredLeaving := make(map[name]bool, len(servers))
	for _, s := range servers {
		registeredLeaving[nameOf(s.Key())] = s.Leaving
	}
	var unregistered []name
	for n, d := range b.departures {
		wasRegistered := d.registered
		d.registeredLeaving, d.registered = registeredLeaving[n]
		if d.registered {
			continue
		}
		if wasRegistered {
			d.unregisteredAt = now
		}
		if now-d.unregisteredAt > memory {
			delete(b.departures, n)
			continue
		}
		unregistered = append(unregistered, n)
	}
	b.forgetOldest(unregistered)
}

// forgetOldest forgets the servers that have been unregistered for the longest time,
// if there are more than maxUnregistered.
func (b *Book) forgetOldest(unregistered []name) {
	excess := len(unregistered) - maxUnregistered
	if excess <= 0 {
		return
	}
	slices.SortFunc(unregistered, func(x, y name) int {
		return cmp.Compare(b.departures[x].unregisteredAt, b.departures[y].unregisteredAt)
	})
	for _, n := range unregistered[:excess] {
		delete(b.departures, n)
	}
}

// Reports returns what other gateways may not know, the newest first.
func (b *Book) Reports(now time.Duration) []Report {
	var reports []Report
	for n, d := range b.departures {
		age := now - d.statedAt
		isKnown := d.registeredLeaving && age > reportTTL
		if d.registered && !isKnown && d.start != 0 && d.stays <= d.start {
			reports = append(reports, Report{ServerID: n.id, StartedUnixMs: d.start, Age: age})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ServerID, b.ServerID))
	})
	return reports[:min(len(reports), maxReports)]
}
