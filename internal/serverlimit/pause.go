package serverlimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxPause is the longest pause that is kept to.
	maxPause = 24 * time.Hour
	// pauseSpread and maxPauseSpread are the largest part of a pause, and the largest
	// time, by which a gateway prolongs it, so that the gateways that were refused
	// together do not come back together.
	pauseSpread    = 0.1
	maxPauseSpread = 500 * time.Millisecond
	// trialTimeout is how long the first request after a pause may stay without an
	// answer before another one is sent, and trialPoll how long others wait before
	// they look again.
	trialTimeout = time.Second
	trialPoll    = 50 * time.Millisecond
	// maxNextStartPause bounds what the next start of a server keeps of a pause. It
	// exceeds the time after which the registration of a start is known while the store
	// answers.
	maxNextStartPause = 3 * time.Second
)

// pause is the pause for which a server has asked.
type pause struct {
	// pausedUntil is the end of the pause; 0 if the server has never asked for one.
	pausedUntil time.Duration
	// returning is set from the pause until the server has accepted a request, and
	// trialUntil is how long the answer to the latest one is awaited.
	returning  bool
	trialUntil time.Duration
}

// Pause records that a server has refused a request and wants no more for a time. It
// returns when this gateway uses the server again. A shorter pause does not end a
// longer one.
func (b *Book) Pause(now time.Duration, key Server, asked time.Duration) (until time.Duration) {
	s := b.server(key)
	if s == nil {
		return now
	}
	asked = min(asked, maxPause)
	spread := min(time.Duration(pauseSpread*float64(asked)), maxPauseSpread)
	own := float64(rankHash(key.ID, b.self)) / math.MaxUint64
	s.pausedUntil = max(s.pausedUntil, now+asked+time.Duration(own*float64(spread)))
	s.returning, s.trialUntil = true, 0
	return s.pausedUntil
}

// Accepted records that a server has answered a request that was sent to it at sentAt,
// and did not refuse it. It reports whether the server is used again without
// restriction from now on. Requests that were sent before the end of the pause show
// nothing.
func (b *Book) Accepted(key Server, sentAt time.Duration) bool {
	s := b.servers[key.ID]
	if s == nil || !s.returning || key.StartedUnixMs < s.startedUnixMs || sentAt < s.pausedUntil {
		return false
	}
	s.returning = false
	return true
}

// Paused reports whether a server wants nothing at present.
func (b *Book) Paused(now time.Duration, id string) bool {
	s := b.servers[id]
	return s != nil && now < s.pausedUntil
}

// Permit reports whether a request that was chosen for a server may be sent to it now. If
// the server has not accepted one since its pause, the request shows whether it does, and
// no other is permitted until then.
func (b *Book) Permit(now time.Duration, id string) bool {
	s := b.servers[id]
	if s == nil {
		return true
	}
	if s.pause.wait(now) > 0 {
		return false
	}
	if s.returning {
		s.trialUntil = now + trialTimeout
	}
	return true
}

// ofNextStart returns the pause of the next start of the server.
func (p *pause) ofNextStart(now time.Duration) pause {
	if now >= p.pausedUntil {
		return pause{}
	}
	return pause{pausedUntil: min(p.pausedUntil, now+maxNextStartPause), returning: true}
}

// wait returns the time until a request may be sent.
func (p *pause) wait(now time.Duration) time.Duration {
	switch {
	case now < p.pausedUntil:
		return p.pausedUntil - now
	case p.returning && now < p.trialUntil:
		return min(trialPoll, p.trialUntil-now)
	}
	return 0
}

// PauseDump is the pause of one server as shown in the state of a gateway.
type PauseDump struct {
	ServerID string `json:"server"`
	// LeftMS is what is left of the pause; 0 if it has ended and the server has not
	// accepted a request since.
	LeftMS int64 `json:"left_ms"`
}

// DumpPauses returns the servers that have asked for a pause and have not accepted a
// request since, by server.
func (b *Book) DumpPauses(now time.Duration) []PauseDump {
	dump := make([]PauseDump, 0, len(b.servers))
	for id, s := range b.servers {
		if s.returning {
			dump = append(dump, PauseDump{ServerID: id, LeftMS: max(0, s.pausedUntil-now).Milliseconds()})
		}
	}
	slices.SortFunc(dump, func(a, b PauseDump) int { return cmp.Compare(a.ServerID, b.ServerID) })
	return dump
}
