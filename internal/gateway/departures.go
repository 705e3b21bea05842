package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/departure"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/poison"
)

// Sources of what a gateway knows of a departure, as metric labels. Logs name the peer.
const (
	departureFromSelf = "own"
	departureFromPeer = "peer"
)

// departures are the departures that servers have stated in their answers. They
// belong to the gateway and not to a service, so that they outlive a configuration
// without the service.
type departures struct {
	mu   sync.Mutex
	book *departure.Book
	// asked are the unclear servers that are being asked whether they leave.
	asked map[fleet.Key]bool
}

// observe records that a server has stated that it leaves. It reports whether this
// was not known.
func (d *departures) observe(now time.Duration, server fleet.Key) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Observe(now, server)
}

// apply updates which servers are registered, and returns them with Leaving set for
// those that have stated that they leave. The unclear ones have to be asked and get
// nothing until then.
func (d *departures) apply(now time.Duration, registered []fleet.Server) (servers, unclear []fleet.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Retain(now, registered)
	servers = slices.Clone(registered)
	for i, s := range servers {
		isUnclear := !s.Leaving && d.book.Unclear(s.Key())
		servers[i].Leaving = s.Leaving || isUnclear || d.book.Leaving(s.Key())
		if isUnclear && !d.asked[s.Key()] {
			d.asked[s.Key()] = true
			unclear = append(unclear, s)
		}
	}
	return servers, unclear
}

// endAsk records that an unclear server was asked. It reports whether the server has
// stated that it leaves.
func (d *departures) endAsk(server fleet.Key) (leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.asked, server)
	d.book.Stays(server)
	return d.book.Leaving(server)
}

// merge records a report of another gateway about a registered server. It reports
// whether this was not known.
func (d *departures) merge(now time.Duration, server fleet.Key, r departure.Report) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Merge(now, server, r)
}

// reports returns what other gateways may not know.
func (d *departures) reports(now time.Duration) []departure.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Reports(now)
}

// observeDeparture records the departure that an answer of a server states. The
// caller has made sure that the answer is the server's own. requestID is empty for
// a call of the gateway's own.
func (g *Gateway) observeDeparture(server fleet.Server, kind answerKind, requestID string, response ResponseMeta) {
	if !response.Leaving || !g.departures.observe(g.now(), server.Key()) {
		return
	}
	g.serverLeaves(server, logevent.Departure{Source: departureFromSelf, AnswerTo: string(kind), RequestID: requestID})
}

// mergeDepartures records the departures that another gateway reports in a heartbeat.
func (g *Gateway) mergeDepartures(s *service, h *peerv1.Heartbeat) {
	for _, message := range h.GetServerDepartures() {
		report := departure.Report{
			ServerID: message.GetBackendServer(), StartedUnixMs: message.GetStartedUnixMs(),
			Age: time.Duration(message.GetAgeMs()) * time.Millisecond,
		}
		server, registered := s.server(report.ServerID)
		if registered && g.departures.merge(g.now(), server.Key(), report) {
			g.serverLeaves(server, logevent.Departure{Source: h.GetSender(), Age: report.Age})
		}
	}
}

func departuresToProto(reports []departure.Report) []*peerv1.ServerDeparture {
	messages := make([]*peerv1.ServerDeparture, 0, len(reports))
	for _, r := range reports {
		messages = append(messages, &peerv1.ServerDeparture{
			BackendServer: r.ServerID, StartedUnixMs: r.StartedUnixMs, AgeMs: r.Age.Milliseconds(),
		})
	}
	return messages
}

// serverLeaves lets a server that has stated that it leaves get nothing new. learned
// is how this gateway learned of it.
func (g *Gateway) serverLeaves(server fleet.Server, learned logevent.Departure) {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	if s := g.state.Load().services[server.Service]; s != nil {
		s.setLeaving(server.Key())
	}
	g.pool.Drop(server.Key())
	source := departureFromSelf
	if learned.Source != departureFromSelf {
		source = departureFromPeer
	}
	g.metrics.departures.WithLabelValues(server.Service, source).Inc()
	learned.Server, learned.StartedUnixMs, learned.Service = server.ID, server.StartedUnixMs, server.Service
	learned.RegisteredLeaving = server.Leaving
	g.log.Write(logevent.ServerLeaves(learned))
}

const (
	// An unclear server is asked at most departureAsks times, departureAskInterval
	// apart, before it is used as any other.
	departureAsks        = 10
	departureAskInterval = 200 * time.Millisecond
)

// askDeparture asks an unclear server for its state, whose answer states whether it
// leaves, and then lets it be used unless it does.
func (g *Gateway) askDeparture(s *service, server fleet.Server) {
	answered := false
	for range departureAsks {
		answered = g.serverState(context.Background(), s, server).check == poison.CheckAlive
		if answered {
			break
		}
		time.Sleep(departureAskInterval)
	}
	leaving := g.departures.endAsk(server.Key())
	g.log.Write(logevent.NextStartAsked(server.ID, server.Service, server.StartedUnixMs, answered, leaving))
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	g.update(g.state.Load().config, g.registered)
}

// setLeaving marks a registered server as leaving.
func (s *service) setLeaving(key fleet.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered = slices.Clone(s.registered)
	for i := range s.registered {
		if s.registered[i].Key() == key {
			s.registered[i].Leaving = true
		}
	}
	s.table.SetServers(s.engine, s.registered)
}

// server returns a registered server.
func (s *service) server(id string) (fleet.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(id)
}

// allLeaving reports whether the service has servers that run requests and all of them
// leave.
func (s *service) allLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := false
	for _, server := range s.registered {
		if server.Stage == fleet.StagePrefill {
			continue
		}
		if !server.Leaving {
			return false
		}
		leaving = true
	}
	return leaving
}
