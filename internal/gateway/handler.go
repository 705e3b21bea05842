package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/accounts"
	"github.com/marigoldwing/marigoldwing/internal/eventstream"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/poison"
	"github.com/marigoldwing/marigoldwing/internal/retry"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

// request is the state of one caller's request.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	meta    RequestMeta
	route   fleet.Route
	service *service
	config  *fleet.Config
	body    []byte
	// explainedBodyBytes is the size of the body of a request that is explained, which has
	// none; 0 for other requests.
	explainedBodyBytes int
	// account is the client account of the request's key according to authConfig; nil if
	// the request needs none.
	account    *accounts.Account
	authConfig *fleet.Config
	// counted is set once the run of the request has been counted.
	counted bool
	// share is what the request counts in the fair shares of the service's accounts.
	share shareUse
	// traits are what the request has in common with others that may crash servers.
	traits []poison.Trait
	// sentAt is when the last attempt was sent, and proven is set once an engine has
	// shown that it answers the request. lost is set once an attempt has lost its server.
	sentAt time.Duration
	proven bool
	lost   bool
	// blockedPart is the ID of the part for which the request was refused, and
	// blockedRequest the hash of the request if it was refused as a whole. trial is the
	// block whose trait the request tries again.
	blockedPart, blockedRequest string
	trial                       *poison.Block
	// memory is what the buffered answer takes, and bodyMemory what the request's body does.
	memory, bodyMemory *upstream.Reservation

	arrivedAt time.Duration
	// deadline is on the gateway's monotonic clock, like arrivedAt.
	deadline time.Duration

	// sends counts the attempts sent; possibleExecutions counts those of them that
	// may have been executed.
	sends, possibleExecutions int
	// excluded lists the IDs of servers that have refused or failed this request.
	excluded []string
	// prefillElapsed is the duration of the last prefill at a separate prefill
	// engine; prefillPredicted is its predicted duration.
	prefillElapsed, prefillPredicted time.Duration
	// prefilled is set once an engine has prefilled the prompt separately.
	prefilled bool
	// directOnly prevents another split attempt with a separate prefill engine.
	directOnly bool
	// lastEventID is the ID of the last event sent to the caller, and resumedAfter what
	// it was when the latest attempt was sent.
	lastEventID, resumedAfter string
	// order is the order of the events that the caller has.
	order eventstream.Order
	// pin is the software version to which the stream is bound.
	pin versionPin
	// weights is the version of the weights with which the latest event that the caller
	// has was made, and statedWeights that with which the latest response begins; empty if
	// there is none, or no version was stated.
	weights, statedWeights string
	// headerSent is set once the response header has been sent to the caller;
	// from then on no other response is possible.
	headerSent bool
	// firstEventAt and lastEventAt are the times at which the first and the
	// latest event were sent to the caller; 0 before that.
	firstEventAt, lastEventAt time.Duration
	// left is set if the caller had left when an attempt was about to be sent, and leftAt
	// is when the close of its connection was seen, in nanoseconds; 0 if it was not.
	left   bool
	leftAt atomic.Int64
	// outstanding is the step that a server works on; empty if none does.
	outstanding string
	// server is the server that the last attempt was sent to; its zero value before that.
	server fleet.Server
	// pendingPlacement is non-nil while the coordinator that placed the request
	// still has to be notified of the end of its prefill. placedBy names the
	// gateway that placed a long prompt; it is empty for other requests.
	pendingPlacement *remotePlacement
	placedBy         string
}

const (
	// defaultTimeout is the timeout of a request that specifies none.
	defaultTimeout = 30 * time.Second
	// deadlineGrace is how long after its deadline a request may still receive a
	// response: servers respond themselves when the deadline expires.
	deadlineGrace = 200 * time.Millisecond
	// minUsefulTime is the shortest remaining time with which a request is still
	// sent.
	minUsefulTime = 5 * time.Millisecond
)

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.inflight.Inc()
	defer g.metrics.inflight.Dec()
	if g.stop.hasBegun() {
		w.Header().Set("Connection", "close")
	}
	q := &request{
		g: g, w: w, r: r, arrivedAt: g.now(),
		meta:   g.opts.Protocol.ParseRequest(r.Header),
		memory: g.buffers.NewReservation(), bodyMemory: g.bodyBuffers.NewReservation(),
	}
	defer q.memory.Release()
	defer q.bodyMemory.Release()
	q.lastEventID, q.order = q.meta.LastEventID, eventstream.OrderAfter(q.meta.LastEventID)
	defer q.watchCaller()()
	if !q.prepare() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.remaining()+deadlineGrace)
	defer cancel()
	defer context.AfterFunc(g.stop.over, cancel)()
	q.serve(ctx)
}

// remaining returns the time until the request's deadline.
func (q *request) remaining() time.Duration { return q.deadline - q.g.now() }

