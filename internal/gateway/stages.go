package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/stageplan"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

const (
	// reportInterval is the time between reads of the engines' reports, which
	// only the holder of the lease makes.
	reportInterval = 500 * time.Millisecond
	// maxReports is about how many engines are asked at a time, so that the
	// reads do not grow with the fleet.
	maxReports = 24
	// engineCallTimeout bounds a report or an order.
	engineCallTimeout = 800 * time.Millisecond
	// leasesPerTerm is the time to live of the stored lease in lease times, so
	// that the store can be away for a while without a change of the holder.
	leasesPerTerm = 2
	// lateOrder is how long an order without an answer may still be carried
	// out.
	lateOrder = 12 * time.Second
)

// EngineReport is what an engine tells of itself.
type EngineReport struct {
	Stage fleet.Stage
	// Changing is set while an order is carried out.
	Changing bool
	// OrdersAccepted is the number of orders that the engine has accepted.
	OrdersAccepted int64
	// Running and Queued requests.
	Running, Queued int
}

// StageOrder has an engine change its stage.
type StageOrder struct {
	Stage fleet.Stage
	// Holder of the right to give orders, and its fencing number.
	Holder       string
	FencingToken uint64
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before, so that an order that comes late has no effect.
	ExpectedOrders int64
	ServerID       string
}

// StageProtocol is how engines are asked for reports and given orders.
type StageProtocol interface {
	// ReportTarget is the request line's target of a report.
	ReportTarget() string
	// ParseReport reads a report.
	ParseReport(body []byte) (EngineReport, error)
	// OrderRequest returns an order as it is sent.
	OrderRequest(o StageOrder) upstream.Request
}

// stageKeeper has the engines of one service change their stages while this
// process holds the lease for it.
type stageKeeper struct {
	g        *Gateway
	log      logevent.Log
	service  string
	protocol StageProtocol
	keeper   *lease.Participant
	// members returns the gateways that may hold the lease.
	members func() []string
	// quiet is how long a new holder gives no order after it has got the
	// lease, so that it takes no turns with the one before.
	quiet time.Duration

	// turn says which engines are asked next.
	turn int

	state stageplan.State
	term  uint64
	since time.Duration
	// pending has the engines that were ordered without a clear answer.
	pending map[string]time.Duration
}

// StageControllerOptions say how engines are had to change their stages.
type StageControllerOptions struct {
	Protocol StageProtocol
	Leases   lease.Store
	// LeaseDuration is the time within which two holders must not take turns.
	LeaseDuration time.Duration
	// Members returns the gateways that may hold the lease; nil if they are
	// not known.
	Members func() []string
}

// stageKeepers runs a keeper for each service of engines.
type stageKeepers struct {
	g    *Gateway
	opts StageControllerOptions
}

// RunStageControllers has engines change their stages while this gateway holds the lease
// for their service, until ctx ends.
func (g *Gateway) RunStageControllers(ctx context.Context, opts StageControllerOptions) {
	ks := &stageKeepers{g: g, opts: opts}
	ks.run(ctx)
}

// run starts a keeper when a service of engines is first seen.
func (ks *stageKeepers) run(ctx context.Context) {
	started := make(map[string]bool)
	var running sync.WaitGroup
	defer running.Wait()
	every(ctx, reportInterval, func() {
		for name, s := range ks.g.state.Load().services {
			if s.engine == nil || started[name] {
				continue
			}
			started[name] = true
			running.Go(func() { ks.keeper(name).run(ctx) })
		}
	})
}

func (ks *stageKeepers) keeper(service string) *stageKeeper {
	self := lease.Identity{Name: ks.g.opts.Name, Incarnation: uint64(time.Now().UnixNano())}
	return &stageKeeper{
		g: ks.g, log: ks.g.log, service: service, protocol: ks.opts.Protocol,
		keeper: lease.NewParticipant(ks.opts.Leases, service, lease.Options{
			Self: self, TTL: leasesPerTerm * ks.opts.LeaseDuration, Clock: lease.BootTime, Rank: int(xxhash.Sum64String(self.Name) % firstRanks),
		}),
		members: ks.opts.Members,
		quiet:   ks.opts.LeaseDuration + ks.opts.LeaseDuration/4,
		pending: make(map[string]time.Duration),
	}
}

// firstRanks spreads the reads of the lease until the gateways know each
// other.
const firstRanks = 4

// run decides until ctx ends.
func (k *stageKeeper) run(ctx context.Context) {
	var loop sync.WaitGroup
	loop.Go(func() { k.keeper.Run(ctx) })
	defer loop.Wait()
	every(ctx, reportInterval, func() { k.tick(ctx) })
}

