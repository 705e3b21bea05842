package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/bodyend"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/poison"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

// errEndUnconfirmed is the error of a response that ended with its connection, and whose
// server is not known to have outlived it.
var errEndUnconfirmed = errors.New("end of the connection of a server that may have ended")

// confirmEndTimeout bounds the question to a server whether it has outlived its response.
// The caller has all that came and waits for the end only.
const confirmEndTimeout = time.Second

// confirmEnd returns an error if a response that was read to its end may have been cut.
func (q *request) confirmEnd(ctx context.Context, exchange *upstream.Exchange) error {
	if exchange.Framing() != upstream.FramingClose {
		return nil
	}
	evidence := q.evidenceOfEnd(ctx)
	complete := bodyend.Complete(evidence)
	q.g.metrics.unframedEnds.WithLabelValues(q.service.name, evidence.Server.String()).Inc()
	q.g.log.Write(logevent.AnswerEndedWithConnection(logevent.EndOfConnection{
		RequestID: q.meta.ID, Service: q.service.name, Server: q.server.ID, State: evidence.Server.String(),
		Open: evidence.Open, Closed: evidence.Closed, Complete: complete,
	}))
	if !complete {
		return errEndUnconfirmed
	}
	return nil
}

// evidenceOfEnd asks the server for its state, and then looks at the idle connections to it.
func (q *request) evidenceOfEnd(ctx context.Context) bodyend.Evidence {
	ctx, cancel := context.WithTimeout(ctx, confirmEndTimeout)
	defer cancel()
	state := q.g.serverState(ctx, q.service, q.server)
	open, closed := q.g.pool.IdleStates(q.server.Key())
	return bodyend.Evidence{Server: stateAfterEnd(state), Open: open, Closed: closed}
}

// stateAfterEnd translates the state of a server.
func stateAfterEnd(state serverState) bodyend.Server {
	switch {
	case state.check == poison.CheckEnded:
		return bodyend.Ended
	case state.check == poison.CheckAlive && state.startConfirmed:
		return bodyend.SameStart
	case state.check == poison.CheckAlive:
		return bodyend.SameID
	case state.unasked:
		return bodyend.Unasked
	default:
		return bodyend.Unclear
	}
}
