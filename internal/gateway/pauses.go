package gateway

import (
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// observePause records the pause that a server asks for when it refuses a request. The
// caller has made sure that the answer is the server's own. requestID is empty for a
// call of the gateway's own.
func (g *Gateway) observePause(server fleet.Server, kind answerKind, requestID string, response ResponseMeta) {
	if response.PauseMalformed {
		g.log.Write(logevent.ServerPauseMalformed(server.ID, server.Service))
		return
	}
	if response.Pause == 0 {
		return
	}
	g.metrics.pauses.WithLabelValues(server.Service).Inc()
	g.log.Write(logevent.ServerPauses(logevent.Pause{
		Server: server.ID, StartedUnixMs: server.StartedUnixMs, Service: server.Service,
		AnswerTo: string(kind), RequestID: requestID, Asked: response.Pause,
	}))
}
