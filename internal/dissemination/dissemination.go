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
	// maxDeltas is the number of recent configuration deltas kept to serve to
	// peers.
	maxDeltas = 32
	// viewAge is how long a computed View is reused.
	viewAge = time.Second
)

// ErrNotStarted is returned by Ready while the configuration in force is not
// known yet. Readiness responses contain its text, which therefore keeps the
// former name of this package.
var ErrNotStarted = errors.New("spread: no configuration is known to be in force yet")

// PeerClient calls other processes at the address (IP:port) of their peer
// listener.
type PeerClient interface {
	Heartbeat(ctx context.Context, address string, hb *peerv1.Heartbeat) (*peerv1.Heartbeat, error)
	FetchConfig(ctx context.Context, address string, fetch *peerv1.FetchConfig) (*peerv1.FetchConfigReply, error)
	FetchPlan(ctx context.Context, address string, fetch *peerv1.FetchPlan) (*peerv1.FetchPlanReply, error)
}

// Options configures a Propagator. A nil function does nothing unless its
// comment says otherwise. The functions must not block.
type Options struct {
	Self Member
	// Members returns the processes believed alive.
	Members func() []Member
	// Seeds are peer addresses to contact at start, before any member is known.
	Seeds []string
	Store platform.Store
	Peers PeerClient
	// HeartbeatInterval is the length of a heartbeat round.
	HeartbeatInterval time.Duration
	// Log receives log events; the zero value discards them.
	Log logevent.Log
	// FillHeartbeat adds the fields that other components own to an outgoing
	// heartbeat: incarnation, loads, demand.
	FillHeartbeat func(*peerv1.Heartbeat)
	// OnHeartbeat is called with each heartbeat received, replies included.
	OnHeartbeat func(*peerv1.Heartbeat)
	// OnConfig is called with each configuration that comes into force, in
	// increasing order of revision. It must not call PublishConfig or
	// PublishPlan.
	OnConfig func(*configv1.AcceptedDeployment)
	// OnPlan is called with each plan that replaces the one held, because it is
	// newer or contains more assignments of the same version. Calls for one
	// service are in non-decreasing order of version. It must not call
	// PublishConfig or PublishPlan.
	OnPlan func(*peerv1.Plan)
	// SelfNeedsPlan reports whether this process needs the plan of a service;
	// nil means all services. Relays keep every plan regardless.
	SelfNeedsPlan func(service string) bool
	// NeededBackendServers returns the backend servers whose assignments this
	// process needs from a service's plan; an empty list or a nil function
	// means all. Relays keep full plans regardless.
	NeededBackendServers func(service string) []string
	// MemberNeedsPlan reports whether another process needs the plan of a
	// service, so that a relay notifies it of a new version at once; nil means
	// that no member is notified.
	MemberNeedsPlan func(m Member, service string) bool
}

// Propagator keeps one process up to date and propagates newer versions to its
// peers. It is safe for concurrent use.
type Propagator struct {
	opts Options
	seed uint64

	// updateMu serializes updates of the configuration and the plans, so that
	// OnConfig and OnPlan are called in order. It is locked before mu.
	updateMu sync.Mutex

	mu      sync.Mutex
	inForce *configv1.AcceptedDeployment
	deltas  []*configv1.DeploymentDelta
	plans   map[string]*heldPlan
	round   uint64
	started bool
	// lastStoreResponse is the time of the newest store response, received
	// directly or reported by a peer, that confirmed inForce; zero means never.
	lastStoreResponse time.Time
	alarm             Alarm
	// cachedView is the latest View, computed at cachedViewAt.
	cachedView   View
	cachedViewAt time.Time
	// fetchesInFlight counts the fetches in flight by service; the empty
	// service stands for the configuration.
	fetchesInFlight map[string]int
	// notifyConfig, firstHand and notifyPlans collect pending notifications for
	// notifyLoop. firstHand is set if the configuration came from the store or
	// was accepted here, rather than from a peer.
	notifyConfig, firstHand bool
	notifyPlans             map[string]bool

	// wake signals notifyLoop that notifications are pending.
	wake chan struct{}
	// background tracks the goroutines started by request handlers.
	background sync.WaitGroup
	// ctx is the context of Run; goroutines started by request handlers use it.
	ctx context.Context
}

