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
	// probesPerRound is the most agents that one round of heartbeats asks;
	// with more agents, those that were silent longest come first.
	probesPerRound = 4
	// probesPerLargeRound is the same for more than smallFleet agents, where
	// the spread of configurations takes more of the budget for control.
	probesPerLargeRound = 2
	smallFleet          = 64
	// missedRounds is the number of turns that an agent may miss before it is
	// suspected.
	missedRounds = 3
	// warmTimeout is the time from the start after which an entry calls itself
	// ready although it has not heard from a backend server of each service.
	warmTimeout = 15 * time.Second
)

// configureMembers tells membership what a configuration names.
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

// probesFor returns the most agents that one round asks.
func probesFor(agents int) int {
	if agents > smallFleet {
		return probesPerLargeRound
	}
	return probesPerRound
}

// watchAgents hears from the agents and keeps the pools at what is known of
// them, until ctx ends. Answers to requests are evidence too, so that only
// agents without traffic are asked.
func (e *Entry) watchAgents(ctx context.Context) {
	ticker := time.NewTicker(e.opts.HeartbeatInterval)
	defer ticker.Stop()
	for {
		for _, address := range e.silentAgents() {
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

// silentAgents returns the agents to ask in this round.
func (e *Entry) silentAgents() []string {
	c := e.Catalog()
	now := e.router.now()
	var silent []agentSilence
	for _, address := range c.Agents() {
		heard := e.members.Evidence(c.BackendServersOfAgent(address)[0].GetName()).Process.LastDirect
		if heard == 0 || now-heard >= e.opts.HeartbeatInterval {
			silent = append(silent, agentSilence{address: address, heard: heard})
		}
	}
	slices.SortFunc(silent, func(a, b agentSilence) int { return cmp.Compare(a.heard, b.heard) })
	silent = silent[:min(len(silent), probesFor(len(c.Agents())))]
	addresses := make([]string, 0, len(silent))
	for _, s := range silent {
		addresses = append(addresses, s.address)
	}
	return addresses
}

// agentSilence is when an agent was last heard directly.
type agentSilence struct {
	address string
	heard   time.Duration
}

// probe exchanges heartbeats with one agent.
func (e *Entry) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, missedRounds*e.opts.HeartbeatInterval)
	defer cancel()
	heartbeat, err := e.opts.Peers.Heartbeat(ctx, address, e.spread.Heartbeat())
	if err != nil {
		e.observeFailure(address)
		return
	}
	e.heard(heartbeat)
	e.countEntries(heartbeat.GetEntries())
}

// countEntries takes in how many entries an agent hears from. A smaller
// number counts only once a whole round has told no larger one.
func (e *Entry) countEntries(n int32) {
	if n > e.entries.Load() {
		e.entries.Store(n)
		e.reconfigure()
	}
}

// reconfigure brings the pools up to a changed number of entries.
func (e *Entry) reconfigure() { e.router.configure(e.Catalog(), e.place()) }

// observeHeartbeat takes in what an agent says of itself and its servers.
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

// observeLoad takes in a load that came with an answer: evidence that the
// agent runs.
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

// observeFailure takes in that an agent could not be reached.
func (e *Entry) observeFailure(address string) {
	e.members.Observe(address, membership.Event{Kind: membership.SendFailed}, e.router.now())
	for _, b := range e.Catalog().BackendServersOfAgent(address) {
		e.refreshServer(b)
	}
}

// refreshServer tells a backend server's pool at once what is known of it.
func (e *Entry) refreshServer(b *configv1.BackendServer) {
	if p := e.router.pool(b.GetService()); p != nil {
		now := e.router.now()
		p.refreshOne(now, b.GetName(), e.members.Reason(b.GetName(), now))
	}
}

// refresh brings all pools up to date.
func (e *Entry) refresh() {
	c := e.Catalog()
	now := e.router.now()
	routable := func(server string) membership.Reason { return e.members.Reason(server, now) }
	serving := true
	e.router.each(func(p *pool) {
		p.refresh(now, c, routable)
		serving = serving && p.serving() > 0
	})
	if c.Revision() > 0 && (serving || now > warmTimeout) {
		e.warm.Store(true)
	}
}

// watchInstances reads the platform's list of live and leaving instances,
// which lags, until ctx ends.
func (e *Entry) watchInstances(ctx context.Context, store platform.Store) {
	membership.WatchLeaving(ctx, store, membership.DefaultListInterval, e.members.SetListedLeaving)
}
