// Package peers has the gateways of a deployment know each other: who lives,
// what each has in force, and which requests each has at the backend servers.
//
// Table decides whom to tell and is pure. Exchange sends heartbeats with it.
// A gateway that hears nobody goes on alone.
package peers

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

const (
	// Interval is the time between heartbeats.
	Interval = 400 * time.Millisecond
	// liveFor is how long a peer counts as live after it was heard: with many
	// peers, each is heard directly every few intervals.
	liveFor = 4 * time.Second
	// forgetAfter is how long a silent peer is still tried.
	forgetAfter = 30 * time.Second
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

// Learn takes in that a peer may be found at an address.
func (t *Table) Learn(now time.Duration, name, address string) {
	if name == t.self || name == "" || address == "" {
		return
	}
	p := t.peers[name]
	if p == nil || p.Address != address && !p.live(now) {
		t.peers[name] = &Peer{Name: name, Address: address, learntAt: now}
	}
}

// Heard takes in a heartbeat of a peer. It reports whether it is to be used:
// one of an earlier incarnation is not.
func (t *Table) Heard(now time.Duration, name, address string, incarnation uint64, leaving bool) bool {
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

func (p *Peer) live(now time.Duration) bool {
	return p.heard && !p.leaving && now-p.heardAt < liveFor
}

// Live returns the number of gateways that live, this one included.
func (t *Table) Live(now time.Duration) int {
	n := 1
	for _, p := range t.peers {
		if p.live(now) {
			n++
		}
	}
	return n
}

// Names returns the names of the gateways that live, this one included.
func (t *Table) Names(now time.Duration) []string {
	names := []string{t.self}
	for name, p := range t.peers {
		if p.live(now) {
			names = append(names, name)
		}
	}
	return names
}

// Partners returns the peers to exchange heartbeats with in the next round:
// those that live in turn, each round others, and a silent one.
func (t *Table) Partners(now time.Duration) []Peer {
	t.round++
	var live, silent []Peer
	for name, p := range t.peers {
		last := max(p.learntAt, p.heardAt)
		switch {
		case p.live(now):
			live = append(live, *p)
		case now-last > forgetAfter:
			delete(t.peers, name)
		case !p.leaving:
			silent = append(silent, *p)
		}
	}
	return append(t.pick(live, partnersPerRound), t.pick(silent, silentPerRound)...)
}

// All returns the live peers, at most so many, for news that can't wait.
func (t *Table) All(now time.Duration, most int) []Peer {
	var live []Peer
	for _, p := range t.peers {
		if p.live(now) {
			live = append(live, *p)
		}
	}
	return t.pick(live, most)
}

// pick returns at most n of the peers, in an order that differs from round to
// round and from process to process.
func (t *Table) pick(list []Peer, n int) []Peer {
	slices.SortFunc(list, func(a, b Peer) int {
		if d := int64(t.weight(a.Name)) - int64(t.weight(b.Name)); d != 0 {
			return int(min(max(d, -1), 1))
		}
		return strings.Compare(a.Name, b.Name)
	})
	return list[:min(n, len(list))]
}

func (t *Table) weight(name string) uint32 {
	h := fnv.New32a()
	var round [8]byte
	for i := range round {
		round[i] = byte(t.round >> (8 * i))
	}
	_, _ = h.Write(round[:])
	_, _ = h.Write([]byte(t.self))
	_, _ = h.Write([]byte(name))
	// The last bytes alone would order names that are alike the same way.
	x := h.Sum32()
	x ^= x >> 15
	x *= 0x2c1b3c6d
	return x ^ x>>12
}
