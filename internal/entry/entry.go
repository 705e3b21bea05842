package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/dissemination"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/membership"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/roster"
)

// Options configures an Entry.
type Options struct {
	// Name and FailureDomain identify the process.
	Name          string
	FailureDomain string
	// Region of the failure domain.
	Region string
	// Address is the IP:port of the peer listener.
	Address string
	// Incarnation increases with each start of the process.
	Incarnation uint64
	// Planner permits the process to hold planner leases.
	Planner bool
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval time.Duration
	// Seeds are peer addresses known at start.
	Seeds      []string
	Store      platform.Store
	Peers      *peerrpc.Client
	Log        logevent.Log
	Registerer prometheus.Registerer
}

// Entry serves callers and operators. It implements peerrpc.Handler and is safe
// for concurrent use.
type Entry struct {
	opts     Options
	log      logevent.Log
	metrics  *metrics
	catalog  atomic.Pointer[catalog.Catalog]
	draining atomic.Bool
	// refusing is set at the end of a drain in which requests keep arriving.
	refusing atomic.Bool
	// requests ends at the end of the entry's stop, and with it requests in flight.
	requests    context.Context
	endRequests context.CancelFunc
	// warm is set once each service has a serving backend server, or warmTimeout
	// has passed since the start.
	warm       atomic.Bool
	router     *router
	members    *membership.Table
	roster     *roster.Roster
	propagator *dissemination.Propagator
	// entries is the largest number of entries that an agent has reported, by
	// which shared limits are divided.
	entries  atomic.Int32
	planning *planning

	inflight inflight
	line     *line
	// configured wakes the loop that exchanges heartbeats with agents.
	configured chan struct{}
}

// New returns an Entry without configuration, which refuses all requests.
func New(opts Options) *Entry {
	e := &Entry{
		opts:    opts,
		log:     opts.Log,
		metrics: newMetrics(opts.Registerer),
		router:  newRouter(),
		members: membership.NewTable(0),
		roster:  roster.New(),
		line:    newLine(opts.Log),

		configured: make(chan struct{}, 1),
	}
	e.requests, e.endRequests = context.WithCancel(context.Background())
	e.line.registerMetrics(opts.Registerer)
	e.catalog.Store(catalog.New(nil))
	e.planning = newPlanning(e)
	e.propagator = dissemination.New(dissemination.Options{
		Self:              roster.EntryMember(opts.Address, opts.FailureDomain),
		Members:           e.roster.Members,
		Seeds:             opts.Seeds,
		Store:             opts.Store,
		Peers:             e.roster.WrapClient(opts.Peers),
		HeartbeatInterval: opts.HeartbeatInterval,
		Log:               opts.Log,
		FillHeartbeat:     e.fillHeartbeat,
		OnHeartbeat:       e.handleHeartbeat,
		OnConfig:          func(accepted *configv1.AcceptedDeployment) { e.SetCatalog(catalog.New(accepted)) },
		MemberNeedsPlan: func(m dissemination.Member, service string) bool {
			return roster.NeedsPlan(e.Catalog(), m.Address, service)
		},
	})
	return e
}

// handleHeartbeat processes a heartbeat of another process.
func (e *Entry) handleHeartbeat(h *peerv1.Heartbeat) {
	e.roster.ObserveHeartbeat(h)
	if h.GetSenderRole() == "agent" {
		e.observeHeartbeat(h)
	}
}

// Catalog returns the configuration in force.
func (e *Entry) Catalog() *catalog.Catalog { return e.catalog.Load() }

// SetCatalog applies a configuration to requests that arrive from now on.
func (e *Entry) SetCatalog(c *catalog.Catalog) {
	e.roster.SetCatalog(c)
	e.configureMembers(c)
	e.router.configure(c, e.location())
	e.catalog.Store(c)
	e.planning.configure(c)
	select {
	case e.configured <- struct{}{}:
	default:
	}
	e.log.Write(logevent.ConfigRevisionApplied(c.Revision()))
}

// Submit implements peerrpc.Handler. Entries execute no attempts, so it reports
// the attempt as not executed.
func (e *Entry) Submit(sender peerrpc.FrameSender, submit *peerv1.Submit) {
	frame := &peerv1.Frame{
		AttemptId: submit.GetAttemptId(),
		Kind:      peerv1.FrameKind_FRAME_KIND_FAILED,
		Reason:    peerv1.RefusalReason_REFUSAL_REASON_NO_BACKEND_SERVER,
		Ran:       peerv1.Ran_RAN_NO,
		Detail:    "an entry runs no attempts",
	}
	go func() { _ = sender.SendFrame(noDeadline(), frame) }()
}

// Withdraw implements peerrpc.Handler.
func (e *Entry) Withdraw(w *peerv1.Withdraw) *peerv1.WithdrawReply {
	return &peerv1.WithdrawReply{AttemptId: w.GetAttemptId(), State: peerv1.WithdrawState_WITHDRAW_STATE_WITHDRAWN}
}

// Heartbeat implements peerrpc.Handler.
func (e *Entry) Heartbeat(h *peerv1.Heartbeat) *peerv1.Heartbeat {
	return e.propagator.HandleHeartbeat(h)
}

// fillHeartbeat adds the entry's own state to a heartbeat.
func (e *Entry) fillHeartbeat(h *peerv1.Heartbeat) {
	h.Sender = e.opts.Name
	h.SenderRole = "entry"
	h.Incarnation = e.opts.Incarnation
	h.Leaving = e.draining.Load()
}

// FetchConfig implements peerrpc.Handler.
func (e *Entry) FetchConfig(f *peerv1.FetchConfig) *peerv1.FetchConfigReply {
	return e.propagator.HandleFetchConfig(f)
}

// FetchPlan implements peerrpc.Handler.
func (e *Entry) FetchPlan(f *peerv1.FetchPlan) *peerv1.FetchPlanReply {
	return e.propagator.HandleFetchPlan(f)
}

// location returns where the entry runs and how many entries there are.
func (e *Entry) location() location {
	return location{
		failureDomain: e.opts.FailureDomain,
		region:        e.opts.Region,
		entries:       int(max(e.entries.Load(), 1)),
	}
}
