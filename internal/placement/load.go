package placement

import (
	"math"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// peerLoad is the load that another gateway reported for a server.
type peerLoad struct {
	requests   int
	work       QueuedWork
	receivedAt time.Duration
}

// peerLoadTTL is how long a load reported by another gateway counts.
const peerLoadTTL = 2 * time.Second

// GatewayLoad is the load that one gateway has put on one server.
type GatewayLoad struct {
	ServerID string
	Requests int
	// Work is the prefill work that is not done yet.
	Work QueuedWork
}

// OwnLoads returns the load that this gateway has put on each server, to be
// reported to other gateways. It includes prompts that this gateway placed for
// others and leaves out the work of coordinated sends, which the coordinator
// reports.
func (t *Table) OwnLoads(now time.Duration) []GatewayLoad {
	var loads []GatewayLoad
	for _, s := range t.servers {
		if s.ownRequests > 0 {
			loads = append(loads, GatewayLoad{ServerID: s.ID, Requests: s.ownRequests, Work: s.uncoordinatedWork(now, t.rateOf(s)/t.currentFactor(now, s))})
		}
	}
	return loads
}

// uncoordinatedWork returns the work of the prompts that this gateway placed, given
// the server's prefill rate in work per second.
func (s *server) uncoordinatedWork(now time.Duration, rate float64) QueuedWork {
	work := s.queue.work(now, rate, false)
	coordinated := s.queue.work(now, rate, true)
	work.InService -= coordinated.InService
	for i, waiting := range coordinated.Waiting {
		work.Waiting[i] -= waiting
	}
	return work
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
			s.peers[peer] = peerLoad{requests: l.Requests, work: l.Work, receivedAt: now}
		}
	}
}

// OwnPrefillLoads returns the part of OwnLoads that concerns prefill engines.
func (t *Table) OwnPrefillLoads(now time.Duration) []GatewayLoad {
	var loads []GatewayLoad
	for _, l := range t.OwnLoads(now) {
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

// backlog returns the prefill work that an engine does before a new prompt of
// the given priority, and the work that the prompt delays, given the engine's
// prefill rate in work per second. The work that other gateways have reported as
// waiting is taken as constant, because they keep sending.
func (s *server) backlog(now time.Duration, rate float64, priority int) (ahead, behind float64) {
	if len(s.queue.prompts) == 0 && len(s.peers) == 0 {
		return 0, 0
	}
	for _, l := range s.peers {
		if now-l.receivedAt < peerLoadTTL {
			work := l.work
			work.InService = remainingWork(work.InService, now-l.receivedAt, rate)
			ahead += work.ahead(priority)
			behind += work.behind(priority)
		}
	}
	// The coordinator's report includes the prompts that it placed for this
	// gateway. They are counted in the own queue already.
	coordinated := s.queue.work(now, rate, true)
	own := s.queue.work(now, rate, false)
	ahead = own.ahead(priority) + max(0, ahead-coordinated.ahead(priority))
	behind = own.behind(priority) + max(0, behind-coordinated.behind(priority))
	return ahead, behind
}

// backlogAhead returns the first result of backlog.
func (s *server) backlogAhead(now time.Duration, rate float64, priority int) float64 {
	ahead, _ := s.backlog(now, rate, priority)
	return ahead
}

// Requests returns the estimated number of requests at a server, 0 for an unknown one.
func (t *Table) Requests(now time.Duration, id string) float64 {
	if s := t.find(id); s != nil {
		return s.requests(now)
	}
	return 0
}

// requests returns the estimated number of requests at the server.
func (s *server) requests(now time.Duration) float64 {
	return float64(s.ownRequests) + s.otherRequests(now)
}