// tick makes one decision if this process holds the lease.
func (k *stageKeeper) tick(ctx context.Context) {
	if k.members != nil {
		k.keeper.SetRank(lease.Rank(k.service, k.g.opts.Name, k.members()))
	}
	authority, ok := k.keeper.Authority()
	if !ok {
		if k.term != 0 {
			k.log.Write(logevent.StageLeaseLost(k.service, k.term))
		}
		k.term = 0
		return
	}
	now := k.g.now()
	if authority.Term != k.term {
		k.log.Write(logevent.StageLeaseAcquired(k.service, authority.Term))
		k.term, k.since, k.state = authority.Term, now, stageplan.State{}
	}
	if k.g.leaving.Load() || now-k.since < k.quiet {
		return
	}
	s := k.g.state.Load().services[k.service]
	if s == nil || s.engine == nil {
		return
	}
	servers := s.servers()
	engines, reports := k.reports(ctx, servers)
	next, orders := stageplan.Decide(k.state, stageplan.DefaultOptions(s.engine.StageChangeTime), k.g.now(), engines)
	k.state = next
	for _, order := range orders {
		i := slices.IndexFunc(servers, func(server fleet.Server) bool { return server.ID == order.Engine })
		k.give(ctx, servers[i], order, reports[order.Engine])
	}
}

// reports reads the reports of the engines whose turn it is, at once. Engines
// that do not answer count for nothing.
func (k *stageKeeper) reports(ctx context.Context, servers []fleet.Server) ([]stageplan.Engine, map[string]EngineReport) {
	var mu sync.Mutex
	var known []stageplan.Engine
	reports := make(map[string]EngineReport, maxReports)
	var reads sync.WaitGroup
	turns := (len(servers) + maxReports - 1) / maxReports
	k.turn++
	for i, server := range servers {
		if server.Leaving || server.Stage == fleet.StageWhole {
			continue
		}
		engine := stageplan.Engine{ID: server.ID, Stage: server.Stage, Changing: k.isPending(server.ID), Slots: server.Slots}
		if i%turns != k.turn%turns {
			mu.Lock()
			known = append(known, engine)
			mu.Unlock()
			continue
		}
		reads.Go(func() {
			report, err := k.report(ctx, server)
			if err != nil {
				k.log.Write(logevent.EngineReportFailed(server.ID, err))
				return
			}
			engine.LoadKnown, engine.Stage = true, report.Stage
			engine.Changing = engine.Changing || report.Changing
			engine.Running, engine.Queued = report.Running, report.Queued
			mu.Lock()
			defer mu.Unlock()
			reports[server.ID] = report
			known = append(known, engine)
		})
	}
	reads.Wait()
	return known, reports
}

// isPending tells whether an order without an answer may still be carried out.
func (k *stageKeeper) isPending(id string) bool {
	until, ok := k.pending[id]
	return ok && k.g.now() < until
}

func (k *stageKeeper) report(ctx context.Context, server fleet.Server) (EngineReport, error) {
	request := upstream.Request{Method: http.MethodGet, Target: k.protocol.ReportTarget(), Host: server.Address, Header: http.Header{}}
	status, body, err := k.g.engineCall(ctx, server, request)
	if err != nil {
		return EngineReport{}, err
	}
	if status != http.StatusOK {
		return EngineReport{}, fmt.Errorf("report answered with status %d", status)
	}
	return k.protocol.ParseReport(body)
}

// give gives one order. The right to do so is looked at again right before.
func (k *stageKeeper) give(ctx context.Context, server fleet.Server, order stageplan.Order, report EngineReport) {
	authority, ok := k.keeper.Authority()
	if !ok || authority.Term != k.term {
		return
	}
	status, _, err := k.g.engineCall(ctx, server, k.protocol.OrderRequest(StageOrder{
		Stage: order.TargetStage, Holder: k.g.opts.Name, FencingToken: k.term, ExpectedOrders: report.OrdersAccepted, ServerID: server.ID,
	}))
	outcome := fmt.Sprintf("status %d", status)
	if err != nil {
		outcome = err.Error()
		k.pending[server.ID] = k.g.now() + lateOrder
	}
	k.log.Write(logevent.StageOrderSent(logevent.StageOrder{
		Server: server.ID, Service: k.service, Stage: order.TargetStage.String(), FencingToken: k.term, ExpectedOrders: report.OrdersAccepted,
		PrefillQueue: order.PrefillQueue, DecodeUtilization: order.DecodeUtilization, Outcome: outcome,
	}))
}

// engineCall makes a call to an engine that is not a caller's request.
func (g *Gateway) engineCall(ctx context.Context, server fleet.Server, r upstream.Request) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	e, err := g.pool.Do(ctx, server.Key(), r, func(http.Header) bool { return true })
	if err != nil {
		return 0, nil, err
	}
	defer e.Release()
	body, err := io.ReadAll(io.LimitReader(e.Response.Body, maxAnswerBytes))
	return e.Response.StatusCode, body, err
}
