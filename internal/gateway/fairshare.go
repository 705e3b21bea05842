package gateway

import (
	"net/http"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/limits"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
)

const (
	// reasonFairShare is the reason of requests that are refused because their account
	// uses more than its fair share of a service that is short of capacity.
	reasonFairShare = "fair_share"
	// maxSharingAccounts bounds the accounts whose usage of a service is known. Those
	// beyond it count as one.
	maxSharingAccounts = 16_384
	// returnShare is the part of the time left after which callers still come back.
	// Retry-After is up to half longer than its value (see retryAfterHeader).
	returnShare = 2.0 / 9
	// initialStreamSeconds is the initial estimate of the time that a stream occupies a
	// slot, and streamSmoothing the weight of each stream that has ended.
	initialStreamSeconds = 0.3
	streamSmoothing      = 0.05
	// minSpareDivisor bounds the time that a request may wait from below, as a part of its
	// objective. Prompts that take longer than that on an idle engine would make any wait
	// a lack of capacity.
	minSpareDivisor = 4
)

// shares are the fair shares of a service's accounts; its zero value holds those of a
// service that has had no requests of accounts.
type shares struct {
	fair *limits.FairShare
	// streamSeconds is how long a stream occupies a slot, from its first event.
	streamSeconds float64
	// short is whether the service was short of capacity at the latest request.
	short bool
}

// shareUse is what a request counts in the fair shares.
type shareUse struct {
	counted, completed bool
	request            limits.Request
}

// refuseAboveShare refuses a request that has not been sent if its account uses more than
// its fair share of a service that is short of capacity. It counts each request of an
// account once. A stream that has begun is not refused, since its caller can't begin anew.
func (q *request) refuseAboveShare(c placement.Choice) bool {
	if q.account == nil || q.share.counted || q.hasBegun() {
		return false
	}
	q.share.counted = true
	q.share.request = q.shareRequest(q.g.seed.Add(1))
	decision, change := q.service.admitShare(q.g.now(), &q.share.request, q.shareDemand(c))
	if change.changed {
		q.g.log.Write(logevent.CapacityShortage(q.service.name, change.short, change.pressure, change.completed))
	}
	if decision.Admitted {
		return false
	}
	q.share.completed = true // nothing to revert
	q.g.metrics.shareRefusals.WithLabelValues(q.service.name).Inc()
	q.refuse(aboveShare(decision))
	return true
}

// aboveShare returns the refusal of a request whose account uses more than its fair share.
func aboveShare(d limits.Decision) refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: reasonFairShare, retryAfter: d.RetryAfter}
}

// shareRequest describes the request to the fair shares, without its cost.
func (q *request) shareRequest(seed uint64) limits.Request {
	return limits.Request{Client: q.account.Name, Priority: q.basePriority(), Seed: seed}
}

// shareDemand returns what the cost and the urgency of the request with a choice follow
// from.
func (q *request) shareDemand(c placement.Choice) shareDemand {
	available := q.objectiveRemaining()
	if available == 0 {
		available = q.timeToStart()
	}
	return shareDemand{
		choice: c, promptTokens: q.meta.PromptTokens, available: available,
		maxRetryAfter: time.Duration(returnShare * float64(q.remaining())),
	}
}

// completeShare counts the work of a request as done, at its first event or its complete
// answer.
func (q *request) completeShare() {
	if q.share.counted && !q.share.completed {
		q.share.completed = true
		q.service.completeShare(q.g.now(), q.share.request.Cost)
	}
}

// endShare reverts the count of a request that ends and has not been executed.
func (q *request) endShare() {
	if q.share.counted && !q.share.completed && q.possibleExecutions == 0 {
		q.share.completed = true
		q.service.refundShare(q.share.request)
	}
}

// shareDemand is what the cost and the urgency of a request follow from.
type shareDemand struct {
	choice                   placement.Choice
	promptTokens             int
	available, maxRetryAfter time.Duration
}

// shortageChange is a change of whether a service is short of capacity.
type shortageChange struct {
	changed, short      bool
	pressure, completed float64
}

// admitShare decides on a request and sets its cost.
func (s *service) admitShare(now time.Duration, r *limits.Request, d shareDemand) (limits.Decision, shortageChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares = s.currentShares()
	demand := s.demand(now, s.shares.streamSeconds, *r, d)
	r.Cost = demand.Cost
	decision := s.shares.fair.Admit(now, demand)
	state := s.shares.fair.State(now)
	change := shortageChange{changed: state.Short != s.shares.short, short: state.Short, pressure: state.Pressure, completed: state.CompletedPerSecond}
	s.shares.short = state.Short
	return decision, change
}

// currentShares returns the shares of the service, which are new before the first request
// of an account. The caller holds s.mu.
func (s *service) currentShares() shares {
	if s.shares.fair != nil {
		return s.shares
	}
	return shares{fair: limits.NewFairShare(maxSharingAccounts, placement.PriorityLevels), streamSeconds: initialStreamSeconds}
}

// demand returns the demand of a request for a share of the service. Its cost is 1 for a
// plain service; for engines the time that one works on the prompt, and the part of an engine's time that a stream in one of its slots takes. The caller holds
// s.mu.
func (s *service) demand(now time.Duration, streamSeconds float64, r limits.Request, d shareDemand) limits.Demand {
	idle := s.table.EstimateIdle(now, d.choice, d.promptTokens)
	r.Cost = 1
	if s.engine != nil {
		r.Cost = idle.PrefillSeconds + streamSeconds/float64(max(1, s.engine.Slots))
	}
	return limits.Demand{
		Request: r, Wait: d.choice.TimeToFirstEvent - idle.FirstEvent, MaxRetryAfter: d.maxRetryAfter,
		Spare: max(d.available-idle.FirstEvent, d.available/minSpareDivisor),
	}
}

// previewShare returns what admitShare would decide, and counts nothing.
func (s *service) previewShare(now time.Duration, r limits.Request, d shareDemand) limits.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentShares()
	return current.fair.Preview(now, s.demand(now, current.streamSeconds, r, d))
}

// completeShare counts the cost of a request of an account whose work is done.
func (s *service) completeShare(now time.Duration, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.fair.Completed(now, cost)
}

// recordStream records how long a stream occupied a slot.
func (s *service) recordStream(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.streamSeconds += streamSmoothing * (took.Seconds() - s.shares.streamSeconds)
}

func (s *service) refundShare(r limits.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.fair.Refund(r)
}
