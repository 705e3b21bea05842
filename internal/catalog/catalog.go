// Package catalog is an immutable index over one accepted configuration, so
// that the request path finds services, backend servers and clients without
// a search.
package catalog

import (
	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// Catalog indexes one configuration. It is safe for concurrent use, and its
// messages must not be changed.
type Catalog struct {
	accepted *configv1.AcceptedDeployment

	services  map[string]*configv1.Service
	byModel   map[string]*configv1.Service
	servers   map[string]*configv1.BackendServer
	byService map[string][]*configv1.BackendServer
	byAgent   map[string][]*configv1.BackendServer
	models    map[string]*configv1.Model
	clients   map[string]*configv1.Client
	byToken   map[string]*configv1.Client
	regions   map[string]string
}

// New indexes accepted; nil gives an empty catalog of revision 0.
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
		byToken:   make(map[string]*configv1.Client),
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
			c.byToken[client.GetToken()] = client
		}
	}
}

// Accepted returns the indexed configuration, or nil.
func (c *Catalog) Accepted() *configv1.AcceptedDeployment { return c.accepted }

// Deployment returns the indexed deployment, or nil.
func (c *Catalog) Deployment() *configv1.Deployment { return c.accepted.GetDeployment() }

// Revision returns the revision of the configuration, 0 if there is none.
func (c *Catalog) Revision() uint64 { return c.accepted.GetRevision() }

// Service returns a service by name.
func (c *Catalog) Service(name string) (*configv1.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// ServiceForModel returns the service that serves a model.
func (c *Catalog) ServiceForModel(model string) (*configv1.Service, bool) {
	s, ok := c.byModel[model]
	return s, ok
}

// Model returns a model by name.
func (c *Catalog) Model(name string) (*configv1.Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// BackendServer returns a backend server by name.
func (c *Catalog) BackendServer(name string) (*configv1.BackendServer, bool) {
	b, ok := c.servers[name]
	return b, ok
}

// BackendServers returns the backend servers of a service in the order of
// the configuration.
func (c *Catalog) BackendServers(service string) []*configv1.BackendServer {
	return c.byService[service]
}

// BackendServersOfAgent returns the backend servers behind an agent's address.
func (c *Catalog) BackendServersOfAgent(address string) []*configv1.BackendServer {
	return c.byAgent[address]
}

// Agents returns the addresses (IP:port) of all agents, each once.
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

// Client returns a client by account name. Clients that are not listed get
// the defaults if the configuration allows them.
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

// ListedClient returns a client that the deployment lists.
func (c *Catalog) ListedClient(name string) (*configv1.Client, bool) {
	client, ok := c.clients[name]
	return client, ok
}

// ClientByToken returns the client with a bearer token.
func (c *Catalog) ClientByToken(token string) (*configv1.Client, bool) {
	client, ok := c.byToken[token]
	return client, ok
}

// MaxBodyBytes returns the largest body limit of any model service, for
// requests whose body must be read before their service is known; 0 means
// that none sets a limit.
func (c *Catalog) MaxBodyBytes() int64 {
	var limit int64
	for _, s := range c.byModel {
		limit = max(limit, s.GetMaxBodyBytes())
	}
	return limit
}

// Region returns the region of a failure domain, or "".
func (c *Catalog) Region(failureDomain string) string { return c.regions[failureDomain] }

// IsAgent tells whether an address (IP:port) is that of an agent.
func (c *Catalog) IsAgent(address string) bool { return len(c.byAgent[address]) > 0 }
