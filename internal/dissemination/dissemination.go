package dissemination

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

const (
	// maxDeltas is how many deltas a process keeps for its peers.
	maxDeltas = 32
	// viewAge is how long a view of the others is used.
	viewAge = time.Second
)

// ErrNotStarted says that the process does not know yet which configuration
// is in force.
var ErrNotStarted = errors.New("spread: no configuration is known to be in force yet")

// PeerClient calls other processes by the address of their peer listener.
type PeerClient interface {
	Heartbeat(ctx context.Context, address string, hb *peerv1.Heartbeat) (*peerv1.Heartbeat, error)
	FetchConfig(ctx context.Context, address string, fetch *peerv1.FetchConfig) (*peerv1.FetchConfigReply, error)
	FetchPlan(ctx context.Context, address string, fetch *peerv1.FetchPlan) (*peerv1.FetchPlanReply, error)
}

// Options of a Spreader. Functions that are nil do nothing, unless said
// otherwise. They must not block.
type Options struct {
	Self Member
	// Members returns the processes believed alive.
	Members func() []Member
	// Seeds are peer addresses known at start.
	Seeds []string
	Store platform.Store
	Peers PeerClient
	// HeartbeatInterval between heartbeats.
	HeartbeatInterval time.Duration
	// Log may be the zero value.
	Log logevent.Log
	// FillHeartbeat adds what others put into a heartbeat: incarnation, loads, demand.
	FillHeartbeat func(*peerv1.Heartbeat)
	// OnHeartbeat is called with each heartbeat heard.
	OnHeartbeat func(*peerv1.Heartbeat)
	// OnConfig is called with each configuration that comes in force, in
	// rising order of revisions. It must not call Accepted.
	OnConfig func(*configv1.AcceptedDeployment)
	// OnPlan is called with each newer or more complete plan, in rising order
	// of versions for a service.
	// It must not call Accepted.
	OnPlan func(*peerv1.Plan)
	// SelfNeedsPlan tells whether the process needs the plan of a service; nil
	// means all. Relays keep all.
	SelfNeedsPlan func(service string) bool
	// NeededBackendServers returns the backend servers whose assignments the process
	// needs of a service's plan; nil, or an empty list, means all. Relays
	// keep whole plans.
	NeededBackendServers func(service string) []string
	// MemberNeedsPlan tells whether another process needs the plan of a service,
	// so that a relay tells it at once; nil means that none is told.
	MemberNeedsPlan func(m Member, service string) bool
}

// Propagator keeps one process up to date and passes on what is newer. It is
// safe for concurrent use.
type Propagator struct {
	opts Options
	seed uint64

	// taking is held while something newer is taken, so that OnConfig and
	// OnPlan are called in order. It is locked before mu.
	taking sync.Mutex

	mu      sync.Mutex
	inForce *configv1.AcceptedDeployment
	deltas  []*configv1.DeploymentDelta
	plans   map[string]*plan
	round   uint64
	started bool
	// fresh is when the store gave the newest answer that inForce rests on,
	// as far as the process knows; zero means never.
	fresh time.Time
	alarm Alarm
	// seen is the view of the others as of seenAt.
	seen     View
	seenAt   time.Time
	fetching map[string]int
	// tell collects what loops have yet to tell others.
	tellConfig, firstHand bool
	tellPlans             map[string]bool

	wake chan struct{}
	// background counts the goroutines started by handlers.
	background sync.WaitGroup
	// ctx ends with Run; handlers start their goroutines under it.
	ctx context.Context
}

// Alarm is what operators have to look at.
type Alarm struct {
	Kind   config.Alarm
	Reason string
	Since  time.Time
}

// plan is the newest plan of a service, and the round it was learned in.
type plan struct {
	plan  *peerv1.Plan
	round uint64
	// servers are those whose assignments were asked for, if it is partial.
	servers []string
}

