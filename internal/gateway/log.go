package gateway

import (
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// logAttempt writes the line of a decision where to send a request, with its
// inputs and what became of it.
func (q *request) logAttempt(out outcome, c placement.Choice) {
	q.g.metrics.attempts.WithLabelValues(q.service.name, "run", out.result.String()).Inc()
	line := logevent.Attempt{
		RequestID:     q.call.ID,
		Route:         q.route.Name,
		Service:       q.service.name,
		ConfigVersion: q.config.Version,
		Number:        q.sends,
		Server:        c.Server.ID,
		Predicted:     c.TimeToFirstEvent,
		LoadAge:       c.LoadAge,
		PromptTokens:  q.call.PromptTokens,
		NewTokens:     c.UncachedTokens,
		Deferred:      c.Deferred,
		FetchFrom:     c.FetchFrom,
		Result:        out.result.String(),
		Reason:        out.reason,
		Elapsed:       q.g.now() - q.arrived,
		PlacedBy:      q.placedBy,
	}
	if c.Split {
		line.Prefill = &logevent.Prefill{Server: c.PrefillServer.ID, Predicted: q.prefillPredicted, Elapsed: q.prefilled}
	}
	q.g.log.Write(line.Event())
}

// finish writes the line that ends a request. Status 0 means that the caller
// got no whole answer.
func (q *request) finish(outcome, reason string, status int) {
	elapsed := q.g.now() - q.arrived
	q.g.metrics.requests.WithLabelValues(q.route.Name, outcome, reasonLabel(reason)).Inc()
	q.g.metrics.duration.WithLabelValues(q.route.Name).Observe(elapsed.Seconds())
	line := logevent.RequestEnded{
		RequestID: q.call.ID,
		Route:     q.route.Name,
		Outcome:   outcome,
		Reason:    reason,
		Status:    status,
		Attempts:  q.sends,
		Elapsed:   elapsed,
		Server:    q.server,
		Remaining: q.left(),
	}
	if q.firstEvent > 0 {
		line.TimeToFirstEvent = q.firstEvent - q.arrived
	}
	q.g.log.Write(line.Event())
}

// maxReasonLabel bounds the text of a reason as a label.
const maxReasonLabel = 24

// reasonLabel keeps the number of label values small: the first words alone.
func reasonLabel(reason string) string {
	for i, c := range reason {
		if c == ':' || i >= maxReasonLabel {
			return reason[:i]
		}
	}
	return reason
}
