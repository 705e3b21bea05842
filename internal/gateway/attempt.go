package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/responsecheck"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

const (
	// maxResponseBytes bounds a response that is buffered before it is relayed.
	maxResponseBytes = 16 << 20
	// A retryable request waits for its response header for the larger of
	// headTimeoutObjectives times the route's objective and
	// headTimeoutPredictions times the predicted time to the first event. After
	// that another server is tried.
	headTimeoutObjectives  = 3
	headTimeoutPredictions = 4
)

// attempt sends the request to the chosen server, after a prefill at another
// engine if the choice is split. It returns the outcome and the choice that was
// finally used, because the decode engine of a split choice is chosen again
// after the prefill.
func (q *request) attempt(ctx context.Context, c placement.Choice) (outcome, placement.Choice) {
	if q.remaining() < minUsefulTime {
		return outcome{result: timedOut, reason: "deadline"}, c
	}
	q.g.metrics.observeLoadAge(c.LoadAge)
	inProgressLog := time.AfterFunc(inProgressLogDelay, q.logInProgress(c))
	defer inProgressLog.Stop()
	if c.Split {
		return q.attemptSplit(ctx, c)
	}
	return q.send(ctx, c, AttemptMeta{FetchFrom: c.FetchFrom}, c.UncachedTokens), c
}

// inProgressLogDelay is how long an attempt may last before it is logged as in
// progress. Few attempts take longer; the line leaves a trace of those whose
// gateway process is lost.
const inProgressLogDelay = 500 * time.Millisecond

// logInProgress returns a function that logs the attempt as in progress. It
// captures its values here because it runs in another goroutine.
func (q *request) logInProgress(c placement.Choice) func() {
	id, service, placedBy := q.meta.ID, q.service.name, q.placedBy
	return func() {
		q.g.log.Write(logevent.AttemptInProgress(id, service, c.Server.ID, c.PrefillServer.ID, placedBy, c.TimeToFirstEvent))
	}
}

// attemptSplit prefills the prompt at one engine and decodes it at another. The
// decode engine is chosen again when the prefill is done, since the loads have
// changed by then.
func (q *request) attemptSplit(ctx context.Context, c placement.Choice) (outcome, placement.Choice) {
	handle, out := q.prefill(ctx, c)
	if handle == nil {
		return out, c
	}
	if block, blocked := q.service.blockedBy(q.traits); blocked && q.trial == nil {
		go q.g.releaseKV(c.PrefillServer, *handle)
		return outcome{result: notExecuted, reason: q.noteBlock(block), serverUntried: true}, c
	}
	decode, err := q.chooseDecode(ctx, c.PrefillServer, handle)
	if err != nil {
		go q.g.releaseKV(c.PrefillServer, *handle)
		return outcome{result: notExecuted, reason: reasonNoServer, serverUntried: true, unsent: true}, c
	}
	decode.UncachedTokens, decode.FetchFrom, decode.Deferred = c.UncachedTokens, c.FetchFrom, c.Deferred
	out = q.send(ctx, decode, AttemptMeta{KVSource: handle}, 1)
	if out.result == notExecuted || out.unsent {
		// The decode engine did not use the KV cache, which may have expired.
		go q.g.releaseKV(c.PrefillServer, *handle)
	}
	if out.weightsRefused && q.weights == "" {
		// Only the KV cache needs other weights, not the request.
		q.directOnly, out.serverUntried = true, true
	}
	return out, decode
}

// chooseDecode chooses the decode engine for a prompt that has been prefilled. If there
// is none, it waits for one for as long as the caller bears.
func (q *request) chooseDecode(ctx context.Context, prefill fleet.Server, handle *KVHandle) (placement.Choice, error) {
	for {
		r := q.placementRequest()
		r.Weights = q.expectedWeights(handle)
		decode, err := q.service.chooseDecode(q.g.now(), r, prefill)
		if err == nil || !q.waitForServer(ctx) {
			return decode, err
		}
	}
}

