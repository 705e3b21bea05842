package gateway

import (
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/retry"
)

// logAttempt counts and logs an attempt with the inputs of its placement
// decision and its result.
func (q *request) logAttempt(out outcome, c placement.Choice) {
	q.g.metrics.attempts.WithLabelValues(q.service.name, stepRun, out.result.String()).Inc()
	attempt := logevent.Attempt{
		RequestID:     q.meta.ID,
		Route:         q.route.Name,
		Service:       q.service.name,
		Client:        q.accountName(),
		ConfigVersion: q.authConfig.Version,
		Number:        q.sends,
		Server:        c.Server.ID,
		Predicted:     c.TimeToFirstEvent,
		LoadAge:       c.LoadAge,
		PromptTokens:  q.meta.PromptTokens,
		NewTokens:     c.UncachedTokens,
		Deferred:      c.Deferred,
		FetchFrom:     c.FetchFrom,
		Result:        out.result.String(),
		Reason:        out.reason,
		Sent:          max(0, q.sentAt-q.arrivedAt),
		Elapsed:       q.g.now() - q.arrivedAt,
		PlacedBy:      q.placedBy,
		ServerVersion: c.Server.Version,
		Resumes:       q.meta.Resumes,
		LastEventID:   q.resumedAfter,
	}
	if out.result == callerDisconnected {
		attempt.CallerLeft, attempt.Outstanding = q.callerLeftAfter(), q.outstanding
	}
	if c.Split {
		attempt.Prefill = &logevent.Prefill{Server: c.PrefillServer.ID, Predicted: q.prefillPredicted, Elapsed: q.prefillElapsed}
	}
	if out.connectionLost {
		attempt.LostParts = partIDs(sharedParts(q.meta.Parts))
		attempt.LostRequest = traitText(q.requestTraits()[0])
	}
	if end := out.streamEnd; end != nil {
		q.g.metrics.streamEnds.WithLabelValues(q.service.name, string(end.framing), end.position).Inc()
		attempt.StreamEnd = &logevent.StreamEnd{
			Framing: string(end.framing), Position: end.position, TailBytes: end.tailBytes,
			Events: end.events, FirstID: end.firstID, LastID: end.lastID, Weights: end.weights,
		}
	}
	q.g.log.Write(attempt.Event())
}

// logRetry counts and logs the decision whether to repeat a step of a request.
func (q *request) logRetry(step string, d retry.Decision) {
	q.g.metrics.retries.WithLabelValues(q.service.name, step, d.Denial.String()).Inc()
	q.g.log.Write(logevent.RetryDecided(logevent.Retry{
		RequestID: q.meta.ID,
		Service:   q.service.name,
		Step:      step,
		Attempts:  q.sends,
		Denial:    d.Denial.String(),
		Tokens:    d.Tokens,
		Reserve:   d.Reserve,
		Gateways:  len(q.g.sharingGateways()),
	}))
}

// finish counts and logs the end of a request. Status 0 means that the caller
// received no complete response.
func (q *request) finish(outcome, reason string, status int) {
	q.endShare()
	elapsed := q.g.now() - q.arrivedAt
	q.g.metrics.requests.WithLabelValues(q.route.Name, outcome, reasonLabel(reason)).Inc()
	q.g.metrics.duration.WithLabelValues(q.route.Name).Observe(elapsed.Seconds())
	ended := logevent.RequestEnded{
		RequestID: q.meta.ID,
		Route:     q.route.Name,
		Client:    q.accountName(),
		Outcome:   outcome,
		Reason:    reason,
		Status:    status,
		Attempts:  q.sends,
		Elapsed:   elapsed,
		Objective: q.route.LatencyObjective,
		Server:    q.server.ID,
		Remaining: q.remaining(),

		BlockedPart:    q.blockedPart,
		BlockedRequest: q.blockedRequest,
	}
	if q.firstEventAt > 0 {
		ended.TimeToFirstEvent = q.firstEventAt - q.arrivedAt
	}
	q.g.log.Write(ended.Event())
}

// maxReasonLabel is the maximum length of a reason used as a metric label.
const maxReasonLabel = 24

// reasonLabel shortens a reason to the text before the first colon, which
// bounds the number of label values.
func reasonLabel(reason string) string {
	for i, c := range reason {
		if c == ':' || i >= maxReasonLabel {
			return reason[:i]
		}
	}
	return reason
}
