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

// node is an engine with its agent's gate.
type node struct {
	world    *world
	index    int
	name     string
	domain   string
	model    *enginemodel.Model
	gate     *admission.Gate
	attempts map[string]*attempt
	cacheSeq uint64
	// seen is the newest report that has reached the entries.
	seen routing.LoadReport

	role    configv1.Role
	down    bool
	drained bool
	failing bool
	// target is the role that an order in progress is to give.
	target configv1.Role
	// changing is true from the order until it has been carried out.
	changing bool
	ordered  bool
	since    time.Duration
}

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

// report returns the load that the agent sees now.
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

// submit hands an attempt to the gate.
func (n *node) submit(now time.Duration, a *attempt) {
	if a.over || a.ended {
		return
	}
	n.advance(now)
	if n.down {
		n.world.failed(now, hop, a, n, peerv1.Ran_RAN_NO)
		return
	}
	if n.failing {
		n.world.failed(now, hop, a, n, peerv1.Ran_RAN_UNKNOWN)
		return
	}
	if n.drained || n.changing || !a.fits(n.role) {
		n.world.refusedBy(now, a, n)
		return
	}
	item := n.item(a)
	if out := n.gate.Submit(now, item, a.seed); !out.Admitted {
		n.world.refusedBy(now, a, n)
		return
	}
	n.attempts[item.ID] = a
	n.pump(now)
}

// item returns what the gate needs to know of the attempt's present stage.
func (n *node) item(a *attempt) admission.Attempt {
	item := admission.Attempt{
		ID:           a.sequenceID(),
		Deadline:     a.deadline,
		PromptTokens: max(1, a.prompt+a.resume-a.cached),
		OutputTokens: max(1, a.expected-a.resume),
	}
	if a.split && a.stage == 0 {
		item.OutputTokens = 0
	}
	if a.split && a.stage == 1 {
		item.PromptTokens = 0
	}
	if !n.world.variant.edf {
		item.Deadline = a.at + time.Hour
	}
	return item
}

// pump starts what the gate lets through.
func (n *node) pump(now time.Duration) {
	if n.down || n.ordered {
		return
	}
	for {
		item, ok := n.gate.StartNext(now)
		if !ok {
			return
		}
		a := n.attempts[item.ID]
		priority := 0
		if n.world.variant.enginePriority {
			priority = admission.EnginePriority(item.Priority, a.deadline-now)
		}
		if err := n.model.Submit(now, a.sequence(priority)); err != nil {
			n.drop(item.ID)
			n.world.refusedBy(now, a, n)
		}
	}
}

func (n *node) drop(id string) {
	n.gate.RecordEnd(id)
	delete(n.attempts, id)
}

// advance moves the engine to now and passes its events on.
func (n *node) advance(now time.Duration) {
	if n.down {
		return
	}
	for _, e := range slices.Clone(n.model.Advance(now)) {
		if e.Kind == enginemodel.EventReady {
			n.changed(e.At)
			continue
		}
		if a := n.attempts[e.ID]; a != nil {
			n.observe(e)
			n.world.onEvent(a, n, e)
		}
	}
	n.startOrder(now)
	n.pump(now)
}

// observe keeps the gate's view of what runs.
func (n *node) observe(e enginemodel.Event) {
	switch e.Kind {
	case enginemodel.EventPrefilled:
		n.gate.RecordPrefilled(e.ID)
	case enginemodel.EventTokens:
		n.gate.RecordPrefilled(e.ID)
		n.gate.RecordTokens(e.ID, e.Tokens)
	case enginemodel.EventDone, enginemodel.EventFailed:
		n.drop(e.ID)
	}
}

// cancel frees what an attempt holds.
func (n *node) cancel(now time.Duration, a *attempt) {
	id := a.sequenceID()
	n.advance(now)
	if n.attempts[id] == nil {
		return
	}
	if !n.gate.Withdraw(id) {
		n.model.Cancel(now, id)
	}
	n.drop(id)
	n.startOrder(now)
	n.pump(now)
}

// expire refuses what can no longer finish in time.
func (n *node) expire(now time.Duration) {
	for _, item := range n.gate.Expire(now) {
		n.refuse(now, item)
	}
}

func (n *node) refuse(now time.Duration, item admission.Attempt) {
	a := n.attempts[item.ID]
	delete(n.attempts, item.ID)
	n.world.refusedBy(now, a, n)
}

// ownerDrain has the owner withdraw the engine from new work.
func (n *node) ownerDrain(now time.Duration) {
	n.advance(now)
	n.drained, n.since = true, now
	n.model.SetDraining(now, true)
	n.refuseWaiting(now)
	n.world.tell(now, stateDelay, n)
}

func (n *node) ownerReturn(now time.Duration) {
	n.advance(now)
	n.drained, n.since = false, now
	n.model.SetDraining(now, false)
	n.world.tell(now, stateDelay, n)
}

// crash loses the instance.
func (n *node) crash(now time.Duration) {
	n.advance(now)
	n.model.Crash(now)
	events := slices.Clone(n.model.Advance(now))
	waiting := n.gate.WithdrawAll()
	for _, e := range events {
		if a := n.attempts[e.ID]; a != nil {
			n.observe(e)
			n.world.onEvent(a, n, e)
		}
	}
	for _, item := range waiting {
		n.world.failed(now, downDelay, n.attempts[item.ID], n, peerv1.Ran_RAN_UNKNOWN)
		delete(n.attempts, item.ID)
	}
	n.down, n.since = true, now
	n.world.tell(now, downDelay, n)
}

// refuseWaiting refuses what waits at the gate, so that the entries send it
// elsewhere.
func (n *node) refuseWaiting(now time.Duration) {
	for _, item := range n.gate.WithdrawAll() {
		n.refuse(now, item)
	}
}

// order begins a change of role: new work is refused, and the order goes out
// when what runs has ended.
func (n *node) order(now time.Duration, role configv1.Role) {
	if n.changing || n.down || n.drained || role == n.role {
		return
	}
	n.advance(now)
	n.changing, n.target, n.since = true, role, now
	n.refuseWaiting(now)
	n.world.tell(now, stateDelay, n)
	n.startOrder(now)
}

// startOrder gives the order to the engine once it is empty.
func (n *node) startOrder(now time.Duration) {
	if !n.changing || n.ordered || n.down || len(n.attempts) > 0 {
		return
	}
	_, err := n.model.ApplyOrder(now, n.target, "", "")
	n.ordered = err == nil
}

// changed ends a change of role.
func (n *node) changed(at time.Duration) {
	n.changing, n.ordered, n.since = false, false, at
	n.role = n.target
	n.world.tell(at, stateDelay, n)
}
