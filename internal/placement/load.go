package placement

import (
	"math"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// prefillBacklog is the prefill work waiting at a server, in the unit of
// prefillWork.
type prefillBacklog struct {
	// urgent work is prefilled first. deferred work belongs to requests that
	// miss their first-event budget anyway.
	urgent, deferred float64
}

// add adds work to the backlog, or removes it if negative.
func (b *prefillBacklog) add(work float64, deferred bool) {
	if deferred {
		b.deferred = max(0, b.deferred+work)
		return
	}
	b.urgent = max(0, b.urgent+work)
}

// ahead returns the work that is prefilled before a new request.
func (b prefillBacklog) ahead(deferred bool) float64 {
	if deferred {
		return b.urgent + b.deferred
	}
	return b.urgent
}

// peerLoad is the load that another gateway reported for a server.
type peerLoad struct {
	requests   int
	work       prefillBacklog
	receivedAt time.Duration
}

// peerLoadTTL is how long a load reported by another gateway counts.
const peerLoadTTL = 2 * time.Second

// GatewayLoad is the load that one gateway has put on one server.
type GatewayLoad struct {
	ServerID string
	Requests int
	// UrgentWork and DeferredWork are the prefill work not done yet, in the
	// work of one token without context.
	UrgentWork, DeferredWork int
}

// OwnLoads returns the load that this gateway has put on each server, to be
// reported to other gateways. It includes prompts that this gateway placed for
// others and leaves out the work of coordinated sends, which the coordinator
// reports.
func (t *Table) OwnLoads() []GatewayLoad {
	var loads []GatewayLoad
	for _, s := range t.servers {
		if s.ownRequests > 0 {
			loads = append(loads, GatewayLoad{
				ServerID: s.ID, Requests: s.ownRequests,
				UrgentWork: int(s.ownBacklog.urgent - s.coordinatedBacklog.urgent), DeferredWork: int(s.ownBacklog.deferred - s.coordinatedBacklog.deferred),
			})
		}
	}
	return loads
}

// SetPeerLoads replaces the loads reported by another gateway. Servers that are
// not listed have no load from it.
func (t *Table) SetPeerLoads(now time.Duration, peer string, loads []GatewayLoad) {
	for _, s := range t.servers {
		delete(s.peers, peer)
	}
	t.addPeerLoads(now, peer, loads)
}

// addPeerLoads stores the loads reported by another gateway. Unknown servers
// are ignored.
func (t *Table) addPeerLoads(now time.Duration, peer string, loads []GatewayLoad) {
	for _, l := range loads {
		if s := t.find(l.ServerID); s != nil {
			work := prefillBacklog{urgent: float64(l.UrgentWork), deferred: float64(l.DeferredWork)}
			s.peers[peer] = peerLoad{requests: l.Requests, work: work, receivedAt: now}
		}
	}
}

// OwnPrefillLoads returns the part of OwnLoads that concerns prefill engines.
func (t *Table) OwnPrefillLoads() []GatewayLoad {
	var loads []GatewayLoad
	for _, l := range t.OwnLoads() {
		if s := t.find(l.ServerID); s.Stage == fleet.StagePrefill {
			loads = append(loads, l)
		}
	}
	return loads
}

// SetPeerPrefillLoads replaces the loads of prefill engines reported by another
// gateway and keeps those of other servers.
func (t *Table) SetPeerPrefillLoads(now time.Duration, peer string, loads []GatewayLoad) {
	for _, s := range t.servers {
		if s.Stage == fleet.StagePrefill {
			delete(s.peers, peer)
		}
	}
	t.addPeerLoads(now, peer, loads)
}

// peerRequests returns the number of requests that other gateways have
// reported.
func (s *server) peerRequests(now time.Duration) float64 {
	requests := 0
	for _, l := range s.peers {
		if now-l.receivedAt < peerLoadTTL {
			requests += l.requests
		}
	}
	return float64(requests)
}

// otherRequests estimates the requests of other gateways at the server: the
// larger of what these gateways have reported and of what the server has
// reported beyond this gateway's own requests, which decays with the age of the
// report.
func (s *server) otherRequests(now time.Duration) float64 {
	requests := s.peerRequests(now)
	if !s.hasReport {
		return requests
	}
	age := float64(now-s.reportedAt) / float64(loadHalfLife)
	return max(requests, float64(max(0, s.reportedRequests-s.ownAtReport))*math.Exp2(-age))
}

// backlogAhead returns the prefill work ahead of a new request, given the
// server's prefill rate in work per second. The gateway's own backlog shrinks
// as the server works on it. The backlog reported by other gateways is taken as
// constant, because they keep sending.
func (s *server) backlogAhead(now time.Duration, rate float64, deferred bool) float64 {
	rate /= s.currentSlowdown(now)
	peerWork := 0.0
	for _, l := range s.peers {
		if now-l.receivedAt < peerLoadTTL {
			peerWork += l.work.ahead(deferred)
		}
	}
	// The coordinator's report includes the sends that it placed for this
	// gateway. They are counted in ownBacklog already.
	coordinated := s.coordinatedBacklog.ahead(deferred)
	return remainingWork(s.ownBacklog.ahead(deferred), now-s.backlogSince, rate) + max(0, peerWork-coordinated)
}

// remainingWork returns the work left after the given time at the given rate.
func remainingWork(work float64, elapsed time.Duration, rate float64) float64 {
	return max(0, work-rate*elapsed.Seconds())
}

// requests returns the estimated number of requests at the server.
func (s *server) requests(now time.Duration) float64 {
	return float64(s.ownRequests) + s.otherRequests(now)
}
