package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/retry"
)

// request is one caller's request on its way through the gateway.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    RequestMeta
	route   fleet.Route
	service *service
	config  *fleet.Config
	body    []byte

	arrived time.Duration
	// deadline on the gateway's clock.
	deadline time.Duration

	// sends made, and how many of them may have run the request.
	sends, runs int
	// exclude names servers that have failed the request.
	exclude []string
	// prefilled is the time that the last prefill at a prefill engine took, and
	// prefillPredicted what it was expected to take.
	prefilled, prefillPredicted time.Duration
	// directOnly keeps the request from engines that only prefill.
	directOnly bool
	// lastEvent is the ID of the last event that the caller has.
	lastEvent string
	// committed is set when the head of an answer has gone to the caller.
	committed bool
	// firstEvent and newestEvent are when the first and the newest event went
	// out, 0 before.
	firstEvent, newestEvent time.Duration
	// server that the last attempt went to.
	server string
	// placed is set until the gateway that placed the request has been told of
	// the prompt's end, and placedBy names that gateway; empty for short ones.
	placed   *placedBy
	placedBy string
}

const (
	// defaultWait is the deadline of a request that names none.
	defaultWait = 30 * time.Second
	// answerGrace is how much longer than the deadline an answer that is under
	// way is awaited, as servers answer themselves at the deadline.
	answerGrace = 200 * time.Millisecond
	// leastUseful is the time left below which a request is not sent.
	leastUseful = 5 * time.Millisecond
)

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.inflight.Inc()
	defer g.metrics.inflight.Dec()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{g: g, w: w, r: r, arrived: g.now(), call: g.opts.Protocol.ParseRequest(r.Header)}
	q.lastEvent = q.call.LastEventID
	if !q.admit() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.left()+answerGrace)
	defer cancel()
	q.serve(ctx)
}

// left returns the time until the request's deadline.
func (q *request) left() time.Duration { return q.deadline - q.g.now() }

// admit finds the route and reads the body. It answers by itself what can't
// be served.
func (q *request) admit() bool {
	st := q.g.state.Load()
	if st.config == nil {
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: "not_configured", retryAfter: unconfiguredPause})
		return false
	}
	q.config = st.config
	route, ok := st.config.Match(q.r.Host, q.r.URL.Path)
	if !ok {
		q.refuse(refusal{status: http.StatusNotFound, reason: "no_route"})
		return false
	}
	q.route = route
	q.service = st.services[route.Target(q.call.ID)]
	wait := q.call.Timeout
	if wait == 0 {
		wait = defaultWait
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	q.deadline = q.arrived + wait
	return q.readBody(st.config.MaxBodyBytes)
}

func (q *request) readBody(limit int64) bool {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return true
	}
	body := io.Reader(q.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(q.w, q.r.Body, limit)
	}
	var err error
	q.body, err = readAll(body, q.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		q.refuse(refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"})
	default:
		q.finish("caller_left", "body was not sent whole: "+err.Error(), 0)
		panic(http.ErrAbortHandler)
	}
	return false
}

// maxPrealloc bounds the memory taken on the word of a length header.
const maxPrealloc = 1 << 20

// readAll reads r to its end with one allocation where the length is known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxPrealloc {
		return io.ReadAll(r)
	}
	data := make([]byte, length)
	n, err := io.ReadFull(r, data)
	return data[:n], err
}

// serve makes attempts until the request is answered.
func (q *request) serve(ctx context.Context) {
	if q.service == nil {
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: "unknown_service", retryAfter: noServerPause})
		return
	}
	q.service.attempted()
	// last is the outcome of the last attempt, which stands if no other can
	// follow.
	var last *outcome
	for {
		choice, err := q.choose(ctx)
		if err != nil {
			q.giveUp(orElse(last, "no_server"), noServerPause)
			return
		}
		if !q.inTime(choice) {
			q.endPlaced(false)
			q.giveUp(orElse(last, "overloaded"), overloadPause(choice, q.route))
			return
		}
		out, choice := q.attempt(ctx, choice)
		q.endPlaced(false)
		last = &out
		if q.settled(ctx, out, choice) {
			return
		}
	}
}

// orElse returns the outcome of the last attempt, or that of a request that
// was not sent at all for a reason.
func orElse(last *outcome, reason string) outcome {
	if last != nil {
		return *last
	}
	return outcome{result: notRun, reason: reason}
}

// wanted describes the request to the placement.
func (q *request) wanted() placement.Request {
	return placement.Request{
		Parts:            q.call.Parts,
		PromptTokens:     q.call.PromptTokens,
		BodyBytes:        len(q.body),
		Exclude:          q.exclude,
		FirstEventBudget: q.objectiveLeft(),
		NoSplit:          q.directOnly,
	}
}

// objectiveLeft returns the time in which the first event is in time, at least
// a moment; 0 where the route has no objective.
func (q *request) objectiveLeft() time.Duration {
	if q.route.LatencyObjective == 0 {
		return 0
	}
	return max(time.Millisecond, q.arrived+q.route.LatencyObjective-q.g.now())
}

// inTime tells whether the first event is predicted before the deadline, and
// before the caller's patience is over.
func (q *request) inTime(c placement.Choice) bool {
	left := q.left()
	if q.route.MaxEventGap > 0 && !q.committed {
		left = min(left, q.arrived+q.route.MaxEventGap-q.g.now())
	}
	return c.TimeToFirstEvent+leastUseful < left
}

// settled takes in an attempt's outcome. It reports whether the request has
// its final answer; otherwise another attempt follows.
func (q *request) settled(ctx context.Context, out outcome, choice placement.Choice) bool {
	q.logAttempt(out, choice)
	if out.mayHaveRun() {
		q.runs++
	}
	q.noteHealth(out, choice)
	switch out.result {
	case delivered:
		q.finish("answered", "", out.status())
		return true
	case callerLeft:
		q.finish("caller_left", out.reason, 0)
		panic(http.ErrAbortHandler)
	case timedOut:
		q.giveUp(out, 0)
		return true
	}
	if !q.again(ctx, out, choice) {
		q.giveUp(out, busyPause)
		return true
	}
	return false
}

// again decides whether another attempt follows, and waits before it.
func (q *request) again(ctx context.Context, out outcome, choice placement.Choice) bool {
	if out.mayHaveRun() && q.runs >= q.route.MaxAttempts {
		return false
	}
	decision := q.service.decide(retry.Attempt{
		Idempotent:        q.route.Retryable(),
		Ran:               out.ran(),
		AttemptsMade:      q.sends,
		Remaining:         q.left(),
		PredictedDuration: choice.TimeToFirstEvent,
		Seed:              q.g.seed.Add(1),
	})
	if decision.Action != retry.ActionRetry {
		return false
	}
	if !out.untried {
		q.exclude = append(q.exclude, choice.Server.ID)
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

// noteHealth follows the health of the server that an attempt went to.
func (q *request) noteHealth(out outcome, choice placement.Choice) {
	switch {
	case out.serverFault:
		if q.service.failed(q.g.now(), choice.Server.ID) {
			q.g.log.Write(logevent.ServerEjected(q.call.ID, q.service.name, choice.Server.ID, out.reason))
		}
	case out.result == delivered || out.result == failedAnswer:
		q.service.succeeded(choice.Server.ID)
	}
}
