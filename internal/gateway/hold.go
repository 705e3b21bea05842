package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// Reasons of requests that only the limits of servers, or pauses that they have asked
// for, keep from being sent.
const (
	reasonServerLimit   = "server_limit"
	reasonServersPaused = "servers_paused"
)

// hold describes how the limits of servers and the pauses that they have asked for keep
// this gateway from sending a request to the healthy servers that could run it.
type hold struct {
	// held is set if there is such a server, and paused if one has asked for a pause and
	// not accepted a request since.
	held, paused bool
	// free is set if there is one that is neither limited nor paused. Something else
	// keeps this request from it, for a short time.
	free bool
	// ends is set if this gateway may use one of the held servers again, and wait is
	// the time until the first of them. Without a share in a limit, a caller that
	// comes back probably reaches a gateway that has one.
	ends bool
	wait time.Duration
}

// serverPollInterval is how often a request looks for a server if nothing says when
// there will be one.
const serverPollInterval = 50 * time.Millisecond

// waitForServer waits until there may be a server that takes a request of this gateway,
// if the caller bears that. It reports whether it has waited.
func (q *request) waitForServer(ctx context.Context) bool {
	wait, bearable := q.serverWait()
	if !bearable {
		return false
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// serverWait returns how long the request waits until there may be a server that takes it,
// and whether its caller bears that.
func (q *request) serverWait() (time.Duration, bool) {
	h := q.service.hold(q.g.now(), q.placementRequest())
	wait := h.wait
	if !h.ends {
		if h.held || h.free || !q.mayAwaitServer() {
			return 0, false
		}
		wait = serverPollInterval
	}
	tooLong := wait > q.bearableWait() || q.g.stop.hasBegun() && q.g.now()+wait > q.sendUntil()
	return wait, !tooLong
}

// mayAwaitServer reports whether the request may wait though there is no server at
// present. The caller of a stream that has begun can't begin anew, and servers that
// crashed may be back while it stays.
func (q *request) mayAwaitServer() bool {
	if !q.hasBegun() || q.service.allLeaving() {
		return false
	}
	return !q.pin.pinned || q.service.hasVersion(q.pin.version)
}

// bearableWait returns how long the request may wait for a server: half of the time until
// its first event is late. The caller of a stream that has begun can't begin anew, so that
// it may wait for as long as it stays.
func (q *request) bearableWait() time.Duration {
	if !q.hasBegun() {
		return q.objectiveRemaining() / 2
	}
	now := q.g.now()
	staysUntil := q.deadline
	if q.route.MaxEventGap > 0 {
		staysUntil = min(staysUntil, max(q.arrivedAt, q.lastEventAt)+q.route.MaxEventGap)
	}
	return staysUntil - now - minUsefulTime
}

// heldOutcome returns the outcome of a request that has not run and that only limits and
// pauses prevent from being sent, and when its caller may come back. It reports false if
// there is another reason.
func (q *request) heldOutcome() (outcome, time.Duration, bool) {
	h := q.service.hold(q.g.now(), q.placementRequest())
	if !h.held || h.free || q.possibleExecutions > 0 {
		return outcome{}, 0, false
	}
	reason := reasonServerLimit
	if h.paused {
		reason = reasonServersPaused
	}
	return outcome{result: notExecuted, reason: reason}, h.retryAfter(), true
}

// retryAfter returns when a caller may come back.
func (h hold) retryAfter() time.Duration {
	if !h.held || h.free || !h.ends {
		return busyRetryAfter
	}
	return max(minRetryAfter, h.wait)
}

// retryAfterRefusal returns when the caller of a request that servers have refused may
// come back.
func (q *request) retryAfterRefusal() time.Duration {
	return q.service.hold(q.g.now(), q.placementRequest()).retryAfter()
}

// hold returns how limits and pauses keep this gateway from sending a request.
func (s *service) hold(now time.Duration, r placement.Request) hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	var h hold
	for _, server := range s.registered {
		runs := server.Stage != fleet.StagePrefill && (!r.VersionPinned || server.Version == r.Version)
		if !runs || server.Leaving || s.health.Weight(now, server.ID) == 0 {
			continue
		}
		wait, shared := s.limits.Wait(now, server.ID)
		if shared && wait == 0 {
			h.free = true
			continue
		}
		h.held = true
		h.paused = h.paused || !s.limits.Limited(server.ID)
		excluded := slices.Contains(r.Exclude, server.ID)
		if shared && !excluded && (!h.ends || wait < h.wait) {
			h.ends, h.wait = true, wait
		}
	}
	return h
}

// heldServers returns the servers to which limits and pauses allow this gateway no
// request now.
func (s *service) heldServers(now time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []string
	for _, server := range s.registered {
		if !s.limits.Allows(now, server.ID) {
			held = append(held, server.ID)
		}
	}
	return held
}
