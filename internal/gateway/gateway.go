// Package gateway implements marigold-gateway, an HTTP reverse proxy for
// backend servers that have no agent. It buffers each request, chooses a
// backend server, sends the request there, and relays the complete response or
// an error response that states correctly whether the request may have been
// executed.
//
// The decisions are made by other packages: fleet holds the configuration and
// the registered servers, placement chooses a server, and retry decides about
// retries and the ejection of failing servers. This package connects them to
// sockets and clocks.
package gateway

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marigoldwing/marigoldwing/internal/departure"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/poison"
	"github.com/marigoldwing/marigoldwing/internal/retry"
	"github.com/marigoldwing/marigoldwing/internal/serverlimit"
	"github.com/marigoldwing/marigoldwing/internal/streamorigin"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

// Options configures a Gateway.
type Options struct {
	Name          string
	FailureDomain string
	Protocol      Protocol
	// StageProtocol is used to ask an engine for its state; nil if engines are not
	// asked.
	StageProtocol StageProtocol
	Log           logevent.Log
	Registerer    prometheus.Registerer
	// RetryBudget limits the retries to each service, summed over all gateways.
	RetryBudget RetryBudget
	// BufferBytes bounds the answers that are buffered at the same time, beyond the
	// first 64 KiB of each; 0 means defaultBufferBytes.
	BufferBytes int64
}

// defaultBufferBytes is the BufferBytes of a gateway whose memory is not known.
const defaultBufferBytes = 64 << 20

// RetryBudget is a retry budget that all gateways share.
type RetryBudget struct {
	// Ratio is the permitted number of retries per request.
	Ratio float64
	// Reserve is the largest number of retries that can be accumulated.
	Reserve float64
	// Window is the time in which Ratio and Reserve bound the retries. Zero
	// means that the reserve is only filled by requests.
	Window time.Duration
}

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	opts      Options
	log       logevent.Log
	pool      *upstream.Pool
	buffers   *upstream.Buffers
	metrics   *metrics
	startTime time.Time
	state     atomic.Pointer[state]
	draining  atomic.Bool
	// updateMu is held while the servers of services change. registered are those of
	// the latest Update.
	updateMu   sync.Mutex
	registered []fleet.Server
	// retired are services that are missing from the configuration. They keep what is
	// known of their servers, should they come back.
	retired map[string]retiredService
	// evidenceChanged is set if there is something new about crashes of engines that
	// other gateways should learn soon.
	evidenceChanged atomic.Bool
	// seed is incremented for each retry decision, so that their jitter differs.
	seed        atomic.Uint64
	retryBudget atomic.Pointer[RetryBudget]
	// peers reports on the other gateways; nil if the gateway runs without peers.
	peers Peers
	// coordination lets one gateway per service place all long prompts; nil if
	// the gateway runs without peers.
	coordination *coordination
	// trials decides when blocked parts and requests are tried.
	trials *trials
	// departures are the departures that servers have stated in their answers.
	departures departures
	// origins lets gateways remember where each other's streams began; nil if the gateway
	// runs without peers.
	origins *streamOrigins
}

// state is the configuration in force. It is immutable and replaced as a
// whole.
type state struct {
	config   *fleet.Config
	services map[string]*service
}

// service holds the state of one service under its own lock, so that requests
// to different services do not contend.
type service struct {
	name   string
	engine *fleet.EngineSpec

	mu         sync.Mutex
	healthPath string
	table      *placement.Table
	health     *retry.HealthTracker
	budget     *retry.Budget
	limits     *serverlimit.Book
	poison     *poison.Detector
	origins    *streamorigin.Origins
	registered []fleet.Server
	// coordinatorSince is when this gateway became the coordinator that places
	// all long prompts of the service, or notCoordinator.
	coordinatorSince time.Duration
}

// New returns a Gateway without configuration. It refuses all requests until
// the first Update.
func New(opts Options) *Gateway {
	g := &Gateway{
		opts:       opts,
		log:        opts.Log,
		pool:       upstream.NewPool(),
		buffers:    upstream.NewBuffers(cmp.Or(opts.BufferBytes, defaultBufferBytes)),
		metrics:    newMetrics(opts.Registerer),
		startTime:  time.Now(),
		departures: departures{book: departure.New(), asked: make(map[fleet.Key]bool)},
		retired:    make(map[string]retiredService),
	}
	g.trials = ownTrials(g)
	g.setRetryBudget(opts.RetryBudget)
	g.state.Store(&state{services: map[string]*service{}})
	opts.Registerer.MustRegister(loadCollector{g})
	return g
}

