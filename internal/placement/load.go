package placement

import (
	"math"
	"time"
)

// queue is prompt tokens that are to be prefilled.
type queue struct {
	// urgent tokens go first; deferred ones are of requests that come late
	// anyway.
	urgent, deferred float64
}

// add counts tokens in, or out if negative.
func (q *queue) add(tokens float64, deferred bool) {
	if deferred {
		q.deferred = max(0, q.deferred+tokens)
		return
	}
	q.urgent = max(0, q.urgent+tokens)
}

// before returns the tokens that go before a new request.
func (q queue) before(deferred bool) float64 {
	if deferred {
		return q.urgent + q.deferred
	}
	return q.urgent
}

// peerLoad is what another gateway has at a server.
type peerLoad struct {
	requests int
	tokens   queue
	at       time.Duration
}

// peerLife is how long the load that another gateway told counts.
const peerLife = 2 * time.Second

// OwnLoad is what a gateway has at one server.
type OwnLoad struct {
	Server   string
	Requests int
	// UrgentTokens and DeferredTokens of prompts are not prefilled yet.
	UrgentTokens, DeferredTokens int
}

// OwnLoads returns what this gateway has at each server, to be told to
// others.
func (t *Table) OwnLoads() []OwnLoad {
	var loads []OwnLoad
	for _, s := range t.servers {
		if s.own > 0 {
			loads = append(loads, OwnLoad{
				Server: s.ID, Requests: s.own,
				UrgentTokens: int(s.ownTokens.urgent), DeferredTokens: int(s.ownTokens.deferred),
			})
		}
	}
	return loads
}

// PeerLoads takes in what another gateway has at the servers. It has nothing
// at those that it does not name.
func (t *Table) PeerLoads(now time.Duration, peer string, loads []OwnLoad) {
	for _, s := range t.servers {
		delete(s.peers, peer)
	}
	for _, l := range loads {
		if s := t.find(l.Server); s != nil {
			tokens := queue{urgent: float64(l.UrgentTokens), deferred: float64(l.DeferredTokens)}
			s.peers[peer] = peerLoad{requests: l.Requests, tokens: tokens, at: now}
		}
	}
}

// fromPeers returns the requests that other gateways have told of.
func (s *server) fromPeers(now time.Duration) float64 {
	requests := 0
	for _, l := range s.peers {
		if now-l.at < peerLife {
			requests += l.requests
		}
	}
	return float64(requests)
}

// others returns the requests that other gateways are thought to have at the
// server: what they told, or what the server told beyond the own sends, less
// the older it is.
func (s *server) others(now time.Duration) float64 {
	requests := s.fromPeers(now)
	if !s.hasTold {
		return requests
	}
	age := float64(now-s.toldAt) / float64(loadHalfLife)
	return max(requests, float64(max(0, s.told-s.toldOwn))*math.Exp2(-age))
}

// queued returns the prompt tokens that are to be prefilled at the server
// before a new request.
func (s *server) queued(now time.Duration, deferred bool) float64 {
	tokens := s.ownTokens.before(deferred)
	for _, l := range s.peers {
		if now-l.at < peerLife {
			tokens += l.tokens.before(deferred)
		}
	}
	return tokens
}

// load returns the requests at the server now.
func (s *server) load(now time.Duration) float64 { return float64(s.own) + s.others(now) }
