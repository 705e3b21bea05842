package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/duty"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/stageplan"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

const (
	// pollInterval is how often the lease holder polls the engines' reports.
	pollInterval = 500 * time.Millisecond
	// maxPolledEngines is the maximum number of engines polled per round, so that
	// the polling load does not grow with the fleet.
	maxPolledEngines = 24
	// engineCallTimeout bounds a report or an order call to an engine.
	engineCallTimeout = 800 * time.Millisecond
	// ttlFactor is the time to live of the stored lease in lease durations. It
	// lets the holder keep the lease while the store is briefly unavailable.
	ttlFactor = 2
	// orderOutcomeTimeout is how long an order without an answer may still be
	// carried out.
	orderOutcomeTimeout = 12 * time.Second
)

// EngineReport is an engine's report on its state.
type EngineReport struct {
	Stage fleet.Stage
	// Changing is set while the engine carries out an order.
	Changing bool
	// OrdersAccepted is the number of orders that the engine has accepted.
	OrdersAccepted int64
	// StartedUnixMs is the start time in Unix milliseconds; 0 if unknown.
	StartedUnixMs int64
	// Running and Queued are numbers of requests.
	Running, Queued int
	// Leaving is whether the engine takes no new work because it leaves.
	Leaving bool
}

// StageOrder is an order to an engine to change its stage.
type StageOrder struct {
	Stage fleet.Stage
	// Holder is the lease holder that sends the order, and FencingToken the term
	// of its lease.
	Holder       string
	FencingToken uint64
	// ExpectedOrders is the number of orders that the engine must have accepted
	// so far, so that a delayed order has no effect.
	ExpectedOrders int64
	ServerID       string
}

// StageProtocol translates reports from and orders to engines.
type StageProtocol interface {
	// ReportTarget returns the request target of a report.
	ReportTarget() string
	// ParseReport reads the body of a report.
	ParseReport(body []byte) (EngineReport, error)
	// OrderRequest returns the request that sends an order.
	OrderRequest(o StageOrder) upstream.Request
}

// stageController changes the stages of one service's engines while this
// process holds the lease for it.
type stageController struct {
	g        *Gateway
	log      logevent.Log
	service  string
	protocol StageProtocol
	duty     *duty.Duty

	// pollRound selects the engines that are polled in this round.
	pollRound int

	// state and term belong to the lease currently held; term is 0 while the lease is not
	// held.
	state stageplan.State
	term  uint64
	// pending maps engines whose last order had no clear answer to the time from
	// which that order can no longer be carried out.
	pending map[string]time.Duration
}

// StageControllerOptions configures the stage controllers.
type StageControllerOptions struct {
	Protocol StageProtocol
	Leases   lease.Store
	// LeaseDuration is the time within which the lease must not change hands
	// back and forth between gateways.
	LeaseDuration time.Duration
	// Members returns the gateways that may hold the lease; nil if unknown.
	Members func() []string
}

// stageControllers runs one controller for each service of engines.
type stageControllers struct {
	g    *Gateway
	opts StageControllerOptions
}

// RunStageControllers changes the stages of engines while this gateway holds
// the lease for their service, until ctx ends.
func (g *Gateway) RunStageControllers(ctx context.Context, opts StageControllerOptions) {
	controllers := &stageControllers{g: g, opts: opts}
	controllers.run(ctx)
}

// run starts a controller when a service of engines first appears.
func (cs *stageControllers) run(ctx context.Context) {
	started := make(map[string]bool)
	var running sync.WaitGroup
	defer running.Wait()
	runEvery(ctx, pollInterval, func() {
		for name, s := range cs.g.state.Load().services {
			if s.engineSpec() == nil || started[name] {
				continue
			}
			started[name] = true
			running.Go(func() { cs.controller(name).run(ctx) })
		}
	})
}

func (cs *stageControllers) controller(service string) *stageController {
	settle := settlePeriod(cs.opts.LeaseDuration)
	return &stageController{
		g: cs.g, log: cs.g.log, service: service, protocol: cs.opts.Protocol,
		duty: duty.New(duty.Options{
			Name: service, Holder: cs.g.opts.Name, Store: cs.opts.Leases, TTL: ttlFactor * cs.opts.LeaseDuration,
			SettleAfterExpiry: settle, SettleAfterRelease: settle,
			Members: cs.opts.Members, Rank: initialRank(cs.g.opts.Name), OnRestore: cs.g.logLeaseRestore(service),
		}),
		pending: make(map[string]time.Duration),
	}
}

// settlePeriod returns how long a new holder does not act whose predecessor may have acted
// until just before, so that the acts of several holders do not interleave.
func settlePeriod(leaseDuration time.Duration) time.Duration { return leaseDuration + leaseDuration/4 }

// initialRank returns the rank of a gateway for leases until the others are known.
func initialRank(name string) int { return int(xxhash.Sum64String(name) % initialRanks) }

// logLeaseRestore returns a function that logs that a restore of the store suspends a lease.
func (g *Gateway) logLeaseRestore(name string) func(generation uint64, wait time.Duration) {
	return func(generation uint64, wait time.Duration) {
		g.log.Write(logevent.LeaseSuspendedByRestore(name, generation, wait))
	}
}

// initialRanks is the number of ranks over which gateways are spread until they
// know each other. A gateway with a higher rank reads the lease less often (see
// lease.Options.Rank).
const initialRanks = 4

// run makes decisions until ctx ends.
func (c *stageController) run(ctx context.Context) {
	var loop sync.WaitGroup
	loop.Go(func() { c.duty.Run(ctx) })
	defer loop.Wait()
	runEvery(ctx, pollInterval, func() { c.tick(ctx) })
}

