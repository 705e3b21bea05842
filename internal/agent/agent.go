package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/dissemination"
	"github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/membership"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/roster"
)

// DefaultLoadInterval is the default time between two reads of an engine's
// state.
const DefaultLoadInterval = 500 * time.Millisecond

// Options configures an Agent.
type Options struct {
	// Name, FailureDomain and Address (IP:port of the peer listener) identify
	// the process. The agent serves the backend servers whose configured agent
	// is Address.
	Name          string
	FailureDomain string
	Address       string
	// Incarnation increases with each start of the process.
	Incarnation uint64
	// Seeds are peer addresses known at start.
	Seeds []string
	// Store holds the configuration, the plans and the ledgers of the plain
	// services.
	Store platform.Store
	Peers dissemination.PeerClient
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval time.Duration
	// LoadInterval is the time between two reads of an engine's state; 0 means
	// DefaultLoadInterval.
	LoadInterval time.Duration
	// DialEngine returns a client for the engine at a base URL.
	DialEngine    func(baseURL string) engine.Engine
	LedgerMetrics *ledger.Metrics
	Log           logevent.Log
}

// Agent serves peers on behalf of its backend servers. It implements
// peerrpc.Handler and is safe for concurrent use.
type Agent struct {
	opts       Options
	started    time.Time
	attempts   *attemptTable
	plainHTTP  *http.Client
	plans      *plans
	entries    entryTracker
	roster     *roster.Roster
	propagator *dissemination.Propagator
	// stateChanged wakes the loop that notifies entries of changed server states:
	// gates that open or close, and engines that go down or recover.
	stateChanged chan struct{}

	ledgerWriters map[string]*ledger.Writer
	ledgerLoops   sync.WaitGroup
	ledgerCtx     context.Context
	cancelLedgers context.CancelFunc

	mu       sync.RWMutex
	catalog  *catalog.Catalog
	servers  map[string]*server
	draining bool
	// listedLeaving is set while the platform lists the instance as leaving.
	listedLeaving bool
}

// New returns an Agent without configuration, which refuses all attempts.
func New(opts Options) *Agent {
	if opts.LoadInterval == 0 {
		opts.LoadInterval = DefaultLoadInterval
	}
	a := &Agent{
		opts:          opts,
		started:       time.Now(),
		attempts:      newAttemptTable(opts.Incarnation),
		plainHTTP:     newPlainClient(),
		plans:         newPlans(),
		roster:        roster.New(),
		catalog:       catalog.New(nil),
		servers:       make(map[string]*server),
		ledgerWriters: make(map[string]*ledger.Writer),
		stateChanged:  make(chan struct{}, 1),
	}
	a.ledgerCtx, a.cancelLedgers = context.WithCancel(context.Background())
	a.propagator = dissemination.New(dissemination.Options{
		Self:              roster.Member(opts.Address, opts.FailureDomain),
		Members:           a.roster.Members,
		Seeds:             opts.Seeds,
		Store:             opts.Store,
		Peers:             a.roster.WrapClient(opts.Peers),
		HeartbeatInterval: opts.HeartbeatInterval,
		Log:               opts.Log,
		FillHeartbeat:     a.fillHeartbeat,
		OnHeartbeat:       a.roster.ObserveHeartbeat,
		OnConfig:          func(accepted *configv1.AcceptedDeployment) { a.SetCatalog(catalog.New(accepted)) },
		OnPlan:            a.plans.set,
		SelfNeedsPlan:     func(service string) bool { return a.needsPlan(opts.Address, service) },
		MemberNeedsPlan:   func(m dissemination.Member, service string) bool { return a.needsPlan(m.Address, service) },

		NeededBackendServers: a.serversOfService,
	})
	return a
}

func (a *Agent) needsPlan(address, service string) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return roster.NeedsPlan(a.catalog, address, service)
}

// serversOfService returns the backend servers of a service that this agent serves.
func (a *Agent) serversOfService(service string) []string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	var names []string
	for _, b := range a.catalog.BackendServersOfAgent(a.opts.Address) {
		if b.GetService() == service {
			names = append(names, b.GetName())
		}
	}
	return names
}

