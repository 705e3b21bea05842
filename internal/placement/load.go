package placement

import (
	"math"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// queue is the work of prompts that are to be prefilled, in tokens without a
// context.
type queue struct {
	// urgent tokens go first; deferred ones are of requests that come late
	// anyway.
	urgent, deferred float64
}

// add counts work in, or out if negative.
func (q *queue) add(tokens float64, deferred bool) {
	if deferred {
		q.deferred = max(0, q.deferred+tokens)
		return
	}
	q.urgent = max(0, q.urgent+tokens)
}

// before returns the work that goes before a new request.
func (q queue) before(deferred bool) float64 {
	if deferred {
		return q.urgent + q.deferred
	}
	return q.urgent
}

// peerLoad is what another gateway has at a server.
type peerLoad struct {
	requests int
	work     queue
	at       time.Duration
}

// peerLife is how long the load that another gateway told counts.
const peerLife = 2 * time.Second

// GatewayLoad is what a gateway has at one server.
type GatewayLoad struct {
	ServerID string
	Requests int
	// UrgentWork and DeferredWork of prompts is not done yet, in tokens
	// without a context.
	UrgentWork, DeferredWork int
}

// OwnLoads returns what this gateway has at each server, to be told to
// others. The work of sends that a coordinator has placed is told by it.
func (t *Table) OwnLoads() []GatewayLoad {
	var loads []GatewayLoad
	for _, s := range t.servers {
		if s.own > 0 {
			loads = append(loads, GatewayLoad{
				ServerID: s.ID, Requests: s.own,
				UrgentWork: int(s.ownWork.urgent - s.coordinated.urgent), DeferredWork: int(s.ownWork.deferred - s.coordinated.deferred),
			})
		}
	}
	return loads
}

// SetPeerLoads takes in what another gateway has at the servers. It has nothing
// at those that it does not name.
func (t *Table) SetPeerLoads(now time.Duration, peer string, loads []GatewayLoad) {
	for _, s := range t.servers {
		delete(s.peers, peer)
	}
	t.addPeerLoads(now, peer, loads)
}

func (t *Table) addPeerLoads(now time.Duration, peer string, loads []GatewayLoad) {
	for _, l := range loads {
		if s := t.find(l.ServerID); s != nil {
			work := queue{urgent: float64(l.UrgentWork), deferred: float64(l.DeferredWork)}
			s.peers[peer] = peerLoad{requests: l.Requests, work: work, at: now}
		}
	}
}

// OwnPrefillLoads returns what this gateway knows to wait at the prefill engines
// by its own sends, and by those that it has placed for others.
func (t *Table) OwnPrefillLoads() []GatewayLoad {
	var loads []GatewayLoad
	for _, l := range t.OwnLoads() {
		if s := t.find(l.ServerID); s.Stage == fleet.StagePrefill {
			loads = append(loads, l)
		}
	}
	return loads
}

// SetPeerPrefillLoads takes in what another gateway knows to wait at the prefill
// engines, and nothing of other servers.
func (t *Table) SetPeerPrefillLoads(now time.Duration, peer string, loads []GatewayLoad) {
	for _, s := range t.servers {
		if s.Stage == fleet.StagePrefill {
			delete(s.peers, peer)
		}
	}
	t.addPeerLoads(now, peer, loads)
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

// queued returns the work that is to be done at the server before a new
// request, at a rate of work a second. Own sends are done one after the other;
// what others told stands, as they go on sending.
func (s *server) queued(now time.Duration, rate float64, deferred bool) float64 {
	rate /= s.slow(now)
	told := 0.0
	for _, l := range s.peers {
		if now-l.at < peerLife {
			told += l.work.before(deferred)
		}
	}
	// What a coordinator tells has the sends that it placed for this gateway.
	placed := s.coordinated.before(deferred)
	return left(s.ownWork.before(deferred), now-s.workingSince, rate) + max(0, told-placed)
}

// left returns what is left of work after it has been done for a time.
func left(work float64, done time.Duration, rate float64) float64 {
	return max(0, work-rate*done.Seconds())
}

// load returns the requests at the server now.
func (s *server) load(now time.Duration) float64 { return float64(s.own) + s.others(now) }
