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
func (s *Propagator) HandleHeartbeat(hb *peerv1.Heartbeat) *peerv1.Heartbeat {
	s.mu.Lock()
	ctx := s.ctx
	if ctx != nil && ctx.Err() == nil {
		s.background.Add(1)
		go func() {
			defer s.background.Done()
			s.processHeartbeat(ctx, hb, hb.GetAddress())
		}()
	}
	s.mu.Unlock()
	return s.Heartbeat()
}

// HandleFetchConfig returns the configuration for a peer that has an older one:
// a chain of deltas if those kept start at the peer's revision and the peer
// does not ask for the whole, else the full configuration. The reply is empty
// if there is nothing newer.
func (s *Propagator) HandleFetchConfig(fetch *peerv1.FetchConfig) *peerv1.FetchConfigReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce.GetRevision() <= fetch.GetHaveRevision() {
		return &peerv1.FetchConfigReply{}
	}
	if chain := config.DeltaChain(s.deltas, fetch.GetHaveRevision()); len(chain) > 0 && !fetch.GetWhole() {
		return &peerv1.FetchConfigReply{Deltas: chain}
	}
	return &peerv1.FetchConfigReply{Accepted: s.inForce}
}

// HandleFetchPlan returns the plan for a peer that has an older one, reduced to
// the backend servers that it asks for. Explanations are left out; they are
// read from the planner or the store. The reply is empty if there is nothing
// newer or only a partial plan is held.
func (s *Propagator) HandleFetchPlan(fetch *peerv1.FetchPlan) *peerv1.FetchPlanReply {
	p := s.Plan(fetch.GetService())
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
func (s *Propagator) exchange(ctx context.Context, address string) (*peerv1.Heartbeat, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.opts.Peers.Heartbeat(call, address, s.Heartbeat())
	if err != nil {
		return nil, err
	}
	s.processHeartbeat(ctx, reply, address)
	return reply, nil
}

// processHeartbeat processes a received heartbeat: it fetches newer versions
// from the sender, and takes over the age of the sender's newest store response
// if the configuration held is at least as new as the sender's.
func (s *Propagator) processHeartbeat(ctx context.Context, hb *peerv1.Heartbeat, address string) {
	received := time.Now()
	s.opts.OnHeartbeat(hb)
	if !s.isStarted() {
		return
	}
	for _, f := range NeededFetches(s.localVersions(), hb, s.keepsPlan()) {
		s.fetch(ctx, f, address)
	}
	if age := hb.GetStoreAgeMs(); age > 0 && s.InForce().GetRevision() >= hb.GetConfigRevision() {
		s.recordStoreAnswer(received.Add(-time.Duration(age-1) * time.Millisecond))
	}
}

func (s *Propagator) isStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// localVersions returns the local versions. A plan that lacks assignments that
// the process needs is omitted, so that it is fetched again.
func (s *Propagator) localVersions() LocalVersions {
	needed := s.neededServers()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := LocalVersions{Revision: s.inForce.GetRevision()}
	for service, p := range s.plans {
		if p.covers(needed(service)) {
			known.Plans = append(known.Plans, PlanState{Service: service, Version: p.plan.GetVersion()})
		}
	}
	return known
}

// neededServers returns a function that lists the backend servers whose
// assignments the process needs from a service's plan; an empty list means all.
func (s *Propagator) neededServers() func(service string) []string {
	if s.view().IsRelay() {
		return func(string) []string { return nil }
	}
	return s.opts.NeededBackendServers
}

// keepsPlan returns a function that tells whether the process keeps the plan of
// a service.
func (s *Propagator) keepsPlan() func(service string) bool {
	isRelay := sync.OnceValue(func() bool { return s.view().IsRelay() })
	return func(service string) bool { return s.opts.SelfNeedsPlan(service) || isRelay() }
}

// fetch fetches one newer version from a peer, unless maxConcurrentFetches
// fetches of it are in flight.
func (s *Propagator) fetch(ctx context.Context, f Fetch, address string) {
	if !s.beginFetch(f.Service) {
		return
	}
	defer s.endFetch(f.Service)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if f.Service == "" {
		err = s.fetchConfig(ctx, address)
	} else {
		err = s.fetchPlan(ctx, f.Service, address)
	}
	if err != nil {
		s.opts.Log.Write(logevent.PeerFetchFailed(address, f.Service, err))
	}
}

func (s *Propagator) beginFetch(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetchesInFlight[service] >= maxConcurrentFetches {
		return false
	}
	s.fetchesInFlight[service]++
	return true
}

func (s *Propagator) endFetch(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetchesInFlight[service]--
}

// fetchConfig fetches the configuration of a peer, as deltas if possible. If
// the deltas do not apply it asks for the full configuration.
func (s *Propagator) fetchConfig(ctx context.Context, address string) error {
	have := s.InForce()
	reply, err := s.opts.Peers.FetchConfig(ctx, address, &peerv1.FetchConfig{HaveRevision: have.GetRevision()})
	if err != nil {
		return err
	}
	if len(reply.GetDeltas()) == 0 {
		s.considerFull(reply)
		return nil
	}
	err = s.considerDeltas(have, reply.GetDeltas())
	if !errors.Is(err, config.ErrDeltaMismatch) {
		return err
	}
	reply, err = s.opts.Peers.FetchConfig(ctx, address, &peerv1.FetchConfig{HaveRevision: have.GetRevision(), Whole: true})
	if err != nil {
		return err
	}
	s.considerFull(reply)
	return nil
}

// considerFull considers the full configuration of a reply, if it contains one.
func (s *Propagator) considerFull(reply *peerv1.FetchConfigReply) {
	if reply.GetAccepted().GetDeployment() != nil {
		s.considerConfig(reply.GetAccepted(), config.FromPeer, nil)
	}
}

// considerDeltas applies a chain of deltas to the configuration have, and
// considers each intermediate configuration.
func (s *Propagator) considerDeltas(have *configv1.AcceptedDeployment, deltas []*configv1.DeploymentDelta) error {
	for _, delta := range deltas {
		next, err := config.ApplyDelta(have, delta)
		if err != nil {
			return err
		}
		s.considerConfig(next, config.FromPeer, delta)
		have = next
	}
	return nil
}

// fetchPlan fetches the plan of a service from a peer, reduced to the backend
// servers whose assignments are needed.
func (s *Propagator) fetchPlan(ctx context.Context, service, address string) error {
	fetch := &peerv1.FetchPlan{Service: service, BackendServers: s.neededServers()(service)}
	fetch.HaveVersion = s.localVersions().planVersion(service)
	reply, err := s.opts.Peers.FetchPlan(ctx, address, fetch)
	if err != nil {
		return err
	}
	if reply.GetPlan() != nil {
		s.considerPlan(reply.GetPlan(), fetch.GetBackendServers())
	}
	return nil
}
