package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
)

// shutReason is one reason for a gate to take no new work.
type shutReason int

const (
	// shutByConfig: operators want the server drained, or removed it.
	shutByConfig shutReason = iota
	// shutByLeaving: the agent is stopping.
	shutByLeaving
	// shutByOrder: the engine is being changed.
	shutByOrder
	// shutByNotice: the server's owner has said that it is going to leave.
	shutByNotice
	// shutByList: the platform lists the instance as leaving.
	shutByList
	shutReasons
)

// server is one backend server behind the agent, with its gate.
type server struct {
	name string
	// incarnation of the agent.
	incarnation uint64

	gate     *gate
	runner   runner
	schedule *schedule
	// ledger of a plain server, nil for an engine.
	ledger *ledger.Writer
	// onChange is called when the gate opens or closes; it must not block.
	onChange func()
	// stop ends the loops that belong to the server.
	stop context.CancelFunc

	mu       sync.Mutex
	config   *configv1.BackendServer
	shutBy   [shutReasons]bool
	observed *enginev1.State
	// unread is the number of reads of the state in a row without an answer.
	unread int
}

func newServer(config *configv1.BackendServer, kind configv1.ServiceKind, g *gate, r runner) *server {
	return &server{
		name:     config.GetName(),
		config:   config,
		gate:     g,
		runner:   r,
		schedule: newSchedule(config, kind),
		stop:     func() {},
	}
}

// shut closes the gate for a reason; it opens again once no reason is left.
func (s *server) shut(reason shutReason) { s.setShut(reason, true) }

// reopen takes back shut.
func (s *server) reopen(reason shutReason) { s.setShut(reason, false) }

func (s *server) setShut(reason shutReason, shut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.isShut()
	s.shutBy[reason] = shut
	s.gate.setClosed(s.isShut())
	s.schedule.setClosed(s.isShut())
	if s.isShut() != was && s.onChange != nil {
		s.onChange()
	}
}

// isShut is for callers that hold the lock.
func (s *server) isShut() bool {
	return slices.Contains(s.shutBy[:], true)
}

// submit takes an attempt and runs it in a goroutine of its own.
func (s *server) submit(sender peerrpc.FrameSender, submit *peerv1.Submit) {
	deadline := time.Now().Add(time.Duration(submit.GetRemainingMs()) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	out := newEmitter(ctx, sender, submit, s.load)
	verdict, refusal := s.gate.admit(submit, deadline, cancel)
	if verdict != admitted {
		cancel()
		if verdict == refused {
			go s.turnAway(submit, out, refusal)
		}
		return
	}
	go func() {
		defer cancel()
		defer s.gate.finish(submit.GetAttemptId())
		s.run(ctx, submit, out)
	}()
}

func (s *server) run(ctx context.Context, submit *peerv1.Submit, out *emitter) {
	if s.ledger != nil && !submit.GetIdempotent() {
		s.runOnce(ctx, submit, out)
		return
	}
	s.runQueued(ctx, submit, out)
}

// runQueued waits for the attempt's turn and passes it on.
func (s *server) runQueued(ctx context.Context, submit *peerv1.Submit, out *emitter) {
	deadline, _ := ctx.Deadline()
	place, refusal := s.schedule.arrive(submit, deadline)
	if place == nil {
		s.gate.attempts.withdraw(submit.GetAttemptId())
		out.refuse(refusal)
		return
	}
	defer place.end()
	if refusal, ok := place.wait(ctx); !ok {
		s.gate.attempts.withdraw(submit.GetAttemptId())
		out.refuse(refusal)
		return
	}
	if refusal, ok := s.gate.start(submit.GetAttemptId()); !ok {
		out.refuse(refusal)
		return
	}
	out.turn = place
	submit.Priority = int32(place.priority)
	out.started()
	if out.capture != nil {
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), out.remaining()+recordGrace)
		defer cancel()
		ctx = late
	}
	s.runner.run(ctx, submit, out)
}

// load returns the fresh state of the server as the agent sees it.
func (s *server) load() *peerv1.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := &peerv1.Load{
		BackendServer: s.name,
		Incarnation:   s.incarnation,
		Role:          s.role(),
		ModelVersion:  s.observed.GetModelVersion(),
		State:         s.state(),
	}
	s.schedule.fill(load)
	return load
}

// role returns the role that the engine was last seen in, or the configured
// one. It is for callers that hold the lock.
func (s *server) role() configv1.Role {
	if s.observed != nil {
		return s.observed.GetRole()
	}
	return s.config.GetRole()
}

// state is for callers that hold the lock.
func (s *server) state() peerv1.ServerState {
	switch {
	case s.unread >= maxUnread:
		return peerv1.ServerState_SERVER_STATE_DOWN
	case s.shutBy[shutByOrder]:
		return peerv1.ServerState_SERVER_STATE_CHANGING
	case s.isShut():
		return peerv1.ServerState_SERVER_STATE_DRAINING
	}
	return peerv1.ServerState_SERVER_STATE_SERVING
}

// configure takes over a changed configuration of the same server.
func (s *server) configure(config *configv1.BackendServer) {
	s.mu.Lock()
	s.config = config
	s.mu.Unlock()
	s.setShut(shutByConfig, config.GetDrain())
}

// observe takes in what the engine was seen to serve.
func (s *server) observe(state *enginev1.State) {
	s.mu.Lock()
	if s.unread >= maxUnread && s.onChange != nil {
		s.onChange()
	}
	s.observed, s.unread = state, 0
	s.mu.Unlock()
	s.setShut(shutByNotice, state.GetLeaving())
}

// miss takes in that the engine did not answer.
func (s *server) miss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unread++
	if s.unread == maxUnread && s.onChange != nil {
		s.onChange()
	}
}

func (s *server) service() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.GetService()
}

func (s *server) checksFencing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.GetChecksFencing()
}
