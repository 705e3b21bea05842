package entry

import (
	"context"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	outcome "github.com/marigoldwing/marigoldwing/internal/request"
)

const (
	// maxAttempts bounds the attempts of a request, planned moves not counted.
	maxAttempts = 4
	// overloadRetryAfter is when a refused caller may come back.
	overloadRetryAfter = 2 * time.Second
)

// serve runs a request and gives it its one answer.
func (e *Entry) serve(ctx context.Context, q *request, out sink) {
	e.inflight.begin()
	defer e.inflight.end()
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	start := time.Now()
	ref := e.attempts(ctx, q, out)
	ended := logevent.EntryRequest{
		RequestID: q.id, AttemptID: q.lastAttempt,
		Service: q.service.GetName(), Client: q.client.GetName(), Elapsed: time.Since(start),
	}
	if ref != nil {
		e.metrics.refused(ref)
		out.refuse(ref)
		e.log.Write(logevent.RequestRefused(ended, reasonName(ref.reason), ref.notRun(), ref.detail))
		return
	}
	e.metrics.answers.WithLabelValues(q.service.GetName()).Inc()
	e.log.Write(logevent.RequestAnswered(ended))
}

// attempts sends the request until its outcome is decided, and passes its
// answer on. It returns nil for a whole answer.
func (e *Entry) attempts(ctx context.Context, q *request, out sink) *refusal {
	p := e.router.pool(q.service.GetName())
	if p == nil {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE, "service %q is gone", q.service.GetName())
	}
	if ref := p.admit(e.router.now(), q); ref != nil {
		return ref
	}
	p.attempted()
	r := &run{entry: e, request: q, pool: p, sink: out, history: outcome.NewState(outcome.Call{
		Idempotent:  q.idempotent,
		Resumable:   q.service.GetKind() == configv1.ServiceKind_SERVICE_KIND_MODEL,
		MaxTokens:   int64(q.outputTokens),
		Deadline:    q.deadline,
		MaxAttempts: maxAttempts,
	})}
	return r.outcome(ctx)
}

// submit returns the message that sends the request to a backend server.
func (q *request) submit(attemptID, sender string, b *configv1.BackendServer, now time.Time) *peerv1.Submit {
	return &peerv1.Submit{
		AttemptId:      attemptID,
		RequestId:      q.id,
		Service:        q.service.GetName(),
		BackendServer:  b.GetName(),
		Client:         q.client.GetName(),
		RemainingMs:    q.deadline.Sub(now).Milliseconds(),
		Priority:       q.client.GetPriority(),
		Method:         q.method,
		Path:           q.path,
		ContentType:    q.contentType,
		Body:           q.body,
		Idempotent:     q.idempotent,
		IdempotencyKey: q.key,
		Stream:         q.stream,
		PromptTokens:   int32(q.promptTokens),
		OutputTokens:   int32(q.outputTokens),
		PrefixHashes:   q.prefixHashes,
		ConfigRevision: q.catalog.Revision(),
		Sender:         sender,
	}
}

// retryLater gives a refusal a time to come back if it has none.
func retryLater(ref *refusal) *refusal {
	if ref.retryAfter == 0 {
		ref.retryAfter = overloadRetryAfter
	}
	return ref
}

// noDeadline is the context of messages that no deadline bounds.
func noDeadline() context.Context { return context.Background() }
