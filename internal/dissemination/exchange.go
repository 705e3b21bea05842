package dissemination

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// Limits of calls to peers.
const (
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// maxConcurrentFetches bounds the concurrent fetches of the same item. Two
	// are allowed so that one unresponsive peer does not block a fetch from
	// another.
	maxConcurrentFetches = 2
)

// HandleHeartbeat returns the reply to a peer's heartbeat. Newer versions that
// the peer advertises are fetched in the background.
func (pr *Propagator) HandleHeartbeat(hb *peerv1.Heartbeat) *peerv1.Heartbeat {
	pr.mu.Lock()
	ctx := pr.ctx
	if ctx != nil && ctx.Err() == nil {
		pr.background.Add(1)
		go func() {
			defer pr.background.Done()
			pr.processHeartbeat(ctx, hb, hb.GetAddress())
		}()
	}
	pr.mu.Unlock()
	return pr.Heartbeat()
}

// HandleFetchConfig returns the configuration for a peer that has an older one:
// a chain of deltas if those kept start at the peer's revision and the peer
// does not ask for the full configuration, else the full configuration. The
// reply is empty if there is nothing newer.
func (pr *Propagator) HandleFetchConfig(fetch *peerv1.FetchConfig) *peerv1.FetchConfigReply {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.inForce.GetRevision() <= fetch.GetHaveRevision() {
		return &peerv1.FetchConfigReply{}
	}
	if chain := config.DeltaChain(pr.deltas, fetch.GetHaveRevision()); len(chain) > 0 && !fetch.GetWhole() {
		return &peerv1.FetchConfigReply{Deltas: chain}
	}
	return &peerv1.FetchConfigReply{Accepted: pr.inForce}
}

// HandleFetchPlan returns the plan for a peer that has an older one, reduced to
// the backend servers that it asks for. Explanations are left out; they are
// read from the planner or the store. The reply is empty if there is nothing
// newer or only a partial plan is held.
func (pr *Propagator) HandleFetchPlan(fetch *peerv1.FetchPlan) *peerv1.FetchPlanReply {
	p := pr.Plan(fetch.GetService())
	if p.GetVersion() <= fetch.GetHaveVersion() || p.GetPartial() {
		return &peerv1.FetchPlanReply{}
	}
	reply := &peerv1.Plan{
		Service:        p.GetService(),
		Version:        p.GetVersion(),
		Term:           p.GetTerm(),
		Planner:        p.GetPlanner(),
		WrittenUnixMs:  p.GetWrittenUnixMs(),
		Assignments:    p.GetAssignments(),
		ConfigRevision: p.GetConfigRevision(),
	}
	if servers := fetch.GetBackendServers(); len(servers) > 0 {
		reply.Partial = true
		reply.Assignments = assignments(p, servers)
	}
	return &peerv1.FetchPlanReply{Plan: reply}
}

// assignments returns the assignments of the given backend servers.
func assignments(p *peerv1.Plan, servers []string) []*peerv1.Assignment {
	var list []*peerv1.Assignment
	for _, a := range p.GetAssignments() {
		if slices.Contains(servers, a.GetBackendServer()) {
			list = append(list, a)
		}
	}
	return list
}

// exchange sends a heartbeat to a peer and processes the reply.
func (pr *Propagator) exchange(ctx context.Context, address string) (*peerv1.Heartbeat, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := pr.opts.Peers.Heartbeat(call, address, pr.Heartbeat())
	if err != nil {
		return nil, err
	}
	pr.processHeartbeat(ctx, reply, address)
	return reply, nil
}

// processHeartbeat processes a received heartbeat: it fetches newer versions
// from the sender, and takes over the age of the sender's newest store response
// if the configuration held is at least as new as the sender's. Until the
// configuration in force is known at start, it only calls Options.OnHeartbeat.
func (pr *Propagator) processHeartbeat(ctx context.Context, hb *peerv1.Heartbeat, address string) {
	received := time.Now()
	pr.opts.OnHeartbeat(hb)
	if !pr.isStarted() {
		return
	}
	for _, f := range NeededFetches(pr.localVersions(), hb, pr.keepsPlan()) {
		pr.fetch(ctx, f, address)
	}
	if age := hb.GetStoreAgeMs(); age > 0 && pr.InForce().GetRevision() >= hb.GetConfigRevision() {
		pr.recordStoreResponse(received.Add(-time.Duration(age-1) * time.Millisecond))
	}
}

