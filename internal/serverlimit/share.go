package serverlimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// sendersPerRate bounds the gateways that send to a limited server, in gateways per
// request and second of its limit. Each may be one request ahead of its share.
const sendersPerRate = 1.5

// SetGateways replaces the names of the gateways that share the limits, this one
// included.
func (b *Book) SetGateways(now time.Duration, names []string) {
	b.gateways = names
	for id, s := range b.servers {
		b.setShare(now, id, &s.limit)
	}
}

// setShare determines the share of this gateway in a server's limit.
func (b *Book) setShare(now time.Duration, id string, l *limit) {
	l.share = 0
	if !l.statement.Limited {
		return
	}
	sharing := min(1+int(sendersPerRate*l.statement.Rate), max(len(b.gateways), b.minGateways))
	if b.rank(id) < sharing {
		l.share = l.statement.Rate / float64(sharing)
	}
	l.nextAt = min(l.nextAt, now+l.interval())
}

// rank returns the position of this gateway in the order in which gateways may
// send to a limited server.
func (b *Book) rank(id string) int {
	rank := 0
	own := rankHash(id, b.self)
	for _, name := range b.gateways {
		if h := rankHash(id, name); h < own || h == own && name < b.self {
			rank++
		}
	}
	return rank
}

func rankHash(id, gateway string) uint64 { return xxhash.Sum64String(id + "\x00" + gateway) }

// interval is the time between two requests of this gateway.
func (l *limit) interval() time.Duration {
	if l.share == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / l.share)
}

// Limited reports whether a server has stated a limit.
func (b *Book) Limited(id string) bool {
	s := b.servers[id]
	return s != nil && s.statement.Limited
}

// Allows reports whether a request may be sent to a server now.
func (b *Book) Allows(now time.Duration, id string) bool {
	wait, ok := b.Wait(now, id)
	return ok && wait == 0
}

// Wait returns the time until a request may be sent to a server. It reports false
// if this gateway has no share in the server's limit.
func (b *Book) Wait(now time.Duration, id string) (time.Duration, bool) {
	s := b.servers[id]
	if s == nil {
		return 0, true
	}
	wait := s.pause.wait(now)
	if !s.statement.Limited {
		return wait, true
	}
	return max(wait, s.nextAt-now), s.share > 0
}

// Charge counts a request or another call to a server against its limit.
func (b *Book) Charge(now time.Duration, id string) {
	if b.Limited(id) {
		s := b.servers[id]
		s.nextAt = max(s.nextAt, now) + s.interval()
	}
}
