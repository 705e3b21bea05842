package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

// attemptShards is the number of locks among which attempts are distributed.
const attemptShards = 16

// attemptTable holds the state of all attempts known to the agent. It is the
// only authority that may state that an attempt was not executed.
type attemptTable struct {
	shards [attemptShards]attemptShard
}

// attemptShard holds the attempts whose IDs hash to it.
type attemptShard struct {
	mu      sync.Mutex
	gate    *request.Gate
	cancels map[string]context.CancelFunc
}

func newAttemptTable(incarnation uint64) *attemptTable {
	a := &attemptTable{}
	for i := range a.shards {
		a.shards[i].gate = request.NewGate(request.GateOptions{Incarnation: incarnation})
		a.shards[i].cancels = make(map[string]context.CancelFunc)
	}
	return a
}

// apply applies one event to its attempt, and cancels the attempt if the event
// withdraws or cancels it.
func (a *attemptTable) apply(ev request.GateEvent) request.GateResult {
	s := &a.shards[xxhash.Sum64String(ev.AttemptID)%attemptShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.gate.Apply(ev, time.Now())
	stop := out.Cancel || out.State == request.GateWithdrawn
	if cancel, ok := s.cancels[ev.AttemptID]; ok && stop {
		cancel()
	}
	return out
}

// submit queues an attempt. cancel is called when the attempt is withdrawn or
// cancelled later.
func (a *attemptTable) submit(ev request.GateEvent, cancel context.CancelFunc) request.GateResult {
	s := &a.shards[xxhash.Sum64String(ev.AttemptID)%attemptShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.gate.Apply(ev, time.Now())
	if out.Accepted {
		s.cancels[ev.AttemptID] = cancel
	}
	return out
}

// end records that an attempt has finished. An attempt that is still queued is
// withdrawn, so that it is never executed.
func (a *attemptTable) end(id string) {
	if out := a.apply(request.GateEvent{Kind: request.GateFinish, AttemptID: id}); out.State == request.GateQueued {
		a.withdraw(id)
	}
	s := &a.shards[xxhash.Sum64String(id)%attemptShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, id)
}

// withdraw prevents the execution of an attempt that has not started at this
// agent.
func (a *attemptTable) withdraw(id string) {
	a.apply(request.GateEvent{Kind: request.GateWithdraw, AttemptID: id})
}

// handleWithdraw processes a peer's withdrawal.
func (a *attemptTable) handleWithdraw(w *peerv1.Withdraw) *peerv1.WithdrawReply {
	out := a.apply(request.GateEvent{
		Kind:        request.GateWithdraw,
		AttemptID:   w.GetAttemptId(),
		Incarnation: w.GetAgentIncarnation(),
		Cancel:      w.GetCancel(),
	})
	return &peerv1.WithdrawReply{AttemptId: w.GetAttemptId(), State: request.WithdrawState(out.State)}
}

// gate admits attempts to one backend server while it is open. The state of each
// attempt is held by attemptTable (request.Gate), and the order in which admitted
// attempts start is decided by schedule (admission.Gate).
type gate struct {
	attempts *attemptTable
	active   sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

func newGate(attempts *attemptTable) *gate { return &gate{attempts: attempts} }

// gateVerdict is the result of admitting an attempt.
type gateVerdict int

const (
	admitted gateVerdict = iota + 1
	// refused attempts are answered with the failure.
	refused
	// dropped attempts are duplicates of a known attempt; they get no answer.
	dropped
)

// admit queues a new attempt, unless it is a duplicate, the attempt table
// refuses it or the gate is closed.
func (g *gate) admit(submit *peerv1.Submit, deadline time.Time, cancel context.CancelFunc) (gateVerdict, failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.attempts.submit(request.GateEvent{
		Kind:        request.GateSubmit,
		AttemptID:   submit.GetAttemptId(),
		Deadline:    deadline,
		Incarnation: submit.GetAgentIncarnation(),
	}, cancel)
	switch {
	case out.DuplicateAttempt:
		return dropped, failure{}
	case !out.Accepted:
		return refused, gateFailure(out)
	case g.closed:
		g.attempts.end(submit.GetAttemptId())
		return refused, notExecuted(peerv1.RefusalReason_REFUSAL_REASON_LEAVING, "gate closed")
	}
	g.active.Add(1)
	return admitted, failure{}
}

// gateFailure returns the answer to an attempt that the gate refuses.
func gateFailure(out request.GateResult) failure {
	f := notExecuted(out.Reason, "not let through the gate")
	if out.State != request.GateWithdrawn {
		f.ran = peerv1.Ran_RAN_UNKNOWN
	}
	return f
}

// start marks a queued attempt as started, or returns why it must not be
// executed.
func (g *gate) start(id string) (failure, bool) {
	out := g.attempts.apply(request.GateEvent{Kind: request.GateStart, AttemptID: id})
	if out.Accepted {
		return failure{}, true
	}
	return gateFailure(out), false
}

// finish ends an attempt that was admitted.
func (g *gate) finish(id string) {
	g.attempts.end(id)
	g.active.Done()
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}