// ConnectionsOpened returns the number of connections to backend servers opened
// since the start.
func (g *Gateway) ConnectionsOpened() int64 { return g.pool.ConnectionsOpened() }

// setRetryBudget replaces the retry budget shared by all gateways.
func (g *Gateway) setRetryBudget(budget RetryBudget) { g.retryBudget.Store(&budget) }

// now returns the monotonic time since New.
func (g *Gateway) now() time.Duration { return time.Since(g.startTime) }

// Update applies a configuration and a set of registered servers. A nil config
// changes nothing.
func (g *Gateway) Update(config *fleet.Config, servers []fleet.Server) {
	if config == nil {
		return
	}
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	g.update(config, servers)
}

// update is Update for callers that hold g.updateMu.
func (g *Gateway) update(config *fleet.Config, registered []fleet.Server) {
	g.registered = registered
	servers, unclear := g.departures.apply(g.now(), registered)
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
	var gone []func()
	for _, name := range config.Services() {
		spec, _ := config.Service(name)
		s := cmp.Or(old.services[name], g.retired[name].service)
		if s == nil {
			s = g.newService(spec)
		}
		crashes, begun := s.setServers(g.now(), spec, byService[name])
		for _, crash := range crashes {
			gone = append(gone, func() { g.crashObserved(s, crash, poisonFromSelf) })
		}
		g.origins.announce(name, begun)
		next.services[name] = s
	}
	g.retire(old, next)
	g.state.Store(next)
	for _, observe := range gone {
		observe()
	}
	for _, server := range unclear {
		if s := next.services[server.Service]; s != nil {
			go g.askDeparture(s, server)
		}
	}
	g.pool.Retain(keys)
	g.metrics.configVersion.Set(float64(config.Version))
}

// retiredService is a service that is missing from the configuration since a time.
type retiredService struct {
	service *service
	since   time.Duration
}

// retiredMemory is how long a service is kept that is missing from the configuration.
const retiredMemory = 10 * time.Minute

// retire keeps the services that the next state lacks for a while.
func (g *Gateway) retire(old, next *state) {
	now := g.now()
	for name, s := range old.services {
		if next.services[name] == nil {
			g.retired[name] = retiredService{s, now}
		}
	}
	for name, r := range g.retired {
		if next.services[name] != nil || now-r.since > retiredMemory {
			delete(g.retired, name)
		}
	}
}

func (g *Gateway) newService(spec fleet.Service) *service {
	limits := serverlimit.New(g.opts.Name, minGateways)
	limits.SetGateways(g.now(), g.sharingGateways())
	return &service{
		name:    spec.Name,
		engine:  spec.Engine,
		table:   placement.NewTable(placement.DefaultOptions(g.opts.FailureDomain), spec.Engine),
		health:  retry.NewHealthTracker(retry.DefaultHealthOptions()),
		budget:  retry.NewBudget(g.now(), g.retryOptions()),
		limits:  limits,
		poison:  poison.New(),
		origins: streamorigin.New(g.now()),

		coordinatorSince: notCoordinator,
	}
}

// retryOptions returns this gateway's share of the retry budget.
func (g *Gateway) retryOptions() retry.Options {
	budget := g.retryBudget.Load()
	options := retry.DefaultOptions(budget.Ratio)
	options.BudgetReserve = budget.Reserve / float64(max(len(g.sharingGateways()), minGateways))
	options.RefillTime = refillWindows * budget.Window
	return options
}

// refillWindows is the number of budget windows in which the reserve is refilled.
// In one window a gateway can then spend 1 + 1/refillWindows of its share: what it
// had saved up and what time adds, also if it is restarted in between. With
// budgetSafetyFactor that is the whole reserve.
const refillWindows = 4

// minGateways is the smallest number of gateways by which limits for the whole
// fleet are divided. Shortly after the start some peers may not be known yet, and
// dividing by too small a number would exceed the limit.
const minGateways = 4

// Peers reports on the gateways of the fleet, this one included.
type Peers interface {
	// LiveCount returns the number of live gateways.
	LiveCount() int
	// SharingNames returns the names of the gateways that may be serving callers,
	// among which limits for the whole fleet are divided.
	SharingNames() []string
	// Owner returns the live gateway that is responsible for a key; the address is
	// empty if it is this one.
	Owner(key string) (name, address string)
	// Keepers returns the addresses of at most n live gateways, other than this one, that
	// keep what belongs to a key.
	Keepers(key string, n int) []string
	// NotifyPeers sends a heartbeat to some gateways at once.
	NotifyPeers()
}

