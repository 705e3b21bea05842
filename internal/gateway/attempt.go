package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

const (
	// maxAnswerBytes bounds an answer that is kept whole before it goes out.
	maxAnswerBytes = 16 << 20
	// patienceObjectives is how many objectives a repeatable request waits for
	// its answer's head before another server is tried.
	patienceObjectives = 3
	// patiencePredictions is the same in predicted times.
	patiencePredictions = 4
)

// attempt sends the request to the chosen server, after its prompt has been
// prefilled elsewhere if the choice says so. It returns the choice that the
// send was made by.
func (q *request) attempt(ctx context.Context, c placement.Choice) (outcome, placement.Choice) {
	if q.left() < leastUseful {
		return outcome{result: timedOut, reason: "deadline"}, c
	}
	q.g.metrics.choseWithLoadOf(c.LoadAge)
	underWay := time.AfterFunc(underWayAfter, q.underWay(c))
	defer underWay.Stop()
	if c.Split {
		return q.attemptSplit(ctx, c)
	}
	return q.send(ctx, c, AttemptMeta{FetchFrom: c.FetchFrom}, c.UncachedTokens), c
}

// underWayAfter is how long an attempt may last without a line of its own: few
// last longer, and those of a lost process are asked about.
const underWayAfter = 500 * time.Millisecond

// underWay returns what writes the line of an attempt that lasts.
func (q *request) underWay(c placement.Choice) func() {
	id, service, placedBy := q.call.ID, q.service.name, q.placedBy
	return func() {
		q.g.log.Write(logevent.AttemptInProgress(id, service, c.Server.ID, c.PrefillServer.ID, placedBy, c.TimeToFirstEvent))
	}
}

// attemptSplit has the prompt prefilled at one engine and decoded at another,
// which is chosen anew when the prefill is done.
func (q *request) attemptSplit(ctx context.Context, c placement.Choice) (outcome, placement.Choice) {
	handle, out := q.prefill(ctx, c)
	if handle == nil {
		return out, c
	}
	d, err := q.service.chooseDecode(q.g.now(), q.wanted(), c.PrefillServer)
	if err != nil {
		go q.g.release(c.PrefillServer, *handle)
		return outcome{result: notRun, reason: "no_server", untried: true}, c
	}
	d.UncachedTokens, d.FetchFrom, d.Deferred = c.UncachedTokens, c.FetchFrom, c.Deferred
	out = q.send(ctx, d, AttemptMeta{KVSource: handle}, 1)
	if out.result == notRun {
		// The handle is gone or was not used.
		go q.g.release(c.PrefillServer, *handle)
	}
	return out, d
}

// prefill has the prompt prefilled and returns where its KV cache is kept, or
// nil and what went wrong. A prompt that is prefilled has not run.
func (q *request) prefill(ctx context.Context, c placement.Choice) (*KVHandle, outcome) {
	begun := q.g.now()
	q.prefillPredicted = c.TimeToPrefilled
	k := q.service.sent(begun, placement.Send{
		ServerID: c.PrefillServer.ID, UncachedTokens: c.UncachedTokens, PromptTokens: q.call.PromptTokens, Parts: q.call.Parts,
		Deferred: c.Deferred, TimeToFirstEvent: c.TimeToPrefilled, FetchFrom: c.FetchFrom, Coordinated: q.placed != nil,
	})
	defer func() {
		q.service.ended(k)
		q.prefilled = q.g.now() - begun
	}()
	a := AttemptMeta{
		ServerID:    c.PrefillServer.ID,
		Remaining:   q.left(),
		PrefillOnly: true,
		FetchFrom:   c.FetchFrom,
		Priority:    q.priority(c),
	}
	e, err := q.g.pool.Do(ctx, c.PrefillServer.Key(), q.upstreamRequest(a), q.isMine)
	if err != nil {
		return nil, q.prefillBroke(ctx, c, err.Error())
	}
	defer e.Release()
	answer := q.g.opts.Protocol.ParseResponse(e.Response.StatusCode, e.Response.Header)
	q.service.told(q.g.now(), c.PrefillServer.ID, answer)
	body, err := io.ReadAll(io.LimitReader(e.Response.Body, maxAnswerBytes))
	if err != nil {
		return nil, q.prefillBroke(ctx, c, err.Error())
	}
	if answer.NotExecuted {
		q.service.refused(q.g.now(), c.PrefillServer.ID)
		return nil, q.prefillFailed(ctx, c, fmt.Sprintf("refused with status %d", e.Response.StatusCode))
	}
	if answer.RequestID != q.call.ID {
		return nil, q.prefillBroke(ctx, c, "answer names no request")
	}
	if e.Response.StatusCode != http.StatusOK {
		return nil, q.prefillBroke(ctx, c, fmt.Sprintf("status %d", e.Response.StatusCode))
	}
	id, err := q.g.opts.Protocol.ParseHandle(body)
	if err != nil {
		return nil, q.prefillBroke(ctx, c, err.Error())
	}
	q.service.started(q.g.now(), k)
	q.endPlaced(true)
	q.service.succeeded(c.PrefillServer.ID)
	q.g.metrics.attempts.WithLabelValues(q.service.name, "prefill", "done").Inc()
	return &KVHandle{Address: c.PrefillServer.Address, ID: id}, outcome{}
}

