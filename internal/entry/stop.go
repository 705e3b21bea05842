package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/process"
)

const (
	// readinessGracePeriod is the time between the readiness check beginning to
	// fail and the listener closing, in which the load balancer stops sending
	// requests.
	readinessGracePeriod = 500 * time.Millisecond
	// quietPeriod is how long no request must be in flight before the listener
	// closes. A caller whose stream began before the drain has not seen a
	// "Connection: close" header; the response to its next request carries it.
	quietPeriod = 200 * time.Millisecond
	// maxRefusePeriod is the longest time at the end of the drain in which an entry that
	// still gets requests refuses them, so that their callers leave before the listener
	// closes, and refuseRatio the largest part of the drain timeout.
	maxRefusePeriod = time.Second
	refuseRatio     = 4
	// answerTime is the time after the drain in which requests in flight may still finish.
	// Then they are withdrawn and answered, before the connections are closed.
	answerTime = process.DefaultStopTimeout - withdrawTimeout - answerMargin
	// answerMargin is the time to send the answers.
	answerMargin = 500 * time.Millisecond
	// leavingRetryAfter is when a caller may come back whom a leaving entry has refused, to
	// another entry.
	leavingRetryAfter = time.Second
)

// errStopping is why an entry refuses or ends requests at the end of its stop.
var errStopping = errors.New("this entry is stopping")

// Drain makes the readiness check fail and returns when no requests are in
// flight, or when ctx ends. If requests keep arriving, it refuses them at the end.
func (e *Entry) Drain(ctx context.Context) {
	e.draining.Store(true)
	defer time.AfterFunc(answerTime, e.endRequests)
	accepting, cancel := acceptingContext(ctx)
	defer cancel()
	select {
	case <-time.After(readinessGracePeriod):
	case <-accepting.Done():
	}
	e.inflight.waitQuiet(accepting, quietPeriod)
	if accepting.Err() == nil {
		return
	}
	e.refusing.Store(true)
	e.log.Write(logevent.EntryRefuses(e.inflight.count()))
	<-ctx.Done()
}

// acceptingContext returns a context that ends when requests are no longer accepted during
// a drain, which ctx bounds.
func acceptingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	end, bounded := ctx.Deadline()
	if !bounded {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, end.Add(-min(maxRefusePeriod, time.Until(end)/refuseRatio)))
}

// closeWhenDraining makes callers reconnect, to another entry, once this one
// drains. A kept connection could otherwise be closed while the next request is
// being sent on it. At the end of a drain that lasts, requests are refused.
func (e *Entry) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if e.refusing.Load() {
			e.refuseEarly(w, nil, refuseLeaving())
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refuseLeaving returns the refusal of a request that was not executed because this entry
// stops.
func refuseLeaving() *refusal {
	ref := refuse(peerv1.RefusalReason_REFUSAL_REASON_LEAVING, "%v", errStopping)
	ref.retryAfter = leavingRetryAfter
	return ref
}

// endWithStop returns a context for a request, which also ends at the end of the entry's
// stop.
func (e *Entry) endWithStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(e.requests, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// explainStop returns the refusal for the caller of a request that has ended with ref. A
// request that was cancelled though its caller has stayed was ended by the entry's stop.
func (e *Entry) explainStop(caller context.Context, ref *refusal) *refusal {
	cancelled := ref != nil && ref.reason == peerv1.RefusalReason_REFUSAL_REASON_CANCELLED
	unknown := ref != nil && ref.reason == peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN
	switch {
	case e.requests.Err() == nil || caller.Err() != nil || !cancelled && !unknown:
		return ref
	case ref.ran == peerv1.Ran_RAN_NO:
		return refuseLeaving()
	default:
		return &refusal{reason: peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, ran: ref.ran, detail: errStopping.Error()}
	}
}
