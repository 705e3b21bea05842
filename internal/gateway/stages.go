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

// Report is what an engine tells of itself.
type Report struct {
	Stage fleet.Stage
	// Changing is set while an order is carried out.
	Changing bool
	// Orders is the number of orders that the engine has accepted.
	Orders int64
	// Running and Queued requests.
	Running, Queued int
}

// StageOrder has an engine change its stage.
type StageOrder struct {
	Stage fleet.Stage
	// Holder of the right to give orders, and its fencing number.
	Holder string
	Fence  uint64
	// Expected is the number of orders that the engine must have accepted
	// before, so that an order that comes late has no effect.
	Expected int64
	ServerID string
}

// StageProtocol is how engines are asked for reports and given orders.
type StageProtocol interface {
	// ReportTarget is the request line's target of a report.
	ReportTarget() string
	// ReadReport reads a report.
	ReadReport(body []byte) (Report, error)
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
	keeper   *lease.Keeper
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

// StageOptions say how engines are had to change their stages.
type StageOptions struct {
	Protocol StageProtocol
	Leases   lease.Store
	// Lease is the time within which two holders must not take turns.
	Lease time.Duration
	// Members returns the gateways that may hold the lease; nil if they are
	// not known.
	Members func() []string
}

// stageKeepers runs a keeper for each service of engines.
type stageKeepers struct {
	g    *Gateway
	opts StageOptions
}

// RunStages has engines change their stages while this gateway holds the lease
// for their service, until ctx ends.
func (g *Gateway) RunStages(ctx context.Context, opts StageOptions) {
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
		keeper: lease.NewKeeper(ks.opts.Leases, service, lease.Options{
			Self: self, TTL: leasesPerTerm * ks.opts.Lease, Clock: lease.BootTime, Rank: int(xxhash.Sum64String(self.Name) % firstRanks),
		}),
		members: ks.opts.Members,
		quiet:   ks.opts.Lease + ks.opts.Lease/4,
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
			k.log.Write(logevent.OrdersRightLost(k.service, k.term))
		}
		k.term = 0
		return
	}
	now := k.g.now()
	if authority.Term != k.term {
		k.log.Write(logevent.OrdersRightTaken(k.service, authority.Term))
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
	next, orders := stageplan.Decide(k.state, stageplan.DefaultOptions(s.engine.StageChange), k.g.now(), engines)
	k.state = next
	for _, order := range orders {
		i := slices.IndexFunc(servers, func(server fleet.Server) bool { return server.ID == order.Engine })
		k.give(ctx, servers[i], order, reports[order.Engine])
	}
}

// reports reads the reports of the engines whose turn it is, at once. Engines
// that do not answer count for nothing.
func (k *stageKeeper) reports(ctx context.Context, servers []fleet.Server) ([]stageplan.Engine, map[string]Report) {
	var mu sync.Mutex
	var known []stageplan.Engine
	reports := make(map[string]Report, maxReports)
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
				k.log.Write(logevent.ReportMissing(server.ID, err))
				return
			}
			engine.Asked, engine.Stage = true, report.Stage
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

func (k *stageKeeper) report(ctx context.Context, server fleet.Server) (Report, error) {
	request := upstream.Request{Method: http.MethodGet, Target: k.protocol.ReportTarget(), Host: server.Address, Header: http.Header{}}
	status, body, err := k.g.engineCall(ctx, server, request)
	if err != nil {
		return Report{}, err
	}
	if status != http.StatusOK {
		return Report{}, fmt.Errorf("report answered with status %d", status)
	}
	return k.protocol.ReadReport(body)
}

// give gives one order. The right to do so is looked at again right before.
func (k *stageKeeper) give(ctx context.Context, server fleet.Server, order stageplan.Order, report Report) {
	authority, ok := k.keeper.Authority()
	if !ok || authority.Term != k.term {
		return
	}
	status, _, err := k.g.engineCall(ctx, server, k.protocol.OrderRequest(StageOrder{
		Stage: order.To, Holder: k.g.opts.Name, Fence: k.term, Expected: report.Orders, ServerID: server.ID,
	}))
	outcome := fmt.Sprintf("status %d", status)
	if err != nil {
		outcome = err.Error()
		k.pending[server.ID] = k.g.now() + lateOrder
	}
	k.log.Write(logevent.OrderGiven(logevent.Order{
		Server: server.ID, Service: k.service, Stage: order.To.String(), Fence: k.term, Expected: report.Orders,
		PrefillQueue: order.PrefillQueue, DecodeUse: order.DecodeUse, Outcome: outcome,
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
	body, err := io.ReadAll(io.LimitReader(e.Answer.Body, maxAnswerBytes))
	return e.Answer.StatusCode, body, err
}
