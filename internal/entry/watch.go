package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/membership"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

const (
	// probesPerRound is the maximum number of agents probed per round of
	// heartbeats. If more are due, those silent for longest come first.
	probesPerRound = 4
	// probesPerLargeRound replaces probesPerRound for more than smallFleet
	// agents, where the dissemination of configurations takes a larger part of
	// the budget for control traffic.
	probesPerLargeRound = 2
	smallFleet          = 64
	// missedRounds is the number of probes that an agent may miss before it is
	// suspected. It is also the timeout of a probe in heartbeat intervals.
	missedRounds = 3
	// warmTimeout is the time after the start from which an entry reports itself
	// ready even if some service has no serving backend server.
	warmTimeout = 15 * time.Second
)

// configureMembers passes the configured backend servers to membership, and sets
// the time after which an agent that missed missedRounds probes is suspected.
func (e *Entry) configureMembers(c *catalog.Catalog) {
	servers := c.Deployment().GetBackendServers()
	configured := make([]membership.ConfiguredServer, 0, len(servers))
	for _, b := range servers {
		configured = append(configured, membership.ConfiguredServer{Name: b.GetName(), Agent: b.GetAgent(), Drain: b.GetDrain()})
	}
	e.members.SetConfigured(configured)
	probes := probesFor(len(c.Agents()))
	rounds := (len(c.Agents()) + probes - 1) / probes
	e.members.SetSuspectAfter(time.Duration(max(rounds, 1)*missedRounds) * e.opts.HeartbeatInterval)
}

// probesFor returns the maximum number of agents probed per round.
func probesFor(agents int) int {
	if agents > smallFleet {
		return probesPerLargeRound
	}
	return probesPerRound
}

// watchAgents probes the agents and updates the pools until ctx ends. Responses
// to requests count as heartbeats, so only agents without traffic are probed.
func (e *Entry) watchAgents(ctx context.Context) {
	ticker := time.NewTicker(e.opts.HeartbeatInterval)
	defer ticker.Stop()
	for {
		for _, address := range e.agentsToProbe() {
			go e.probe(ctx, address)
		}
		e.refresh()
		select {
		case <-ticker.C:
		case <-e.configured:
		case <-ctx.Done():
			return
		}
	}
}

// agentsToProbe returns the agents to probe in this round.
func (e *Entry) agentsToProbe() []string {
	c := e.Catalog()
	now := e.router.now()
	var candidates []probeCandidate
	for _, address := range c.Agents() {
		lastDirect := e.members.Evidence(c.BackendServersOfAgent(address)[0].GetName()).Process.LastDirect
		if lastDirect == 0 || now-lastDirect >= e.opts.HeartbeatInterval {
			candidates = append(candidates, probeCandidate{address: address, lastDirect: lastDirect})
		}
	}
	slices.SortFunc(candidates, func(a, b probeCandidate) int { return cmp.Compare(a.lastDirect, b.lastDirect) })
	candidates = candidates[:min(len(candidates), probesFor(len(c.Agents())))]
	addresses := make([]string, 0, len(candidates))
	for _, s := range candidates {
		addresses = append(addresses, s.address)
	}
	return addresses
}

// probeCandidate is an agent that is due for a probe, with the time at which its last
// direct heartbeat was received.
type probeCandidate struct {
	address    string
	lastDirect time.Duration
}

// probe exchanges heartbeats with one agent.
func (e *Entry) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, missedRounds*e.opts.HeartbeatInterval)
	defer cancel()
	heartbeat, err := e.opts.Peers.Heartbeat(ctx, address, e.propagator.Heartbeat())
	if err != nil {
		e.observeFailure(address)
		return
	}
	e.handleHeartbeat(heartbeat)
	e.updateEntries(heartbeat.GetEntries())
}

// updateEntries records how many entries an agent knows, if the number has grown. A
// smaller number is ignored, since one agent may not know all entries yet.
func (e *Entry) updateEntries(n int32) {
	if n > e.entries.Load() {
		e.entries.Store(n)
		e.reconfigure()
	}
}

// reconfigure updates the pools after the number of entries has changed.
func (e *Entry) reconfigure() { e.router.configure(e.Catalog(), e.location()) }

// observeHeartbeat processes an agent's report on itself and its backend
// servers.
func (e *Entry) observeHeartbeat(h *peerv1.Heartbeat) {
	e.members.ObserveHeartbeat(h, e.router.now())
	c := e.Catalog()
	for _, load := range h.GetLoads() {
		e.reportLoad(c, load)
	}
	for _, b := range c.BackendServersOfAgent(h.GetAddress()) {
		e.refreshServer(b)
	}
}

// observeLoad processes a load report received with a response, which also
// shows that the agent is running.
func (e *Entry) observeLoad(c *catalog.Catalog, load *peerv1.Load) {
	b, ok := c.BackendServer(load.GetBackendServer())
	if !ok {
		return
	}
	e.members.Observe(b.GetAgent(), membership.Event{Kind: membership.Heartbeat, Incarnation: load.GetIncarnation()}, e.router.now())
	e.members.ObserveLoad(load.GetIncarnation(), load)
	e.reportLoad(c, load)
}

func (e *Entry) reportLoad(c *catalog.Catalog, load *peerv1.Load) {
	b, ok := c.BackendServer(load.GetBackendServer())
	if !ok {
		return
	}
	e.planning.report(b.GetService(), load)
	if p := e.router.pool(b.GetService()); p != nil {
		p.report(e.router.now(), load)
	}
}

// observeFailure records that an agent was unreachable.
func (e *Entry) observeFailure(address string) {
	e.members.Observe(address, membership.Event{Kind: membership.SendFailed}, e.router.now())
	for _, b := range e.Catalog().BackendServersOfAgent(address) {
		e.refreshServer(b)
	}
}

// refreshServer immediately updates a backend server's pool with its current
// state.
func (e *Entry) refreshServer(b *configv1.BackendServer) {
	if p := e.router.pool(b.GetService()); p != nil {
		now := e.router.now()
		p.refreshServer(now, b.GetName(), e.members.Reason(b.GetName(), now))
	}
}

// refresh updates all pools and sets warm.
func (e *Entry) refresh() {
	c := e.Catalog()
	now := e.router.now()
	reasonOf := func(server string) membership.Reason { return e.members.Reason(server, now) }
	serving := true
	e.router.each(func(p *pool) {
		p.refresh(now, c, reasonOf)
		serving = serving && p.serving() > 0
	})
	if c.Revision() > 0 && (serving || now > warmTimeout) {
		e.warm.Store(true)
	}
}

// watchInstances polls the platform's list of live and leaving instances, which
// is updated with a delay, until ctx ends.
func (e *Entry) watchInstances(ctx context.Context, store platform.Store) {
	membership.WatchLeaving(ctx, store, membership.DefaultListInterval, e.members.SetListedLeaving)
}
