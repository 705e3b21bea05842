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

// ErrExpired is returned for an order that is too old, or superseded by a newer
// plan, before it is written.
var ErrExpired = errors.New("reconcile: order expired before it was written")

// readTimeout bounds one read of an engine's state.
const readTimeout = time.Second

// PlanSource provides the plans received by this process.
type PlanSource interface {
	// Newest returns the newest plan held for a service, or nil. Its version
	// never decreases.
	Newest(service string) *peerv1.Plan
	// Changed returns a channel that is closed when a newer plan arrives.
	Changed(service string) <-chan struct{}
}

// Gate admits work to one engine; there is no other path to it.
type Gate interface {
	// Close stops admitting new work. Work already admitted continues.
	Close()
	// Open reverts Close. The gate stays closed if it is also closed for
	// another reason.
	Open()
	// Empty reports whether no admitted work is still running.
	Empty() bool
	// MoveStreams moves the running streams to other engines. It returns after
	// an attempt for each of them.
	MoveStreams(ctx context.Context) error
}

// Engine is the part of an engine's API used for orders.
type Engine interface {
	State(ctx context.Context) (*enginev1.State, error)
	// Order calls the check set by engine.WithSendCheck immediately before it
	// writes the order.
	Order(ctx context.Context, order *enginev1.Order) (*enginev1.OrderReply, error)
}

// Config configures a Reconciler.
type Config struct {
	Service       string
	BackendServer string
	Engine        Engine
	Gate          Gate
	Plans         PlanSource
	Options       Options
	// OnAction is called with each action other than Wait and CheckGate, for
	// logs and metrics; it may be nil.
	OnAction func(Action)
}

// Reconciler keeps one engine in the state that the plan asks for. A process
// runs one for each of its engines, and only while it holds the exclusive
// listener.
type Reconciler struct {
	config Config
	start  time.Time

	mu    sync.Mutex
	state State
}

// NewReconciler returns a Reconciler; Run starts it.
func NewReconciler(c Config) *Reconciler {
	c.Options = c.Options.WithDefaults()
	return &Reconciler{config: c, start: time.Now()}
}

// State returns the current state.
func (r *Reconciler) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Run reconciles until ctx is done. It waits for an order in flight.
func (r *Reconciler) Run(ctx context.Context) {
	action := r.step(r.nextEvent())
	for ctx.Err() == nil {
		if r.config.OnAction != nil && action.Kind != Wait && action.Kind != CheckGate {
			r.config.OnAction(action)
		}
		action = r.step(r.perform(ctx, action))
	}
}

func (r *Reconciler) now() time.Duration { return time.Since(r.start) }

func (r *Reconciler) step(ev Event) Action {
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
			return r.nextEvent()
		}
		return GateChecked{Empty: r.config.Gate.Empty()}
	case MoveStreams:
		// Streams that could not be moved are still behind the gate, which the
		// next check shows.
		_ = r.config.Gate.MoveStreams(ctx)
		return StreamsMoved{}
	case SendOrder:
		return r.send(ctx, a)
	default:
		r.wait(ctx, a.Until)
		return r.nextEvent()
	}
}

// wait waits until the given time and reports whether a newer plan arrived
// before it.
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

// nextEvent returns PlanReceived if there is a newer plan, and Tick otherwise.
func (r *Reconciler) nextEvent() Event {
	plan := r.config.Plans.Newest(r.config.Service)
	if plan.GetVersion() <= r.State().desired.Version {
		return Tick{}
	}
	return PlanReceived{Desired: DesiredFromPlan(plan, r.config.BackendServer)}
}

// DesiredFromPlan returns what a plan assigns to one engine.
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

// send writes an order unless it has expired. Cancellation of ctx does not
// interrupt it, so that a stopping process learns the outcome.
func (r *Reconciler) send(ctx context.Context, a Action) Event {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.config.Options.MaxOrderDuration)
	defer cancel()
	check := func() error { return r.checkExpired(a) }
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

// checkExpired returns an error that wraps ErrExpired if an order must not be
// written any more.
func (r *Reconciler) checkExpired(a Action) error {
	if now := r.now(); now >= a.Until {
		return fmt.Errorf("%w: deadline exceeded by %v", ErrExpired, now-a.Until)
	}
	if v := r.planVersion(); v > a.Order.Version {
		return fmt.Errorf("%w: plan %d is newer than %d", ErrExpired, v, a.Order.Version)
	}
	return nil
}

// orderDone classifies the reply to an order.
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
