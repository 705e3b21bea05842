// Package roster keeps which processes a process believes alive, for the
// spread of configurations and plans: the agents that the configuration
// names, and whoever was heard of late.
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
	// failedFor is how long a process that could not be reached is left out,
	// unless it is heard.
	failedFor = 10 * time.Second
	// heardFor is how long a process that the configuration does not name is
	// believed alive after it was heard.
	heardFor = 5 * time.Minute
)

// Roster holds what is known of other processes by the address (IP:port) of
// their peer listeners. It is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex
	named   map[string]dissemination.Member
	heard   map[string]sighting
	failed  map[string]time.Time
	nowFunc func() time.Time
}

// sighting is when and as what a process was last heard.
type sighting struct {
	member dissemination.Member
	at     time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		named:   make(map[string]dissemination.Member),
		heard:   make(map[string]sighting),
		failed:  make(map[string]time.Time),
		nowFunc: time.Now,
	}
}

// SetCatalog takes the agents that a configuration names.
func (r *Roster) SetCatalog(c *catalog.Catalog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.named = make(map[string]dissemination.Member)
	for _, address := range c.Agents() {
		r.named[address] = Member(address, c.BackendServersOfAgent(address)[0].GetFailureDomain())
	}
}

// roleEntry is the sender's role in the heartbeats of entries.
const roleEntry = "entry"

// EntryMember returns the member for an entry at an address.
func EntryMember(address, failureDomain string) dissemination.Member {
	m := Member(address, failureDomain)
	m.IsEntry = true
	return m
}

// Member returns the member at an address. Members go by their addresses,
// since a configuration names agents by these alone.
func Member(address, failureDomain string) dissemination.Member {
	return dissemination.Member{Name: address, FailureDomain: failureDomain, Address: address}
}

// ObserveHeartbeat takes in a heartbeat.
func (r *Roster) ObserveHeartbeat(h *peerv1.Heartbeat) {
	if h.GetAddress() == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failed, h.GetAddress())
	if h.GetLeaving() {
		delete(r.heard, h.GetAddress())
		r.failed[h.GetAddress()] = r.nowFunc()
		return
	}
	member := Member(h.GetAddress(), h.GetFailureDomain())
	member.IsEntry = h.GetSenderRole() == roleEntry
	r.heard[h.GetAddress()] = sighting{member: member, at: r.nowFunc()}
}

// MarkUnreachable takes in that a process could not be reached.
func (r *Roster) MarkUnreachable(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[address] = r.nowFunc()
}

// Members returns the processes believed alive.
func (r *Roster) Members() []dissemination.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nowFunc()
	members := make([]dissemination.Member, 0, len(r.named)+len(r.heard))
	for address, m := range r.named {
		if !r.isFailed(address, now) {
			members = append(members, m)
		}
	}
	for address, s := range r.heard {
		if now.Sub(s.at) > heardFor {
			delete(r.heard, address)
			continue
		}
		if _, named := r.named[address]; !named && !r.isFailed(address, now) {
			members = append(members, s.member)
		}
	}
	return members
}

func (r *Roster) isFailed(address string, now time.Time) bool {
	at, ok := r.failed[address]
	if ok && now.Sub(at) > failedFor {
		delete(r.failed, address)
		return false
	}
	return ok
}

// WrapClient wraps a client so that the roster learns from its exchanges.
func (r *Roster) WrapClient(client dissemination.PeerClient) dissemination.PeerClient {
	return &peers{client: client, roster: r}
}

type peers struct {
	client dissemination.PeerClient
	roster *Roster
}

// Heartbeat implements dissemination.PeerClient.
func (p *peers) Heartbeat(ctx context.Context, address string, h *peerv1.Heartbeat) (*peerv1.Heartbeat, error) {
	reply, err := p.client.Heartbeat(ctx, address, h)
	if err != nil {
		p.roster.MarkUnreachable(address)
		return nil, err
	}
	p.roster.ObserveHeartbeat(reply)
	return reply, nil
}

// FetchConfig implements dissemination.PeerClient.
func (p *peers) FetchConfig(ctx context.Context, address string, f *peerv1.FetchConfig) (*peerv1.FetchConfigReply, error) {
	return p.client.FetchConfig(ctx, address, f)
}

// FetchPlan implements dissemination.PeerClient.
func (p *peers) FetchPlan(ctx context.Context, address string, f *peerv1.FetchPlan) (*peerv1.FetchPlanReply, error) {
	return p.client.FetchPlan(ctx, address, f)
}

// NeedsPlan tells whether the agent at an address stands before engines of a
// service.
func NeedsPlan(c *catalog.Catalog, address, service string) bool {
	for _, b := range c.BackendServersOfAgent(address) {
		if b.GetService() == service && isModel(c, service) {
			return true
		}
	}
	return false
}

func isModel(c *catalog.Catalog, service string) bool {
	s, ok := c.Service(service)
	return ok && s.GetKind() == configv1.ServiceKind_SERVICE_KIND_MODEL
}
