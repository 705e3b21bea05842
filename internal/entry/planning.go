package entry

import (
	"context"
	"sync"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/membership"
	"github.com/marigoldwing/marigoldwing/internal/plannerloop"
)

// planning competes for the planner leases of all model services, and plans for
// the services whose lease this process holds.
type planning struct {
	entry   *Entry
	tracker *plannerloop.Tracker
	// changed wakes run when the configuration changes.
	changed chan struct{}

	mu     sync.Mutex
	totals map[string]totals
}

// totals are the latest counters reported for one backend server.
type totals struct {
	incarnation  uint64
	requests     uint64
	promptTokens uint64
	outputTokens uint64
}

func newPlanning(e *Entry) *planning {
	p := &planning{entry: e, changed: make(chan struct{}, 1), totals: make(map[string]totals)}
	p.tracker = plannerloop.NewTracker(plannerloop.TrackerOptions{Members: p, Seed: e.opts.Incarnation})
	return p
}

// Reason implements plannerloop.Members.
func (p *planning) Reason(server string, now time.Time) membership.Reason {
	return p.entry.members.Reason(server, now.Sub(p.entry.router.start))
}

// configure applies a configuration.
func (p *planning) configure(c *catalog.Catalog) {
	p.tracker.SetDeployment(c.Deployment(), c.Revision())
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// report processes a load report. Agents count the requests that they accept,
// so the differences between reports show the demand from all entries.
func (p *planning) report(service string, load *peerv1.Load) {
	p.tracker.RecordLoad(load)
	demand := p.demandSinceLast(load)
	if demand.GetRequests() == 0 {
		return
	}
	demand.Service = service
	p.tracker.AddDemand(demand, time.Now())
}

// demandSinceLast returns the demand since the last known counters. The counters
// start at 0 when the agent restarts; reports that arrive out of order are
// ignored. The first report of a backend server yields no demand, because it
// covers an unknown time.
func (p *planning) demandSinceLast(load *peerv1.Load) *peerv1.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := totals{
		incarnation:  load.GetIncarnation(),
		requests:     load.GetTotalRequests(),
		promptTokens: load.GetTotalPromptTokens(),
		outputTokens: load.GetTotalOutputTokens(),
	}
	last, known := p.totals[load.GetBackendServer()]
	if now.incarnation < last.incarnation {
		return &peerv1.Demand{}
	}
	if now.incarnation > last.incarnation {
		last = totals{incarnation: now.incarnation}
	}
	if now.requests < last.requests {
		return &peerv1.Demand{}
	}
	p.totals[load.GetBackendServer()] = now
	if !known {
		return &peerv1.Demand{}
	}
	return &peerv1.Demand{
		Requests:     int64(now.requests - last.requests),
		PromptTokens: int64(now.promptTokens - last.promptTokens),
		OutputTokens: int64(now.outputTokens - last.outputTokens),
	}
}

// run plans until ctx ends, and then releases the leases held. It returns at
// once if Options.Planner is not set.
func (p *planning) run(ctx context.Context) {
	running := make(map[string]context.CancelFunc)
	var loops sync.WaitGroup
	defer loops.Wait()
	for p.entry.opts.Planner {
		wanted := modelServices(p.entry.Catalog())
		for service := range wanted {
			if _, ok := running[service]; !ok {
				serviceCtx, cancel := context.WithCancel(ctx)
				running[service] = cancel
				loops.Go(func() { p.plan(serviceCtx, service) })
			}
		}
		for service, cancel := range running {
			if !wanted[service] {
				cancel()
				delete(running, service)
			}
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return
		}
	}
}

func modelServices(c *catalog.Catalog) map[string]bool {
	services := make(map[string]bool)
	for _, s := range c.Deployment().GetServices() {
		if s.GetKind() == configv1.ServiceKind_SERVICE_KIND_MODEL {
			services[s.GetName()] = true
		}
	}
	return services
}

// plan competes for one service's lease and plans while it is held.
func (p *planning) plan(ctx context.Context, service string) {
	e := p.entry
	self := lease.Identity{Name: e.opts.Name, Incarnation: e.opts.Incarnation}
	participant := lease.NewParticipant(e.opts.Store, service, lease.Options{Self: self, Rank: p.rank(service), Clock: lease.BootTime})
	loop := plannerloop.New(plannerloop.Config{
		Service:   service,
		Self:      self,
		Store:     e.opts.Store,
		Authority: participant,
		Observer:  p.tracker,
		Publisher: e.propagator,
		OnError:   func(err error) { e.log.Write(logevent.PlanningFailed(service, err)) },
		OnAuthority: func(term uint64, acquired bool) {
			e.log.Write(logevent.PlannerLeaseChanged(service, term, acquired))
		},
	})
	var wg sync.WaitGroup
	wg.Go(func() { participant.Run(ctx) })
	wg.Go(func() { loop.Run(ctx) })
	wg.Go(func() { p.updateRank(ctx, participant, service) })
	wg.Wait()
}

// updateRank updates the lease rank as entries appear and disappear.
func (p *planning) updateRank(ctx context.Context, participant *lease.Participant, service string) {
	ticker := time.NewTicker(lease.DefaultTTL)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			participant.SetRank(p.rank(service))
		case <-ctx.Done():
			return
		}
	}
}

// rank returns this process's position among the entries that may plan for a
// service.
func (p *planning) rank(service string) int {
	members := p.entry.roster.Members()
	names := make([]string, 0, len(members))
	for _, m := range members {
		if !p.entry.Catalog().IsAgent(m.Address) {
			names = append(names, m.Address)
		}
	}
	return lease.Rank(service, p.entry.opts.Address, names)
}
