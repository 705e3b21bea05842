package gateway

import (
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/serverlimit"
)

// Sources of a change of a server's limit.
const (
	// limitFromAnswer: the server's answer to this gateway.
	limitFromAnswer = "answer"
	// limitFromPeer: the heartbeat of another gateway.
	limitFromPeer = "peer"
)

// observeLimit records what the answer to an attempt that was sent at sentAt says
// about the limit of its server.
func (q *request) observeLimit(server fleet.Server, sentAt time.Duration, response ResponseMeta) {
	if response.LimitMalformed {
		q.g.log.Write(logevent.ServerLimitMalformed(server.ID, q.service.name))
		return
	}
	change, changed := q.service.observeLimit(q.g.now(), server, sentAt, response.Limit)
	if changed {
		q.g.logLimitChange(q.service.name, change, limitFromAnswer)
	}
}

// mergeLimits records the limits that another gateway reports in a heartbeat.
func (g *Gateway) mergeLimits(s *service, h *peerv1.Heartbeat) {
	for _, l := range h.GetServerLimits() {
		change, changed := s.mergeLimit(g.now(), serverlimit.Report{
			Server:    serverlimit.Server{ID: l.GetBackendServer(), StartedUnixMs: l.GetStartedUnixMs()},
			Statement: serverlimit.Statement{Rate: l.GetRate(), Limited: l.GetLimited()},
			Age:       time.Duration(l.GetAgeMs()) * time.Millisecond,
		})
		if changed {
			g.logLimitChange(s.name, change, limitFromPeer)
		}
	}
}

func limitsToProto(reports []serverlimit.Report) []*peerv1.ServerLimit {
	messages := make([]*peerv1.ServerLimit, 0, len(reports))
	for _, r := range reports {
		messages = append(messages, &peerv1.ServerLimit{
			BackendServer: r.ID, StartedUnixMs: r.StartedUnixMs, Limited: r.Limited, Rate: r.Rate, AgeMs: r.Age.Milliseconds(),
		})
	}
	return messages
}

// logLimitChange logs that a server's limit has changed.
func (g *Gateway) logLimitChange(service string, c serverlimit.Change, source string) {
	g.log.Write(logevent.ServerLimitChanged(logevent.ServerLimit{
		Server: c.ServerID, Service: service, Source: source, Age: c.Age,
		Limited: c.After.Limited, Rate: c.After.Rate, RateBefore: c.Before.Rate,
		Share: c.Share, Gateways: c.Gateways,
	}))
}

// startOf returns the start of a server as the limits name it.
func startOf(server fleet.Server) serverlimit.Server {
	return serverlimit.Server{ID: server.ID, StartedUnixMs: server.StartedUnixMs}
}

// startsOf returns the starts of servers.
func startsOf(servers []fleet.Server) []serverlimit.Server {
	starts := make([]serverlimit.Server, 0, len(servers))
	for _, server := range servers {
		starts = append(starts, startOf(server))
	}
	return starts
}

// The following methods forward to the limits under the service's lock.

func (s *service) observeLimit(now time.Duration, server fleet.Server, sentAt time.Duration, limit serverlimit.Statement) (serverlimit.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Observe(now, startOf(server), sentAt, limit)
}

// mergeLimit ignores servers that are not registered for the service, and earlier
// starts of those that are. Gateways of an earlier version do not name the start.
func (s *service) mergeLimit(now time.Duration, r serverlimit.Report) (serverlimit.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, registered := s.find(r.ID)
	if r.StartedUnixMs == 0 {
		r.StartedUnixMs = server.StartedUnixMs
	}
	if !registered || r.StartedUnixMs < server.StartedUnixMs {
		return serverlimit.Change{}, false
	}
	return s.limits.Merge(now, r)
}

func (s *service) limitReports(now time.Duration) []serverlimit.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Reports(now)
}

func (s *service) setGateways(now time.Duration, names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.SetGateways(now, names)
}

func (s *service) isLimited(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Limited(server)
}
