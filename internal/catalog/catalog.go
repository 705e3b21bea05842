// Package catalog provides an immutable index of an accepted configuration, which
// makes lookups of services, backend servers and clients on the request path
// fast.
package catalog

import (
	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/accounts"
)

// Catalog is an index of one configuration. It is safe for concurrent use. The
// messages that it returns must not be modified.
type Catalog struct {
	accepted *configv1.AcceptedDeployment

	// services, servers, models and clients are indexed by name.
	services map[string]*configv1.Service
	// byModel indexes model services by the name of their model.
	byModel map[string]*configv1.Service
	servers map[string]*configv1.BackendServer
	// byService and byAgent index backend servers by the name of their service
	// and the address of their agent.
	byService map[string][]*configv1.BackendServer
	byAgent   map[string][]*configv1.BackendServer
	models    map[string]*configv1.Model
	clients   map[string]*configv1.Client
	// byToken indexes clients by the digest of their bearer token.
	byToken accounts.KeyIndex[*configv1.Client]
	// regions holds the region of each failure domain.
	regions map[string]string
}

// New returns an index of accepted. If accepted is nil, the catalog is empty and
// has revision 0.
func New(accepted *configv1.AcceptedDeployment) *Catalog {
	c := &Catalog{
		accepted:  accepted,
		services:  make(map[string]*configv1.Service),
		byModel:   make(map[string]*configv1.Service),
		servers:   make(map[string]*configv1.BackendServer),
		byService: make(map[string][]*configv1.BackendServer),
		byAgent:   make(map[string][]*configv1.BackendServer),
		models:    make(map[string]*configv1.Model),
		clients:   make(map[string]*configv1.Client),
		byToken:   make(accounts.KeyIndex[*configv1.Client]),
		regions:   make(map[string]string),
	}
	c.indexServices()
	c.indexServers()
	c.indexClients()
	return c
}

func (c *Catalog) indexServices() {
	for _, d := range c.Deployment().GetFailureDomains() {
		c.regions[d.GetName()] = d.GetRegion()
	}
	for _, m := range c.Deployment().GetModels() {
		c.models[m.GetName()] = m
	}
	for _, s := range c.Deployment().GetServices() {
		c.services[s.GetName()] = s
		if s.GetKind() == configv1.ServiceKind_SERVICE_KIND_MODEL {
			c.byModel[s.GetModel()] = s
		}
	}
}

func (c *Catalog) indexServers() {
	for _, b := range c.Deployment().GetBackendServers() {
		c.servers[b.GetName()] = b
		c.byService[b.GetService()] = append(c.byService[b.GetService()], b)
		c.byAgent[b.GetAgent()] = append(c.byAgent[b.GetAgent()], b)
	}
}

func (c *Catalog) indexClients() {
	for _, client := range c.Deployment().GetClients() {
		c.clients[client.GetName()] = client
		if client.GetToken() != "" {
			c.byToken[accounts.DigestOf(client.GetToken())] = client
		}
	}
}

// Accepted returns the indexed configuration, or nil if there is none.
func (c *Catalog) Accepted() *configv1.AcceptedDeployment { return c.accepted }

// Deployment returns the indexed deployment, or nil if there is none.
func (c *Catalog) Deployment() *configv1.Deployment { return c.accepted.GetDeployment() }

// Revision returns the revision of the configuration, or 0 if there is none.
func (c *Catalog) Revision() uint64 { return c.accepted.GetRevision() }

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (*configv1.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// ServiceForModel returns the service that serves the model.
func (c *Catalog) ServiceForModel(model string) (*configv1.Service, bool) {
	s, ok := c.byModel[model]
	return s, ok
}

// Model returns the model with the given name.
func (c *Catalog) Model(name string) (*configv1.Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// BackendServer returns the backend server with the given name.
func (c *Catalog) BackendServer(name string) (*configv1.BackendServer, bool) {
	b, ok := c.servers[name]
	return b, ok
}

// BackendServers returns the backend servers of a service in the order of
// the configuration.
func (c *Catalog) BackendServers(service string) []*configv1.BackendServer {
	return c.byService[service]
}

// BackendServersOfAgent returns the backend servers that the agent with the given
// address (IP:port) manages.
func (c *Catalog) BackendServersOfAgent(address string) []*configv1.BackendServer {
	return c.byAgent[address]
}

// Agents returns the distinct addresses (IP:port) of all agents.
func (c *Catalog) Agents() []string {
	agents := make([]string, 0, len(c.byAgent))
	seen := make(map[string]bool, len(c.byAgent))
	for _, b := range c.Deployment().GetBackendServers() {
		if !seen[b.GetAgent()] {
			seen[b.GetAgent()] = true
			agents = append(agents, b.GetAgent())
		}
	}
	return agents
}

// Client returns the client account with the given name. For an account that is
// not listed, it returns one with the default weight if the configuration allows
// unlisted clients.
func (c *Catalog) Client(name string) (*configv1.Client, bool) {
	if client, ok := c.clients[name]; ok {
		return client, true
	}
	defaults := c.Deployment().GetDefaults()
	if name == "" || !defaults.GetAllowUnlistedClients() {
		return nil, false
	}
	return &configv1.Client{Name: name, Weight: defaults.GetClientWeight()}, true
}

// ListedClient returns the client account with the given name if the
// configuration lists it.
func (c *Catalog) ListedClient(name string) (*configv1.Client, bool) {
	client, ok := c.clients[name]
	return client, ok
}

// ClientByToken returns the client account with the given bearer token.
func (c *Catalog) ClientByToken(token string) (*configv1.Client, bool) {
	return c.byToken.Find(token)
}

// MaxBodyBytes returns the highest body size limit of all model services, or 0 if
// none has a limit. It applies to requests whose body must be read to determine
// their service.
func (c *Catalog) MaxBodyBytes() int64 {
	var limit int64
	for _, s := range c.byModel {
		limit = max(limit, s.GetMaxBodyBytes())
	}
	return limit
}

// Region returns the region of a failure domain, or "" if the domain is unknown.
func (c *Catalog) Region(failureDomain string) string { return c.regions[failureDomain] }

// IsAgent reports whether an agent has the given address (IP:port).
func (c *Catalog) IsAgent(address string) bool { return len(c.byAgent[address]) > 0 }
