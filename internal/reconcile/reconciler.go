package reconcile

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/engine"
)

// ErrExpired says that an order had become too old to be written.
var ErrExpired = errors.New("order: expired before the write")

// readTimeout bounds one read of an engine's state.
const readTimeout = time.Second

// PlanSource gives the plans that have reached this process.
type PlanSource interface {
	// Newest returns the newest plan held for a service, or nil. Its version
	// never falls.
	Newest(service string) *peerv1.Plan
	// Changed returns a channel that closes when a newer plan is held.
	Changed(service string) <-chan struct{}
}

// Gate is the only path of new work to one engine.
type Gate interface {
	// Close lets no new work pass; what has passed goes on.
	Close()
	// Open takes back Close. Another reason to stay shut keeps its effect.
	Open()
	// Empty reports whether nothing that passed is still running.
	Empty() bool
	// MoveStreams has what is still running go on at other engines. It
	// returns when it has been tried for each.
	MoveStreams(ctx context.Context) error
}

// Engine is the part of an engine that orders need.
type Engine interface {
	State(ctx context.Context) (*enginev1.State, error)
	// Order checks engine.RunSendCheck right before it writes.
	Order(ctx context.Context, order *enginev1.Order) (*enginev1.OrderReply, error)
}

// Config of a Reconciler.
type Config struct {
	Service       string
	BackendServer string
	Engine        Engine
	Gate          Gate
	Plans         PlanSource
	Options       Options
	// OnAction is called with each action other than Wait and CheckGate,
	// for logs and metrics; it may be nil.
	OnAction func(Action)
}

// Reconciler keeps one engine at what the plan wants. A process runs one for
// each of its engines, after it has taken the exclusive listener.
type Reconciler struct {
	config Config
	start  time.Time

	mu    sync.Mutex
	state State
}

// NewReconciler returns a reconciler; Run starts it.
func NewReconciler(c Config) *Reconciler {
	c.Options = c.Options.WithDefaults()
	return &Reconciler{config: c, start: time.Now()}
}

// State returns what the reconciler knows.
func (r *Reconciler) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Run reconciles until ctx is done. An order under way is waited for.
func (r *Reconciler) Run(ctx context.Context) {
	action := r.next(r.planOrTick())
	for ctx.Err() == nil {
		if r.config.OnAction != nil && action.Kind != Wait && action.Kind != CheckGate {
			r.config.OnAction(action)
		}
		action = r.next(r.perform(ctx, action))
	}
}

func (r *Reconciler) now() time.Duration { return time.Since(r.start) }

func (r *Reconciler) next(ev Event) Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, action := Step(r.state, r.config.Options, ev, r.now())
	r.state = state
	return action
}

func (r *Reconciler) perform(ctx context.Context, a Action) Event {
	switch a.Kind {
	case ReadState:
		return r.read(ctx)
	case CloseGate:
		r.config.Gate.Close()
		return GateChecked{Empty: r.config.Gate.Empty()}
	case OpenGate:
		r.config.Gate.Open()
		return GateChecked{}
	case CheckGate:
		if r.wait(ctx, a.Until) {
			return r.planOrTick()
		}
		return GateChecked{Empty: r.config.Gate.Empty()}
	case MoveStreams:
		// Streams that could not be moved are still behind the gate, which
		// the next look shows.
		_ = r.config.Gate.MoveStreams(ctx)
		return StreamsMoved{}
	case SendOrder:
		return r.send(ctx, a)
	default:
		r.wait(ctx, a.Until)
		return r.planOrTick()
	}
}

// wait waits until a time, or reports that a newer plan came first.
func (r *Reconciler) wait(ctx context.Context, until time.Duration) bool {
	changed := r.config.Plans.Changed(r.config.Service)
	if r.planVersion() > r.State().desired.Version {
		return true
	}
	timer := time.NewTimer(until - r.now())
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (r *Reconciler) planVersion() uint64 {
	return r.config.Plans.Newest(r.config.Service).GetVersion()
}

// planOrTick reports a newer plan if there is one.
func (r *Reconciler) planOrTick() Event {
	plan := r.config.Plans.Newest(r.config.Service)
	if plan.GetVersion() <= r.State().desired.Version {
		return Tick{}
	}
	return PlanReceived{Desired: DesiredFromPlan(plan, r.config.BackendServer)}
}

// DesiredFromPlan returns what a plan wants of one engine.
func DesiredFromPlan(plan *peerv1.Plan, backendServer string) Desired {
	d := Desired{Version: plan.GetVersion()}
	for _, a := range plan.GetAssignments() {
		if a.GetBackendServer() == backendServer {
			d.Role = a.GetRole()
			d.Model = a.GetModel()
			d.ModelVersion = a.GetModelVersion()
			break
		}
	}
	return d
}

func (r *Reconciler) read(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	st, err := r.config.Engine.State(ctx)
	if err != nil {
		return StateRead{}
	}
	return StateRead{State: st}
}

// send writes an order unless it has expired. A stop of the process waits
// for the answer, so that it is not cut off in the middle.
func (r *Reconciler) send(ctx context.Context, a Action) Event {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.config.Options.MaxOrderDuration)
	defer cancel()
	check := func() error { return r.current(a) }
	if check() != nil {
		return OrderDone{Outcome: Expired}
	}
	reply, err := r.config.Engine.Order(engine.WithSendCheck(ctx, check), &enginev1.Order{
		Fencing:      a.Order.Version,
		Role:         a.Order.Role,
		Model:        a.Order.Model,
		ModelVersion: a.Order.ModelVersion,
	})
	return orderDone(reply, err)
}

// current reports why an order may not be written any more.
func (r *Reconciler) current(a Action) error {
	if now := r.now(); now >= a.Until {
		return fmt.Errorf("%w: %v late", ErrExpired, now-a.Until)
	}
	if v := r.planVersion(); v > a.Order.Version {
		return fmt.Errorf("%w: plan %d is newer than %d", ErrExpired, v, a.Order.Version)
	}
	return nil
}

func orderDone(reply *enginev1.OrderReply, err error) OrderDone {
	switch {
	case errors.Is(err, ErrExpired):
		return OrderDone{Outcome: Expired}
	case errors.Is(err, engine.ErrRefused):
		return OrderDone{Outcome: Refused}
	case errors.Is(err, engine.ErrUnreachable):
		return OrderDone{Outcome: Unreachable}
	case err != nil:
		return OrderDone{Outcome: OutcomeUnknown}
	case !reply.GetAccepted():
		return OrderDone{Outcome: Refused}
	default:
		return OrderDone{Outcome: Completed, State: reply.GetState()}
	}
}
