// Package baseline holds the naive policy that measurements compare with: round
// robin with a fixed number of retries, and a planner with thresholds on the
// last load report.
package baseline

import (
	"slices"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// MaxAttempts of one request, the first included.
const MaxAttempts = 3

// ShouldRetry reports whether another attempt follows the given number of attempts.
func ShouldRetry(attempts int) bool { return attempts < MaxAttempts }

// Router gives requests to engines in turn.
type Router struct {
	engines []engine
	next    int
	decode  int
}

type engine struct {
	name  string
	role  configv1.Role
	state peerv1.ServerState
}

// NewRouter returns a router over the engines.
func NewRouter(engines []routing.Engine) *Router {
	r := &Router{}
	for _, e := range engines {
		r.engines = append(r.engines, engine{e.Name, e.Role, peerv1.ServerState_SERVER_STATE_SERVING})
	}
	return r
}

// SetState takes in the state of one engine.
func (r *Router) SetState(name string, role configv1.Role, state peerv1.ServerState) {
	i := slices.IndexFunc(r.engines, func(e engine) bool { return e.name == name })
	if i >= 0 {
		r.engines[i].role, r.engines[i].state = role, state
	}
}

// Choose returns the next engine that can prefill, and if it cannot decode the
// next one that can.
func (r *Router) Choose() (routing.Choice, error) {
	i, ok := r.turn(r.next, configv1.Role_ROLE_DECODE)
	if !ok {
		return routing.Choice{}, routing.ErrNoEngine
	}
	r.next = i + 1
	first := r.engines[i]
	if first.role == configv1.Role_ROLE_MIXED {
		return routing.Choice{PrefillEngine: first.name, DecodeEngine: first.name}, nil
	}
	j, ok := r.turn(r.decode, configv1.Role_ROLE_PREFILL)
	if !ok {
		return routing.Choice{}, routing.ErrNoEngine
	}
	r.decode = j + 1
	return routing.Choice{PrefillEngine: first.name, DecodeEngine: r.engines[j].name}, nil
}

// turn returns the first serving engine from a place on that has not the role.
func (r *Router) turn(from int, not configv1.Role) (int, bool) {
	for k := range r.engines {
		i := (from + k) % len(r.engines)
		e := r.engines[i]
		if e.state == peerv1.ServerState_SERVER_STATE_SERVING && e.role != not {
			return i, true
		}
	}
	return 0, false
}