// prefill has the prompt prefilled and returns a handle to its KV cache, or nil
// and the outcome. A prefill alone does not count as execution of the request.
func (q *request) prefill(ctx context.Context, c placement.Choice) (*KVHandle, outcome) {
	startedAt := q.g.now()
	q.prefillPredicted = c.TimeToPrefilled
	inFlight := q.service.recordSend(startedAt, placement.Send{
		ServerID: c.PrefillServer.ID, UncachedTokens: c.UncachedTokens, PromptTokens: q.meta.PromptTokens, Parts: q.meta.Parts,
		Priority: c.Priority, TimeToFirstEvent: c.TimeToPrefilled, FetchFrom: c.FetchFrom, Coordinated: q.pendingPlacement != nil,
	})
	defer func() {
		q.service.recordEnd(q.g.now(), inFlight)
		q.prefillElapsed = q.g.now() - startedAt
	}()
	meta := AttemptMeta{
		ServerID:    c.PrefillServer.ID,
		Remaining:   q.remaining(),
		PrefillOnly: true,
		FetchFrom:   c.FetchFrom,
		Priority:    c.Priority,
		Weights:     q.weights,
	}
	q.outstanding = stepPrefill
	exchange, err := q.g.pool.Do(ctx, c.PrefillServer.Key(), q.upstreamRequest(c.PrefillServer, meta))
	if errors.Is(err, upstream.ErrNotPermitted) {
		return nil, q.withdrawn()
	}
	if errors.Is(err, upstream.ErrUnidentified) {
		return nil, q.prefillFault(ctx, c, reasonUnidentified)
	}
	if err != nil {
		return nil, q.prefillLost(ctx, c, err)
	}
	defer exchange.Release()
	response := q.g.opts.Protocol.ParseResponse(exchange.Response.StatusCode, exchange.Response.Header)
	q.service.recordLoad(q.g.now(), c.PrefillServer.ID, response)
	q.observeStatements(c.PrefillServer, answerToPrefill, startedAt, response)
	body, err := exchange.ReadBody(maxResponseBytes, q.memory)
	if err != nil {
		return nil, q.prefillLost(ctx, c, err)
	}
	verdict := responsecheck.Judge(responsecheck.Sent{RequestID: q.meta.ID, Prefill: true}, receivedResponse(exchange, response))
	if verdict == responsecheck.NotExecuted {
		if !refusesWeights(meta, response) {
			q.service.recordRefusal(q.g.now(), c.PrefillServer.ID, response.Pause)
		}
		return nil, q.prefillFailed(ctx, c, fmt.Sprintf("refused with status %d", exchange.Response.StatusCode))
	}
	if verdict != responsecheck.Prefilled {
		return nil, q.prefillFault(ctx, c, fmt.Sprintf("status %d", exchange.Response.StatusCode))
	}
	id, weights, err := q.g.opts.Protocol.ParseHandle(body)
	if err != nil {
		return nil, q.prefillFault(ctx, c, err.Error())
	}
	q.service.recordWeights(q.g.now(), c.PrefillServer.ID, weights)
	handle := &KVHandle{Address: c.PrefillServer.Address, ID: id, Weights: weights}
	if q.weights != "" && weights != "" && weights != q.weights {
		go q.g.releaseKV(c.PrefillServer, *handle)
		return nil, q.prefillFailed(ctx, c, reasonOtherWeights)
	}
	q.prefilled = true
	q.service.recordPrefilled(q.g.now(), inFlight)
	q.notifyPlaceEnded(true)
	q.service.recordSuccess(c.PrefillServer.ID)
	q.g.metrics.attempts.WithLabelValues(q.service.name, stepPrefill, "done").Inc()
	return handle, outcome{}
}

// prefillLost records a prefill whose answer was not complete.
func (q *request) prefillLost(ctx context.Context, c placement.Choice, err error) outcome {
	if _, ended := q.ended(ctx); !ended && !errors.Is(err, upstream.ErrNotSent) {
		q.recordLoss(c.PrefillServer)
	}
	isFirst := !q.prefilled && !q.directOnly && q.sends == 0
	out := q.prefillFault(ctx, c, err.Error())
	out.prefillLost = out.result == notExecuted && isFirst && q.hasBegun()
	out.unsent = errors.Is(err, upstream.ErrNotSent)
	return out
}

// prefillFault records a prefill that failed through a fault of its engine,
// unless the request has ended and thereby interrupted it.
func (q *request) prefillFault(ctx context.Context, c placement.Choice, reason string) outcome {
	if out, ended := q.ended(ctx); ended {
		return out
	}
	q.service.recordFailure(q.g.now(), c.PrefillServer.ID)
	return q.prefillFailed(ctx, c, reason)
}

