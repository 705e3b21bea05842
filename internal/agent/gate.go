package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

// attemptShards is the number of locks that attempts are spread over.
const attemptShards = 16

// attempts is what the agent remembers of all attempts. Only it may say that
// an attempt has not run.
type attempts struct {
	shards [attemptShards]attemptShard
}

// attemptShard holds the attempts whose IDs hash to it.
type attemptShard struct {
	mu      sync.Mutex
	gate    *request.Gate
	cancels map[string]context.CancelFunc
}

func newAttempts(incarnation uint64) *attempts {
	a := &attempts{}
	for i := range a.shards {
		a.shards[i].gate = request.NewGate(request.GateOptions{Incarnation: incarnation})
		a.shards[i].cancels = make(map[string]context.CancelFunc)
	}
	return a
}

// apply takes one event. An attempt that the event withdraws or cancels is
// told so.
func (a *attempts) apply(ev request.GateEvent) request.GateResult {
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

// submit queues an attempt; cancel stops it from then on.
func (a *attempts) submit(ev request.GateEvent, cancel context.CancelFunc) request.GateResult {
	s := &a.shards[xxhash.Sum64String(ev.AttemptID)%attemptShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.gate.Apply(ev, time.Now())
	if out.Accepted {
		s.cancels[ev.AttemptID] = cancel
	}
	return out
}

// end closes an attempt that was queued: it has run to an end, or it never
// will run.
func (a *attempts) end(id string) {
	if out := a.apply(request.GateEvent{Kind: request.GateFinish, AttemptID: id}); out.State == request.GateQueued {
		a.withdraw(id)
	}
	s := &a.shards[xxhash.Sum64String(id)%attemptShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, id)
}

// withdraw keeps an attempt that is here from running.
func (a *attempts) withdraw(id string) {
	a.apply(request.GateEvent{Kind: request.GateWithdraw, AttemptID: id})
}

// answer answers a peer's withdrawal.
func (a *attempts) answer(w *peerv1.Withdraw) *peerv1.WithdrawReply {
	out := a.apply(request.GateEvent{
		Kind:        request.GateWithdraw,
		AttemptID:   w.GetAttemptId(),
		Incarnation: w.GetAgentIncarnation(),
		Cancel:      w.GetCancel(),
	})
	return &peerv1.WithdrawReply{AttemptId: w.GetAttemptId(), State: request.WithdrawState(out.State)}
}

// gate lets attempts through to one backend server.
type gate struct {
	attempts *attempts
	active   sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

func newGate(attempts *attempts) *gate { return &gate{attempts: attempts} }

// gateVerdict is what becomes of a submitted attempt.
type gateVerdict int

const (
	admitted gateVerdict = iota + 1
	// refused attempts get the failure as their answer.
	refused
	// dropped are copies of an attempt that is here; they get no answer.
	dropped
)

// admit queues a new attempt, unless it is known or the gate is closed.
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
		return refused, notRun(peerv1.RefusalReason_REFUSAL_REASON_LEAVING, "gate closed")
	}
	g.active.Add(1)
	return admitted, failure{}
}

// gateFailure is the answer to an attempt that the gate does not let through.
func gateFailure(out request.GateResult) failure {
	f := notRun(out.Reason, "not let through the gate")
	if out.State != request.GateWithdrawn {
		f.ran = peerv1.Ran_RAN_UNKNOWN
	}
	return f
}

// start moves a queued attempt past the gate, or says why it must not run.
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