// prepare matches the route, sets the deadline and reads the body. It reports
// whether the request can be served; if not, it has sent the response.
func (q *request) prepare() bool {
	if r, ok := q.match(q.g.state.Load(), q.authenticate); !ok {
		q.refuse(r)
		return false
	}
	return q.readBody(q.config.MaxBodyBytes)
}

// match finds the route, the client account and the service of the request, and sets the
// deadline. It returns false and the refusal if the request can't be served.
func (q *request) match(current *state, authenticate func(*fleet.Config) error) (refusal, bool) {
	if current.config == nil {
		return refusal{status: http.StatusServiceUnavailable, reason: "not_configured", retryAfter: notConfiguredRetryAfter}, false
	}
	q.config = current.config
	route, ok := current.config.Match(q.r.Host, q.r.URL.Path)
	if !ok {
		return refusal{status: http.StatusNotFound, reason: "no_route"}, false
	}
	q.route = route
	if err := authenticate(current.config); err != nil {
		return unauthorized(err), false
	}
	if q.unconfirmed() {
		return refusal{status: http.StatusServiceUnavailable, reason: reasonKeysUnconfirmed, retryAfter: unconfirmedKeysRetryAfter}, false
	}
	q.service = current.services[route.Target(q.meta.ID)]
	timeout := q.meta.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	q.deadline = q.arrivedAt + timeout
	return refusal{}, true
}

// unknownService is the refusal of a request to a service that the configuration lacks.
var unknownService = refusal{status: http.StatusServiceUnavailable, reason: "unknown_service", retryAfter: noServerRetryAfter}

// serve makes attempts until the request has its final response.
func (q *request) serve(ctx context.Context) {
	if q.service == nil {
		q.refuse(unknownService)
		return
	}
	q.service.recordRequest()
	q.traits = q.allTraits()
	defer q.endTrial()
	if !q.takeUp(ctx) {
		return
	}
	// last is the outcome of the latest attempt. It becomes the outcome of the
	// request if no further attempt can be made.
	var last *outcome
	for {
		if q.endForStop(last) || q.endUnauthorized(last) || q.refuseBlocked(ctx, last) {
			return
		}
		choice, err := q.choose(ctx)
		if err != nil && q.waitForServer(ctx) {
			continue
		}
		if err != nil {
			q.failNoServer(last)
			return
		}
		if q.refuseAboveShare(choice) {
			q.notifyPlaceEnded(false)
			return
		}
		if !q.meetsDeadline(choice) {
			q.notifyPlaceEnded(false)
			q.fail(lastOutcomeOr(last, reasonOverloaded), overloadRetryAfter(choice, q.route))
			return
		}
		if choice.Split && !q.mayPrefill() {
			q.notifyPlaceEnded(false)
			q.directOnly = true
			continue
		}
		out, choice := q.attempt(ctx, choice)
		q.notifyPlaceEnded(false)
		last = &out
		if q.handleOutcome(ctx, out, choice) {
			return
		}
	}
}

// failNoServer ends a request for which there is no server.
func (q *request) failNoServer(last *outcome) { q.fail(q.noServerOutcome(last)) }

// noServerOutcome returns the outcome of a request for which there is no server, and when
// its caller may come back. One that is bound to a software version that no server has any
// more can't be served later either.
func (q *request) noServerOutcome(last *outcome) (outcome, time.Duration) {
	if q.pin.pinned && !q.service.hasVersion(q.pin.version) {
		return lastOutcomeOr(last, reasonVersionGone), 0
	}
	if out, retryAfter, held := q.heldOutcome(); held {
		return out, retryAfter
	}
	reason := reasonNoServer
	if q.service.allLeaving() {
		reason = reasonServersLeaving
	}
	return lastOutcomeOr(last, reason), noServerRetryAfter
}

// mayPrefill reports whether the prompt may be prefilled at a separate engine.
// After the first time this is one more send, which the retry budget must allow.
func (q *request) mayPrefill() bool {
	if !q.prefilled {
		return true
	}
	decision := q.service.decideSend(q.g.now())
	q.logRetry(stepPrefill, decision)
	return decision.Action == retry.ActionRetry
}

// lastOutcomeOr returns the outcome of the last attempt, or, if nothing was
// sent, a not-executed outcome with the given reason.
func lastOutcomeOr(last *outcome, reason string) outcome {
	if last != nil {
		return *last
	}
	return outcome{result: notExecuted, reason: reason}
}

// placementRequest describes the request to the placement package.
func (q *request) placementRequest() placement.Request {
	return placement.Request{
		Parts:            q.meta.Parts,
		PromptTokens:     q.meta.PromptTokens,
		BodyBytes:        q.bodyBytes(),
		Exclude:          q.excluded,
		FirstEventBudget: q.objectiveRemaining(),
		NoSplit:          q.directOnly,
		Priority:         q.priority(),
		Objective:        q.route.LatencyObjective,
		VersionPinned:    q.pin.pinned,
		Version:          q.pin.version,
		Weights:          q.weights,
	}
}

