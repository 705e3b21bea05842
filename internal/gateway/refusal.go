package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// Times after which callers of a refused request may come back.
const (
	// unconfiguredPause is for a process that has just started.
	unconfiguredPause = 500 * time.Millisecond
	// noServerPause is for a service without a usable server; crashed servers
	// are back or replaced in seconds.
	noServerPause = 500 * time.Millisecond
	// busyPause is for servers that refuse.
	busyPause = 150 * time.Millisecond
	// leastPause keeps returns from following at once.
	leastPause = 50 * time.Millisecond
)

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	reason string
	// retryAfter tells the caller when to come back; 0 says nothing.
	retryAfter time.Duration
}

// overloadPause returns when a request that would start too late is worth
// another try: when the queue before it has become shorter by its objective.
func overloadPause(c placement.Choice, route fleet.Route) time.Duration {
	return max(leastPause, c.TimeToFirstEvent-route.LatencyObjective/2)
}

// giveUp ends a request that is not sent again. What may have run is never
// answered with a status that says it has not.
func (q *request) giveUp(out outcome, pause time.Duration) {
	switch {
	case q.committed:
		q.finish("broken", out.reason, 0)
		panic(http.ErrAbortHandler)
	case out.answer != nil:
		q.writeAnswer(out.answer)
		q.finish("failed", out.reason, out.answer.status)
	case q.runs == 0 && out.result != timedOut:
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: out.reason, retryAfter: pause})
	case out.result == timedOut:
		q.refuse(refusal{status: http.StatusGatewayTimeout, reason: out.reason})
	default:
		q.refuse(refusal{status: http.StatusBadGateway, reason: out.reason})
	}
}

// refuse writes an answer of the gateway's own.
func (q *request) refuse(r refusal) {
	h := q.w.Header()
	h.Set("Content-Type", "application/problem+json")
	if r.retryAfter > 0 {
		h.Set("Retry-After", retryAfterText(r.retryAfter))
	}
	body := `{"title":` + strconv.Quote(http.StatusText(r.status)) + `,"status":` + strconv.Itoa(r.status) +
		`,"reason":` + strconv.Quote(r.reason) + `}` + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(r.status)
	// A caller that has left needs no answer.
	_, _ = q.w.Write([]byte(body))
	outcome := "unknown"
	if r.status < http.StatusInternalServerError || promisesNotRun(r.status) {
		outcome = logevent.OutcomeRefused
	}
	q.finish(outcome, r.reason, r.status)
}

// retryAfterText spreads returns over half as long again, so that callers that
// were refused together do not come back together.
func retryAfterText(pause time.Duration) string {
	spread := pause + rand.N(pause/2+1)
	return strconv.FormatFloat(spread.Seconds(), 'f', 3, 64)
}
