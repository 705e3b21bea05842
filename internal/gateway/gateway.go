// Package gateway serves callers' requests at backend servers that have no
// agent: it takes each request whole, chooses a server, sends it there, and
// returns the server's whole answer or a truthful refusal.
//
// Decisions are in other packages: fleet (what may be used), placement (where
// a request goes), retry (whether it is sent again, and who is left alone).
// This package connects them to sockets and clocks.
package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/retry"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

// Options of a gateway.
type Options struct {
	Name          string
	FailureDomain string
	Protocol      Protocol
	Log           logevent.Log
	Registerer    prometheus.Registerer
	// RetryBudget bounds repeated sends to each service.
	RetryBudget RetryBudget
}

// RetryBudget are the retry budget that all gateways share.
type RetryBudget struct {
	// Ratio of repeated sends to requests.
	Ratio float64
	// Reserve of repeated sends in each window beside the ratio.
	Reserve float64
}

// Gateway serves callers.
type Gateway struct {
	opts    Options
	log     logevent.Log
	pool    *upstream.Pool
	metrics *metrics
	origin  time.Time
	state   atomic.Pointer[state]
	leaving atomic.Bool
	seed    atomic.Uint64
	retries atomic.Pointer[RetryBudget]
	// live returns the number of gateways that live; nil if this is alone.
	live func() int
	// coordination has long prompts placed by one gateway; nil if this is
	// alone.
	coordination *coordination
}

// state is what is in force. It is replaced as a whole.
type state struct {
	config   *fleet.Config
	services map[string]*service
}

// service is the shard of one service, under its own lock.
type service struct {
	name   string
	engine *fleet.EngineSpec

	mu     sync.Mutex
	table  *placement.Table
	health *retry.HealthTracker
	budget *retry.Budget
	known  []fleet.Server
	// placesAllSince is since when this gateway places all long prompts of the
	// service, or notPlacing.
	placesAllSince time.Duration
}

// New returns a gateway that knows no configuration yet.
func New(opts Options) *Gateway {
	g := &Gateway{
		opts:    opts,
		log:     opts.Log,
		pool:    upstream.NewPool(),
		metrics: newMetrics(opts.Registerer),
		origin:  time.Now(),
	}
	g.setRetries(opts.RetryBudget)
	g.state.Store(&state{services: map[string]*service{}})
	opts.Registerer.MustRegister(loadCollector{g})
	return g
}

// ConnectionsOpened returns the number of connections opened to backend
// servers.
func (g *Gateway) ConnectionsOpened() int64 { return g.pool.ConnectionsOpened() }

// setRetries replaces the retry budget that all gateways share.
func (g *Gateway) setRetries(o RetryBudget) { g.retries.Store(&o) }

// now returns the monotonic time since the gateway was made.
func (g *Gateway) now() time.Duration { return time.Since(g.origin) }

// Update puts a configuration and a set of servers in force. Calls must not
// overlap.
func (g *Gateway) Update(config *fleet.Config, servers []fleet.Server) {
	if config == nil {
		return
	}
	old := g.state.Load()
	next := &state{config: config, services: make(map[string]*service)}
	byService := make(map[string][]fleet.Server)
	keys := make([]fleet.Key, 0, len(servers))
	for _, s := range servers {
		byService[s.Service] = append(byService[s.Service], s)
		if !s.Leaving {
			keys = append(keys, s.Key())
		}
	}
	for _, name := range config.Services() {
		spec, _ := config.Service(name)
		s := old.services[name]
		if s == nil {
			s = g.newService(spec)
		}
		s.setServers(spec, byService[name])
		next.services[name] = s
	}
	g.state.Store(next)
	g.pool.Retain(keys)
	g.metrics.configVersion.Set(float64(config.Version))
}

func (g *Gateway) newService(spec fleet.Service) *service {
	return &service{
		name:   spec.Name,
		engine: spec.Engine,
		table:  placement.NewTable(placement.DefaultOptions(g.opts.FailureDomain), spec.Engine),
		health: retry.NewHealthTracker(retry.DefaultHealthOptions()),
		budget: retry.NewBudget(g.retryOptions()),

		placesAllSince: notPlacing,
	}
}

// retryOptions returns this gateway's share of the retry budget.
func (g *Gateway) retryOptions() retry.Options {
	budget := g.retries.Load()
	options := retry.DefaultOptions(budget.Ratio)
	options.BudgetReserve = budget.Reserve / float64(max(g.gateways(), leastGateways))
	return options
}

// leastGateways is the smallest number of gateways that the reserve of the
// retry budget is shared by, as some may not have been heard of yet.
const leastGateways = 4

// gateways returns the number of gateways that live.
func (g *Gateway) gateways() int {
	if g.live == nil {
		return 1
	}
	return g.live()
}

func (s *service) setServers(spec fleet.Service, servers []fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = spec.Engine
	s.table.SetServers(spec.Engine, servers)
	s.known = servers
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	s.health.SetServers(ids)
}

// servers returns the registered servers.
func (s *service) servers() []fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// choose chooses a server for a request.
func (s *service) choose(now time.Duration, r placement.Request) (placement.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setWeights(now)
	return s.table.Choose(now, r)
}

// setWeights has the table follow the servers' health; s.mu is held.
func (s *service) setWeights(now time.Duration) {
	for _, server := range s.known {
		s.table.SetWeight(server.ID, s.health.Weight(now, server.ID))
	}
}

// ownLoads and peerLoads exchange what gateways have at the servers.

func (s *service) ownLoads() []placement.GatewayLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.OwnLoads()
}

func (s *service) peerLoads(now time.Duration, peer string, loads []placement.GatewayLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetPeerLoads(now, peer, loads)
}

// chooseDecode chooses where a prefilled prompt is decoded.
func (s *service) chooseDecode(now time.Duration, r placement.Request, prefill fleet.Server) (placement.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ChooseDecode(now, r, prefill)
}

// sent, started, ended and told pass events on to the table.

func (s *service) sent(now time.Duration, send placement.Send) *placement.InFlightSend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RecordSend(now, send)
}

func (s *service) started(now time.Duration, k *placement.InFlightSend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordPrefilled(now, k)
}

func (s *service) ended(k *placement.InFlightSend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordEnd(k)
}

func (s *service) told(now time.Duration, id string, a ResponseMeta) {
	if !a.HasLoad {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordLoad(now, id, a.Load)
}

// refused and accepted tell whether a server takes requests.

func (s *service) refused(now time.Duration, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordRefusal(now, id)
}

func (s *service) accepted(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordAcceptance(id)
}

// succeeded and failed follow the health of a server.

func (s *service) succeeded(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.RecordSuccess(id)
}

func (s *service) failed(now time.Duration, id string) (ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.RecordFailure(now, id)
}

func (s *service) attempted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordFirstAttempt()
}

func (s *service) setRetryOptions(o retry.Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetOptions(o)
}

func (s *service) decide(a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Decide(a)
}