// bodyBytes returns the size of the request's body.
func (q *request) bodyBytes() int { return max(len(q.body), q.explainedBodyBytes) }

// objectiveRemaining returns the time left in which the first event meets the
// route's latency objective, at least one millisecond; 0 if the route has no
// objective.
func (q *request) objectiveRemaining() time.Duration {
	if q.route.LatencyObjective == 0 {
		return 0
	}
	return max(time.Millisecond, q.arrivedAt+q.route.LatencyObjective-q.g.now())
}

// meetsDeadline reports whether the first event is predicted before the
// deadline and, for a stream that begins, within the route's MaxEventGap, after which
// callers disconnect. The caller of one that has begun can't begin anew.
func (q *request) meetsDeadline(c placement.Choice) bool {
	return c.TimeToFirstEvent+minUsefulTime < q.timeToStart()
}

// timeToStart returns the time left for the first event of the next attempt.
func (q *request) timeToStart() time.Duration {
	available := q.remaining()
	if q.route.MaxEventGap > 0 && !q.headerSent && !q.hasBegun() {
		available = min(available, q.arrivedAt+q.route.MaxEventGap-q.g.now())
	}
	return available
}

// handleOutcome processes an attempt's outcome. It reports whether the request
// has its final response; if not, another attempt follows.
func (q *request) handleOutcome(ctx context.Context, out outcome, choice placement.Choice) bool {
	q.logAttempt(out, choice)
	if out.mayHaveExecuted() {
		q.possibleExecutions++
	}
	q.recordHealth(out, choice)
	q.recordEvidence(out, choice.Server)
	switch out.result {
	case delivered:
		q.completeShare()
		if q.share.counted && q.firstEventAt > 0 {
			q.service.recordStream(q.g.now() - q.firstEventAt)
		}
		q.service.recordDuration(q.route.Kind, q.g.now()-q.arrivedAt)
		q.finish("answered", "", out.status())
		return true
	case callerDisconnected:
		q.finish("caller_left", out.reason, 0)
		q.abort()
	case timedOut:
		q.fail(out, 0)
		return true
	}
	if q.endForStop(&out) {
		return true
	}
	if !q.retryAfterBackoff(ctx, out, choice) {
		q.fail(out, q.retryAfterRefusal())
		return true
	}
	return false
}

// retryAfterBackoff reports whether another attempt is to be made. It returns
// after the backoff that precedes the attempt.
func (q *request) retryAfterBackoff(ctx context.Context, out outcome, choice placement.Choice) bool {
	decision := q.decideRetry(ctx, out, choice)
	q.logRetry(stepRun, decision)
	if decision.Action != retry.ActionRetry {
		return false
	}
	if !out.serverUntried && !out.paused {
		q.excluded = append(q.excluded, choice.Server.ID)
	}
	if decision.Backoff == 0 {
		return true
	}
	select {
	case <-time.After(decision.Backoff):
		return true
	case <-ctx.Done():
		return false
	}
}

const (
	// maxBudgetWait bounds the time that a stream that has begun waits for the retry
	// budget, and budgetPollInterval is how often it asks.
	maxBudgetWait      = time.Second
	budgetPollInterval = 50 * time.Millisecond
)

// decideRetry decides whether another attempt is to be made. A stream that has begun
// waits for the retry budget for a while, because its caller can't begin anew.
func (q *request) decideRetry(ctx context.Context, out outcome, choice placement.Choice) retry.Decision {
	for waited := time.Duration(0); ; waited += budgetPollInterval {
		decision := q.service.decideRetry(q.g.now(), retry.Attempt{
			Idempotent:        q.route.Retryable() && !out.unresumable,
			Ran:               out.executed(),
			AttemptsMade:      q.sends,
			Exhausted:         out.mayHaveExecuted() && q.possibleExecutions >= q.route.MaxAttempts,
			Free:              out.prefillLost || out.unsent,
			Remaining:         q.remaining(),
			PredictedDuration: choice.TimeToFirstEvent,
			Seed:              q.g.seed.Add(1),
		})
		if decision.Denial != retry.DenialBudget || !q.hasBegun() || waited >= maxBudgetWait {
			return decision
		}
		select {
		case <-time.After(budgetPollInterval):
		case <-ctx.Done():
			return decision
		}
	}
}

// recordHealth updates the health of the server that an attempt was sent to.
func (q *request) recordHealth(out outcome, choice placement.Choice) {
	switch {
	case out.serverFault:
		if ejection := q.service.recordFailure(q.g.now(), choice.Server.ID); ejection != retry.NotEjected {
			avoided := ejection == retry.Avoided
			q.g.log.Write(logevent.ServerEjected(q.meta.ID, q.service.name, choice.Server.ID, out.reason, avoided))
		}
	case out.result == delivered || out.result == failedResponse:
		q.service.recordSuccess(choice.Server.ID)
	}
}
