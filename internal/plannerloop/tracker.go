package plannerloop

import (
	"sync"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/membership"
	"github.com/marigoldwing/marigoldwing/internal/planner"
)

const (
	// demandPeriod is the length of the periods in which demand is counted.
	demandPeriod = 5 * time.Second
	// demandPeriods is how many past periods a decision gets.
	demandPeriods = 24
	// DefaultChangeTime is how long a role change takes an engine away.
	DefaultChangeTime = 10 * time.Second
)

// Members tells whether a backend server may be given new work, and why not.
type Members interface {
	Reason(server string, now time.Time) membership.Reason
}

// TrackerOptions of a Tracker.
type TrackerOptions struct {
	Members Members
	// ChangeTime is how long a role change takes an engine away, drain
	// included; 0 means DefaultChangeTime.
	ChangeTime time.Duration
	Tuning     planner.Tuning
	Seed       uint64
}

// Tracker gathers what decisions start from: the configuration in force, the
// loads that agents report and the demand that entries admit. It implements
// Observer and is safe for concurrent use.
type Tracker struct {
	options TrackerOptions

	mu       sync.RWMutex // guards the fields, not what they point to
	services map[string]*serviceView
	owner    map[string]*serviceView // by backend server
	revision uint64
}

// serviceView is what is known of one service, under its own lock.
type serviceView struct {
	mu      sync.Mutex
	config  *configv1.Service
	model   planner.Model
	engines []*engineView
	byName  map[string]*engineView
	demand  []demandBucket // oldest first
}

type engineView struct {
	config *configv1.BackendServer
	load   *peerv1.Load
	state  planner.EngineState
	since  time.Time
}

type demandBucket struct {
	start time.Time
	sum   planner.Demand
}

// NewTracker returns a tracker that knows no service yet.
func NewTracker(o TrackerOptions) *Tracker {
	if o.ChangeTime == 0 {
		o.ChangeTime = DefaultChangeTime
	}
	return &Tracker{options: o, services: map[string]*serviceView{}, owner: map[string]*serviceView{}}
}

// SetDeployment takes the configuration in force. What is known of services
// and engines that stay is kept.
func (t *Tracker) SetDeployment(d *configv1.Deployment, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := make(map[string]string)
	for _, m := range d.GetModels() {
		versions[m.GetName()] = m.GetVersion()
	}
	services := make(map[string]*serviceView)
	for _, s := range d.GetServices() {
		if s.GetKind() != configv1.ServiceKind_SERVICE_KIND_MODEL {
			continue
		}
		model := planner.Model{Name: s.GetModel(), Version: versions[s.GetModel()]}
		services[s.GetName()] = t.services[s.GetName()].reconfigured(s, model)
	}
	owner := make(map[string]*serviceView)
	for _, b := range d.GetBackendServers() {
		view, ok := services[b.GetService()]
		if !ok {
			continue
		}
		e := &engineView{config: b}
		if old := t.owner[b.GetName()].engine(b.GetName()); old != nil {
			e.load, e.state, e.since = old.load, old.state, old.since
		}
		view.engines = append(view.engines, e)
		view.byName[b.GetName()] = e
		owner[b.GetName()] = view
	}
	t.services, t.owner, t.revision = services, owner, revision
}

// reconfigured returns a new view that keeps the demand of the old one.
func (v *serviceView) reconfigured(s *configv1.Service, m planner.Model) *serviceView {
	next := &serviceView{config: s, model: m, byName: make(map[string]*engineView)}
	if v != nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		next.demand = append(next.demand, v.demand...)
	}
	return next
}