// prefillBroke notes a prefill that failed by fault of its engine.
func (q *request) prefillBroke(ctx context.Context, c placement.Choice, reason string) outcome {
	if out, over := q.over(ctx); over {
		return out
	}
	q.service.failed(q.g.now(), c.PrefillServer.ID)
	return q.prefillFailed(ctx, c, reason)
}

// prefillFailed notes a prefill that gave no handle. The request then goes to
// a decode engine directly, as a second prefill counts as a repeated send.
func (q *request) prefillFailed(ctx context.Context, c placement.Choice, reason string) outcome {
	q.g.metrics.attempts.WithLabelValues(q.service.name, "prefill", "failed").Inc()
	if out, over := q.over(ctx); over {
		return out
	}
	q.exclude = append(q.exclude, c.PrefillServer.ID)
	q.directOnly = true
	return outcome{result: notRun, reason: "prefill: " + reason, untried: true}
}

// deferredRanks is how many ranks later requests go that can't be in time.
const deferredRanks = 4

// priority returns the rank that a request has at its engines.
func (q *request) priority(c placement.Choice) int {
	if c.Deferred {
		return q.route.Priority + deferredRanks
	}
	return q.route.Priority
}

// over tells whether the request has ended because its caller left or its
// time is over.
func (q *request) over(ctx context.Context) (outcome, bool) {
	switch {
	case q.r.Context().Err() != nil:
		return outcome{result: callerLeft, reason: "caller closed its connection"}, true
	case ctx.Err() != nil || q.left() <= 0:
		return outcome{result: timedOut, reason: "deadline"}, true
	}
	return outcome{}, false
}

// release frees a KV cache that will not be used.
func (g *Gateway) release(server fleet.Server, h KVHandle) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	request := upstream.Request{
		Method: http.MethodDelete,
		Target: g.opts.Protocol.ReleaseTarget(h.ID),
		Host:   server.Address,
		Header: http.Header{},
	}
	e, err := g.pool.Do(ctx, server.Key(), request, func(http.Header) bool { return true })
	if err != nil {
		g.log.Write(logevent.HandleReleaseFailed(server.ID, err))
		return
	}
	defer e.Release()
	// Only the end of the answer matters.
	_, _ = io.Copy(io.Discard, e.Response.Body)
}

// releaseTimeout bounds the release of a handle, which expires by itself.
const releaseTimeout = time.Second

// upstreamRequest returns what is sent to a server.
func (q *request) upstreamRequest(a AttemptMeta) upstream.Request {
	return upstream.Request{
		Method: q.r.Method,
		Target: q.r.RequestURI,
		Host:   q.r.Host,
		Header: q.g.opts.Protocol.RequestHeader(q.r.Header, a),
		Body:   q.body,
	}
}

// isMine tells whether an answer is for this request. Answers that name none
// are judged by what they say.
func (q *request) isMine(h http.Header) bool {
	id := q.g.opts.Protocol.ParseResponse(0, h).RequestID
	return id == "" || id == q.call.ID
}

// send makes one send to the server that is to run the request.
func (q *request) send(ctx context.Context, c placement.Choice, a AttemptMeta, tokens int) outcome {
	q.sends++
	q.server = c.Server.ID
	a.ServerID = c.Server.ID
	a.Priority = q.priority(c)
	a.LastEventID = q.lastEvent
	a.Remaining = q.left()
	k := q.service.sent(q.g.now(), placement.Send{
		ServerID: c.Server.ID, UncachedTokens: tokens, PromptTokens: q.call.PromptTokens, Parts: q.call.Parts,
		Deferred: c.Deferred, TimeToFirstEvent: c.TimeToFirstEvent, Coordinated: q.placed != nil,
	})
	defer q.service.ended(k)
	sendCtx, stop := context.WithCancel(ctx)
	defer stop()
	patience := q.startPatience(c, stop)
	e, err := q.g.pool.Do(sendCtx, c.Server.Key(), q.upstreamRequest(a), q.isMine)
	hurried := patience.over()
	if err != nil {
		return q.sendFailed(ctx, err, hurried)
	}
	defer e.Release()
	q.service.started(q.g.now(), k)
	q.endPlaced(true)
	answer := q.g.opts.Protocol.ParseResponse(e.Response.StatusCode, e.Response.Header)
	q.service.told(q.g.now(), c.Server.ID, answer)
	if answer.NotExecuted && a.KVSource == nil {
		// With a source, the handle may be what was refused.
		q.service.refused(q.g.now(), c.Server.ID)
	} else if !answer.NotExecuted {
		q.service.accepted(c.Server.ID)
	}
	return q.take(ctx, e, answer)
}

