// Package serverlimit keeps to the request rates that backend servers in need ask
// for. A server states the rate that it takes from all gateways together, for as
// long as it says so.
//
// Each gateway uses a share of the rate and spaces its requests evenly. The
// gateways that may send to a limited server are determined by rendezvous hashing,
// so that all of them agree without communication. Their number is bounded by the
// rate, because each may be one request ahead of its share.
//
// A Book holds what one gateway knows of the servers of one service. The caller
// must call:
//
//   - SetGateways when the fleet of gateways changes, and Retain when the
//     registered servers change;
//   - Observe for each answer of a server, and Merge for each report of another
//     gateway;
//   - Allows before a server is chosen, and Charge for each request sent to it.
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
	limits      map[string]*limit
}

// limit is the limit of one server.
type limit struct {
	statement Statement
	// statedAt is the time of the server's answer.
	statedAt time.Duration
	// share is the rate that this gateway may use, in requests per second.
	share float64
	// nextAt is the time from which this gateway may send the next request.
	nextAt time.Duration
}

// New returns a Book of the named gateway. Rates are divided by at least
// minGateways, because a gateway that has just started does not know all others.
func New(self string, minGateways int) *Book {
	return &Book{self: self, gateways: []string{self}, minGateways: minGateways, limits: make(map[string]*limit)}
}

// Retain drops the limits of servers that are not registered any more.
func (b *Book) Retain(registered func(id string) bool) {
	for id := range b.limits {
		if !registered(id) {
			delete(b.limits, id)
		}
	}
}

// Observe records an answer of a server to a request that was sent to it at
// sentAt. It reports whether the limit has changed.
func (b *Book) Observe(now time.Duration, id string, sentAt time.Duration, s Statement) (Change, bool) {
	l := b.limits[id]
	switch {
	case s.Limited:
		return b.set(now, id, normalize(s), now)
	case l == nil, !l.statement.Limited, sentAt <= l.statedAt:
		// The server may have answered before it stated its limit.
		return Change{}, false
	default:
		return b.set(now, id, s, now)
	}
}

// normalize returns a statement with a rate that can be kept to.
func normalize(s Statement) Statement {
	if !s.Limited {
		return Statement{}
	}
	return Statement{Limited: true, Rate: max(minRate, s.Rate)}
}

// set replaces the statement of a server.
func (b *Book) set(now time.Duration, id string, s Statement, statedAt time.Duration) (Change, bool) {
	l := b.limits[id]
	if l == nil {
		l = &limit{}
		b.limits[id] = l
	}
	before := l.statement
	l.statement, l.statedAt = s, statedAt
	if before == s {
		return Change{}, false
	}
	b.setShare(now, id, l)
	if !before.Limited {
		// This gateway has probably just sent a request.
		l.nextAt = now + l.interval()
	}
	return Change{ServerID: id, Before: before, After: s, Age: now - statedAt, Share: l.share, Gateways: len(b.gateways)}, true
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
	dump := make([]Dump, 0, len(b.limits))
	for id, l := range b.limits {
		if l.statement.Limited {
			dump = append(dump, Dump{ServerID: id, Rate: l.statement.Rate, Share: l.share, AgeMS: (now - l.statedAt).Milliseconds()})
		}
	}
	slices.SortFunc(dump, func(a, b Dump) int { return cmp.Compare(a.ServerID, b.ServerID) })
	return dump
}
