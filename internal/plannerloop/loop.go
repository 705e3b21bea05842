// Package plannerloop runs the planner of a service: while this process holds
// the lease, it makes decisions and writes the plan.
//
// The lease only avoids duplicate work. What protects against two planners is
// the conditional update of the plan: a new lease holder first writes its term
// into the plan. This increments the version, so that a pending write of its
// predecessor fails. While the store is down nobody can plan, and the last plan
// stays in force.
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
	// callTimeout is the timeout of one call to the store.
	callTimeout = 2 * time.Second
)

// ErrAuthorityLost is returned when another planner has written the plan or the
// lease has expired. The decision has had no effect.
var ErrAuthorityLost = errors.New("plannerloop: authority to plan lost")

// Observation is what a process knows about a service.
type Observation struct {
	// Input is complete except for the desired assignments of the engines,
	// which come from the plan in force.
	Input planner.Input
	// ConfigRevision is the revision of the configuration that Input is based
	// on.
	ConfigRevision uint64
}

// Observer collects the demand on and the state of services.
type Observer interface {
	// Observe returns the present observation of a service, or false while too
	// little is known to plan.
	Observe(service string, now time.Time) (Observation, bool)
}

// Authority reports whether this process may plan at this moment.
type Authority interface {
	Authority() (lease.Authority, bool)
}

// Store is the part of the object store API that a Loop uses.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error)
}

// Publisher distributes plans that have been stored.
type Publisher interface {
	PublishPlan(plan *peerv1.Plan)
}

// Config configures a Loop.
type Config struct {
	Service   string
	Self      lease.Identity
	Store     Store
	Authority Authority
	Observer  Observer
	Publisher Publisher
	// Decide makes the decision. Nil means planner.Plan.
	Decide func(planner.Input) planner.Decision
	// Interval is the time between decisions. Zero means DefaultInterval.
	Interval time.Duration
	// OnError is called with the error of a failed step. It may be nil.
	OnError func(error)
	// OnAuthority is called when a step finds that this process has acquired the
	// lease or lost it, with its term. It may be nil.
	OnAuthority func(term uint64, acquired bool)
}

// Loop runs the planner of one service.
type Loop struct {
	config Config
	// term is the lease term in which the plan was last taken over. plan is the
	// stored plan as last written by this process, or nil if the plan has to be
	// taken over.
	term uint64
	plan *peerv1.Plan
	// reported is the term last passed to OnAuthority as acquired, 0 if it was lost.
	reported uint64

	mu   sync.Mutex
	last *peerv1.Explanation
}

// New returns a loop. Run starts it.
func New(c Config) *Loop {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Decide == nil {
		c.Decide = planner.Plan
	}
	return &Loop{config: c}
}

// LastExplanation returns the explanation of the newest decision of this
// process, or nil. It includes decisions without changes, which are not stored
// in the plan.
func (l *Loop) LastExplanation() *peerv1.Explanation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// Run makes decisions until ctx is done.
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

// Step makes one decision if this process holds the lease. It starts from the
// stored plan and new observations, so that it does not matter how the previous
// step ended.
func (l *Loop) Step(ctx context.Context) error {
	authority, ok := l.config.Authority.Authority()
	l.reportAuthority(authority.Term)
	if !ok {
		l.plan = nil
		return nil
	}
	if l.plan == nil || l.term != authority.Term {
		if err := l.takeOver(ctx, authority); err != nil {
			return fmt.Errorf("taking over the plan of service %s: %w", l.config.Service, err)
		}
	}
	now := time.Now()
	observation, ok := l.config.Observer.Observe(l.config.Service, now)
	if !ok {
		return nil
	}
	fillDesired(observation.Input.Engines, l.plan)
	decision := l.config.Decide(observation.Input)
	l.setLastExplanation(decision.Explanation)
	next := nextPlan(l.plan, decision)
	if sameAssignments(l.plan, next) {
		return nil
	}
	next.ConfigRevision = observation.ConfigRevision
	if err := l.write(ctx, authority.Term, next); err != nil {
		return fmt.Errorf("writing the plan of service %s: %w", l.config.Service, err)
	}
	return nil
}

// reportAuthority calls OnAuthority if term, 0 for none, differs from the term
// reported last.
func (l *Loop) reportAuthority(term uint64) {
	before := l.reported
	l.reported = term
	if term == before || l.config.OnAuthority == nil {
		return
	}
	if before != 0 {
		l.config.OnAuthority(before, false)
	}
	if term != 0 {
		l.config.OnAuthority(term, true)
	}
}

func (l *Loop) setLastExplanation(e *peerv1.Explanation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = e
}

// takeOver writes a higher term into the stored plan and leaves its assignments
// unchanged. The write increments the version, so that pending writes of other
// planners fail.
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

// read returns the stored plan, or an empty one with version 0 if there is
// none.
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

// write stores a plan in place of the one in force and publishes it. It returns
// ErrAuthorityLost if the lease has expired or another planner has written the
// plan. The plan then has to be taken over again, which requires the lease.
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
	obj, err := l.putVerified(ctx, value, l.plan.GetVersion())
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

// putVerified writes the plan and, if the response is lost, reads back whether
// the write took effect. A write that is still in transit then either fails
// because a later write has changed the version, or changes the version itself
// and makes the later write fail.
func (l *Loop) putVerified(ctx context.Context, value []byte, wantVersion uint64) (platform.Object, error) {
	key := PlanKey(l.config.Service)
	obj, err := l.putOnce(ctx, key, value, wantVersion)
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

func (l *Loop) putOnce(ctx context.Context, key platform.Key, value []byte, wantVersion uint64) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := l.config.Store.Put(ctx, key, value, wantVersion)
	if err != nil {
		return platform.Object{}, err
	}
	obj.Key, obj.Value = key, value
	return obj, nil
}