// engine returns a copy of what is known of an engine, or nil.
func (v *serviceView) engine(name string) *engineView {
	if v == nil {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.byName[name]
	if !ok {
		return nil
	}
	copied := *e
	return &copied
}

func (t *Tracker) service(name string) *serviceView {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[name]
}

// RecordLoad takes in the newest load of a backend server.
func (t *Tracker) RecordLoad(load *peerv1.Load) {
	t.mu.RLock()
	view := t.owner[load.GetBackendServer()]
	t.mu.RUnlock()
	if view == nil {
		return
	}
	view.mu.Lock()
	defer view.mu.Unlock()
	view.byName[load.GetBackendServer()].load = load
}

// AddDemand counts what an entry admitted.
func (t *Tracker) AddDemand(d *peerv1.Demand, now time.Time) {
	view := t.service(d.GetService())
	if view == nil {
		return
	}
	view.mu.Lock()
	defer view.mu.Unlock()
	sum := &view.bucket(now).sum
	sum.Requests += float64(d.GetRequests())
	sum.PromptTokens += float64(d.GetPromptTokens())
	sum.OutputTokens += float64(d.GetOutputTokens())
}

// bucket returns the period of now, after filling in those without demand.
func (v *serviceView) bucket(now time.Time) *demandBucket {
	start := now.Truncate(demandPeriod)
	n := len(v.demand)
	if n > 0 && start.Sub(v.demand[n-1].start) > demandPeriods*demandPeriod {
		v.demand = nil
	}
	if len(v.demand) == 0 {
		v.demand = append(v.demand, newBucket(start))
	}
	for last := v.demand[len(v.demand)-1].start; last.Before(start); {
		last = last.Add(demandPeriod)
		v.demand = append(v.demand, newBucket(last))
	}
	if extra := len(v.demand) - demandPeriods - 1; extra > 0 {
		v.demand = v.demand[extra:]
	}
	return &v.demand[len(v.demand)-1]
}

func newBucket(start time.Time) demandBucket {
	return demandBucket{start: start, sum: planner.Demand{Duration: demandPeriod}}
}

// Observe implements Observer. The period that is not over yet is left out.
func (t *Tracker) Observe(service string, now time.Time) (Observation, bool) {
	t.mu.RLock()
	view, revision := t.services[service], t.revision
	t.mu.RUnlock()
	if view == nil {
		return Observation{}, false
	}
	view.mu.Lock()
	defer view.mu.Unlock()
	in := planner.Input{
		Now:        now,
		Seed:       t.options.Seed,
		Service:    service,
		Model:      view.model,
		ChangeTime: t.options.ChangeTime,
		Tuning:     t.options.Tuning,
		Prices: planner.Prices{
			Goodput:    view.config.GetGoodputPrice(),
			RoleChange: view.config.GetRoleChangePrice(),
		},
		Limits: planner.Limits{
			MaxConcurrentChanges: int(view.config.GetMaxChanges()),
			MinDecodePerDomain:   int(view.config.GetMinDecodePerDomain()),
		},
	}
	if in.Tuning.ReverseWindow == 0 {
		in.Tuning.ReverseWindow = in.Prices.ReverseWindow()
	}
	view.bucket(now)
	for _, b := range view.demand[:len(view.demand)-1] {
		in.Demand = append(in.Demand, b.sum)
	}
	for _, e := range view.engines {
		e.move(t.options.Members.Reason(e.config.GetName(), now), now)
		in.Engines = append(in.Engines, e.input(view.model.Name))
		in.Backlog.PromptTokens += float64(e.load.GetQueuedPromptTokens())
		in.Backlog.OutputTokens += float64(e.load.GetExpectedOutputTokens())
	}
	return Observation{Input: in, ConfigRevision: revision}, true
}

// move notes when the engine's state changes.
func (e *engineView) move(why membership.Reason, now time.Time) {
	state := stateOf(why)
	if state != e.state || e.since.IsZero() {
		e.state, e.since = state, now
	}
}

func stateOf(why membership.Reason) planner.EngineState {
	switch why {
	case membership.Routable:
		return planner.StateServing
	case membership.Draining, membership.Changing:
		return planner.StateChanging
	case membership.DrainConfigured, membership.Leaving, membership.ListedLeaving:
		return planner.StateLeaving
	default:
		return planner.StateDown
	}
}

func (e *engineView) input(model string) planner.Engine {
	out := planner.Engine{
		Name:          e.config.GetName(),
		FailureDomain: e.config.GetFailureDomain(),
		State:         e.state,
		StateSince:    e.since,
		Role:          e.load.GetRole(),
		PrefillRate:   e.config.GetPrefillTokensPerSecond(),
		DecodeRate:    e.config.GetDecodeTokensPerSecond(),
	}
	if out.Role == configv1.Role_ROLE_UNSPECIFIED && e.load == nil {
		out.Role = e.config.GetRole()
	}
	if v := e.load.GetModelVersion(); v != "" {
		out.Model = planner.Model{Name: model, Version: v}
	}
	return out
}
