// Package serverlimit keeps the request rates that backend servers in need ask
// for. A server states the rate that it takes from all gateways together, for as
// long as it says so.
//
// A Book holds what one gateway knows of the servers of one service. The caller
// must call:
//
//   - Retain when the registered servers change;
//   - Observe for each answer of a server.
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
}

// Book holds the limits of one service's servers. The zero value is not usable;
// use New.
type Book struct {
	limits map[string]*limit
}

// limit is the limit of one server.
type limit struct {
	statement Statement
	// statedAt is the time of the server's answer.
	statedAt time.Duration
}

// New returns a Book without limits.
func New() *Book { return &Book{limits: make(map[string]*limit)} }

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
		return b.set(id, normalize(s), now)
	case l == nil, !l.statement.Limited, sentAt <= l.statedAt:
		// The server may have answered before it stated its limit.
		return Change{}, false
	default:
		return b.set(id, s, now)
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
func (b *Book) set(id string, s Statement, statedAt time.Duration) (Change, bool) {
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
	return Change{ServerID: id, Before: before, After: s}, true
}

// Dump is the limit of one server as shown in the state of a gateway.
type Dump struct {
	ServerID string `json:"server"`
	// Rate is the server's limit in requests per second.
	Rate  float64 `json:"rate"`
	AgeMS int64   `json:"age_ms"`
}

// Dump returns the limits in force, by server.
func (b *Book) Dump(now time.Duration) []Dump {
	dump := make([]Dump, 0, len(b.limits))
	for id, l := range b.limits {
		if l.statement.Limited {
			dump = append(dump, Dump{ServerID: id, Rate: l.statement.Rate, AgeMS: (now - l.statedAt).Milliseconds()})
		}
	}
	slices.SortFunc(dump, func(a, b Dump) int { return cmp.Compare(a.ServerID, b.ServerID) })
	return dump
}
