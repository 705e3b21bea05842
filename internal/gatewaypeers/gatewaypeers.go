// Package gatewaypeers lets the gateways of a deployment exchange heartbeats.
// From them each gateway learns which others are live, what they have in force,
// and how many requests they have in flight at the backend servers.
//
// Table holds the known peers and selects those to contact; it is pure.
// Heartbeater runs it. A gateway without live peers works alone.
package gatewaypeers

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatInterval is the time between heartbeat rounds.
	HeartbeatInterval = 400 * time.Millisecond
	// minLiveness is the minimum time for which a peer counts as live after its
	// last heartbeat.
	minLiveness = 4 * time.Second
	// livenessTurns is the number of turns (see Table.turnDuration) without a
	// heartbeat after which a peer of a large fleet no longer counts as live.
	livenessTurns = 2
	// evictAfterTimeouts is the multiple of the liveness timeout after which a
	// silent peer is evicted.
	evictAfterTimeouts = 8
	// livePeersPerRound bounds the heartbeats that one gateway sends to live
	// peers per round, so that its control traffic does not grow with the
	// fleet.
	livePeersPerRound = 4
	// silentPeersPerRound is the number of silent peers that are contacted per
	// round.
	silentPeersPerRound = 1
)

// Peer is another gateway.
type Peer struct {
	Name    string
	Address string
	// failureDomain is empty if it is not known.
	failureDomain string
	// incarnation increases with each start of the gateway.
	incarnation   uint64
	addedAt       time.Duration
	lastHeartbeat time.Duration
	hasHeartbeat  bool
	leaving       bool
}

// Table holds the peers known to one gateway. It is not safe for concurrent
// use. Times are monotonic, measured from an origin chosen by the caller.
type Table struct {
	self string
	// domain is the failure domain of this gateway.
	domain string
	peers  map[string]*Peer
	round  uint64
}

// NewTable returns a table without peers.
func NewTable(self string) *Table {
	return &Table{self: self, peers: make(map[string]*Peer)}
}

// AddPeer adds a peer that the store lists at an address (IP:port). It does not
// replace the address of a live peer.
func (t *Table) AddPeer(now time.Duration, name, address string) {
	if name == t.self || name == "" || address == "" {
		return
	}
	p := t.peers[name]
	if p == nil || p.Address != address && !t.isLive(now, p) {
		t.peers[name] = &Peer{Name: name, Address: address, addedAt: now}
	}
}

// ObserveHeartbeat processes a heartbeat of a peer. It reports false if the
// heartbeat must be ignored, because it comes from this gateway itself or from
// an earlier incarnation.
func (t *Table) ObserveHeartbeat(now time.Duration, name, address string, incarnation uint64, leaving bool) bool {
	if name == t.self || name == "" {
		return false
	}
	p := t.peers[name]
	if p == nil {
		p = &Peer{Name: name, addedAt: now}
		t.peers[name] = p
	}
	if incarnation < p.incarnation {
		return false
	}
	p.Address, p.incarnation = address, incarnation
	p.lastHeartbeat, p.hasHeartbeat, p.leaving = now, true, leaving
	return true
}

// turnDuration is the time within which each peer is sent a heartbeat.
func (t *Table) turnDuration() time.Duration {
	rounds := (len(t.peers) + livePeersPerRound - 1) / livePeersPerRound
	return time.Duration(rounds) * HeartbeatInterval
}

// livenessTimeout is the time for which a peer counts as live after its last
// heartbeat.
func (t *Table) livenessTimeout() time.Duration {
	return max(minLiveness, livenessTurns*t.turnDuration())
}

func (t *Table) isLive(now time.Duration, p *Peer) bool {
	return p.hasHeartbeat && !p.leaving && now-p.lastHeartbeat < t.livenessTimeout()
}

// LiveCount returns the number of live gateways, this one included.
func (t *Table) LiveCount(now time.Duration) int {
	n := 1
	for _, p := range t.peers {
		if t.isLive(now, p) {
			n++
		}
	}
	return n
}

// SharingNames returns the names of the gateways that may be serving callers, this
// one included, in no particular order. Limits for the whole fleet are divided
// among them. A silent peer counts until it is evicted, because it may only be cut
// off from this gateway; a leaving one counts while it sends heartbeats.
func (t *Table) SharingNames(now time.Duration) []string {
	names := []string{t.self}
	for name, p := range t.peers {
		if !p.leaving || now-p.lastHeartbeat < t.livenessTimeout() {
			names = append(names, name)
		}
	}
	return names
}

// LiveNames returns the names of the live gateways, this one included, in no
// particular order.
func (t *Table) LiveNames(now time.Duration) []string {
	names := []string{t.self}
	for name, p := range t.peers {
		if t.isLive(now, p) {
			names = append(names, name)
		}
	}
	return names
}