// tick makes one decision if this process holds the lease.
func (c *stageController) tick(ctx context.Context) {
	token, ok := c.duty.Token()
	if !ok {
		if c.term != 0 {
			c.log.Write(logevent.StageLeaseLost(c.service, c.term))
		}
		c.term = 0
		return
	}
	if token.Fence != c.term {
		c.log.Write(logevent.StageLeaseAcquired(c.service, token.Fence))
		c.term, c.state = token.Fence, stageplan.State{}
	}
	if c.g.stop.hasBegun() {
		return
	}
	s := c.g.state.Load().services[c.service]
	if s == nil {
		return
	}
	spec := s.engineSpec()
	if spec == nil {
		return
	}
	servers := s.servers()
	engines, reports := c.reports(ctx, s, servers)
	next, orders := stageplan.Decide(c.state, stageplan.DefaultOptions(spec.StageChangeTime), c.g.now(), engines)
	c.state = next
	for _, order := range orders {
		i := slices.IndexFunc(servers, func(server fleet.Server) bool { return server.ID == order.Engine })
		c.sendOrder(ctx, s, servers[i], order, reports[order.Engine])
	}
}

// reports polls the engines that are due in this round, in parallel. Engines
// that are not due are returned as registered. Engines that do not answer, that
// are leaving or that have no separate stage are left out.
func (c *stageController) reports(ctx context.Context, s *service, servers []fleet.Server) ([]stageplan.Engine, map[string]EngineReport) {
	var mu sync.Mutex
	var known []stageplan.Engine
	reports := make(map[string]EngineReport, maxPolledEngines)
	var reads sync.WaitGroup
	rounds := (len(servers) + maxPolledEngines - 1) / maxPolledEngines
	c.pollRound++
	for i, server := range servers {
		if server.Leaving || server.Stage == fleet.StageWhole {
			continue
		}
		engine := stageplan.Engine{ID: server.ID, Stage: server.Stage, Changing: c.isPending(server.ID), Slots: server.Slots}
		if i%rounds != c.pollRound%rounds || c.spare(s, server) {
			mu.Lock()
			known = append(known, engine)
			mu.Unlock()
			continue
		}
		reads.Go(func() {
			report, err := c.report(ctx, s, server)
			if err != nil {
				c.log.Write(logevent.EngineReportFailed(server.ID, err))
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

// limitedPollRounds is how many rounds pass between two polls of an engine that
// has stated a limit, since polls count as requests.
const limitedPollRounds = 10

// spare reports whether an engine is not polled in this round because it has
// stated a limit or asked for a pause.
func (c *stageController) spare(s *service, server fleet.Server) bool {
	return s.isPaused(c.g.now(), server.ID) || s.isLimited(server.ID) && c.pollRound%limitedPollRounds != 0
}

// isPending reports whether an order without an answer may still be carried
// out.
func (c *stageController) isPending(id string) bool {
	until, ok := c.pending[id]
	return ok && c.g.now() < until
}

func (c *stageController) report(ctx context.Context, s *service, server fleet.Server) (EngineReport, error) {
	request := upstream.Request{Method: http.MethodGet, Target: c.protocol.ReportTarget(), Host: server.Address, Header: http.Header{}}
	response, err := c.g.engineCall(ctx, server, request)
	if err != nil {
		return EngineReport{}, err
	}
	if response.status != http.StatusOK {
		c.g.observeReportRefusal(s, server, response)
		return EngineReport{}, fmt.Errorf("report answered with status %d", response.status)
	}
	report, err := c.protocol.ParseReport(response.body)
	if err != nil {
		return EngineReport{}, err
	}
	c.g.observeReport(server, report, response)
	return report, nil
}

// sendOrder sends one order. It checks the lease again immediately before.
func (c *stageController) sendOrder(ctx context.Context, s *service, server fleet.Server, order stageplan.Order, report EngineReport) {
	token, ok := c.duty.Token()
	if !ok || token.Fence != c.term {
		return
	}
	response, err := c.g.engineCall(ctx, server, c.protocol.OrderRequest(StageOrder{
		Stage: order.TargetStage, Holder: c.g.opts.Name, FencingToken: c.term, ExpectedOrders: report.OrdersAccepted, ServerID: server.ID,
	}))
	outcome := fmt.Sprintf("status %d", response.status)
	switch {
	case errors.Is(err, errServerPaused):
		outcome = "not sent: " + err.Error()
	case err != nil:
		outcome = err.Error()
		c.pending[server.ID] = c.g.now() + orderOutcomeTimeout
	default:
		c.g.observeOrderAnswer(s, server, response)
	}
	c.log.Write(logevent.StageOrderSent(logevent.StageOrder{
		Server: server.ID, Service: c.service, Stage: order.TargetStage.String(), FencingToken: c.term, ExpectedOrders: report.OrdersAccepted,
		PrefillQueue: order.PrefillQueue, DecodeUtilization: order.DecodeUtilization, Outcome: outcome,
	}))
}

// callResponse is the response to a call on the gateway's own behalf.
type callResponse struct {
	status int
	header http.Header
	body   []byte
}

// engineCall sends a request to a server on the gateway's own behalf and returns the
// response. The request has no ID and therefore a connection of its own.
func (g *Gateway) engineCall(ctx context.Context, server fleet.Server, r upstream.Request) (callResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	if !g.mayCall(server) {
		return callResponse{}, errServerPaused
	}
	exchange, err := g.pool.Do(ctx, server.Key(), r)
	if err != nil {
		return callResponse{}, err
	}
	defer exchange.Release()
	memory := g.buffers.NewReservation()
	defer memory.Release()
	body, err := exchange.ReadBody(maxResponseBytes, memory)
	return callResponse{exchange.Response.StatusCode, exchange.Response.Header, body}, err
}
