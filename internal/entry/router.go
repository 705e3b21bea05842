package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/catalog"
)

// router holds one pool for each service.
type router struct {
	start time.Time

	mu    sync.RWMutex
	pools map[string]*pool
}

func newRouter() *router {
	return &router{start: time.Now(), pools: make(map[string]*pool)}
}

// now returns the time since the start of the process, the clock on which
// routing decisions are made.
func (r *router) now() time.Duration { return time.Since(r.start) }

// configure applies a configuration. Services that remain keep the state of
// their backend servers.
func (r *router) configure(c *catalog.Catalog, at location) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	pools := make(map[string]*pool)
	for _, service := range c.Deployment().GetServices() {
		p, ok := r.pools[service.GetName()]
		if !ok {
			p = newPool(now, service, at.entries)
		}
		p.configure(now, c, service, at)
		pools[service.GetName()] = p
	}
	r.pools = pools
}

// pool returns the pool of a service, or nil if the service does not exist.
func (r *router) pool(service string) *pool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pools[service]
}

// each calls f with each pool.
func (r *router) each(f func(*pool)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, p := range r.pools {
		f(p)
	}
}

// seed returns a seed for randomized decisions that differs between requests.
func (q *callerRequest) seed() uint64 { return xxhash.Sum64String(q.id) }