// patience gives up an attempt whose answer does not begin.
type patience struct {
	timer *time.Timer
}

// over stops the timer and tells whether it had fired.
func (p *patience) over() bool { return p.timer != nil && !p.timer.Stop() }

// startPatience bounds the wait for an answer's head where another server may
// be tried.
func (q *request) startPatience(c placement.Choice, stop context.CancelFunc) *patience {
	if !q.route.Retryable() || q.runs+1 >= q.route.MaxAttempts || q.route.LatencyObjective == 0 {
		return &patience{}
	}
	wait := max(patienceObjectives*q.route.LatencyObjective, patiencePredictions*c.TimeToFirstEvent)
	return &patience{timer: time.AfterFunc(wait, stop)}
}

// sendFailed tells what a send without an answer's head means.
func (q *request) sendFailed(ctx context.Context, err error, hurried bool) outcome {
	if out, over := q.over(ctx); over {
		if errors.Is(err, upstream.ErrNotSent) && out.result == timedOut {
			return outcome{result: notRun, reason: "deadline before a connection stood", serverFault: true}
		}
		return out
	}
	if errors.Is(err, upstream.ErrNotSent) {
		return outcome{result: notRun, reason: err.Error(), serverFault: true}
	}
	if hurried {
		return outcome{result: noAnswer, reason: "no answer within patience", serverFault: true}
	}
	return outcome{result: noAnswer, reason: err.Error(), serverFault: true}
}

// take passes an answer on, or says why it is not the caller's answer.
func (q *request) take(ctx context.Context, e *upstream.Exchange, answer ResponseMeta) outcome {
	status := e.Response.StatusCode
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	switch {
	case answer.NotExecuted && !success:
		// The body is read so that the connection can be kept.
		_, _ = io.Copy(io.Discard, io.LimitReader(e.Response.Body, maxAnswerBytes))
		return outcome{result: notRun, reason: fmt.Sprintf("server refused with status %d", status)}
	case answer.RequestID != q.call.ID:
		return outcome{result: noAnswer, reason: "answer names no request", serverFault: true}
	case !answer.Sealed && success:
		return outcome{result: noAnswer, reason: "success without a seal", serverFault: true}
	case success && q.route.Kind == fleet.Streaming:
		return q.stream(ctx, e)
	default:
		return q.takeWhole(ctx, e, success)
	}
}

// takeWhole reads an answer to its end before any of it goes out.
func (q *request) takeWhole(ctx context.Context, e *upstream.Exchange, success bool) outcome {
	body, err := readAll(io.LimitReader(e.Response.Body, maxAnswerBytes), e.Response.ContentLength)
	if err != nil {
		if out, over := q.over(ctx); over {
			return out
		}
		return outcome{result: noAnswer, reason: "answer was cut: " + err.Error(), serverFault: true}
	}
	if e.Response.ContentLength >= 0 {
		// Reaches the end of the body, so that the connection can be kept.
		_, _ = e.Response.Body.Read(make([]byte, 1))
	}
	whole := &wholeAnswer{status: e.Response.StatusCode, header: e.Response.Header, body: body}
	if success || e.Response.StatusCode < http.StatusInternalServerError && !promisesNotRun(e.Response.StatusCode) {
		q.writeAnswer(whole)
		return outcome{result: delivered, answer: whole}
	}
	if promisesNotRun(e.Response.StatusCode) {
		return outcome{result: noAnswer, reason: fmt.Sprintf("status %d without the word that it was not run", e.Response.StatusCode), serverFault: true}
	}
	return outcome{result: failedAnswer, reason: fmt.Sprintf("server failed with status %d", e.Response.StatusCode), answer: whole}
}

// status returns the status that the caller got.
func (o outcome) status() int {
	if o.answer != nil {
		return o.answer.status
	}
	return http.StatusOK
}

// writeAnswer sends a server's whole answer to the caller.
func (q *request) writeAnswer(a *wholeAnswer) {
	copyHeader(q.w.Header(), q.g.opts.Protocol.ResponseHeader(a.header))
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		q.w.Header().Set("Content-Length", fmt.Sprint(len(a.body)))
	}
	q.w.WriteHeader(a.status)
	// A caller that has left needs no answer.
	_, _ = q.w.Write(a.body)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
