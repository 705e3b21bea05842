// Package roster keeps the list of processes that a process believes alive and
// exchanges configurations and plans with: the agents named by the
// configuration, and all processes that have sent a heartbeat recently.
package roster

import (
	"context"
	"sync"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/dissemination"
)

const (
	// unreachableFor is how long a process that could not be reached is left
	// out, unless a heartbeat from it arrives.
	unreachableFor = 10 * time.Second
	// heartbeatValidFor is how long a process that the configuration does not
	// name is believed alive after its last heartbeat.
	heartbeatValidFor = 5 * time.Minute
)

// Roster holds the known processes by the address (IP:port) of their peer
// listeners. It is safe for concurrent use.
type Roster struct {
	mu               sync.Mutex
	configured       map[string]dissemination.Member
	lastHeartbeats   map[string]lastHeartbeat
	unreachableSince map[string]time.Time
	nowFunc          func() time.Time
}

// lastHeartbeat is the last heartbeat of a process.
type lastHeartbeat struct {
	member dissemination.Member
	at     time.Time
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		configured:       make(map[string]dissemination.Member),
		lastHeartbeats:   make(map[string]lastHeartbeat),
		unreachableSince: make(map[string]time.Time),
		nowFunc:          time.Now,
	}
}

// SetCatalog replaces the configured agents with those that c names.
func (r *Roster) SetCatalog(c *catalog.Catalog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configured = make(map[string]dissemination.Member)
	for _, address := range c.Agents() {
		r.configured[address] = Member(address, c.BackendServersOfAgent(address)[0].GetFailureDomain())
	}
}

// roleEntry is the sender role in the heartbeats of entries.
const roleEntry = "entry"

// EntryMember returns the member for an entry at an address (IP:port).
func EntryMember(address, failureDomain string) dissemination.Member {
	m := Member(address, failureDomain)
	m.IsEntry = true
	return m
}

// Member returns the member for an agent at an address (IP:port). Members are
// named by their addresses, because a configuration identifies agents only by
// these.
func Member(address, failureDomain string) dissemination.Member {
	return dissemination.Member{Name: address, FailureDomain: failureDomain, Address: address}
}

// ObserveHeartbeat processes a received heartbeat. A process that announces its
// shutdown is left out at once, like one that could not be reached.
func (r *Roster) ObserveHeartbeat(h *peerv1.Heartbeat) {
	if h.GetAddress() == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unreachableSince, h.GetAddress())
	if h.GetLeaving() {
		delete(r.lastHeartbeats, h.GetAddress())
		r.unreachableSince[h.GetAddress()] = r.nowFunc()
		return
	}
	member := Member(h.GetAddress(), h.GetFailureDomain())
	member.IsEntry = h.GetSenderRole() == roleEntry
	r.lastHeartbeats[h.GetAddress()] = lastHeartbeat{member: member, at: r.nowFunc()}
}

// MarkUnreachable records that a process could not be reached.
func (r *Roster) MarkUnreachable(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachableSince[address] = r.nowFunc()
}

// Members returns the processes believed alive.
func (r *Roster) Members() []dissemination.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nowFunc()
	members := make([]dissemination.Member, 0, len(r.configured)+len(r.lastHeartbeats))
	for address, m := range r.configured {
		if !r.isUnreachable(address, now) {
			members = append(members, m)
		}
	}
	for address, s := range r.lastHeartbeats {
		if now.Sub(s.at) > heartbeatValidFor {
			delete(r.lastHeartbeats, address)
			continue
		}
		if _, isConfigured := r.configured[address]; !isConfigured && !r.isUnreachable(address, now) {
			members = append(members, s.member)
		}
	}
	return members
}

func (r *Roster) isUnreachable(address string, now time.Time) bool {
	at, ok := r.unreachableSince[address]
	if ok && now.Sub(at) > unreachableFor {
		delete(r.unreachableSince, address)
		return false
	}
	return ok
}

// WrapClient wraps a client so that the roster is updated from the heartbeats
// it exchanges.
func (r *Roster) WrapClient(client dissemination.PeerClient) dissemination.PeerClient {
	return &observingClient{client: client, roster: r}
}

type observingClient struct {
	client dissemination.PeerClient
	roster *Roster
}

// Heartbeat implements dissemination.PeerClient.
func (c *observingClient) Heartbeat(ctx context.Context, address string, h *peerv1.Heartbeat) (*peerv1.Heartbeat, error) {
	reply, err := c.client.Heartbeat(ctx, address, h)
	if err != nil {
		c.roster.MarkUnreachable(address)
		return nil, err
	}
	c.roster.ObserveHeartbeat(reply)
	return reply, nil
}

// FetchConfig implements dissemination.PeerClient.
func (c *observingClient) FetchConfig(ctx context.Context, address string, f *peerv1.FetchConfig) (*peerv1.FetchConfigReply, error) {
	return c.client.FetchConfig(ctx, address, f)
}

// FetchPlan implements dissemination.PeerClient.
func (c *observingClient) FetchPlan(ctx context.Context, address string, f *peerv1.FetchPlan) (*peerv1.FetchPlanReply, error) {
	return c.client.FetchPlan(ctx, address, f)
}

// NeedsPlan reports whether the agent at an address serves engines of a model
// service.
func NeedsPlan(c *catalog.Catalog, address, service string) bool {
	for _, b := range c.BackendServersOfAgent(address) {
		if b.GetService() == service && isModelService(c, service) {
			return true
		}
	}
	return false
}

func isModelService(c *catalog.Catalog, service string) bool {
	s, ok := c.Service(service)
	return ok && s.GetKind() == configv1.ServiceKind_SERVICE_KIND_MODEL
}
