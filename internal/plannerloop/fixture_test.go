package plannerloop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/planner"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

const (
	service       = "tutor-lm"
	mixed         = configv1.Role_ROLE_MIXED
	prefill       = configv1.Role_ROLE_PREFILL
	decode        = configv1.Role_ROLE_DECODE
	orderDuration = 3 * time.Second
)

// pauseSwitch pauses a simulated process at its next call of wait.
type pauseSwitch struct {
	mu   sync.Mutex
	wake chan struct{}
}

func (p *pauseSwitch) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake = make(chan struct{})
}

func (p *pauseSwitch) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.wake)
	p.wake = nil
}

func (p *pauseSwitch) toggle() {
	p.mu.Lock()
	paused := p.wake != nil
	p.mu.Unlock()
	if paused {
		p.resume()
	} else {
		p.pause()
	}
}

// end resumes the process if it is paused.
func (p *pauseSwitch) end() {
	p.mu.Lock()
	paused := p.wake != nil
	p.mu.Unlock()
	if paused {
		p.resume()
	}
}

// wait blocks while the process is paused.
func (p *pauseSwitch) wait() {
	p.mu.Lock()
	wake := p.wake
	p.mu.Unlock()
	if wake != nil {
		<-wake
	}
}

// pausedStore is the store as used by a process that may be paused before and
// after each call.
type pausedStore struct {
	Store
	pause *pauseSwitch
}

func (s pausedStore) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	s.pause.wait()
	obj, err := s.Store.Get(context.WithoutCancel(ctx), key)
	s.pause.wait()
	return obj, err
}

func (s pausedStore) Put(ctx context.Context, key platform.Key, value []byte, wantVersion uint64) (platform.Object, error) {
	s.pause.wait()
	obj, err := s.Store.Put(context.WithoutCancel(ctx), key, value, wantVersion)
	s.pause.wait()
	return obj, err
}

// Generation returns 0, since the store is not restored in these tests.
func (s pausedStore) Generation() uint64 { return 0 }

// receivedOrder is an order executed by an engine.
type receivedOrder struct {
	version    uint64
	role       configv1.Role
	begin, end time.Time
}

// fakeEngine executes and records the orders that it receives.
type fakeEngine struct {
	checksFencing bool

	mu           sync.Mutex
	state        enginev1.State
	orders       []receivedOrder
	rejected     int
	inflight     int
	target       configv1.Role // role of the order in progress
	overlaps     int           // orders for another role than the order in progress
	crashPending bool          // crash during the next order
}

func newFakeEngine(checksFencing bool) *fakeEngine {
	return &fakeEngine{checksFencing: checksFencing, state: enginev1.State{Role: mixed, Incarnation: 1}}
}

func (e *fakeEngine) State(context.Context) (*enginev1.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.copyState(), nil
}

func (e *fakeEngine) copyState() *enginev1.State {
	return &enginev1.State{
		Role: e.state.Role, Fencing: e.state.Fencing,
		Changing: e.inflight > 0, Incarnation: e.state.Incarnation,
	}
}

func (e *fakeEngine) Order(ctx context.Context, o *enginev1.Order) (*enginev1.OrderReply, error) {
	if err := engine.RunSendCheck(ctx); err != nil {
		return nil, err
	}
	return e.receive(o)
}

func (e *fakeEngine) receive(o *enginev1.Order) (*enginev1.OrderReply, error) {
	e.mu.Lock()
	if e.checksFencing && o.Fencing < e.state.Fencing {
		e.rejected++
		defer e.mu.Unlock()
		return &enginev1.OrderReply{Reason: "old fencing number", State: e.copyState()}, nil
	}
	e.state.Fencing = max(e.state.Fencing, o.Fencing)
	if e.inflight > 0 && e.target != o.Role {
		e.overlaps++
		if e.checksFencing { // the engine executes one order at a time
			defer e.mu.Unlock()
			return &enginev1.OrderReply{Reason: "changing", State: e.copyState()}, nil
		}
	}
	i := len(e.orders)
	e.orders = append(e.orders, receivedOrder{version: o.Fencing, role: o.Role, begin: time.Now()})
	e.inflight++
	e.target = o.Role
	crash := e.crashPending
	e.crashPending = false
	e.mu.Unlock()

	time.Sleep(orderDuration)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight--
	e.orders[i].end = time.Now()
	if crash {
		e.state.Role = mixed
		e.state.Incarnation++
		return nil, engine.ErrInterrupted
	}
	e.state.Role = o.Role
	return &enginev1.OrderReply{Accepted: true, State: e.copyState()}, nil
}

