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

// closeReason is a reason for closing a gate. A gate is open if no reason
// applies.
type closeReason int

const (
	// closedByConfig: the configuration drains the server, or no longer contains
	// it.
	closedByConfig closeReason = iota
	// closedByShutdown: the agent is stopping.
	closedByShutdown
	// closedByOrder: the reconciler is changing the engine.
	closedByOrder
	// closedByNotice: the server's owner has announced that it will leave.
	closedByNotice
	// closedByList: the platform lists the instance as leaving.
	closedByList
	numCloseReasons
)

// server is one backend server of the agent, with its gate.
type server struct {
	name string
	// incarnation of the agent.
	incarnation uint64

	gate     *gate
	runner   runner
	schedule *schedule
	// ledger of a plain server; nil for an engine.
	ledger *ledger.Writer
	// onChange is called when the gate opens or closes, or the engine goes down
	// or recovers; it must not block.
	onChange func()
	// stop ends the server's background loops.
	stop context.CancelFunc

	mu          sync.Mutex
	config      *configv1.BackendServer
	closedBy    [numCloseReasons]bool
	engineState *enginev1.State
	// failedReads is the number of consecutive failed reads of the engine's
	// state.
	failedReads int
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

// closeGate closes the gate for a reason. It opens again once no reason is
// left.
func (s *server) closeGate(reason closeReason) { s.setClosed(reason, true) }

// openGate withdraws a reason for closing the gate.
func (s *server) openGate(reason closeReason) { s.setClosed(reason, false) }

func (s *server) setClosed(reason closeReason, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasClosed := s.isClosed()
	s.closedBy[reason] = closed
	s.gate.setClosed(s.isClosed())
	s.schedule.setClosed(s.isClosed())
	if s.isClosed() != wasClosed && s.onChange != nil {
		s.onChange()
	}
}

// isClosed reports whether the gate is closed. The caller holds s.mu.
func (s *server) isClosed() bool {
	return slices.Contains(s.closedBy[:], true)
}

// submit admits an attempt and executes it in a new goroutine.
func (s *server) submit(sender peerrpc.FrameSender, submit *peerv1.Submit) {
	deadline := time.Now().Add(time.Duration(submit.GetRemainingMs()) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	out := newEmitter(ctx, sender, submit, s.load)
	verdict, refusal := s.gate.admit(submit, deadline, cancel)
	if verdict != admitted {
		cancel()
		if verdict == refused {
			go s.refuseOrReplay(submit, out, refusal)
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
		s.runRecorded(ctx, submit, out)
		return
	}
	s.runQueued(ctx, submit, out)
}

// runQueued waits until the schedule starts the attempt, and executes it.
func (s *server) runQueued(ctx context.Context, submit *peerv1.Submit, out *emitter) {
	deadline, _ := ctx.Deadline()
	slot, refusal := s.schedule.enqueue(submit, deadline)
	if slot == nil {
		s.gate.attempts.withdraw(submit.GetAttemptId())
		out.refuse(refusal)
		return
	}
	defer slot.end()
	if refusal, ok := slot.wait(ctx); !ok {
		s.gate.attempts.withdraw(submit.GetAttemptId())
		out.refuse(refusal)
		return
	}
	if refusal, ok := s.gate.start(submit.GetAttemptId()); !ok {
		out.refuse(refusal)
		return
	}
	out.slot = slot
	submit.Priority = int32(slot.priority)
	out.started()
	if out.capture != nil {
		// A recorded call is not cancelled, so that its response can be replayed.
		recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), out.remaining()+recordGrace)
		defer cancel()
		ctx = recordCtx
	}
	s.runner.run(ctx, submit, out)
}

// load returns the current load report of the server, as the agent sees it.
func (s *server) load() *peerv1.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := &peerv1.Load{
		BackendServer: s.name,
		Incarnation:   s.incarnation,
		Role:          s.role(),
		ModelVersion:  s.engineState.GetModelVersion(),
		State:         s.state(),
	}
	s.schedule.fillLoad(load)
	return load
}

// role returns the engine's last known role, or else the configured one. The
// caller holds s.mu.
func (s *server) role() configv1.Role {
	if s.engineState != nil {
		return s.engineState.GetRole()
	}
	return s.config.GetRole()
}

// state returns the server's state. The caller holds s.mu.
func (s *server) state() peerv1.ServerState {
	switch {
	case s.failedReads >= maxFailedReads:
		return peerv1.ServerState_SERVER_STATE_DOWN
	case s.closedBy[closedByOrder]:
		return peerv1.ServerState_SERVER_STATE_CHANGING
	case s.isClosed():
		return peerv1.ServerState_SERVER_STATE_DRAINING
	}
	return peerv1.ServerState_SERVER_STATE_SERVING
}

// configure applies a changed configuration of the same server.
func (s *server) configure(config *configv1.BackendServer) {
	s.mu.Lock()
	s.config = config
	s.mu.Unlock()
	s.setClosed(closedByConfig, config.GetDrain())
}

// recordState records the engine's state as read from it.
func (s *server) recordState(state *enginev1.State) {
	s.mu.Lock()
	if s.failedReads >= maxFailedReads && s.onChange != nil {
		s.onChange()
	}
	s.engineState, s.failedReads = state, 0
	s.mu.Unlock()
	s.setClosed(closedByNotice, state.GetLeaving())
}

// recordReadFailure records that the engine's state could not be read.
func (s *server) recordReadFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedReads++
	if s.failedReads == maxFailedReads && s.onChange != nil {
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