// sharingGateways returns the names of the gateways among which limits for the
// whole fleet are divided.
func (g *Gateway) sharingGateways() []string {
	if g.peers == nil {
		return []string{g.opts.Name}
	}
	return g.peers.SharingNames()
}

// setServers replaces the registered servers. It returns the crashes of engines that
// have lost requests and are no longer registered, and the streams that other gateways
// must learn of because the servers now have several software versions.
func (s *service) setServers(now time.Duration, spec fleet.Service, servers []fleet.Server) ([]poison.Crash, []streamorigin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine, s.healthPath = spec.Engine, spec.HealthPath
	s.table.SetServers(spec.Engine, servers)
	crashes := s.enginesGone(now, servers)
	s.registered = servers
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	s.health.SetServers(ids)
	s.limits.Retain(now, startsOf(servers))
	return crashes, s.origins.SetVersions(now, softwareVersions(servers))
}

// enginesGone returns the crashes of engines that are missing from the new list. The
// caller holds s.mu.
func (s *service) enginesGone(now time.Duration, servers []fleet.Server) []poison.Crash {
	var crashes []poison.Crash
	for _, old := range s.registered {
		isOld := func(server fleet.Server) bool { return server.Key() == old.Key() }
		if old.Leaving || slices.ContainsFunc(servers, isOld) {
			continue
		}
		if crash, ok := s.poison.EngineGone(now, engineName(old)); ok {
			crashes = append(crashes, crash)
		}
	}
	return crashes
}

// find returns a registered server. The caller holds s.mu.
func (s *service) find(id string) (fleet.Server, bool) {
	for _, server := range s.registered {
		if server.ID == id {
			return server, true
		}
	}
	return fleet.Server{}, false
}

// servers returns the registered servers.
func (s *service) servers() []fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registered
}

// choose selects a server for a request.
func (s *service) choose(now time.Duration, r placement.Request) (placement.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setWeights(now, s.limits.Allows)
	return s.table.Choose(now, r)
}

// setWeights copies the servers' health weights into the placement table and
// excludes the servers that a request must not use now. The caller holds s.mu.
func (s *service) setWeights(now time.Duration, mayUse func(now time.Duration, id string) bool) {
	for _, server := range s.registered {
		weight := 0.0
		if mayUse(now, server.ID) {
			weight = s.health.Weight(now, server.ID)
		}
		s.table.SetWeight(server.ID, weight)
	}
}

// anyServer permits all servers, for requests that other gateways send and count
// against their own shares of the servers' limits.
func anyServer(time.Duration, string) bool { return true }

// ownLoads returns this gateway's requests and queued work per server, for
// heartbeats.
func (s *service) ownLoads(now time.Duration) []placement.GatewayLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.OwnLoads(now)
}

// setPeerLoads stores the loads that another gateway reported in a heartbeat.
func (s *service) setPeerLoads(now time.Duration, peer string, loads []placement.GatewayLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetPeerLoads(now, peer, loads)
}

// chooseDecode selects the decode engine for a prompt that was prefilled at
// another engine.
func (s *service) chooseDecode(now time.Duration, r placement.Request, prefill fleet.Server) (placement.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setWeights(now, s.limits.Allows)
	return s.table.ChooseDecode(now, r, prefill)
}

// The following methods forward the events of an attempt to the placement table
// under the service's lock.

func (s *service) recordSend(now time.Duration, send placement.Send) *placement.InFlightSend {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Charge(now, send.ServerID)
	return s.table.RecordSend(now, send)
}

func (s *service) recordPrefilled(now time.Duration, send *placement.InFlightSend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordPrefilled(now, send)
}

func (s *service) recordEnd(now time.Duration, send *placement.InFlightSend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordEnd(now, send)
}

func (s *service) recordLoad(now time.Duration, id string, meta ResponseMeta) {
	if !meta.HasLoad {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordLoad(now, id, meta.Load)
}

func (s *service) recordRefusal(now time.Duration, id string, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordRefusal(now, id, pause)
}

func (s *service) recordAcceptance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordAcceptance(id)
}

// recordSuccess and recordFailure update the health that determines a server's
// placement weight.

func (s *service) recordSuccess(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.RecordSuccess(id)
}

func (s *service) recordFailure(now time.Duration, id string) retry.Ejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.RecordFailure(now, id)
}

func (s *service) recordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordFirstAttempt()
}

func (s *service) setRetryOptions(now time.Duration, o retry.Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetOptions(now, o)
}

func (s *service) decideRetry(now time.Duration, a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Decide(now, a)
}

func (s *service) decideSend(now time.Duration) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.DecideSend(now)
}
