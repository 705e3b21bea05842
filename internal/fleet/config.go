// Package fleet holds a gateway's view of routes, services and backend servers,
// and decides which backend servers may be used.
//
// The package does no I/O: configurations and registrations are passed in as
// values.
package fleet

import (
	"hash/fnv"
	"strings"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/accounts"
)

// RequestKind defines how often a request may be executed.
type RequestKind int

const (
	// NonIdempotent requests are executed at most once.
	NonIdempotent RequestKind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Streaming requests are answered by a stream of events. They are executed
	// at most once unless their route allows them to be resumed.
	Streaming
)

// String returns the kind as used in logs.
func (k RequestKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Resumable allows a stream to continue at another engine after its last
	// event.
	Resumable bool
	// Timeout is the maximum duration of a request; 0 means no limit by the route.
	Timeout time.Duration
	// LatencyObjective is the time within which a response, or the first event
	// of a stream, should arrive; later ones have less value. 0 means no
	// objective.
	LatencyObjective time.Duration
	// MaxEventGap is the pause between events of a stream, or before the first
	// one, after which callers disconnect; 0 if they wait until their deadline.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of backend servers on which one request
	// is executed.
	MaxAttempts int
	// Priority of the requests; 0 is the most urgent.
	Priority int
	// Public requests need no key of a client account.
	Public  bool
	Targets []Target
}

// Retryable reports whether a request may be sent again after it may have been
// executed.
func (r Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target returns the service for a request, selected by weight. Requests with
// the same ID get the same service.
func (r Route) Target(requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if len(r.Targets) == 1 || total == 0 {
		return r.Targets[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID))
	point := int(h.Sum32() % uint32(total))
	for _, t := range r.Targets {
		if point -= max(0, t.Weight); point < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCapacityTokens is the capacity of an engine's KV cache in tokens; 0 if
	// unknown.
	KVCapacityTokens int
	// KVBytesPerToken is the size of the KV cache of one token in bytes.
	KVBytesPerToken int
	// LinkMbps is the bandwidth of KV cache transfers in megabits per second.
	LinkMbps float64
	// StageChangeTime is how long an engine is unavailable while it changes its
	// stage.
	StageChangeTime time.Duration
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the servers' health check; empty if they have none.
	HealthPath string
	// Engine is nil for services without model engines.
	Engine *EngineSpec
	// Scaling is nil for services whose number of servers is not controlled.
	Scaling *Scaling
}

// Scaling bounds the number of servers of a service in each failure domain.
type Scaling struct {
	// Min is at least 1, and Max at least Min.
	Min, Max int
	// StartTime is the time from the order of a server until it serves.
	StartTime time.Duration
}

// Config is one accepted configuration. It is immutable.
type Config struct {
	// Version is assigned by the operator. It increases, but not necessarily by
	// one.
	Version int64
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64
	// Accounts are the client accounts; nil if requests need no key.
	Accounts *accounts.Directory

	services map[string]Service
	hosts    map[string][]Route
}

// NewConfig returns a configuration. Routes without targets are dropped.
func NewConfig(version, maxBodyBytes int64, routes []Route, services []Service) *Config {
	c := &Config{
		Version:      version,
		MaxBodyBytes: maxBodyBytes,
		services:     make(map[string]Service, len(services)),
		hosts:        make(map[string][]Route),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		if len(r.Targets) > 0 {
			c.hosts[r.Host] = append(c.hosts[r.Host], r)
		}
	}
	return c
}

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the names of all services, in no particular order.
func (c *Config) Services() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	return names
}

// Scales reports whether the number of servers of a service is controlled.
func (c *Config) Scales() bool {
	for _, s := range c.services {
		if s.Scaling != nil {
			return true
		}
	}
	return false
}

// Routes returns the routes. Those of a host are in the order of the configuration.
func (c *Config) Routes() []Route {
	var routes []Route
	for _, ofHost := range c.hosts {
		routes = append(routes, ofHost...)
	}
	return routes
}

// Match returns the route of the host with the longest prefix of the path.
func (c *Config) Match(host, path string) (Route, bool) {
	best := -1
	routes := c.hosts[host]
	for i, r := range routes {
		if strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return routes[best], true
}

// Newer returns the configuration with the higher version, so that an old
// configuration read late is never put into force.
func Newer(current, next *Config) *Config {
	if current == nil || next != nil && next.Version > current.Version {
		return next
	}
	return current
}
