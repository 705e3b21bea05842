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
	// demandPeriod is the length of one period in which demand is counted.
	demandPeriod = 5 * time.Second
	// demandPeriods is the number of past periods passed to a decision.
	demandPeriods = 24
	// DefaultChangeTime is how long a role change makes an engine unavailable.
	DefaultChangeTime = 10 * time.Second
)

// Members reports whether a backend server may get new work, and the reason if
// not.
type Members interface {
	Reason(server string, now time.Time) membership.Reason
}

// TrackerOptions configure a Tracker.
type TrackerOptions struct {
	Members Members
	// ChangeTime is how long a role change makes an engine unavailable,
	// including its drain. Zero means DefaultChangeTime.
	ChangeTime time.Duration
	Tuning     planner.Tuning
	Seed       uint64
}

// Tracker collects the input of decisions: the configuration in force, the
// loads that agents report and the demand from all entries, which follows from
// the request counters in those reports. It implements Observer and is safe for
// concurrent use.
type Tracker struct {
	options TrackerOptions

	mu              sync.RWMutex // guards the maps, but not the views that they point to
	services        map[string]*serviceView
	serviceByServer map[string]*serviceView // by name of the backend server
	revision        uint64
}

// serviceView is the state of one service, protected by its own lock.
type serviceView struct {
	mu      sync.Mutex
	config  *configv1.Service
	model   planner.Model
	engines []*engineView
	byName  map[string]*engineView
	demand  []demandBucket // oldest first
}

// engineView is the state of one engine, protected by the lock of its service.
type engineView struct {
	config *configv1.BackendServer
	load   *peerv1.Load
	state  planner.EngineState
	since  time.Time
}

// demandBucket is the demand of one period that begins at start.
type demandBucket struct {
	start time.Time
	sum   planner.Demand
}

// NewTracker returns a tracker without services.
func NewTracker(o TrackerOptions) *Tracker {
	if o.ChangeTime == 0 {
		o.ChangeTime = DefaultChangeTime
	}
	return &Tracker{options: o, services: map[string]*serviceView{}, serviceByServer: map[string]*serviceView{}}
}

// SetDeployment replaces the configuration. Services and engines that remain
// keep their state.
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
	serviceByServer := make(map[string]*serviceView)
	for _, b := range d.GetBackendServers() {
		view, ok := services[b.GetService()]
		if !ok {
			continue
		}
		e := &engineView{config: b}
		if old := t.serviceByServer[b.GetName()].engine(b.GetName()); old != nil {
			e.load, e.state, e.since = old.load, old.state, old.since
		}
		view.engines = append(view.engines, e)
		view.byName[b.GetName()] = e
		serviceByServer[b.GetName()] = view
	}
	t.services, t.serviceByServer, t.revision = services, serviceByServer, revision
}

// reconfigured returns a view with a new configuration and the demand of v,
// which may be nil.
func (v *serviceView) reconfigured(s *configv1.Service, m planner.Model) *serviceView {
	next := &serviceView{config: s, model: m, byName: make(map[string]*engineView)}
	if v != nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		next.demand = append(next.demand, v.demand...)
	}
	return next
}

// engine returns a copy of the state of an engine, or nil if v is nil or the
// engine is unknown.
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

// RecordLoad replaces the load report of a backend server.
func (t *Tracker) RecordLoad(load *peerv1.Load) {
	t.mu.RLock()
	view := t.serviceByServer[load.GetBackendServer()]
	t.mu.RUnlock()
	if view == nil {
		return
	}
	view.mu.Lock()
	defer view.mu.Unlock()
	view.byName[load.GetBackendServer()].load = load
}

// AddDemand adds demand on a service to the current period.
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

// bucket returns the bucket of the current period. It first adds empty buckets
// for periods without demand and drops old ones.
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

// Observe implements Observer. It leaves out the current period, which is
// incomplete.
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
		e.updateState(t.options.Members.Reason(e.config.GetName(), now), now)
		in.Engines = append(in.Engines, e.input(view.model.Name))
		in.Backlog.PromptTokens += float64(e.load.GetQueuedPromptTokens())
		in.Backlog.OutputTokens += float64(e.load.GetExpectedOutputTokens())
	}
	return Observation{Input: in, ConfigRevision: revision}, true
}

// updateState updates the state and, if it has changed, the time since when it
// holds.
func (e *engineView) updateState(reason membership.Reason, now time.Time) {
	state := stateOf(reason)
	if state != e.state || e.since.IsZero() {
		e.state, e.since = state, now
	}
}

func stateOf(reason membership.Reason) planner.EngineState {
	switch reason {
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

// input returns the planner's view of the engine, without its desired
// assignment. Until the engine reports its load, its role is taken from the
// configuration.
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
