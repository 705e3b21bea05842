// Package fleetclock estimates the true time from the times of day of several
// gateways, so that a time of day that jumps on some instances does not move it.
//
// An offset is the time since the start of 1970 that a gateway states, less this
// gateway's boot-time clock, which counts suspension and never jumps. The estimate is
// the boot-time clock plus the median of the recent offsets, this gateway's own
// included. Fewer than half of the clocks, however wrong, cannot move it beyond the
// range of the others. A clock counts with the offset that was last observed, so that a
// jump may count until maxAge after its end.
//
// With an even number of clocks every offset between the two middle ones is a median.
// The previous estimate is kept if it lies between them, and is otherwise moved to the
// nearer one: of two gateways that have agreed, one that jumps moves nothing. Without a
// previous estimate from several clocks the lower one is used, which gateways that know
// the same offsets agree on.
//
// The package does no I/O, never blocks and takes all times as arguments. A Clock is
// not safe for concurrent use.
package fleetclock

import (
	"slices"
	"time"
)

const (
	// maxAge is the age from which an offset is not used. A fleet of 32 gateways
	// observes each peer every 3.2 s; one of 350 observes about a hundred in 10 s.
	maxAge = 10 * time.Second
	// maxPeers bounds the offsets that are kept. The newest of a large fleet are a
	// sample that is large enough for a median.
	maxPeers = 128
	// refreshInterval is the time for which a computed median is used.
	refreshInterval = 200 * time.Millisecond
	// holdTime is how long the last estimate from several clocks is kept without
	// peers. Clocks whose rates differ by 100 ppm differ by 30 ms after that time.
	holdTime = 5 * time.Minute
)

// observation is the offset of a peer.
type observation struct {
	offset time.Duration
	at     time.Duration
}

// Clock estimates the true time. The zero value is not usable; use New.
type Clock struct {
	peers map[string]observation
	// offset is the estimate less the boot-time clock, computed at computedAt.
	offset     time.Duration
	computedAt time.Duration
	computed   bool
	// fromSeveral is set if offset goes back to several clocks, the last time at
	// severalAt.
	fromSeveral bool
	severalAt   time.Duration
	// sorted is reused by refresh.
	sorted []time.Duration
}

// New returns a Clock without observations.
func New() *Clock {
	return &Clock{peers: make(map[string]observation), sorted: make([]time.Duration, 0, maxPeers+1)}
}

// Observe records the offset of a peer, observed at now on the boot-time clock. It
// replaces the peer's earlier offset.
func (c *Clock) Observe(peer string, now, offset time.Duration) {
	if _, known := c.peers[peer]; !known && len(c.peers) >= maxPeers {
		c.evictOldest()
	}
	c.peers[peer] = observation{offset: offset, at: now}
}

func (c *Clock) evictOldest() {
	oldest, found := "", false
	for name, o := range c.peers {
		if !found || o.at < c.peers[oldest].at {
			oldest, found = name, true
		}
	}
	delete(c.peers, oldest)
}

// Now returns the true time at now on the boot-time clock, given this gateway's own
// time of day.
func (c *Clock) Now(now time.Duration, own time.Time) time.Time {
	if !c.computed || now-c.computedAt >= refreshInterval {
		c.refresh(now, time.Duration(own.UnixNano())-now)
	}
	return time.Unix(0, int64(now+c.offset))
}

// refresh computes the median anew and discards old offsets.
func (c *Clock) refresh(now, own time.Duration) {
	c.computed, c.computedAt = true, now
	c.sorted = append(c.sorted[:0], own)
	for name, o := range c.peers {
		if now-o.at >= maxAge {
			delete(c.peers, name)
			continue
		}
		c.sorted = append(c.sorted, o.offset)
	}
	slices.Sort(c.sorted)
	n := len(c.sorted)
	low, high := c.sorted[(n-1)/2], c.sorted[n/2]
	switch {
	case n > 1 && c.fromSeveral:
		c.offset = min(max(c.offset, low), high)
	case n > 1:
		c.offset = low
	case !c.fromSeveral || now-c.severalAt >= holdTime:
		c.offset, c.fromSeveral = own, false
	}
	if n > 1 {
		c.fromSeveral, c.severalAt = true, now
	}
}