// covers tells whether the plan has the assignments of all given backend
// servers, where none stands for all.
func (p *plan) covers(servers []string) bool {
	if !p.plan.GetPartial() {
		return true
	}
	missing := func(name string) bool { return !slices.Contains(p.servers, name) }
	return len(servers) > 0 && !slices.ContainsFunc(servers, missing)
}

// New returns a Spreader; Run sets it going.
func New(opts Options) *Propagator {
	if opts.FillHeartbeat == nil {
		opts.FillHeartbeat = func(*peerv1.Heartbeat) {}
	}
	if opts.OnHeartbeat == nil {
		opts.OnHeartbeat = func(*peerv1.Heartbeat) {}
	}
	if opts.OnConfig == nil {
		opts.OnConfig = func(*configv1.AcceptedDeployment) {}
	}
	if opts.OnPlan == nil {
		opts.OnPlan = func(*peerv1.Plan) {}
	}
	if opts.SelfNeedsPlan == nil {
		opts.SelfNeedsPlan = func(string) bool { return true }
	}
	if opts.NeededBackendServers == nil {
		opts.NeededBackendServers = func(string) []string { return nil }
	}
	if opts.MemberNeedsPlan == nil {
		opts.MemberNeedsPlan = func(Member, string) bool { return false }
	}
	return &Propagator{
		opts:      opts,
		seed:      weight(opts.Self),
		plans:     make(map[string]*plan),
		fetching:  make(map[string]int),
		tellPlans: make(map[string]bool),
		wake:      make(chan struct{}, 1),
	}
}

// InForce returns the configuration in force, or nil before the first.
func (s *Propagator) InForce() *configv1.AcceptedDeployment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// Plan returns the newest plan of a service that the process has, or nil.
func (s *Propagator) Plan(service string) *peerv1.Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.plans[service]; ok {
		return p.plan
	}
	return nil
}

// Ready returns ErrNotStarted until the configuration in force is known.
func (s *Propagator) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started || s.inForce == nil {
		return ErrNotStarted
	}
	return nil
}

// Alarm returns the alarm that stands, or one of kind config.NoAlarm.
func (s *Propagator) Alarm() Alarm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alarm
}

// StoreResponseAge returns the age of the newest answer of the store that the
// process knows of, and false when there is none.
func (s *Propagator) StoreResponseAge() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age()
}

// age is StoreResponseAge for callers that hold the lock.
func (s *Propagator) age() (time.Duration, bool) {
	if s.fresh.IsZero() {
		return 0, false
	}
	return time.Since(s.fresh), true
}

// PublishConfig puts a configuration in force that this process has just stored,
// and tells others at once.
func (s *Propagator) PublishConfig(a *configv1.AcceptedDeployment) {
	s.takeConfig(a, config.FromStore, nil)
}

// PublishPlan takes a plan that this process has just stored, and tells others
// at once.
func (s *Propagator) PublishPlan(p *peerv1.Plan) { s.takePlan(p, nil) }

// Heartbeat returns what the process tells others now.
func (s *Propagator) Heartbeat() *peerv1.Heartbeat {
	hb := s.ownHeartbeat()
	s.opts.FillHeartbeat(hb)
	return hb
}

// ownHeartbeat is Heartbeat without what others put into it.
func (s *Propagator) ownHeartbeat() *peerv1.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	hb := &peerv1.Heartbeat{
		Sender:         s.opts.Self.Name,
		FailureDomain:  s.opts.Self.FailureDomain,
		Address:        s.opts.Self.Address,
		ConfigRevision: s.inForce.GetRevision(),
		Plans:          AdvertisedPlans(s.planStates(), s.round),
	}
	if s.alarm.Kind != config.NoAlarm {
		hb.ConfigAlarm = s.alarm.Kind.String()
	}
	if age, ok := s.age(); ok {
		hb.StoreAgeMs = uint64(age.Milliseconds()) + 1
	}
	return hb
}

