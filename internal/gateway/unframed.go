package gateway

import (
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

// logServerAfterEnd logs whether a server still runs after an answer that its connection's
// end delimits, since a server that ends closes its connections too. It returns at once.
func (q *request) logServerAfterEnd(server fleet.Server, exchange *upstream.Exchange) {
	if exchange.Framing() != upstream.FramingClose {
		return
	}
	id, s := q.meta.ID, q.service
	go func() {
		state := q.g.serverState(s, server)
		q.g.log.Write(logevent.AnswerEndedWithConnection(id, s.name, server.ID, state.String()))
	}()
}
