// Package gatewaypeers has the gateways of a deployment know each other: who lives,
// what each has in force, and which requests each has at the backend servers.
//
// Table decides whom to tell and is pure. Exchange sends heartbeats with it.
// A gateway that hears nobody goes on alone.
package gatewaypeers

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval = 400 * time.Millisecond
	// leastLiveFor is how long a peer counts as live at least after it was
	// heard.
	leastLiveFor = 4 * time.Second
	// missedTurns is after how many turns without a heartbeat a peer of a
	// large fleet does not count as live any more.
	missedTurns = 2
	// forgetTimes is how many times as long a silent peer is still tried.
	forgetTimes = 8
	// partnersPerRound bounds the heartbeats that one process sends at once,
	// so that control traffic does not grow with the fleet.
	partnersPerRound = 4
	// silentPerRound is how many silent peers are tried in a round.
	silentPerRound = 1
)

// Peer is another gateway.
type Peer struct {
	Name    string
	Address string
	// incarnation rises with each start.
	incarnation uint64
	learntAt    time.Duration
	heardAt     time.Duration
	heard       bool
	leaving     bool
}

// Table holds the peers that one gateway knows. It is not safe for concurrent
// use. Times are monotonic, from an origin that the caller fixes once.
type Table struct {
	self  string
	peers map[string]*Peer
	round uint64
}

// NewTable returns a table without peers.
func NewTable(self string) *Table {
	return &Table{self: self, peers: make(map[string]*Peer)}
}

// AddPeer takes in that a peer may be found at an address.
func (t *Table) AddPeer(now time.Duration, name, address string) {
	if name == t.self || name == "" || address == "" {
		return
	}
	p := t.peers[name]
	if p == nil || p.Address != address && !t.live(now, p) {
		t.peers[name] = &Peer{Name: name, Address: address, learntAt: now}
	}
}

// ObserveHeartbeat takes in a heartbeat of a peer. It reports whether it is to be used:
// one of an earlier incarnation is not.
func (t *Table) ObserveHeartbeat(now time.Duration, name, address string, incarnation uint64, leaving bool) bool {
	if name == t.self || name == "" {
		return false
	}
	p := t.peers[name]
	if p == nil {
		p = &Peer{Name: name, learntAt: now}
		t.peers[name] = p
	}
	if incarnation < p.incarnation {
		return false
	}
	p.Address, p.incarnation = address, incarnation
	p.heardAt, p.heard, p.leaving = now, true, leaving
	return true
}

// turn is the time in which every peer has been sent a heartbeat.
func (t *Table) turn() time.Duration {
	rounds := (len(t.peers) + partnersPerRound - 1) / partnersPerRound
	return time.Duration(rounds) * HeartbeatInterval
}

// liveFor is how long a peer counts as live after it was heard.
func (t *Table) liveFor() time.Duration { return max(leastLiveFor, missedTurns*t.turn()) }

func (t *Table) live(now time.Duration, p *Peer) bool {
	return p.heard && !p.leaving && now-p.heardAt < t.liveFor()
}

// LiveCount returns the number of gateways that live, this one included.
func (t *Table) LiveCount(now time.Duration) int {
	n := 1
	for _, p := range t.peers {
		if t.live(now, p) {
			n++
		}
	}
	return n
}

// LiveNames returns the names of the gateways that live, this one included.
func (t *Table) LiveNames(now time.Duration) []string {
	names := []string{t.self}
	for name, p := range t.peers {
		if t.live(now, p) {
			names = append(names, name)
		}
	}
	return names
}

// Owner returns the gateway that does one thing for all: the same one for all
// gateways that know the same others. The address is empty for this gateway.
func (t *Table) Owner(now time.Duration, thing string) (name, address string) {
	name = t.self
	highest := ownerWeight(thing, t.self)
	for _, p := range t.peers {
		if weight := ownerWeight(thing, p.Name); weight > highest && t.live(now, p) {
			name, address, highest = p.Name, p.Address, weight
		}
	}
	return name, address
}

func ownerWeight(thing, name string) uint64 { return xxhash.Sum64String(thing + "\x00" + name) }

// HeartbeatPeers returns the peers to exchange heartbeats with in the next round:
// those that live in turn, and a silent one.
func (t *Table) HeartbeatPeers(now time.Duration) []Peer {
	t.round++
	var live, silent []Peer
	for name, p := range t.peers {
		last := max(p.learntAt, p.heardAt)
		switch {
		case t.live(now, p):
			live = append(live, *p)
		case now-last > forgetTimes*t.liveFor():
			delete(t.peers, name)
		case !p.leaving:
			silent = append(silent, *p)
		}
	}
	return append(t.next(live, partnersPerRound), t.next(silent, silentPerRound)...)
}

// LivePeers returns the live peers, at most so many, for news that can't wait.
func (t *Table) LivePeers(now time.Duration, most int) []Peer {
	var live []Peer
	for _, p := range t.peers {
		if t.live(now, p) {
			live = append(live, *p)
		}
	}
	t.round++
	return t.next(live, most)
}

// next returns the n peers whose turn it is, in an order that differs from
// process to process.
func (t *Table) next(list []Peer, n int) []Peer {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(t.weight(a.Name), t.weight(b.Name)), strings.Compare(a.Name, b.Name))
	})
	turn := make([]Peer, 0, n)
	for i := range n {
		turn = append(turn, list[(int(t.round)*n+i)%len(list)])
	}
	return turn
}

func (t *Table) weight(name string) uint64 {
	return xxhash.Sum64String(t.self + "\x00" + name)
}