// prefillFailed records a prefill that returned no handle. The request then
// goes directly to a decode engine, because a second prefill would count as a
// retry.
func (q *request) prefillFailed(ctx context.Context, c placement.Choice, reason string) outcome {
	q.g.metrics.attempts.WithLabelValues(q.service.name, stepPrefill, "failed").Inc()
	if out, ended := q.ended(ctx); ended {
		return out
	}
	q.excluded = append(q.excluded, c.PrefillServer.ID)
	q.directOnly = true
	return outcome{result: notExecuted, reason: "prefill: " + reason, serverUntried: true}
}

// ended reports whether the request has ended because its caller disconnected,
// its deadline passed or the gateway ends its requests for a stop, with the corresponding outcome.
func (q *request) ended(ctx context.Context) (outcome, bool) {
	switch {
	case q.r.Context().Err() != nil:
		return outcome{result: callerDisconnected, reason: "caller closed its connection"}, true
	case q.remaining() <= 0:
		return outcome{result: timedOut, reason: "deadline"}, true
	case q.g.stop.isOver():
		return q.endedByStop(), true
	case ctx.Err() != nil:
		return outcome{result: timedOut, reason: "deadline"}, true
	}
	return outcome{}, false
}

// releaseKV frees a KV cache that will not be used.
func (g *Gateway) releaseKV(server fleet.Server, h KVHandle) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	request := upstream.Request{
		Method: http.MethodDelete,
		Target: g.opts.Protocol.ReleaseTarget(h.ID),
		Host:   server.Address,
		Header: http.Header{},
	}
	if !g.mayCall(server) {
		g.log.Write(logevent.HandleReleaseFailed(server.ID, errServerPaused))
		return
	}
	exchange, err := g.pool.Do(ctx, server.Key(), request)
	if err != nil {
		g.log.Write(logevent.HandleReleaseFailed(server.ID, err))
		return
	}
	exchange.Release()
}

// releaseTimeout bounds the release of a KV cache; an unreleased one expires at
// its engine.
const releaseTimeout = time.Second

// upstreamRequest returns the request to send to a backend server.
func (q *request) upstreamRequest(server fleet.Server, meta AttemptMeta) upstream.Request {
	meta.Account, meta.OmitKey = q.accountName(), q.authConfig.Accounts != nil
	return upstream.Request{
		ID:     q.meta.ID,
		Method: q.r.Method,
		Target: q.r.RequestURI,
		Host:   q.r.Host,
		Header: q.g.opts.Protocol.RequestHeader(q.r.Header, meta),
		Body:   q.body,
		Permit: q.permitRequest(server),
	}
}

// send sends the request once to the server that is to execute it.
func (q *request) send(ctx context.Context, c placement.Choice, meta AttemptMeta, uncachedTokens int) outcome {
	q.sends++
	q.server = c.Server
	meta.ServerID = c.Server.ID
	meta.Priority = q.priority()
	meta.LastEventID = q.lastEventID
	meta.Weights = q.expectedWeights(meta.KVSource)
	q.resumedAfter = q.lastEventID
	meta.Remaining = q.remaining()
	sentAt := q.g.now()
	q.sentAt = sentAt
	inFlight := q.service.recordSend(sentAt, placement.Send{
		ServerID: c.Server.ID, UncachedTokens: uncachedTokens, PromptTokens: q.meta.PromptTokens, Parts: q.meta.Parts,
		Priority: q.priority(), TimeToFirstEvent: c.TimeToFirstEvent, Coordinated: q.pendingPlacement != nil,
		Imported: meta.KVSource != nil,
	})
	defer func() { q.service.recordEnd(q.g.now(), inFlight) }()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := q.startHeadTimer(c, cancel)
	q.outstanding = stepRun
	exchange, err := q.g.pool.Do(sendCtx, c.Server.Key(), q.upstreamRequest(c.Server, meta))
	headTimedOut := timer.expired()
	if errors.Is(err, upstream.ErrNotPermitted) {
		q.sends--
		return q.withdrawn()
	}
	if err != nil {
		if !errors.Is(err, upstream.ErrNotSent) {
			q.countAttempt(sentAt, true)
		}
		return q.sendFailed(ctx, err, headTimedOut)
	}
	defer exchange.Release()
	response := q.g.opts.Protocol.ParseResponse(exchange.Response.StatusCode, exchange.Response.Header)
	// The load comes first: what the server states of its instance explains how long the
	// answer has taken.
	q.service.recordLoad(q.g.now(), c.Server.ID, response)
	if !response.NotExecuted {
		q.countAttempt(sentAt, false)
		// A refusal shows neither how fast the server is nor that it has cached the prompt.
		q.service.recordPrefilled(q.g.now(), inFlight)
	}
	q.notifyPlaceEnded(!response.NotExecuted)
	q.observeStatements(c.Server, answerToRun, sentAt, response)
	if response.NotExecuted && meta.KVSource == nil && !refusesWeights(meta, response) {
		// With a KV source, the server may have refused the source rather than
		// the request.
		q.service.recordRefusal(q.g.now(), c.Server.ID, response.Pause)
	} else if !response.NotExecuted {
		q.service.recordAcceptance(c.Server.ID)
	}
	out := q.handleResponse(ctx, exchange, response)
	out.weightsRefused = refusesWeights(meta, response)
	return out
}

