package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/drain"
	"github.com/marigoldwing/marigoldwing/internal/eventstream"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/poison"
	"github.com/marigoldwing/marigoldwing/internal/retry"
	"github.com/marigoldwing/marigoldwing/internal/serverlimit"
	"github.com/marigoldwing/marigoldwing/internal/streamorigin"
)

// service holds the state of one service under its own lock, so that requests
// to different services do not contend.
type service struct {
	name string

	mu sync.Mutex
	// engine is nil for a service without engines; use engineSpec to read it.
	engine     *fleet.EngineSpec
	healthPath string
	table      *placement.Table
	health     *retry.HealthTracker
	budget     *retry.Budget
	limits     *serverlimit.Book
	shares     shares
	poison     *poison.Detector
	origins    *streamorigin.Origins
	// numbering is how servers number the events of streams.
	numbering eventstream.Numbering
	// durations are those of the latest answers, by the kind of their requests.
	durations  map[fleet.RequestKind]*drain.Durations
	registered []fleet.Server
	// malformedLoads are the servers whose stated load could not be read, for the log.
	malformedLoads map[string]bool
	// coordinatorSince is when this gateway became the coordinator that places
	// all long prompts of the service, or notCoordinator.
	coordinatorSince time.Duration
}

func (g *Gateway) newService(spec fleet.Service) *service {
	limits := serverlimit.New(g.opts.Name, minGateways)
	limits.SetGateways(g.now(), g.sharingGateways())
	placementOptions := placement.DefaultOptions(g.opts.FailureDomain)
	placementOptions.Gateway = g.opts.Name
	return &service{
		name:    spec.Name,
		engine:  spec.Engine,
		table:   placement.NewTable(placementOptions, spec.Engine),
		health:  retry.NewHealthTracker(retry.DefaultHealthOptions()),
		budget:  retry.NewBudget(g.now(), g.retryOptions()),
		limits:  limits,
		poison:  poison.New(),
		origins: streamorigin.New(g.now()),

		malformedLoads:   make(map[string]bool),
		durations:        make(map[fleet.RequestKind]*drain.Durations),
		coordinatorSince: notCoordinator,
	}
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
	s.setHealth(now, servers)
	s.registered = servers
	clear(s.malformedLoads)
	s.limits.Retain(now, startsOf(servers))
	return crashes, s.origins.SetVersions(now, softwareVersions(servers))
}

// setHealth updates which servers have a health, and which have started again. The
// caller holds s.mu.
func (s *service) setHealth(now time.Duration, servers []fleet.Server) {
	starts := make(map[string]int64, len(s.registered))
	for _, old := range s.registered {
		starts[old.ID] = old.StartedUnixMs
	}
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	s.health.SetServers(ids)
	for _, server := range servers {
		if before, known := starts[server.ID]; known && server.StartedUnixMs > before {
			s.health.RecordStart(now, server.ID)
		}
	}
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

// engineSpec returns the description of the service's engines, or nil if its servers
// are no engines. A configuration may change it at any time.
func (s *service) engineSpec() *fleet.EngineSpec {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine
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
	s.setWeightsIn(s.table, now, mayUse)
}

// setWeightsIn is setWeights for a copy of the placement table.
func (s *service) setWeightsIn(table *placement.Table, now time.Duration, mayUse func(now time.Duration, id string) bool) {
	for _, server := range s.registered {
		weight := 0.0
		if mayUse(now, server.ID) {
			weight = s.health.Weight(now, server.ID)
		}
		table.SetWeight(server.ID, weight)
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

// firstMalformedLoad reports whether this is the first malformed load of a server.
func (s *service) firstMalformedLoad(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.malformedLoads[id] {
		return false
	}
	s.malformedLoads[id] = true
	return true
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
