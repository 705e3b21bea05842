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
	service   = "tutor-lm"
	mixed     = configv1.Role_ROLE_MIXED
	prefill   = configv1.Role_ROLE_PREFILL
	decode    = configv1.Role_ROLE_DECODE
	orderTime = 3 * time.Second
)

// pause stops a process wherever it next passes.
type pause struct {
	mu   sync.Mutex
	wake chan struct{}
}

func (p *pause) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake = make(chan struct{})
}

func (p *pause) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.wake)
	p.wake = nil
}

func (p *pause) toggle() {
	p.mu.Lock()
	paused := p.wake != nil
	p.mu.Unlock()
	if paused {
		p.resume()
	} else {
		p.stop()
	}
}

// end resumes the process if it is paused.
func (p *pause) end() {
	p.mu.Lock()
	paused := p.wake != nil
	p.mu.Unlock()
	if paused {
		p.resume()
	}
}

func (p *pause) pass() {
	p.mu.Lock()
	wake := p.wake
	p.mu.Unlock()
	if wake != nil {
		<-wake
	}
}

// pausedStore is the store as a process sees it that may be paused right
// before and right after each call.
type pausedStore struct {
	Store
	pause *pause
}

func (s pausedStore) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	s.pause.pass()
	obj, err := s.Store.Get(context.WithoutCancel(ctx), key)
	s.pause.pass()
	return obj, err
}

func (s pausedStore) Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error) {
	s.pause.pass()
	obj, err := s.Store.Put(context.WithoutCancel(ctx), key, value, want)
	s.pause.pass()
	return obj, err
}

// received is one order that an engine carried out.
type received struct {
	version    uint64
	role       configv1.Role
	begin, end time.Time
}

// fakeEngine carries out what it receives, and keeps a record of it.
type fakeEngine struct {
	checks bool

	mu       sync.Mutex
	state    enginev1.State
	orders   []received
	refused  int
	inflight int
	target   configv1.Role // of the order under way
	overlaps int           // orders that met another one for something else
	crashNow bool          // crash in the middle of the next order
}

func newEngine(checks bool) *fakeEngine {
	return &fakeEngine{checks: checks, state: enginev1.State{Role: mixed, Incarnation: 1}}
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
	if e.checks && o.Fencing < e.state.Fencing {
		e.refused++
		defer e.mu.Unlock()
		return &enginev1.OrderReply{Reason: "old fencing number", State: e.copyState()}, nil
	}
	e.state.Fencing = max(e.state.Fencing, o.Fencing)
	if e.inflight > 0 && e.target != o.Role {
		e.overlaps++
		if e.checks { // it carries out one at a time
			defer e.mu.Unlock()
			return &enginev1.OrderReply{Reason: "changing", State: e.copyState()}, nil
		}
	}
	i := len(e.orders)
	e.orders = append(e.orders, received{version: o.Fencing, role: o.Role, begin: time.Now()})
	e.inflight++
	e.target = o.Role
	crash := e.crashNow
	e.crashNow = false
	e.mu.Unlock()

	time.Sleep(orderTime)
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

// crashNext has the engine crash in the middle of the next order.
func (e *fakeEngine) crashNext() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashNow = true
}

// conflicts counts orders that met another or whose version falls.
func (e *fakeEngine) conflicts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overlaps + e.fallen()
}

// carriedOut counts the conflicting orders that the engine did not refuse.
func (e *fakeEngine) carriedOut() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks {
		return e.fallen()
	}
	return e.overlaps + e.fallen()
}

// fallen counts orders that came after one of a newer plan. It is for callers
// that hold the lock.
func (e *fakeEngine) fallen() int {
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

func (e *fakeEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// lastVersion is the fencing number of the newest order received.
func (e *fakeEngine) lastVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders[len(e.orders)-1].version
}

// spread carries stored plans to the agents, newest first.
type spread struct {
	mu       sync.Mutex
	plan     *peerv1.Plan
	changed  chan struct{}
	versions map[uint64]string // version to planner
}

func newSpread() *spread {
	return &spread{changed: make(chan struct{}), versions: make(map[uint64]string)}
}

func (s *spread) PublishPlan(plan *peerv1.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[plan.GetVersion()] = plan.GetPlanner()
	if plan.GetVersion() > s.plan.GetVersion() {
		s.plan = plan
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *spread) Newest(string) *peerv1.Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan
}

func (s *spread) Changed(string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// openGate never holds work.
type openGate struct{}

func (openGate) Close()                            {}
func (openGate) Open()                             {}
func (openGate) Empty() bool                       { return true }
func (openGate) MoveStreams(context.Context) error { return nil }

// always is the right to plan of a process that is never told otherwise.
type always uint64

func (a always) Authority() (lease.Authority, bool) {
	return lease.Authority{Term: uint64(a)}, true
}

// observer shows one engine as it is.
type observer struct{ engine *fakeEngine }

func (o observer) Observe(_ string, now time.Time) (Observation, bool) {
	st, _ := o.engine.State(context.Background())
	e := planner.Engine{Name: "e1", State: planner.StateServing, Role: st.GetRole()}
	if st.GetChanging() {
		e.State = planner.StateChanging
	}
	return Observation{Input: planner.Input{Now: now, Service: service, Engines: []planner.Engine{e}}}, true
}

// wants decides for one role whatever the input.
func wants(role configv1.Role) func(planner.Input) planner.Decision {
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

// wish is a role that a planner wants until the test changes it.
type wish struct{ role atomic.Int32 }

func newWish(role configv1.Role) *wish {
	w := &wish{}
	w.set(role)
	return w
}

func (w *wish) set(role configv1.Role) { w.role.Store(int32(role)) }

func (w *wish) get() configv1.Role { return configv1.Role(w.role.Load()) }

func (w *wish) decide(in planner.Input) planner.Decision { return wants(w.get())(in) }

func identity(name string) lease.Identity { return lease.Identity{Name: name, Incarnation: 1} }