// headTimer cancels an attempt whose response header does not arrive in time.
type headTimer struct {
	timer *time.Timer
}

// expired stops the timer and reports whether it had already fired.
func (t *headTimer) expired() bool { return t.timer != nil && !t.timer.Stop() }

// startHeadTimer starts a timer that bounds the wait for the response header if
// another server may be tried afterwards.
func (q *request) startHeadTimer(c placement.Choice, cancel context.CancelFunc) *headTimer {
	if !q.route.Retryable() || q.possibleExecutions+1 >= q.route.MaxAttempts || q.route.LatencyObjective == 0 {
		return &headTimer{}
	}
	timeout := max(headTimeoutObjectives*q.route.LatencyObjective, headTimeoutPredictions*c.TimeToFirstEvent)
	return &headTimer{timer: time.AfterFunc(timeout, cancel)}
}

// sendFailed classifies an attempt that ended without a response header.
func (q *request) sendFailed(ctx context.Context, err error, headTimedOut bool) outcome {
	if out, ended := q.ended(ctx); ended {
		return q.endedBeforeAnswer(err, out)
	}
	if errors.Is(err, upstream.ErrNotSent) {
		return outcome{result: notExecuted, reason: err.Error(), serverFault: true, unsent: true}
	}
	if headTimedOut {
		return outcome{result: noResponse, reason: "no answer within patience", serverFault: true}
	}
	if errors.Is(err, upstream.ErrUnidentified) {
		return outcome{result: noResponse, reason: reasonUnidentified, serverFault: true}
	}
	return outcome{result: noResponse, reason: err.Error(), serverFault: true, connectionLost: true}
}

// endedBeforeAnswer returns the outcome of an attempt whose request has ended with the
// given outcome. What was not sent was not executed.
func (q *request) endedBeforeAnswer(err error, ended outcome) outcome {
	switch {
	case !errors.Is(err, upstream.ErrNotSent) || ended.result == callerDisconnected:
		return ended
	case ended.result == timedOut:
		return outcome{result: notExecuted, reason: "deadline before a connection stood", serverFault: true, unsent: true}
	default:
		return outcome{result: notExecuted, reason: reasonStopping, unsent: true}
	}
}

// reasonUnidentified is the reason of attempts whose response names no request.
const reasonUnidentified = "answer names no request"

// handleResponse relays a response to the caller, or returns why it must not be
// relayed.
func (q *request) handleResponse(ctx context.Context, exchange *upstream.Exchange, meta ResponseMeta) outcome {
	sent := responsecheck.Sent{RequestID: q.meta.ID, Streaming: q.route.Kind == fleet.Streaming, Begun: q.headerSent, Weights: q.weights}
	received := receivedResponse(exchange, meta)
	switch responsecheck.Judge(sent, received) {
	case responsecheck.NotExecuted:
		// The body is drained so that the connection can be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(exchange.Response.Body, maxResponseBytes))
		return outcome{result: notExecuted, reason: fmt.Sprintf("server refused with status %d", received.Status), paused: meta.Pause > 0}
	case responsecheck.Stream:
		return q.stream(ctx, exchange, meta.Weights)
	case responsecheck.Whole:
		return q.relayWhole(ctx, exchange)
	case responsecheck.Failure:
		return q.keepFailure(ctx, exchange)
	default:
		reason := unusableReason(sent, received)
		return outcome{result: q.incompleteResult(), reason: reason, serverFault: reason != reasonOtherWeights}
	}
}