// Alarm is a problem with the configuration that an operator has to resolve.
type Alarm struct {
	Kind   config.Alarm
	Reason string
	Since  time.Time
}

// heldPlan is the newest plan of a service.
type heldPlan struct {
	plan *peerv1.Plan
	// round is the heartbeat round in which the plan was received.
	round uint64
	// servers are the backend servers that a partial plan was requested for.
	servers []string
}

// covers reports whether the plan contains the assignments of all given backend
// servers; an empty list means all of the service.
func (p *heldPlan) covers(servers []string) bool {
	if !p.plan.GetPartial() {
		return true
	}
	missing := func(name string) bool { return !slices.Contains(p.servers, name) }
	return len(servers) > 0 && !slices.ContainsFunc(servers, missing)
}

// New returns a Propagator; Run starts it.
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
		opts:            opts,
		seed:            rendezvousWeight(opts.Self),
		plans:           make(map[string]*heldPlan),
		fetchesInFlight: make(map[string]int),
		notifyPlans:     make(map[string]bool),
		wake:            make(chan struct{}, 1),
	}
}

// InForce returns the configuration in force, or nil before the first.
func (pr *Propagator) InForce() *configv1.AcceptedDeployment {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.inForce
}

// Plan returns the newest plan held for a service, or nil. It may be partial.
func (pr *Propagator) Plan(service string) *peerv1.Plan {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if p, ok := pr.plans[service]; ok {
		return p.plan
	}
	return nil
}

// Ready returns ErrNotStarted until the configuration in force is known.
func (pr *Propagator) Ready() error {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if !pr.started || pr.inForce == nil {
		return ErrNotStarted
	}
	return nil
}

// Alarm returns the active alarm, or one of kind config.NoAlarm.
func (pr *Propagator) Alarm() Alarm {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.alarm
}

// StoreResponseAge returns the age of the newest store response that the
// process knows of, or false if there is none.
func (pr *Propagator) StoreResponseAge() (time.Duration, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.storeResponseAgeLocked()
}

// storeResponseAgeLocked is StoreResponseAge for callers that hold mu.
func (pr *Propagator) storeResponseAgeLocked() (time.Duration, bool) {
	if pr.lastStoreResponse.IsZero() {
		return 0, false
	}
	return time.Since(pr.lastStoreResponse), true
}

// PublishConfig puts a configuration that this process has just stored into
// force and notifies peers at once.
func (pr *Propagator) PublishConfig(a *configv1.AcceptedDeployment) {
	pr.considerConfig(a, config.FromStore, nil)
}

// PublishPlan takes over a plan that this process has just stored and notifies
// peers at once.
func (pr *Propagator) PublishPlan(p *peerv1.Plan) { pr.considerPlan(p, nil) }

// Heartbeat returns the heartbeat to send now.
func (pr *Propagator) Heartbeat() *peerv1.Heartbeat {
	hb := pr.baseHeartbeat()
	pr.opts.FillHeartbeat(hb)
	return hb
}

// baseHeartbeat is Heartbeat without the fields added by Options.FillHeartbeat.
func (pr *Propagator) baseHeartbeat() *peerv1.Heartbeat {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	hb := &peerv1.Heartbeat{
		Sender:         pr.opts.Self.Name,
		FailureDomain:  pr.opts.Self.FailureDomain,
		Address:        pr.opts.Self.Address,
		ConfigRevision: pr.inForce.GetRevision(),
		Plans:          AdvertisedPlans(pr.planStates(), pr.round),
	}
	if pr.alarm.Kind != config.NoAlarm {
		hb.ConfigAlarm = pr.alarm.Kind.String()
	}
	if age, ok := pr.storeResponseAgeLocked(); ok {
		hb.StoreAgeMs = uint64(age.Milliseconds()) + 1
	}
	return hb
}

