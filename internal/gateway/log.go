package gateway

import (
	"time"

	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// logAttempt writes one line for a decision where to send a request, with its
// inputs and what became of it.
func (q *request) logAttempt(out outcome, c placement.Choice) {
	q.g.metrics.attempts.WithLabelValues(q.service.name, "run", out.result.String()).Inc()
	values := []any{
		"request_id", q.call.ID,
		"route", q.route.Name,
		"service", q.service.name,
		"config_version", q.config.Version,
		"attempt", q.sends,
		"server", c.Server.ID,
		"predicted_ms", c.FirstEvent.Milliseconds(),
		"load_age_ms", c.LoadAge.Milliseconds(),
		"prompt_tokens", q.call.PromptTokens,
		"new_tokens", c.NewTokens,
		"deferred", c.Deferred,
		"result", out.result.String(),
		"elapsed_ms", (q.g.now() - q.arrived).Milliseconds(),
	}
	if c.Split {
		values = append(values, "prefill_server", c.Prefill.ID, "prefill_elapsed_ms", q.prefilled.Milliseconds())
	}
	if c.FetchFrom != "" {
		values = append(values, "fetch_from", c.FetchFrom)
	}
	if out.reason != "" {
		values = append(values, "reason", out.reason)
	}
	q.g.log.Info("attempt", values...)
}

// finish writes the line that ends a request. Status 0 means that the caller
// got no whole answer.
func (q *request) finish(outcome, reason string, status int) {
	elapsed := q.g.now() - q.arrived
	q.g.metrics.requests.WithLabelValues(q.route.Name, outcome, reasonLabel(reason)).Inc()
	q.g.metrics.duration.WithLabelValues(q.route.Name).Observe(elapsed.Seconds())
	values := []any{
		"request_id", q.call.ID,
		"route", q.route.Name,
		"outcome", outcome,
		"status", status,
		"attempts", q.sends,
		"elapsed_ms", elapsed.Milliseconds(),
	}
	if reason != "" {
		values = append(values, "reason", reason)
	}
	if q.firstEvent > 0 {
		values = append(values, "first_event_ms", (q.firstEvent - q.arrived).Milliseconds())
	}
	if q.server != "" {
		values = append(values, "server", q.server)
	}
	if outcome == "refused" {
		values = append(values, "left_ms", max(0, (q.deadline-q.g.now())/time.Millisecond))
	}
	q.g.log.Info("request ended", values...)
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
