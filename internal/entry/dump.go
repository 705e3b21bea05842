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

// state is the dump of an entry.
type state struct {
	Name           string `json:"name"`
	FailureDomain  string `json:"failure_domain"`
	Incarnation    uint64 `json:"incarnation"`
	Leaving        bool   `json:"leaving"`
	Warm           bool   `json:"warm"`
	ConfigRevision uint64 `json:"config_revision"`
	ConfigAlarm    string `json:"config_alarm"`
	// StoreAgeMS is the age of the store's newest answer in milliseconds, -1
	// if there is none.
	StoreAgeMS int64 `json:"store_age_ms"`
	InFlight   int   `json:"in_flight"`
	// Entries is the number of entries that agents hear from.
	Entries  int32                 `json:"entries"`
	Members  []string              `json:"members"`
	Plans    []*peerv1.PlanVersion `json:"plans"`
	Services []serviceState        `json:"services"`
}

// serviceState is what an entry knows of one service.
type serviceState struct {
	Name           string        `json:"name"`
	Serving        int           `json:"serving"`
	BackendServers []serverState `json:"backend_servers"`
}

// serverState is what an entry expects at one backend server.
type serverState struct {
	Name   string  `json:"name"`
	Reason string  `json:"reason"`
	Weight float64 `json:"weight"`
	// PromptTokens, OutputTokens and Sequences are the work ahead.
	PromptTokens float64 `json:"prompt_tokens"`
	OutputTokens float64 `json:"output_tokens"`
	Sequences    float64 `json:"sequences"`
}

// State returns the dump of the process.
func (e *Entry) State(context.Context) any {
	c := e.Catalog()
	s := &state{
		Name:           e.opts.Name,
		FailureDomain:  e.opts.FailureDomain,
		Incarnation:    e.opts.Incarnation,
		Leaving:        e.leaving.Load(),
		Warm:           e.warm.Load(),
		ConfigRevision: c.Revision(),
		ConfigAlarm:    e.spread.Alarm().Kind.String(),
		StoreAgeMS:     -1,
		InFlight:       e.inflight.count(),
		Entries:        e.entries.Load(),
		Members:        e.others(c),
		Plans:          e.planVersions(c),
	}
	if age, ok := e.spread.StoreResponseAge(); ok {
		s.StoreAgeMS = age.Milliseconds()
	}
	e.router.each(func(p *pool) { s.Services = append(s.Services, e.serviceState(p, c)) })
	slices.SortFunc(s.Services, func(a, b serviceState) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// planVersions returns the newest plan that the entry holds of each service.
func (e *Entry) planVersions(c *catalog.Catalog) []*peerv1.PlanVersion {
	var versions []*peerv1.PlanVersion
	for _, service := range c.Deployment().GetServices() {
		if plan := e.spread.Plan(service.GetName()); plan != nil {
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

// dump returns what the pool knows, but for the reasons of membership.
func (p *pool) dump(now time.Duration, c *catalog.Catalog) serviceState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := serviceState{Name: p.service.GetName(), Serving: p.table.ServingCount()}
	for _, b := range c.BackendServers(s.Name) {
		server := serverState{Name: b.GetName(), Weight: p.health.Weight(now, b.GetName())}
		if ahead, err := p.table.Backlog(now, b.GetName()); err == nil {
			server.PromptTokens = ahead.PromptTokensAhead(routing.UrgencyLevels - 1)
			server.OutputTokens = ahead.OutputTokens
			server.Sequences = ahead.Sequences
		}
		s.BackendServers = append(s.BackendServers, server)
	}
	return s
}