// crashNext makes the engine crash during the next order.
func (e *fakeEngine) crashNext() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashPending = true
}

// conflicts counts orders that overlapped with another order or had a lower
// version than an earlier one.
func (e *fakeEngine) conflicts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overlaps + e.versionRegressions()
}

// executedConflicts counts the conflicting orders that the engine did not
// reject.
func (e *fakeEngine) executedConflicts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing {
		return e.versionRegressions()
	}
	return e.overlaps + e.versionRegressions()
}

// versionRegressions counts orders received after one of a newer plan. The
// caller must hold the lock.
func (e *fakeEngine) versionRegressions() int {
	n, highest := 0, uint64(0)
	for _, o := range e.orders {
		if o.version < highest {
			n++
		}
		highest = max(highest, o.version)
	}
	return n
}

func (e *fakeEngine) role() configv1.Role {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Role
}

func (e *fakeEngine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// lastVersion returns the fencing token of the newest order.
func (e *fakeEngine) lastVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders[len(e.orders)-1].version
}

// planRelay delivers stored plans to the agents, the newest one only.
type planRelay struct {
	mu       sync.Mutex
	plan     *peerv1.Plan
	changed  chan struct{}
	versions map[uint64]string // planner by version
}

func newPlanRelay() *planRelay {
	return &planRelay{changed: make(chan struct{}), versions: make(map[uint64]string)}
}

func (r *planRelay) PublishPlan(plan *peerv1.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[plan.GetVersion()] = plan.GetPlanner()
	if plan.GetVersion() > r.plan.GetVersion() {
		r.plan = plan
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

func (r *planRelay) Newest(string) *peerv1.Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan
}

func (r *planRelay) Changed(string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// emptyGate is a gate without any work.
type emptyGate struct{}

func (emptyGate) Close()                            {}
func (emptyGate) Open()                             {}
func (emptyGate) Empty() bool                       { return true }
func (emptyGate) MoveStreams(context.Context) error { return nil }

// permanentAuthority is the authority of a process that never learns that it
// has lost the lease.
type permanentAuthority uint64

func (a permanentAuthority) Authority() (lease.Authority, bool) {
	return lease.Authority{Term: uint64(a)}, true
}

// observer reports the state of one engine.
type observer struct{ engine *fakeEngine }

func (o observer) Observe(_ string, now time.Time) (Observation, bool) {
	st, _ := o.engine.State(context.Background())
	e := planner.Engine{Name: "e1", State: planner.StateServing, Role: st.GetRole()}
	if st.GetChanging() {
		e.State = planner.StateChanging
	}
	return Observation{Input: planner.Input{Now: now, Service: service, Engines: []planner.Engine{e}}}, true
}

// decideRole returns a decision for one role, regardless of the input.
func decideRole(role configv1.Role) func(planner.Input) planner.Decision {
	return func(in planner.Input) planner.Decision {
		a := in.Engines[0].Desired
		d := planner.Decision{Explanation: &peerv1.Explanation{Decision: role.String()}}
		if a.Role != role {
			d.Changes = []planner.Change{{Engine: "e1", From: a.Role, To: role}}
		}
		a.Engine, a.Role = "e1", role
		d.Assignments = []planner.Assignment{a}
		return d
	}
}

// targetRole is the role that a planner decides on, which the test can change.
type targetRole struct{ role atomic.Int32 }

func newTargetRole(role configv1.Role) *targetRole {
	r := &targetRole{}
	r.set(role)
	return r
}

func (r *targetRole) set(role configv1.Role) { r.role.Store(int32(role)) }

func (r *targetRole) get() configv1.Role { return configv1.Role(r.role.Load()) }

func (r *targetRole) decide(in planner.Input) planner.Decision { return decideRole(r.get())(in) }

func identity(name string) lease.Identity { return lease.Identity{Name: name, Incarnation: 1} }
