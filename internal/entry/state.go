package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// state is the state of an entry as shown on its debug endpoint.
type state struct {
	Name           string `json:"name"`
	FailureDomain  string `json:"failure_domain"`
	Incarnation    uint64 `json:"incarnation"`
	Leaving        bool   `json:"leaving"`
	Warm           bool   `json:"warm"`
	ConfigRevision uint64 `json:"config_revision"`
	ConfigAlarm    string `json:"config_alarm"`
	// StoreAgeMS is the age in milliseconds of the newest store response that
	// this process received or learned of from a peer; -1 if there is none.
	StoreAgeMS int64 `json:"store_age_ms"`
	InFlight   int   `json:"in_flight"`
	// Entries is the largest number of entries that an agent has reported.
	Entries  int32                 `json:"entries"`
	Members  []string              `json:"members"`
	Plans    []*peerv1.PlanVersion `json:"plans"`
	Services []serviceState        `json:"services"`
}

// serviceState is an entry's state of one service.
type serviceState struct {
	Name           string        `json:"name"`
	Serving        int           `json:"serving"`
	BackendServers []serverState `json:"backend_servers"`
}

// serverState is an entry's estimate of one backend server.
type serverState struct {
	Name   string  `json:"name"`
	Reason string  `json:"reason"`
	Weight float64 `json:"weight"`
	// PromptTokens, OutputTokens and Sequences are the backlog.
	PromptTokens float64 `json:"prompt_tokens"`
	OutputTokens float64 `json:"output_tokens"`
	Sequences    float64 `json:"sequences"`
}

// State returns the current state for the debug endpoint.
func (e *Entry) State(context.Context) any {
	c := e.Catalog()
	s := &state{
		Name:           e.opts.Name,
		FailureDomain:  e.opts.FailureDomain,
		Incarnation:    e.opts.Incarnation,
		Leaving:        e.draining.Load(),
		Warm:           e.warm.Load(),
		ConfigRevision: c.Revision(),
		ConfigAlarm:    e.propagator.Alarm().Kind.String(),
		StoreAgeMS:     -1,
		InFlight:       e.inflight.count(),
		Entries:        e.entries.Load(),
		Members:        e.peerAddresses(c),
		Plans:          e.planVersions(c),
	}
	if age, ok := e.propagator.StoreResponseAge(); ok {
		s.StoreAgeMS = age.Milliseconds()
	}
	e.router.each(func(p *pool) { s.Services = append(s.Services, e.serviceState(p, c)) })
	slices.SortFunc(s.Services, func(a, b serviceState) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// planVersions returns the version of the latest plan known for each service.
func (e *Entry) planVersions(c *catalog.Catalog) []*peerv1.PlanVersion {
	var versions []*peerv1.PlanVersion
	for _, service := range c.Deployment().GetServices() {
		if plan := e.propagator.Plan(service.GetName()); plan != nil {
			versions = append(versions, &peerv1.PlanVersion{Service: plan.GetService(), Version: plan.GetVersion()})
		}
	}
	return versions
}

func (e *Entry) serviceState(p *pool, c *catalog.Catalog) serviceState {
	now := e.router.now()
	s := p.dump(now, c)
	for i := range s.BackendServers {
		server := &s.BackendServers[i]
		server.Reason = e.members.Reason(server.Name, now).String()
	}
	return s
}

// dump returns the pool's state, without the membership reasons.
func (p *pool) dump(now time.Duration, c *catalog.Catalog) serviceState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := serviceState{Name: p.service.GetName(), Serving: p.table.ServingCount()}
	for _, b := range c.BackendServers(s.Name) {
		server := serverState{Name: b.GetName(), Weight: p.health.Weight(now, b.GetName())}
		if backlog, err := p.table.Backlog(now, b.GetName()); err == nil {
			server.PromptTokens = backlog.PromptTokensAhead(routing.UrgencyLevels - 1)
			server.OutputTokens = backlog.OutputTokens
			server.Sequences = backlog.Sequences
		}
		s.BackendServers = append(s.BackendServers, server)
	}
	return s
}