// planStates returns the versions of all plans held in full, which are the ones
// that peers can fetch, ordered by service. The caller holds mu.
func (pr *Propagator) planStates() []PlanState {
	list := make([]PlanState, 0, len(pr.plans))
	for service, p := range pr.plans {
		if !p.plan.GetPartial() {
			list = append(list, PlanState{Service: service, Version: p.plan.GetVersion(), Round: p.round})
		}
	}
	slices.SortFunc(list, func(a, b PlanState) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// considerConfig puts a candidate into force if config.Evaluate adopts it, and
// updates the alarm. Delta leads from the configuration in force to the
// candidate; nil means that it has to be computed.
func (pr *Propagator) considerConfig(a *configv1.AcceptedDeployment, source config.Source, delta *configv1.DeploymentDelta) {
	pr.updateMu.Lock()
	defer pr.updateMu.Unlock()
	inForce := pr.InForce()
	verdict := config.Evaluate(inForce, a, source)
	pr.updateAlarm(verdict, source)
	if !verdict.Adopt {
		return
	}
	if delta == nil && inForce != nil {
		delta = config.NewDelta(inForce, a)
	}
	pr.setInForce(a, source, delta)
	pr.opts.OnConfig(a)
	pr.opts.Log.Write(logevent.DeploymentApplied(a.GetRevision(), a.GetApplyId(), source.String()))
}

// setInForce replaces the configuration in force and schedules a notification
// of the peers.
func (pr *Propagator) setInForce(a *configv1.AcceptedDeployment, source config.Source, delta *configv1.DeploymentDelta) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.inForce = a
	if delta != nil {
		pr.deltas = append(pr.deltas[max(0, len(pr.deltas)-maxDeltas+1):], delta)
	}
	pr.notifyConfig = true
	pr.firstHand = pr.firstHand || source == config.FromStore
	pr.wakeNotifyLoop()
}

// updateAlarm updates the active alarm. An alarm is cleared by a store response
// that raises none, or when a newer configuration comes into force; a response
// from a peer that raises no alarm does not clear it.
func (pr *Propagator) updateAlarm(verdict config.Verdict, source config.Source) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if verdict.Alarm == pr.alarm.Kind {
		return
	}
	if verdict.Alarm == config.NoAlarm && source != config.FromStore && !verdict.Adopt {
		return
	}
	pr.alarm = Alarm{Kind: verdict.Alarm, Reason: verdict.Reason, Since: time.Now()}
	pr.opts.Log.Write(logevent.ConfigAlarm(verdict.Alarm.String(), verdict.Reason))
}

// considerPlan keeps a plan if it supersedes the one held. Servers are the
// backend servers that a partial plan was requested for.
func (pr *Propagator) considerPlan(p *peerv1.Plan, servers []string) {
	pr.updateMu.Lock()
	defer pr.updateMu.Unlock()
	next := &heldPlan{plan: p, servers: servers}
	pr.mu.Lock()
	known, ok := pr.plans[p.GetService()]
	if ok && !supersedes(known, next) {
		pr.mu.Unlock()
		return
	}
	next.round = pr.round
	pr.plans[p.GetService()] = next
	pr.notifyPlans[p.GetService()] = true
	pr.wakeNotifyLoop()
	pr.mu.Unlock()
	pr.opts.OnPlan(p)
}

// supersedes reports whether next supersedes the known plan: it has a higher
// version, or the same version with assignments that the known partial plan
// lacks.
func supersedes(known, next *heldPlan) bool {
	if next.plan.GetVersion() != known.plan.GetVersion() {
		return next.plan.GetVersion() > known.plan.GetVersion()
	}
	return known.plan.GetPartial() && (!next.plan.GetPartial() || !known.covers(next.servers))
}

// wakeNotifyLoop wakes notifyLoop. The caller holds mu.
func (pr *Propagator) wakeNotifyLoop() {
	select {
	case pr.wake <- struct{}{}:
	default:
	}
}

// recordStoreResponse records that the configuration held was up to date with
// the store at the given time.
func (pr *Propagator) recordStoreResponse(at time.Time) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if at.After(pr.lastStoreResponse) {
		pr.lastStoreResponse = at
	}
}

// view returns the current View of the members, computed at most viewAge ago.
func (pr *Propagator) view() View {
	pr.mu.Lock()
	view, at := pr.cachedView, pr.cachedViewAt
	pr.mu.Unlock()
	if !at.IsZero() && time.Since(at) < viewAge {
		return view
	}
	at = time.Now()
	view = NewView(pr.opts.Self, pr.opts.Members())
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.cachedView, pr.cachedViewAt = view, at
	return view
}
