package gateway

import (
	"errors"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/drain"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

// errServerPaused is returned for a call of the gateway's own that is not made because
// its server has asked for a pause.
var errServerPaused = errors.New("the server has asked for a pause")

// observePause records the pause that a server asks for when it refuses a request. The
// caller has made sure that the answer is the server's own. requestID is empty for a
// call of the gateway's own.
func (g *Gateway) observePause(s *service, server fleet.Server, kind answerKind, requestID string, response ResponseMeta) {
	if response.PauseMalformed {
		g.log.Write(logevent.ServerPauseMalformed(server.ID, server.Service))
		return
	}
	if response.Pause == 0 {
		return
	}
	now := g.now()
	until := s.pause(now, server, response.Pause)
	g.metrics.pauses.WithLabelValues(server.Service).Inc()
	g.log.Write(logevent.ServerPauses(logevent.Pause{
		Server: server.ID, StartedUnixMs: server.StartedUnixMs, Service: server.Service,
		AnswerTo: string(kind), RequestID: requestID, Asked: response.Pause, Left: until - now,
	}))
}

// permitRequest returns the function that permits a caller's request to a server at the
// moment of the send: not if the caller has left, or if the server has stated since the
// choice that it leaves, or asked for a pause, or if another configuration is in force
// since, under which the request's key must be looked up again.
func (q *request) permitRequest(server fleet.Server) func() bool {
	return func() bool {
		q.left = callerLeft(q.r)
		return !q.left && q.isAuthorized() && q.stopAction() == drain.Send && q.service.mayReceive(q.g.now(), server.Key())
	}
}

// withdrawn is the outcome of an attempt that Permit has prevented. Unless its caller has
// left, the request chooses a server again.
func (q *request) withdrawn() outcome {
	q.outstanding = ""
	if q.left {
		return outcome{result: callerDisconnected, reason: reasonLeftBeforeSend, unsent: true}
	}
	return outcome{result: notExecuted, reason: upstream.ErrNotPermitted.Error(), serverUntried: true, unsent: true}
}

// mayCall reports whether a call of the gateway's own may be made to a server, and counts
// it against the server's limit.
func (g *Gateway) mayCall(server fleet.Server) bool {
	s := g.state.Load().services[server.Service]
	return s == nil || s.mayCall(g.now(), server.ID)
}

// The following methods forward to the limits under the service's lock.

func (s *service) pause(now time.Duration, server fleet.Server, asked time.Duration) (until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Pause(now, startOf(server), asked)
}

func (s *service) accepted(server fleet.Server, sentAt time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Accepted(startOf(server), sentAt)
}

func (s *service) isPaused(now time.Duration, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Paused(now, id)
}

// mayReceive reports whether a caller's request that was chosen for a server may be sent
// to it now.
func (s *service) mayReceive(now time.Duration, server fleet.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	registered, ok := s.find(server.ID)
	return ok && registered.Key() == server && !registered.Leaving && s.limits.Permit(now, server.ID)
}

func (s *service) mayCall(now time.Duration, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.Paused(now, id) {
		return false
	}
	s.limits.Charge(now, id)
	return true
}