func (pr *Propagator) isStarted() bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.started
}

// localVersions returns the local versions. A plan that lacks assignments that
// the process needs is omitted, so that it is fetched again.
func (pr *Propagator) localVersions() LocalVersions {
	needed := pr.neededServers()
	pr.mu.Lock()
	defer pr.mu.Unlock()
	versions := LocalVersions{Revision: pr.inForce.GetRevision()}
	for service, p := range pr.plans {
		if p.covers(needed(service)) {
			versions.Plans = append(versions.Plans, PlanState{Service: service, Version: p.plan.GetVersion()})
		}
	}
	return versions
}

// neededServers returns a function that lists the backend servers whose
// assignments the process needs from a service's plan; an empty list means all.
func (pr *Propagator) neededServers() func(service string) []string {
	if pr.view().IsRelay() {
		return func(string) []string { return nil }
	}
	return pr.opts.NeededBackendServers
}

// keepsPlan returns a function that reports whether the process keeps the plan
// of a service.
func (pr *Propagator) keepsPlan() func(service string) bool {
	isRelay := sync.OnceValue(func() bool { return pr.view().IsRelay() })
	return func(service string) bool { return pr.opts.SelfNeedsPlan(service) || isRelay() }
}

// fetch fetches one newer version from a peer, unless maxConcurrentFetches
// fetches of it are in flight.
func (pr *Propagator) fetch(ctx context.Context, f Fetch, address string) {
	if !pr.beginFetch(f.Service) {
		return
	}
	defer pr.endFetch(f.Service)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if f.Service == "" {
		err = pr.fetchConfig(ctx, address)
	} else {
		err = pr.fetchPlan(ctx, f.Service, address)
	}
	if err != nil {
		pr.opts.Log.Write(logevent.PeerFetchFailed(address, f.Service, err))
	}
}

func (pr *Propagator) beginFetch(service string) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.fetchesInFlight[service] >= maxConcurrentFetches {
		return false
	}
	pr.fetchesInFlight[service]++
	return true
}

func (pr *Propagator) endFetch(service string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.fetchesInFlight[service]--
}

// fetchConfig fetches the configuration of a peer, as deltas if possible. If
// the deltas do not apply it asks for the full configuration.
func (pr *Propagator) fetchConfig(ctx context.Context, address string) error {
	have := pr.InForce()
	reply, err := pr.opts.Peers.FetchConfig(ctx, address, &peerv1.FetchConfig{HaveRevision: have.GetRevision()})
	if err != nil {
		return err
	}
	if len(reply.GetDeltas()) == 0 {
		pr.considerFull(reply)
		return nil
	}
	err = pr.considerDeltas(have, reply.GetDeltas())
	if !errors.Is(err, config.ErrDeltaMismatch) {
		return err
	}
	reply, err = pr.opts.Peers.FetchConfig(ctx, address, &peerv1.FetchConfig{HaveRevision: have.GetRevision(), Whole: true})
	if err != nil {
		return err
	}
	pr.considerFull(reply)
	return nil
}

// considerFull considers the full configuration of a reply, if it contains one.
func (pr *Propagator) considerFull(reply *peerv1.FetchConfigReply) {
	if reply.GetAccepted().GetDeployment() != nil {
		pr.considerConfig(reply.GetAccepted(), config.FromPeer, nil)
	}
}

// considerDeltas applies a chain of deltas to the configuration have, and
// considers each intermediate configuration.
func (pr *Propagator) considerDeltas(have *configv1.AcceptedDeployment, deltas []*configv1.DeploymentDelta) error {
	for _, delta := range deltas {
		next, err := config.ApplyDelta(have, delta)
		if err != nil {
			return err
		}
		pr.considerConfig(next, config.FromPeer, delta)
		have = next
	}
	return nil
}

// fetchPlan fetches the plan of a service from a peer, reduced to the backend
// servers whose assignments are needed.
func (pr *Propagator) fetchPlan(ctx context.Context, service, address string) error {
	fetch := &peerv1.FetchPlan{Service: service, BackendServers: pr.neededServers()(service)}
	fetch.HaveVersion = pr.localVersions().planVersion(service)
	reply, err := pr.opts.Peers.FetchPlan(ctx, address, fetch)
	if err != nil {
		return err
	}
	if reply.GetPlan() != nil {
		pr.considerPlan(reply.GetPlan(), fetch.GetBackendServers())
	}
	return nil
}
