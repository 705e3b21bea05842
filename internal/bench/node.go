package bench

import (
	"slices"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/admission"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// node is an engine together with the admission gate of its agent.
type node struct {
	sim      *simulation
	index    int
	name     string
	domain   string
	model    *enginemodel.Model
	gate     *admission.Gate
	attempts map[string]*attempt // accepted and not yet ended, by sequence ID
	cacheSeq uint64              // sequence number of the next cache event to read
	// lastReport is the newest load report that has reached the entries.
	lastReport routing.LoadReport

	role    configv1.Role
	down    bool
	drained bool
	failing bool // fails every new attempt
	// targetRole is the role after the current role change.
	targetRole configv1.Role
	// changing is set from the decision to change the role until the change is
	// complete. orderSent is set once the engine has received the order.
	changing   bool
	orderSent  bool
	stateSince time.Duration // time of the last state change
}

// nextEvent returns the time of the engine's next event; a node that is down
// has none.
func (n *node) nextEvent() (time.Duration, bool) {
	if n.down {
		return 0, false
	}
	return n.model.NextEvent()
}

func (n *node) state() peerv1.ServerState {
	switch {
	case n.down:
		return peerv1.ServerState_SERVER_STATE_DOWN
	case n.drained:
		return peerv1.ServerState_SERVER_STATE_DRAINING
	case n.changing:
		return peerv1.ServerState_SERVER_STATE_CHANGING
	}
	return peerv1.ServerState_SERVER_STATE_SERVING
}

// report returns the current load as the agent sees it.
func (n *node) report(now time.Duration) routing.LoadReport {
	load := n.gate.Load(now)
	rep := routing.LoadReport{
		Engine:       n.name,
		AsOf:         now,
		PromptTokens: int64(load.PromptTokens),
		OutputTokens: int64(load.OutputTokens),
		Sequences:    load.Running + load.Waiting,
		Role:         n.role,
		State:        n.state(),
	}
	for i, tokens := range load.PromptTokensByUrgency {
		rep.PromptTokensByUrgency[i] = int64(tokens)
	}
	return rep
}

// submit delivers an attempt to the gate.
func (n *node) submit(now time.Duration, a *attempt) {
	if a.finished || a.ended {
		return
	}
	n.advance(now)
	if n.down {
		n.sim.attemptFailed(now, messageLatency, a, n, peerv1.Ran_RAN_NO)
		return
	}
	if n.failing {
		n.sim.attemptFailed(now, messageLatency, a, n, peerv1.Ran_RAN_UNKNOWN)
		return
	}
	if n.drained || n.changing || !a.acceptedBy(n.role) {
		n.sim.attemptRejected(now, a, n)
		return
	}
	item := n.admissionItem(a)
	if out := n.gate.Submit(now, item, a.seed); !out.Admitted {
		n.sim.attemptRejected(now, a, n)
		return
	}
	n.attempts[item.ID] = a
	n.startAdmitted(now)
}

// admissionItem describes the attempt's current stage to the gate.
func (n *node) admissionItem(a *attempt) admission.Attempt {
	item := admission.Attempt{
		ID:           a.sequenceID(),
		Deadline:     a.deadline,
		PromptTokens: max(1, a.promptTokens+a.resumeFrom-a.cachedTokens),
		OutputTokens: max(1, a.expectedOutput-a.resumeFrom),
	}
	if a.split && a.stage == 0 {
		item.OutputTokens = 0
	}
	if a.split && a.stage == 1 {
		item.PromptTokens = 0
	}
	if !n.sim.variant.edf {
		item.Deadline = a.at + time.Hour
	}
	return item
}

// startAdmitted submits to the engine what the gate releases.
func (n *node) startAdmitted(now time.Duration) {
	if n.down || n.orderSent {
		return
	}
	for {
		item, ok := n.gate.StartNext(now)
		if !ok {
			return
		}
		a := n.attempts[item.ID]
		priority := 0
		if n.sim.variant.enginePriority {
			priority = admission.EnginePriority(item.Priority, a.deadline-now)
		}
		if err := n.model.Submit(now, a.sequence(priority)); err != nil {
			n.forget(item.ID)
			n.sim.attemptRejected(now, a, n)
		}
	}
}

// forget removes an attempt that has ended from the gate's accounting.
func (n *node) forget(id string) {
	n.gate.RecordEnd(id)
	delete(n.attempts, id)
}

// advance simulates the engine up to now and processes its events.
func (n *node) advance(now time.Duration) {
	if n.down {
		return
	}
	for _, e := range slices.Clone(n.model.Advance(now)) {
		if e.Kind == enginemodel.EventReady {
			n.roleChanged(e.At)
			continue
		}
		if a := n.attempts[e.ID]; a != nil {
			n.updateGate(e)
			n.sim.onEvent(a, n, e)
		}
	}
	n.startOrder(now)
	n.startAdmitted(now)
}

// updateGate updates the gate's accounting of running work.
func (n *node) updateGate(e enginemodel.Event) {
	switch e.Kind {
	case enginemodel.EventPrefilled:
		n.gate.RecordPrefilled(e.ID)
	case enginemodel.EventTokens:
		n.gate.RecordPrefilled(e.ID)
		n.gate.RecordTokens(e.ID, e.Tokens)
	case enginemodel.EventDone, enginemodel.EventFailed:
		n.forget(e.ID)
	}
}

// cancel cancels an attempt and frees its resources.
func (n *node) cancel(now time.Duration, a *attempt) {
	id := a.sequenceID()
	n.advance(now)
	if n.attempts[id] == nil {
		return
	}
	if !n.gate.Withdraw(id) {
		n.model.Cancel(now, id)
	}
	n.forget(id)
	n.startOrder(now)
	n.startAdmitted(now)
}

// expire rejects attempts in the gate's queue that can no longer meet their
// deadlines.
func (n *node) expire(now time.Duration) {
	for _, item := range n.gate.Expire(now) {
		n.reject(now, item)
	}
}

// reject returns an attempt that waited in the gate's queue to its entry.
func (n *node) reject(now time.Duration, item admission.Attempt) {
	a := n.attempts[item.ID]
	delete(n.attempts, item.ID)
	n.sim.attemptRejected(now, a, n)
}

// drain makes the node reject new work, as when the owner of the engine drains
// it.
func (n *node) drain(now time.Duration) {
	n.advance(now)
	n.drained, n.stateSince = true, now
	n.model.SetDraining(now, true)
	n.rejectWaiting(now)
	n.sim.announceState(now, statePropagationDelay, n)
}

// resume returns a drained node to service.
func (n *node) resume(now time.Duration) {
	n.advance(now)
	n.drained, n.stateSince = false, now
	n.model.SetDraining(now, false)
	n.sim.announceState(now, statePropagationDelay, n)
}

// crash takes the instance down. Attempts that were running or waiting there
// fail after lossDetectionDelay.
func (n *node) crash(now time.Duration) {
	n.advance(now)
	n.model.Crash(now)
	events := slices.Clone(n.model.Advance(now))
	waiting := n.gate.WithdrawAll()
	for _, e := range events {
		if a := n.attempts[e.ID]; a != nil {
			n.updateGate(e)
			n.sim.onEvent(a, n, e)
		}
	}
	for _, item := range waiting {
		n.sim.attemptFailed(now, lossDetectionDelay, n.attempts[item.ID], n, peerv1.Ran_RAN_UNKNOWN)
		delete(n.attempts, item.ID)
	}
	n.down, n.stateSince = true, now
	n.sim.announceState(now, lossDetectionDelay, n)
}

// rejectWaiting rejects everything in the gate's queue, so that the entries
// send it to other engines.
func (n *node) rejectWaiting(now time.Duration) {
	for _, item := range n.gate.WithdrawAll() {
		n.reject(now, item)
	}
}

// changeRole starts a role change. New work is rejected, and the engine
// receives the order once its running work has ended.
func (n *node) changeRole(now time.Duration, role configv1.Role) {
	if n.changing || n.down || n.drained || role == n.role {
		return
	}
	n.advance(now)
	n.changing, n.targetRole, n.stateSince = true, role, now
	n.rejectWaiting(now)
	n.sim.announceState(now, statePropagationDelay, n)
	n.startOrder(now)
}

// startOrder sends the order to the engine once it is empty.
func (n *node) startOrder(now time.Duration) {
	if !n.changing || n.orderSent || n.down || len(n.attempts) > 0 {
		return
	}
	_, err := n.model.ApplyOrder(now, n.targetRole, "", "")
	n.orderSent = err == nil
}

// roleChanged completes a role change.
func (n *node) roleChanged(at time.Duration) {
	n.changing, n.orderSent, n.stateSince = false, false, at
	n.role = n.targetRole
	n.sim.announceState(at, statePropagationDelay, n)
}
