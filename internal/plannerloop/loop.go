// Package plannerloop runs the planner of a service: it takes part in the
// lease and, while it holds it, decides and writes the plan.
//
// The lease only saves work. What keeps two planners apart is the conditional
// update of the plan: a new holder first writes its term into the plan, which
// moves the version, so that a write of its predecessor fails by itself. While
// the store is down nobody plans, and the last plan stays in force.
package plannerloop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/planner"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

const (
	// DefaultInterval is the time between decisions.
	DefaultInterval = 5 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
)

// ErrAuthorityLost says that another planner has written the plan, or that the lease
// has lapsed; what was decided had no effect.
var ErrAuthorityLost = errors.New("plannerloop: no authority")

// Observation is what a process knows about a service.
type Observation struct {
	// Input lacks the desired assignments of the engines, which come from
	// the plan in force.
	Input planner.Input
	// ConfigRevision is the configuration that it was made under.
	ConfigRevision uint64
}

// Observer gathers demand and state.
type Observer interface {
	// Observe returns what is known of a service now, or false while too
	// little is known to plan.
	Observe(service string, now time.Time) (Observation, bool)
}

// Authority tells whether this process may plan at this moment.
type Authority interface {
	Authority() (lease.Authority, bool)
}

// Store is the part of the object API that the loop needs.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error)
}

// Publisher takes plans that are known to be stored, to spread them.
type Publisher interface {
	PublishPlan(plan *peerv1.Plan)
}

// Config of a Loop.
type Config struct {
	Service   string
	Self      lease.Identity
	Store     Store
	Authority Authority
	Observer  Observer
	Publisher Publisher
	// Decide is the decision; nil means planner.Plan.
	Decide func(planner.Input) planner.Decision
	// Interval between decisions; 0 means DefaultInterval.
	Interval time.Duration
	// OnError is called with what kept a step from its end; it may be nil.
	OnError func(error)
}

// Loop plans for one service.
type Loop struct {
	config Config
	// term and plan are those of the lease term in which the plan was last
	// taken over; plan is nil when it has to be taken over.
	term uint64
	plan *peerv1.Plan

	mu   sync.Mutex
	last *peerv1.Explanation
}

// New returns a loop; Run starts it.
func New(c Config) *Loop {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Decide == nil {
		c.Decide = planner.Plan
	}
	return &Loop{config: c}
}

// LastExplanation returns the newest decision of this process, also one that
// changed nothing and is therefore not in the plan; nil if there is none.
func (l *Loop) LastExplanation() *peerv1.Explanation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// Run plans until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(l.config.Interval)
	defer ticker.Stop()
	for {
		if err := l.Step(ctx); err != nil && l.config.OnError != nil {
			l.config.OnError(err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Step decides once if this process holds the lease. It starts from what is
// stored and observed, so that it does not matter how an earlier step ended.
func (l *Loop) Step(ctx context.Context) error {
	authority, ok := l.config.Authority.Authority()
	if !ok {
		l.plan = nil
		return nil
	}
	if l.plan == nil || l.term != authority.Term {
		if err := l.takeOver(ctx, authority); err != nil {
			return fmt.Errorf("take over the plan of %s: %w", l.config.Service, err)
		}
	}
	now := time.Now()
	seen, ok := l.config.Observer.Observe(l.config.Service, now)
	if !ok {
		return nil
	}
	fillDesired(seen.Input.Engines, l.plan)
	decision := l.config.Decide(seen.Input)
	l.remember(decision.Explanation)
	next := apply(l.plan, decision)
	if sameWishes(l.plan, next) {
		return nil
	}
	next.ConfigRevision = seen.ConfigRevision
	if err := l.write(ctx, authority.Term, next); err != nil {
		return fmt.Errorf("write the plan of %s: %w", l.config.Service, err)
	}
	return nil
}

func (l *Loop) remember(e *peerv1.Explanation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = e
}

// takeOver writes this process's term into the plan, and nothing else.
func (l *Loop) takeOver(ctx context.Context, authority lease.Authority) error {
	l.plan = nil
	stored, err := l.read(ctx)
	if err != nil {
		return err
	}
	stored.Term = max(stored.GetTerm()+1, authority.Term)
	l.plan, l.term = stored, authority.Term
	if err := l.write(ctx, authority.Term, stored); err != nil {
		l.plan = nil
		return err
	}
	return nil
}

// read returns the stored plan, or an empty one of version 0.
func (l *Loop) read(ctx context.Context) (*peerv1.Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := l.config.Store.Get(ctx, PlanKey(l.config.Service))
	if errors.Is(err, platform.ErrNotFound) {
		return &peerv1.Plan{Service: l.config.Service}, nil
	}
	if err != nil {
		return nil, err
	}
	return DecodePlan(obj)
}

// write stores a plan in place of the one in force and publishes it. After a
// conflict the plan has to be taken over again, which needs the lease.
func (l *Loop) write(ctx context.Context, term uint64, next *peerv1.Plan) error {
	next.Planner = fmt.Sprintf("%s/%d", l.config.Self.Name, l.config.Self.Incarnation)
	next.WrittenUnixMs = time.Now().UnixMilli()
	value, err := encode(next)
	if err != nil {
		return err
	}
	now, ok := l.config.Authority.Authority()
	if !ok || now.Term != term {
		l.plan = nil
		return ErrAuthorityLost
	}
	obj, err := l.put(ctx, value, l.plan.GetVersion())
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		l.plan = nil
		return fmt.Errorf("%w: %w", ErrAuthorityLost, err)
	}
	if err != nil {
		return err
	}
	if next, err = DecodePlan(obj); err != nil {
		return err
	}
	l.plan = next
	l.config.Publisher.PublishPlan(next)
	return nil
}

// put writes and, when the answer is lost, reads back whether the write took
// effect. A write that is still on its way then meets the version that the
// next one has moved, or moves it so that the next one meets a conflict.
func (l *Loop) put(ctx context.Context, value []byte, want uint64) (platform.Object, error) {
	key := PlanKey(l.config.Service)
	obj, err := l.putOnce(ctx, key, value, want)
	if !errors.Is(err, platform.ErrOutcomeUnknown) {
		return obj, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, readErr := l.config.Store.Get(ctx, key)
	if readErr == nil && bytes.Equal(stored.Value, value) {
		return stored, nil
	}
	return platform.Object{}, err
}

func (l *Loop) putOnce(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := l.config.Store.Put(ctx, key, value, want)
	if err != nil {
		return platform.Object{}, err
	}
	obj.Key, obj.Value = key, value
	return obj, nil
}
