package entry

import (
	"context"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

const (
	// maxAttempts bounds the attempts of a request, not counting migrations.
	maxAttempts = 4
	// defaultRetryAfter is the Retry-After of refusals that specify none.
	defaultRetryAfter = 2 * time.Second
)

// serve executes a request and sends its single response.
func (e *Entry) serve(ctx context.Context, q *callerRequest, out sink) {
	e.inflight.begin()
	defer e.inflight.end()
	caller := ctx
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	ctx, release := e.endWithStop(ctx)
	defer release()
	start := time.Now()
	ref := e.explainStop(caller, e.runAttempts(ctx, q, out))
	ended := logevent.EntryRequest{
		RequestID: q.id, AttemptID: q.lastAttempt,
		Service: q.service.GetName(), Client: q.client.GetName(), Elapsed: time.Since(start),
	}
	if ref != nil {
		e.metrics.observeRefusal(ref)
		out.refuse(ref)
		e.log.Write(logevent.RequestRefused(ended, reasonName(ref.reason), ref.notRun(), ref.detail))
		return
	}
	e.metrics.answers.WithLabelValues(q.service.GetName()).Inc()
	e.log.Write(logevent.RequestAnswered(ended))
}

// runAttempts sends the request until its outcome is decided, relaying the
// response. It returns nil if the response is complete.
func (e *Entry) runAttempts(ctx context.Context, q *callerRequest, out sink) *refusal {
	p := e.router.pool(q.service.GetName())
	if p == nil {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE, "service %q is gone", q.service.GetName())
	}
	if ref := p.admit(e.router.now(), q); ref != nil {
		return ref
	}
	if ref := e.line.enter(ctx, q.deadline); ref != nil {
		return ref
	}
	defer e.line.leave()
	p.recordRequest()
	r := &run{entry: e, request: q, pool: p, sink: out, state: request.NewState(request.Call{
		Idempotent:  q.idempotent,
		Resumable:   q.service.GetKind() == configv1.ServiceKind_SERVICE_KIND_MODEL,
		MaxTokens:   int64(q.outputTokens),
		Deadline:    q.deadline,
		MaxAttempts: maxAttempts,
	})}
	return r.execute(ctx)
}

// submit returns the message that submits the request to a backend server.
func (q *callerRequest) submit(attemptID, sender string, b *configv1.BackendServer, now time.Time) *peerv1.Submit {
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

// withDefaultRetryAfter sets the Retry-After of a refusal that has none.
func withDefaultRetryAfter(ref *refusal) *refusal {
	if ref.retryAfter == 0 {
		ref.retryAfter = defaultRetryAfter
	}
	return ref
}

// noDeadline returns the context of messages that are not bounded by a
// deadline.
func noDeadline() context.Context { return context.Background() }
