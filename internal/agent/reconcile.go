package agent

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/reconcile"
)

// plans holds the newest plan of each service. It implements
// reconcile.PlanSource.
type plans struct {
	mu      sync.Mutex
	newest  map[string]*peerv1.Plan
	changed map[string]chan struct{}
}

func newPlans() *plans {
	return &plans{newest: make(map[string]*peerv1.Plan), changed: make(map[string]chan struct{})}
}

// Newest implements reconcile.PlanSource.
func (p *plans) Newest(service string) *peerv1.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest[service]
}

// Changed implements reconcile.PlanSource.
func (p *plans) Changed(service string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch, ok := p.changed[service]
	if !ok {
		ch = make(chan struct{})
		p.changed[service] = ch
	}
	return ch
}

// set stores a plan unless a newer one is known.
func (p *plans) set(plan *peerv1.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := plan.GetService()
	if plan.GetVersion() < p.newest[service].GetVersion() {
		return
	}
	// A plan of the same version replaces the stored one, because it may contain
	// more assignments.
	p.newest[service] = plan
	if ch, ok := p.changed[service]; ok {
		close(ch)
		delete(p.changed, service)
	}
}

// orderGate implements reconcile.Gate for one engine.
type orderGate struct {
	server *server
	engine engine.Engine
}

// Close implements reconcile.Gate.
func (g orderGate) Close() { g.server.closeGate(closedByOrder) }

// Open implements reconcile.Gate.
func (g orderGate) Open() { g.server.openGate(closedByOrder) }

// Empty implements reconcile.Gate.
func (g orderGate) Empty() bool { return len(g.server.schedule.running()) == 0 }

// MoveStreams implements reconcile.Gate. It exports the KV cache of each
// running sequence, which ends the sequence at this engine; its entry resumes
// it at another one.
func (g orderGate) MoveStreams(ctx context.Context) error {
	var first error
	for _, id := range g.server.schedule.running() {
		if _, err := g.engine.ExportKV(ctx, id); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// reconcile keeps the engine in the state that the plan requires, until ctx
// ends.
func (a *Agent) reconcile(ctx context.Context, s *server, e engine.Engine) {
	reconciler := reconcile.NewReconciler(reconcile.Config{
		Service:       s.service(),
		BackendServer: s.name,
		Engine:        e,
		Gate:          orderGate{server: s, engine: e},
		Plans:         a.plans,
		Options:       reconcile.Options{ChecksFencing: s.checksFencing()},
		OnAction: func(action reconcile.Action) {
			if action.Kind != reconcile.ReadState {
				a.opts.Log.Write(logevent.ReconcileStep(s.name, action.Kind.String(), action.Order.Role.String(), action.Order.Version))
			}
		},
	})
	reconciler.Run(ctx)
}

// watchState polls the engine's state, which includes its owner's notice of
// leaving, until ctx ends.
func (a *Agent) watchState(ctx context.Context, s *server, e engine.Engine) {
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, stateTimeout)
		state, err := e.State(readCtx)
		cancel()
		if err == nil {
			s.recordState(state)
		} else {
			s.recordReadFailure()
		}
		select {
		case <-time.After(a.opts.LoadInterval):
		case <-ctx.Done():
		}
	}
}
