package gateway

import (
	"time"

	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/serverlimit"
)

// observeLimit records what the answer to a request that was sent at sentAt says
// about the limit of its server.
func (q *request) observeLimit(server string, sentAt time.Duration, response ResponseMeta) {
	own := response.RequestID == q.meta.ID || response.NotExecuted
	if response.Misdirected || !own {
		return
	}
	if response.LimitMalformed {
		q.g.log.Write(logevent.ServerLimitMalformed(server, q.service.name))
		return
	}
	change, changed := q.service.observeLimit(q.g.now(), server, sentAt, response.Limit)
	if changed {
		q.g.logLimitChange(q.service.name, change, limitFromAnswer)
	}
}

// limitFromAnswer is the source of a limit that a server stated in an answer to
// this gateway.
const limitFromAnswer = "answer"

// logLimitChange logs that a server's limit has changed.
func (g *Gateway) logLimitChange(service string, c serverlimit.Change, source string) {
	g.log.Write(logevent.ServerLimitChanged(logevent.ServerLimit{
		Server: c.ServerID, Service: service, Source: source,
		Limited: c.After.Limited, Rate: c.After.Rate, RateBefore: c.Before.Rate,
	}))
}

func (s *service) observeLimit(now time.Duration, server string, sentAt time.Duration, limit serverlimit.Statement) (serverlimit.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Observe(now, server, sentAt, limit)
}