// planStates returns the versions of the plans that the process can hand
// out, ordered by service. The caller holds the lock.
func (s *Propagator) planStates() []PlanState {
	list := make([]PlanState, 0, len(s.plans))
	for service, p := range s.plans {
		if !p.plan.GetPartial() {
			list = append(list, PlanState{Service: service, Version: p.plan.GetVersion(), Round: p.round})
		}
	}
	slices.SortFunc(list, func(a, b PlanState) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// takeConfig lets the decision judge a candidate and puts it in force if it
// says so. Delta is what led to the candidate, or nil.
func (s *Propagator) takeConfig(a *configv1.AcceptedDeployment, source config.Source, delta *configv1.DeploymentDelta) {
	s.taking.Lock()
	defer s.taking.Unlock()
	inForce := s.InForce()
	verdict := config.Evaluate(inForce, a, source)
	s.noteAlarm(verdict, source)
	if !verdict.Adopt {
		return
	}
	if delta == nil && inForce != nil {
		delta = config.NewDelta(inForce, a)
	}
	s.putInForce(a, source, delta)
	s.opts.OnConfig(a)
	s.opts.Log.Write(logevent.DeploymentApplied(a.GetRevision(), a.GetApplyId(), source.String()))
}

// putInForce keeps what takeConfig decided on, and has it told to others.
func (s *Propagator) putInForce(a *configv1.AcceptedDeployment, source config.Source, delta *configv1.DeploymentDelta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inForce = a
	if delta != nil {
		s.deltas = append(s.deltas[max(0, len(s.deltas)-maxDeltas+1):], delta)
	}
	s.tellConfig = true
	s.firstHand = s.firstHand || source == config.FromStore
	s.notify()
}

// noteAlarm keeps the latest alarm. It ends with an answer of the store that
// raises none, and when a newer configuration comes in force.
func (s *Propagator) noteAlarm(verdict config.Verdict, source config.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdict.Alarm == s.alarm.Kind {
		return
	}
	if verdict.Alarm == config.NoAlarm && source != config.FromStore && !verdict.Adopt {
		return
	}
	s.alarm = Alarm{Kind: verdict.Alarm, Reason: verdict.Reason, Since: time.Now()}
	s.opts.Log.Write(logevent.ConfigAlarm(verdict.Alarm.String(), verdict.Reason))
}

// takePlan keeps a plan if it is newer than the one known, or has more of the
// same version. Servers are those that a partial plan was asked for.
func (s *Propagator) takePlan(p *peerv1.Plan, servers []string) {
	s.taking.Lock()
	defer s.taking.Unlock()
	next := &plan{plan: p, servers: servers}
	s.mu.Lock()
	known, ok := s.plans[p.GetService()]
	if ok && !isNewer(known, next) {
		s.mu.Unlock()
		return
	}
	next.round = s.round
	s.plans[p.GetService()] = next
	s.tellPlans[p.GetService()] = true
	s.notify()
	s.mu.Unlock()
	s.opts.OnPlan(p)
}

// isNewer tells whether a plan is to replace the known one.
func isNewer(known, next *plan) bool {
	if next.plan.GetVersion() != known.plan.GetVersion() {
		return next.plan.GetVersion() > known.plan.GetVersion()
	}
	return known.plan.GetPartial() && (!next.plan.GetPartial() || !known.covers(next.servers))
}

// notify wakes the loop that tells others. The caller holds the lock.
func (s *Propagator) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// storeAnswered notes that what the process has is as new as the store.
func (s *Propagator) storeAnswered(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.fresh) {
		s.fresh = at
	}
}

// view returns how the process sees the others, at most viewAge ago.
func (s *Propagator) view() View {
	s.mu.Lock()
	seen, at := s.seen, s.seenAt
	s.mu.Unlock()
	if !at.IsZero() && time.Since(at) < viewAge {
		return seen
	}
	at = time.Now()
	seen = NewView(s.opts.Self, s.opts.Members())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen, s.seenAt = seen, at
	return seen
}