// Reachable returns the peers whose latest heartbeat is recent, also those that stop, in no
// particular order.
func (t *Table) Reachable(now time.Duration) []Peer {
	var reachable []Peer
	for _, p := range t.peers {
		if p.hasHeartbeat && now-p.lastHeartbeat < t.livenessTimeout() {
			reachable = append(reachable, *p)
		}
	}
	return reachable
}

// Owner returns the live gateway that is responsible for a key, by rendezvous
// hash. Gateways that know the same live peers agree on it. The address is
// empty if the owner is this gateway.
func (t *Table) Owner(now time.Duration, key string) (name, address string) {
	name = t.self
	highest := ownerHash(key, t.self)
	for _, p := range t.peers {
		if hash := ownerHash(key, p.Name); hash > highest && t.isLive(now, p) {
			name, address, highest = p.Name, p.Address, hash
		}
	}
	return name, address
}

// Keepers returns the addresses of the live gateways, other than this one, with the
// highest rendezvous hashes for a key, at most n of them.
func (t *Table) Keepers(now time.Duration, key string, n int) []string {
	var live []*Peer
	for _, p := range t.peers {
		if t.isLive(now, p) {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b *Peer) int { return cmp.Compare(ownerHash(key, b.Name), ownerHash(key, a.Name)) })
	addresses := make([]string, 0, n)
	for _, p := range live[:min(n, len(live))] {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// SetFailureDomain records the failure domain of a known peer, or of this gateway.
func (t *Table) SetFailureDomain(name, domain string) {
	if name == t.self {
		t.domain = domain
	}
	if p := t.peers[name]; p != nil {
		p.failureDomain = domain
	}
}

// relaysPerDomain is the number of gateways in each failure domain that read the store
// for the others.
const relaysPerDomain = 2

// IsRelay reports whether this gateway is among the relaysPerDomain known ones in its
// failure domain with the highest hashes. Silent peers count until they are evicted; the
// others do not depend on any relay being alive.
func (t *Table) IsRelay() bool { return len(t.higherInDomain()) < relaysPerDomain }

// higherInDomain returns the peers in this gateway's failure domain that become relays
// before it.
func (t *Table) higherInDomain() []Peer {
	own := ownerHash(t.domain, t.self)
	var higher []Peer
	for _, p := range t.peers {
		if t.domain != "" && p.failureDomain == t.domain && !p.leaving && ownerHash(t.domain, p.Name) > own {
			higher = append(higher, *p)
		}
	}
	return higher
}

// relayPeers returns the relay to contact in this round, if this gateway is none itself:
// one that is live or has not been heard of yet.
func (t *Table) relayPeers(now time.Duration) []Peer {
	relays := t.higherInDomain()
	if len(relays) < relaysPerDomain {
		return nil
	}
	slices.SortFunc(relays, func(a, b Peer) int {
		return cmp.Compare(ownerHash(t.domain, b.Name), ownerHash(t.domain, a.Name))
	})
	p := relays[t.round%relaysPerDomain]
	if p.hasHeartbeat && !t.isLive(now, &p) {
		return nil
	}
	return []Peer{p}
}

// KnownCount returns the number of gateways that may be serving, this one included.
func (t *Table) KnownCount(now time.Duration) int { return len(t.SharingNames(now)) }

func ownerHash(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// HeartbeatPeers starts a new round and returns the peers to contact in it:
// live peers in rotation, a silent one, and a relay of the failure domain. Peers that have been silent for too
// long are evicted.
func (t *Table) HeartbeatPeers(now time.Duration) []Peer {
	t.round++
	var live, silent []Peer
	for name, p := range t.peers {
		last := max(p.addedAt, p.lastHeartbeat)
		switch {
		case t.isLive(now, p):
			live = append(live, *p)
		case now-last > evictAfterTimeouts*t.livenessTimeout():
			delete(t.peers, name)
		case !p.leaving:
			silent = append(silent, *p)
		}
	}
	contacts := append(t.rotate(live, livePeersPerRound), t.rotate(silent, silentPeersPerRound)...)
	return append(contacts, t.relayPeers(now)...)
}

// LivePeers returns at most the given number of live peers, for a notification
// that cannot wait for the next rounds.
func (t *Table) LivePeers(now time.Duration, limit int) []Peer {
	var live []Peer
	for _, p := range t.peers {
		if t.isLive(now, p) {
			live = append(live, *p)
		}
	}
	t.round++
	return t.rotate(live, limit)
}

// rotate returns the n peers whose turn it is in the current round. The order
// differs between gateways, so that their heartbeats spread over all peers.
func (t *Table) rotate(list []Peer, n int) []Peer {
	if len(list) <= n {
		return list
	}
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(t.orderHash(a.Name), t.orderHash(b.Name)), strings.Compare(a.Name, b.Name))
	})
	turn := make([]Peer, 0, n)
	for i := range n {
		turn = append(turn, list[(int(t.round)*n+i)%len(list)])
	}
	return turn
}

func (t *Table) orderHash(name string) uint64 {
	return xxhash.Sum64String(t.self + "\x00" + name)
}
