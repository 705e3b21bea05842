// Package baseline implements the simple policy that benchmarks compare with:
// round-robin routing with a fixed number of retries, and a planner that
// applies thresholds to the latest load reports.
package baseline

import (
	"slices"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// MaxAttempts is the maximum number of attempts per request, including the
// first.
const MaxAttempts = 3

// ShouldRetry reports whether to retry after the given number of attempts.
func ShouldRetry(attempts int) bool { return attempts < MaxAttempts }

// Router routes requests to engines round robin. It is not safe for concurrent
// use.
type Router struct {
	engines     []engine
	nextPrefill int // index of the engine to try first for prefill
	nextDecode  int // index of the engine to try first for decode
}

// engine is the latest known role and state of an engine.
type engine struct {
	name  string
	role  configv1.Role
	state peerv1.ServerState
}

// NewRouter returns a router for the given engines, all of which are assumed to
// be serving.
func NewRouter(engines []routing.Engine) *Router {
	r := &Router{}
	for _, e := range engines {
		r.engines = append(r.engines, engine{e.Name, e.Role, peerv1.ServerState_SERVER_STATE_SERVING})
	}
	return r
}

// SetState updates the role and the state of an engine. Unknown engines are
// ignored.
func (r *Router) SetState(name string, role configv1.Role, state peerv1.ServerState) {
	i := slices.IndexFunc(r.engines, func(e engine) bool { return e.name == name })
	if i >= 0 {
		r.engines[i].role, r.engines[i].state = role, state
	}
}

// Choose returns the next engine that can prefill and, if it cannot decode as
// well, the next one that can. It returns routing.ErrNoEngine if there is none.
func (r *Router) Choose() (routing.Choice, error) {
	i, ok := r.nextServing(r.nextPrefill, configv1.Role_ROLE_DECODE)
	if !ok {
		return routing.Choice{}, routing.ErrNoEngine
	}
	r.nextPrefill = i + 1
	first := r.engines[i]
	if first.role == configv1.Role_ROLE_MIXED {
		return routing.Choice{PrefillEngine: first.name, DecodeEngine: first.name}, nil
	}
	j, ok := r.nextServing(r.nextDecode, configv1.Role_ROLE_PREFILL)
	if !ok {
		return routing.Choice{}, routing.ErrNoEngine
	}
	r.nextDecode = j + 1
	return routing.Choice{PrefillEngine: first.name, DecodeEngine: r.engines[j].name}, nil
}

// nextServing returns the index of the first serving engine, starting at from,
// whose role is not excluded.
func (r *Router) nextServing(from int, excluded configv1.Role) (int, bool) {
	for k := range r.engines {
		i := (from + k) % len(r.engines)
		e := r.engines[i]
		if e.state == peerv1.ServerState_SERVER_STATE_SERVING && e.role != excluded {
			return i, true
		}
	}
	return 0, false
}
