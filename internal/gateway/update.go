package gateway

import (
	"cmp"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// state is the configuration in force. It is immutable and replaced as a
// whole.
type state struct {
	config   *fleet.Config
	services map[string]*service
}

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
	for _, s := range servers {
		byService[s.Service] = append(byService[s.Service], s)
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
	g.pool.Retain(stayingKeys(servers))
	g.metrics.configVersion.Set(float64(config.Version))
}

// stayingKeys returns the keys of the servers that do not leave.
func stayingKeys(servers []fleet.Server) []fleet.Key {
	keys := make([]fleet.Key, 0, len(servers))
	for _, s := range servers {
		if !s.Leaving {
			keys = append(keys, s.Key())
		}
	}
	return keys
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
