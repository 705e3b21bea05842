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

// Limits of the calls to peers.
const (
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// maxFetching bounds the calls under way for one thing, so that one peer
	// that hangs does not keep the process from asking another.
	maxFetching = 2
)

// HandleHeartbeat answers a peer's heartbeat at once, and fetches what the peer
// has that is newer.
func (s *Propagator) HandleHeartbeat(hb *peerv1.Heartbeat) *peerv1.Heartbeat {
	s.mu.Lock()
	ctx := s.ctx
	if ctx != nil && ctx.Err() == nil {
		s.background.Add(1)
		go func() {
			defer s.background.Done()
			s.learn(ctx, hb, hb.GetAddress())
		}()
	}
	s.mu.Unlock()
	return s.Heartbeat()
}

// HandleFetchConfig answers a peer that asks for a newer configuration.
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

// HandleFetchPlan answers a peer that asks for a newer plan. Explanations stay
// with the planner and the store.
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

// exchange sends a heartbeat and learns from the answer.
func (s *Propagator) exchange(ctx context.Context, address string) (*peerv1.Heartbeat, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.opts.Peers.Heartbeat(call, address, s.Heartbeat())
	if err != nil {
		return nil, err
	}
	s.learn(ctx, reply, address)
	return reply, nil
}

// learn fetches what the sender of a heartbeat has that is newer.
func (s *Propagator) learn(ctx context.Context, hb *peerv1.Heartbeat, address string) {
	heard := time.Now()
	s.opts.OnHeartbeat(hb)
	if !s.isStarted() {
		return
	}
	for _, f := range NeededFetches(s.known(), hb, s.wants()) {
		s.fetch(ctx, f, address)
	}
	if age := hb.GetStoreAgeMs(); age > 0 && s.InForce().GetRevision() >= hb.GetConfigRevision() {
		s.storeAnswered(heard.Add(-time.Duration(age-1) * time.Millisecond))
	}
}

func (s *Propagator) isStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// known returns what the process has. A plan without all the assignments
// that it needs by now counts as none.
func (s *Propagator) known() LocalVersions {
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

// neededServers returns which backend servers' assignments the process needs
// of a service's plan; none stands for all.
func (s *Propagator) neededServers() func(service string) []string {
	if s.view().IsRelay() {
		return func(string) []string { return nil }
	}
	return s.opts.NeededBackendServers
}

// wants tells which plans the process keeps.
func (s *Propagator) wants() func(service string) bool {
	isRelay := sync.OnceValue(func() bool { return s.view().IsRelay() })
	return func(service string) bool { return s.opts.SelfNeedsPlan(service) || isRelay() }
}

// fetch gets one newer thing from a peer, unless that is under way.
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

func (s *Propagator) beginFetch(what string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetching[what] >= maxFetching {
		return false
	}
	s.fetching[what]++
	return true
}

func (s *Propagator) endFetch(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching[what]--
}

// fetchConfig gets the configuration of a peer, by deltas if possible.
func (s *Propagator) fetchConfig(ctx context.Context, address string) error {
	have := s.InForce()
	reply, err := s.opts.Peers.FetchConfig(ctx, address, &peerv1.FetchConfig{HaveRevision: have.GetRevision()})
	if err != nil {
		return err
	}
	if len(reply.GetDeltas()) == 0 {
		s.takeWhole(reply)
		return nil
	}
	err = s.takeDeltas(have, reply.GetDeltas())
	if !errors.Is(err, config.ErrDeltaMismatch) {
		return err
	}
	reply, err = s.opts.Peers.FetchConfig(ctx, address, &peerv1.FetchConfig{HaveRevision: have.GetRevision(), Whole: true})
	if err != nil {
		return err
	}
	s.takeWhole(reply)
	return nil
}

func (s *Propagator) takeWhole(reply *peerv1.FetchConfigReply) {
	if reply.GetAccepted().GetDeployment() != nil {
		s.takeConfig(reply.GetAccepted(), config.FromPeer, nil)
	}
}

// takeDeltas follows a chain of deltas from the configuration that it was
// asked for.
func (s *Propagator) takeDeltas(have *configv1.AcceptedDeployment, deltas []*configv1.DeploymentDelta) error {
	for _, delta := range deltas {
		next, err := config.ApplyDelta(have, delta)
		if err != nil {
			return err
		}
		s.takeConfig(next, config.FromPeer, delta)
		have = next
	}
	return nil
}

func (s *Propagator) fetchPlan(ctx context.Context, service, address string) error {
	fetch := &peerv1.FetchPlan{Service: service, BackendServers: s.neededServers()(service)}
	fetch.HaveVersion = s.known().plan(service)
	reply, err := s.opts.Peers.FetchPlan(ctx, address, fetch)
	if err != nil {
		return err
	}
	if reply.GetPlan() != nil {
		s.takePlan(reply.GetPlan(), fetch.GetBackendServers())
	}
	return nil
}