// unusableReason explains why a response is not relayed.
func unusableReason(s responsecheck.Sent, r responsecheck.Response) string {
	switch {
	case r.NotExecuted:
		return fmt.Sprintf("status %d with the word that it was not run", r.Status)
	case responsecheck.ImpliesNotExecuted(r.Status):
		return fmt.Sprintf("status %d without the word that it was not run", r.Status)
	case responsecheck.HasOtherWeights(s, r):
		return reasonOtherWeights
	case s.Begun:
		return fmt.Sprintf("status %d is no continuation of the stream", r.Status)
	default:
		return "success without a seal"
	}
}

// receivedResponse returns what the judgement of a response needs.
func receivedResponse(exchange *upstream.Exchange, meta ResponseMeta) responsecheck.Response {
	return responsecheck.Response{
		RequestID:   meta.RequestID,
		Status:      exchange.Response.StatusCode,
		Sealed:      meta.Sealed,
		NotExecuted: meta.NotExecuted,
		Weights:     meta.Weights,
		Content:     contentOf(exchange.Response.Header),
	}
}

// contentOf returns what a response says of the type of its body.
func contentOf(h http.Header) responsecheck.Content {
	contentType := h.Get("Content-Type")
	switch {
	case contentType == "":
		return responsecheck.Unstated
	case strings.HasPrefix(contentType, "text/event-stream"):
		return responsecheck.Events
	default:
		return responsecheck.Different
	}
}

// relayWhole reads a response completely before any of it is relayed.
func (q *request) relayWhole(ctx context.Context, exchange *upstream.Exchange) outcome {
	response, out := q.readWhole(ctx, exchange)
	if response == nil {
		return out
	}
	q.writeResponse(response)
	return outcome{result: delivered, response: response}
}

// keepFailure reads a response that reports a failure, which is relayed if no other
// attempt follows.
func (q *request) keepFailure(ctx context.Context, exchange *upstream.Exchange) outcome {
	response, out := q.readWhole(ctx, exchange)
	if response == nil {
		return out
	}
	return outcome{result: failedResponse, reason: fmt.Sprintf("server failed with status %d", response.status), response: response}
}

// readWhole reads a response completely. It returns nil and the outcome if it can't.
func (q *request) readWhole(ctx context.Context, exchange *upstream.Exchange) (*bufferedResponse, outcome) {
	body, err := exchange.ReadBody(maxResponseBytes, q.memory)
	if errors.Is(err, upstream.ErrBodyTooLong) || errors.Is(err, upstream.ErrBuffersFull) {
		return nil, outcome{result: noResponse, reason: err.Error(), serverFault: true}
	}
	if err == nil {
		err = q.confirmEnd(ctx, exchange)
	}
	if err != nil {
		if out, ended := q.ended(ctx); ended {
			return nil, out
		}
		return nil, outcome{result: noResponse, reason: "answer was cut: " + err.Error(), serverFault: q.isServerFault(err), connectionLost: isConnectionLost(err)}
	}
	return &bufferedResponse{status: exchange.Response.StatusCode, header: exchange.Response.Header, body: body}, outcome{}
}

// status returns the HTTP status that the caller received.
func (o outcome) status() int {
	if o.response != nil {
		return o.response.status
	}
	return http.StatusOK
}

// writeResponse relays a buffered response to the caller.
func (q *request) writeResponse(response *bufferedResponse) {
	copyHeader(q.w.Header(), q.g.opts.Protocol.ResponseHeader(response.header))
	if response.status != http.StatusNoContent && response.status != http.StatusNotModified {
		q.w.Header().Set("Content-Length", fmt.Sprint(len(response.body)))
	}
	q.w.WriteHeader(response.status)
	// A write error means that the caller has disconnected.
	_, _ = q.w.Write(response.body)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
