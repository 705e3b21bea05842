// Package fleet holds what a gateway knows of the routes, the services and the
// backend servers that others run, and decides which of them may be used.
//
// Nothing here does I/O: configurations and registrations come in as values.
package fleet

import (
	"hash/fnv"
	"strings"
	"time"
)

// RequestKind says how often a request may run.
type RequestKind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events. They run at most
	// once unless their route allows to resume them.
	Streaming
)

// String returns the kind for logs.
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

// Target is a service that a route sends a share of its requests to.
type Target struct {
	Service string
	// Weight relative to the other targets of the route.
	Weight int
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Resumable streams may go on at another engine after their last event.
	Resumable bool
	// Timeout is the longest time that a request is kept waiting; 0 is none.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer earns its full value, to
	// the first event for streams.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause, also before the first event, after which
	// callers leave a stream; 0 if they wait for their deadline.
	MaxEventGap time.Duration
	// MaxAttempts is the largest number of backend servers that one request may
	// run on.
	MaxAttempts int
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	Targets  []Target
}

// Retryable tells whether a request may be sent again although it may have
// run.
func (r Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target returns the service for a request; requests with the same ID get the
// same one.
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
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVCapacityTokens is the KV cache memory, in tokens; 0 if it is not told.
	KVCapacityTokens int
	// KVBytesPerToken of KV cache.
	KVBytesPerToken int
	// LinkMbps is the bandwidth of KV transfers, in megabits per second.
	LinkMbps float64
	// StageChangeTime is how long an engine is away when it changes its stage.
	StageChangeTime time.Duration
}

// Service is a set of backend servers that are alike.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// Config is one accepted configuration.
type Config struct {
	// Version is the operator's number; it rises in uneven steps.
	Version int64
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64

	services map[string]Service
	hosts    map[string][]Route
}

// NewConfig returns a configuration with its routes ordered for matching.
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

// Services returns the names of all services.
func (c *Config) Services() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	return names
}

// Match returns the route of a host with the longest prefix that begins the
// path.
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

// Newer returns the configuration to use after next was read: versions never
// go back.
func Newer(current, next *Config) *Config {
	if current == nil || next != nil && next.Version > current.Version {
		return next
	}
	return current
}