// SetCatalog applies a configuration. New backend servers are added; the gates
// of removed ones are closed, and their running attempts finish.
func (a *Agent) SetCatalog(c *catalog.Catalog) {
	a.roster.SetCatalog(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.catalog = c
	wanted := make(map[string]bool)
	for _, b := range c.BackendServersOfAgent(a.opts.Address) {
		wanted[b.GetName()] = true
		a.setServer(c, b)
	}
	for name, s := range a.servers {
		if !wanted[name] {
			s.closeGate(closedByConfig)
			s.stop()
			delete(a.servers, name)
		}
	}
	a.updateLedgerIntervals(c)
	a.opts.Log.Write(logevent.ConfigRevisionApplied(c.Revision()))
}

func (a *Agent) setServer(c *catalog.Catalog, b *configv1.BackendServer) {
	s, ok := a.servers[b.GetName()]
	if !ok {
		s = a.newServer(c, b)
		a.servers[b.GetName()] = s
	}
	s.configure(b)
	s.setClosed(closedByList, a.listedLeaving)
	if a.draining {
		s.closeGate(closedByShutdown)
	}
}

func (a *Agent) newServer(c *catalog.Catalog, b *configv1.BackendServer) *server {
	service, _ := c.Service(b.GetService())
	if service.GetKind() != configv1.ServiceKind_SERVICE_KIND_MODEL {
		s := newServer(b, service.GetKind(), newGate(a.attempts), &plainRunner{client: a.plainHTTP, baseURL: b.GetAddress()})
		s.incarnation, s.onChange = a.opts.Incarnation, a.notifyStateChange
		s.ledger = a.ledger(b.GetService(), b.GetName())
		return s
	}
	e := a.opts.DialEngine(b.GetAddress())
	s := newServer(b, service.GetKind(), newGate(a.attempts), &engineRunner{engine: e, model: service.GetModel()})
	s.incarnation, s.onChange = a.opts.Incarnation, a.notifyStateChange
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	// The reconciler opens the gate once it knows the engine's state.
	s.closeGate(closedByOrder)
	go a.reconcile(ctx, s, e)
	go a.watchState(ctx, s, e)
	return s
}

// Submit implements peerrpc.Handler.
func (a *Agent) Submit(sender peerrpc.FrameSender, submit *peerv1.Submit) {
	a.entries.record(submit.GetSender())
	a.mu.RLock()
	s, ok := a.servers[submit.GetBackendServer()]
	a.mu.RUnlock()
	if !ok {
		a.attempts.withdraw(submit.GetAttemptId())
		out := newEmitter(noDeadline(), sender, submit, func() *peerv1.Load { return nil })
		go out.fail(notExecuted(peerv1.RefusalReason_REFUSAL_REASON_NO_BACKEND_SERVER, "not behind this agent"))
		return
	}
	s.submit(sender, submit)
}

// Withdraw implements peerrpc.Handler.
func (a *Agent) Withdraw(w *peerv1.Withdraw) *peerv1.WithdrawReply {
	return a.attempts.handleWithdraw(w)
}

// Incarnation implements peerrpc.IncarnationReporter.
func (a *Agent) Incarnation() uint64 { return a.opts.Incarnation }

// Heartbeat implements peerrpc.Handler.
func (a *Agent) Heartbeat(h *peerv1.Heartbeat) *peerv1.Heartbeat {
	a.entries.recordHeartbeat(h)
	return a.propagator.HandleHeartbeat(h)
}

// fillHeartbeat adds the agent's own state to a heartbeat.
func (a *Agent) fillHeartbeat(h *peerv1.Heartbeat) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	h.Sender = a.opts.Name
	h.SenderRole = "agent"
	h.Incarnation = a.opts.Incarnation
	h.Leaving = a.draining
	h.Entries = a.entries.count()
	for _, s := range a.servers {
		h.Loads = append(h.Loads, s.load())
	}
}

// FetchConfig implements peerrpc.Handler.
func (a *Agent) FetchConfig(f *peerv1.FetchConfig) *peerv1.FetchConfigReply {
	return a.propagator.HandleFetchConfig(f)
}

// FetchPlan implements peerrpc.Handler.
func (a *Agent) FetchPlan(f *peerv1.FetchPlan) *peerv1.FetchPlanReply {
	return a.propagator.HandleFetchPlan(f)
}

// CloseGates closes all gates, so that no new attempt starts. From then on
// heartbeats report that the agent is leaving.
func (a *Agent) CloseGates() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	for _, s := range a.servers {
		s.closeGate(closedByShutdown)
	}
}

// setLeaving processes the addresses that the platform lists as leaving. The
// agent closes its gates itself, because an entry may be cut off from the list.
func (a *Agent) setLeaving(addresses []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listedLeaving = membership.ContainsInstance(addresses, a.opts.Address)
	for _, s := range a.servers {
		s.setClosed(closedByList, a.listedLeaving)
	}
}

// watchInstances polls the platform's list of leaving instances until ctx ends.
func (a *Agent) watchInstances(ctx context.Context) {
	membership.WatchLeaving(ctx, a.opts.Store, membership.DefaultListInterval, a.setLeaving)
}

// Wait returns when no attempts are in flight at the configured backend
// servers. It does not wait for attempts at servers that the configuration has
// removed.
func (a *Agent) Wait() {
	a.mu.RLock()
	servers := make([]*server, 0, len(a.servers))
	for _, s := range a.servers {
		servers = append(servers, s)
	}
	a.mu.RUnlock()
	for _, s := range servers {
		s.gate.active.Wait()
	}
}
