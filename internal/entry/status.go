package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/membership"
)

// Status implements operatorapi.StateSource. It queries every process, so that it
// returns the current state.
func (e *Entry) Status(ctx context.Context) *statusv1.Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	c := e.Catalog()
	heartbeats := e.queryPeers(ctx, c)
	status := &statusv1.Status{
		Deployment:       c.Deployment().GetName(),
		AcceptedRevision: c.Revision(),
		FailureDomains:   domainStatuses(append(heartbeats, e.propagator.Heartbeat())),
		BackendServers:   e.serverStatuses(c, heartbeats),
		Conditions:       e.conditions(c, heartbeats),
		Plans:            e.planVersions(c),
	}
	return status
}

// queryPeers returns the heartbeats of the processes that answer: the
// configured agents and the entries known to this one.
func (e *Entry) queryPeers(ctx context.Context, c *catalog.Catalog) []*peerv1.Heartbeat {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var heartbeats []*peerv1.Heartbeat
	own := e.propagator.Heartbeat()
	for _, address := range e.peerAddresses(c) {
		wg.Go(func() {
			heartbeat, err := e.opts.Peers.Heartbeat(ctx, address, own)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			e.handleHeartbeat(heartbeat)
			heartbeats = append(heartbeats, heartbeat)
		})
	}
	wg.Wait()
	return heartbeats
}

// peerAddresses returns the addresses of all other processes known to this one.
func (e *Entry) peerAddresses(c *catalog.Catalog) []string {
	addresses := c.Agents()
	for _, m := range e.roster.Members() {
		if m.Address != e.opts.Address && !c.IsAgent(m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// domainStatuses returns the oldest revision in force in each failure domain.
func domainStatuses(heartbeats []*peerv1.Heartbeat) []*statusv1.DomainStatus {
	domains := make(map[string]*statusv1.DomainStatus)
	for _, h := range heartbeats {
		d, ok := domains[h.GetFailureDomain()]
		if !ok {
			d = &statusv1.DomainStatus{FailureDomain: h.GetFailureDomain(), OldestRevision: h.GetConfigRevision()}
			domains[h.GetFailureDomain()] = d
		}
		d.Processes++
		d.OldestRevision = min(d.OldestRevision, h.GetConfigRevision())
	}
	list := make([]*statusv1.DomainStatus, 0, len(domains))
	for _, d := range domains {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *statusv1.DomainStatus) int {
		return cmp.Compare(a.GetFailureDomain(), b.GetFailureDomain())
	})
	return list
}

// serverStatuses returns the state of each configured backend server, and
// whether this entry routes requests to it.
func (e *Entry) serverStatuses(c *catalog.Catalog, heartbeats []*peerv1.Heartbeat) []*statusv1.ServerStatus {
	loads := make(map[string]*peerv1.Load)
	for _, h := range heartbeats {
		for _, load := range h.GetLoads() {
			loads[load.GetBackendServer()] = load
		}
	}
	now := e.router.now()
	list := make([]*statusv1.ServerStatus, 0)
	for _, b := range c.Deployment().GetBackendServers() {
		reason := e.members.Reason(b.GetName(), now)
		list = append(list, &statusv1.ServerStatus{
			Name:          b.GetName(),
			Service:       b.GetService(),
			FailureDomain: b.GetFailureDomain(),
			Load:          loads[b.GetName()],
			Routable:      reason == membership.Routable,
			Reason:        reason.String(),
		})
	}
	return list
}

// conditions summarizes the observed state.
func (e *Entry) conditions(c *catalog.Catalog, heartbeats []*peerv1.Heartbeat) []*statusv1.Condition {
	behind, agents := 0, 0
	for _, h := range heartbeats {
		if h.GetConfigRevision() < c.Revision() {
			behind++
		}
		if c.IsAgent(h.GetAddress()) {
			agents++
		}
	}
	missing := len(c.Agents()) - agents
	return []*statusv1.Condition{
		e.alarmCondition(heartbeats),
		condition("ConfigurationInForce", behind == 0 && missing == 0, "Spread",
			fmt.Sprintf("%d processes behind revision %d, %d agents did not answer", behind, c.Revision(), missing)),
		condition("AgentsReachable", missing == 0, "Asked",
			fmt.Sprintf("%d of %d agents answered", agents, len(c.Agents()))),
	}
}

// alarmCondition reports a configuration alarm of this entry or of another
// process.
func (e *Entry) alarmCondition(heartbeats []*peerv1.Heartbeat) *statusv1.Condition {
	const kind = "ConfigurationAlarm"
	if alarm := e.propagator.Alarm(); alarm.Kind != config.NoAlarm {
		return condition(kind, true, alarm.Kind.String(), alarm.Reason)
	}
	for _, h := range heartbeats {
		if h.GetConfigAlarm() != "" {
			return condition(kind, true, h.GetConfigAlarm(), "raised by "+h.GetSender())
		}
	}
	return condition(kind, false, config.NoAlarm.String(), "")
}

func condition(kind string, status bool, reason, message string) *statusv1.Condition {
	return &statusv1.Condition{Type: kind, Status: status, Reason: reason, Message: message}
}
