// Package serverlimit keeps to what backend servers in need ask for: a request rate,
// or a pause. A server states the rate that it takes from all gateways together, for
// as long as it says so. When it refuses a request it may ask this gateway for a
// pause.
//
// Each gateway uses a share of the rate and spaces its requests evenly. The
// gateways that may send to a limited server are determined by rendezvous hashing,
// so that all of them agree without communication. Their number is bounded by the
// rate, because each may be one request ahead of its share.
//
// After a pause, a server gets one request at a time until it has accepted one: it may
// not have recovered, and many callers may be waiting for it.
//
// Both hold for one start of a server, whether or not it is registered meanwhile. The
// next start under the same ID has no limit. Answers do not name the start, so that it
// keeps what is left of a pause for a short time: the refusal may have been its own.
// Servers that may start again under their ID state their start: an ID without one names
// a single start.
//
// A Book holds what one gateway knows of the servers of one service. The caller
// must call:
//
//   - SetGateways when the fleet of gateways changes, and Retain when the
//     registered servers change;
//   - Observe for each answer of a server, Pause for each refusal that asks for a
//     pause, Accepted for each answer that is no refusal, and Merge for each report of
//     another gateway;
//   - Allows before a server is chosen, Charge for each request or call to it, and
//     Permit for each request at the moment of its send.
//
// The package does no I/O, never blocks and takes all times as arguments. They
// are durations since an origin that the caller fixes once. A Book is not safe
// for concurrent use.
package serverlimit

import (
	"cmp"
	"slices"
	"time"
)

// minRate is the lowest rate, in requests per second, that is kept to. Without
// any request to a server nobody would learn that it has withdrawn its limit.
const minRate = 0.1

// Statement is what a server says about its limit.
type Statement struct {
	// Rate is the number of requests per second that the server takes from all
	// gateways together. It is valid if Limited is set.
	Rate    float64
	Limited bool
}

// Change describes a change of a server's limit, for logs.
type Change struct {
	ServerID      string
	Before, After Statement
	// Age is the time since the server's answer.
	Age time.Duration
	// Share is the rate that this gateway may use, and Gateways the number of
	// gateways known, this one included.
	Share    float64
	Gateways int
}

// Book holds the limits of one service's servers. The zero value is not usable;
// use New.
type Book struct {
	self string
	// gateways are the names of all known gateways, this one included. Rates are
	// divided by at least minGateways.
	gateways    []string
	minGateways int
	// servers are those that have asked for something, by ID.
	servers map[string]*server
}

// Server is one start of a backend server.
type Server struct {
	ID string
	// StartedUnixMs is the start time in Unix milliseconds; 0 if the server does not
	// state it.
	StartedUnixMs int64
}

// server is what one server has asked for.
type server struct {
	// startedUnixMs is the start that has asked.
	startedUnixMs int64
	registered    bool
	// unregisteredAt is when the server was first found to be missing from the
	// registered ones.
	unregisteredAt time.Duration

	limit
	pause
}

// limit is the limit of one server.
type limit struct {
	statement Statement
	// statedAt is the time of the server's answer; it is valid if hasStated is set.
	statedAt  time.Duration
	hasStated bool
	// share is the rate that this gateway may use, in requests per second.
	share float64
	// nextAt is the time from which this gateway may send the next request.
	nextAt time.Duration
}

// New returns a Book of the named gateway. Rates are divided by at least
// minGateways, because a gateway that has just started does not know all others.
func New(self string, minGateways int) *Book {
	return &Book{self: self, gateways: []string{self}, minGateways: minGateways, servers: make(map[string]*server)}
}

// memory is how long what a server that is no longer registered has asked for is
// remembered, at least until the end of its pause. Registrations that expire in an
// outage of the store, or are missing from a copy from which it is restored, are back
// sooner.
const memory = time.Minute

// Retain updates which servers are registered. It forgets what earlier starts of them
// and servers that have left asked for.
func (b *Book) Retain(now time.Duration, registered []Server) {
	starts := make(map[string]int64, len(registered))
	for _, s := range registered {
		starts[s.ID] = s.StartedUnixMs
	}
	for id, s := range b.servers {
		wasRegistered := s.registered
		var start int64
		start, s.registered = starts[id]
		if wasRegistered && !s.registered {
			s.unregisteredAt = now
		}
		isGone := !s.registered && now > max(s.unregisteredAt+memory, s.pausedUntil)
		switch {
		case isGone:
			delete(b.servers, id)
		case start > s.startedUnixMs:
			b.servers[id] = &server{startedUnixMs: start, registered: true, pause: s.pause.ofNextStart(now)}
		}
	}
}

// server returns the record of a server, a new one if nothing is known of this start,
// or nil if a later one has asked for something.
func (b *Book) server(key Server) *server {
	s := b.servers[key.ID]
	if s != nil && key.StartedUnixMs < s.startedUnixMs {
		return nil
	}
	if s == nil || key.StartedUnixMs > s.startedUnixMs {
		s = &server{startedUnixMs: key.StartedUnixMs, registered: true}
		b.servers[key.ID] = s
	}
	return s
}

// Observe records an answer of a server to a request that was sent to it at
// sentAt. It reports whether the limit has changed.
func (b *Book) Observe(now time.Duration, key Server, sentAt time.Duration, stated Statement) (Change, bool) {
	if stated.Limited {
		return b.set(now, key, normalize(stated), now)
	}
	s := b.servers[key.ID]
	if s == nil || key.StartedUnixMs < s.startedUnixMs || !s.statement.Limited || sentAt <= s.statedAt {
		// The server may have answered before it stated its limit.
		return Change{}, false
	}
	return b.set(now, key, stated, now)
}

// normalize returns a statement with a rate that can be kept to.
func normalize(s Statement) Statement {
	if !s.Limited {
		return Statement{}
	}
	return Statement{Limited: true, Rate: max(minRate, s.Rate)}
}

// set replaces the statement of a server.
func (b *Book) set(now time.Duration, key Server, stated Statement, statedAt time.Duration) (Change, bool) {
	s := b.server(key)
	if s == nil {
		return Change{}, false
	}
	before := s.statement
	s.statement, s.statedAt, s.hasStated = stated, statedAt, true
	if before == stated {
		return Change{}, false
	}
	b.setShare(now, key.ID, &s.limit)
	if !before.Limited {
		// This gateway has probably just sent a request.
		s.nextAt = now + s.interval()
	}
	return Change{ServerID: key.ID, Before: before, After: stated, Age: now - statedAt, Share: s.share, Gateways: len(b.gateways)}, true
}

// Dump is the limit of one server as shown in the state of a gateway.
type Dump struct {
	ServerID string `json:"server"`
	// Rate is the server's limit and Share this gateway's part of it, in requests
	// per second.
	Rate  float64 `json:"rate"`
	Share float64 `json:"share"`
	AgeMS int64   `json:"age_ms"`
}

// Dump returns the limits in force, by server.
func (b *Book) Dump(now time.Duration) []Dump {
	dump := make([]Dump, 0, len(b.servers))
	for id, l := range b.servers {
		if l.statement.Limited {
			dump = append(dump, Dump{ServerID: id, Rate: l.statement.Rate, Share: l.share, AgeMS: (now - l.statedAt).Milliseconds()})
		}
	}
	slices.SortFunc(dump, func(a, b Dump) int { return cmp.Compare(a.ServerID, b.ServerID) })
	return dump
}
