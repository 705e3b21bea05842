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

// Errors of a response that ended with its connection, and whose server has ended, or is not
// known to have outlived it.
var (
	errServerEnded    = errors.New("end of the connection of a server that has ended")
	errEndUnconfirmed = errors.New("end of the connection of a server that may have ended")
)

const (
	// confirmEndTimeout bounds the question to a server whether it has outlived its
	// response. The caller has all that came and waits for the end only.
	confirmEndTimeout = time.Second
	// settleTime is the time within which all connections of a process that ends are
	// closed.
	settleTime = 50 * time.Millisecond
)

// confirmEnd returns an error if a response that was read to its end may have been cut.
func (q *request) confirmEnd(ctx context.Context, exchange *upstream.Exchange) error {
	if exchange.Framing() != upstream.FramingClose {
		return nil
	}
	evidence := q.evidenceOfEnd(ctx, exchange)
	complete := bodyend.Complete(evidence)
	q.g.metrics.unframedEnds.WithLabelValues(q.service.name, evidence.Server.String()).Inc()
	q.g.log.Write(logevent.AnswerEndedWithConnection(logevent.EndOfConnection{
		RequestID: q.meta.ID, Service: q.service.name, Server: q.server.ID, State: evidence.Server.String(),
		Open: evidence.Open, Closed: evidence.Closed, Complete: complete,
	}))
	switch {
	case complete:
		return nil
	case evidence.Server == bodyend.Ended:
		return errServerEnded
	default:
		return errEndUnconfirmed
	}
}

// evidenceOfEnd asks the server for its state, and then looks at other connections to it.
func (q *request) evidenceOfEnd(ctx context.Context, exchange *upstream.Exchange) bodyend.Evidence {
	ctx, cancel := context.WithTimeout(ctx, confirmEndTimeout)
	defer cancel()
	state := stateAfterEnd(q.g.serverState(ctx, q.service, q.server))
	if state == bodyend.Ended {
		time.Sleep(settleTime)
	}
	open, closed := exchange.OtherConnections()
	return bodyend.Evidence{Server: state, Open: open, Closed: closed}
}

// stateAfterEnd translates the state of a server.
func stateAfterEnd(state serverState) bodyend.Server {
	switch {
	case state.closes:
		return bodyend.Unclear
	case state.check == poison.CheckEnded:
		return bodyend.Ended
	case state.check == poison.CheckAlive && state.startConfirmed:
		return bodyend.SameStart
	case state.check == poison.CheckAlive:
		return bodyend.SameID
	case state.listening:
		return bodyend.Listening
	default:
		return bodyend.Unclear
	}
}
