package entry

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

// prefill has another engine prefill the prompt, so that the chosen engine can
// import the KV cache. Nothing is delivered to the caller, so another attempt
// may follow regardless of the result. If prefill fails, it returns false and the
// event that reports the attempt as not sent.
func (r *run) prefill(ctx context.Context, picked choice, step request.Step) (request.Event, bool) {
	id := uuid.Must(uuid.NewV7()).String()
	prefillChoice := choice{server: picked.prefill, cached: picked.cached}
	now := r.entry.router.now
	r.pool.recordSend(now(), r.request, prefillChoice, id)
	frame, err := r.runPrefill(ctx, prefillChoice, id, step)
	r.state.RecordExecution(prefillExecuted(frame, err))
	if err == nil && frame.GetKind() == peerv1.FrameKind_FRAME_KIND_END {
		r.pool.recordEnd(now(), prefillChoice.server.GetName(), id, nil)
		r.kvHandle, r.kvSource = frame.GetKvHandle(), prefillChoice.server.GetAddress()
		return request.Event{}, true
	}
	r.tried = append(r.tried, prefillChoice.server.GetName())
	ref := &refusal{reason: peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED}
	if err != nil {
		r.detail = "prefill: " + err.Error()
		last := attempt{id: id, server: prefillChoice.server}
		go func() { _, _ = r.entry.withdrawAttempt(last, true) }()
	} else {
		ref.reason = frame.GetReason()
		r.detail = "prefill: " + frame.GetDetail()
	}
	r.pool.recordEnd(now(), prefillChoice.server.GetName(), id, ref)
	return request.Event{
		Kind:       request.EventNotSent,
		Reason:     ref.reason,
		RetryAfter: time.Duration(frame.GetRetryAfterMs()) * time.Millisecond,
	}, false
}

// prefillExecuted returns what is known about the execution of a prefill.
func prefillExecuted(frame *peerv1.Frame, err error) peerv1.Ran {
	switch {
	case errors.Is(err, peerrpc.ErrUnreachable):
		return peerv1.Ran_RAN_NO
	case err != nil:
		return peerv1.Ran_RAN_UNKNOWN
	case frame.GetKind() == peerv1.FrameKind_FRAME_KIND_END:
		return peerv1.Ran_RAN_YES
	}
	return frame.GetRan()
}

// runPrefill submits a prefill and returns the frame that ends it.
func (r *run) runPrefill(ctx context.Context, picked choice, id string, step request.Step) (*peerv1.Frame, error) {
	submit := r.request.submit(id, r.entry.opts.Address, picked.server, time.Now())
	submit.PrefillOnly = true
	submit.CachedTokens = int32(picked.cached)
	r.resume(submit, step)
	call, err := r.entry.opts.Peers.Submit(ctx, picked.server.GetAgent(), submit)
	if err != nil {
		return nil, err
	}
	defer call.Close()
	frameCtx, cancel := context.WithTimeout(ctx, max(minFrameTimeout, frameTimeoutFactor*r.current.predicted))
	defer cancel()
	for {
		frame, err := call.Next(frameCtx)
		if err != nil {
			return nil, err
		}
		if frame.GetLoad() != nil {
			r.entry.observeLoad(r.request.catalog, frame.GetLoad())
		}
		switch frame.GetKind() {
		case peerv1.FrameKind_FRAME_KIND_END, peerv1.FrameKind_FRAME_KIND_FAILED:
			return frame, nil
		}
	}
}
