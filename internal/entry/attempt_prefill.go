package entry

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	outcome "github.com/marigoldwing/marigoldwing/internal/request"
)

// prefill has another engine read the prompt, so that the chosen one can
// import the KV cache. It delivers nothing to the caller, so that whatever
// becomes of it another attempt may follow. If it fails, the event says why
// the attempt was not sent.
func (r *run) prefill(ctx context.Context, picked choice, step outcome.Step) (outcome.Event, bool) {
	id := uuid.Must(uuid.NewV7()).String()
	first := choice{server: picked.prefill, cached: picked.cached}
	now := r.entry.router.now
	r.pool.sent(now(), r.request, first, id)
	frame, err := r.runPrefill(ctx, first, id, step)
	r.history.RecordExecution(prefillRan(frame, err))
	if err == nil && frame.GetKind() == peerv1.FrameKind_FRAME_KIND_END {
		r.pool.ended(now(), first.server.GetName(), id, nil)
		r.kvHandle, r.kvSource = frame.GetKvHandle(), first.server.GetAddress()
		return outcome.Event{}, true
	}
	r.tried = append(r.tried, first.server.GetName())
	ref := &refusal{reason: peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED}
	if err != nil {
		r.detail = "prefill: " + err.Error()
		last := attempt{id: id, server: first.server}
		go func() { _, _ = r.entry.askGate(last, true) }()
	} else {
		ref.reason = frame.GetReason()
		r.detail = "prefill: " + frame.GetDetail()
	}
	r.pool.ended(now(), first.server.GetName(), id, ref)
	return outcome.Event{
		Kind:       outcome.EventNotSent,
		Reason:     ref.reason,
		RetryAfter: time.Duration(frame.GetRetryAfterMs()) * time.Millisecond,
	}, false
}

// prefillRan tells whether a prefill reached its engine.
func prefillRan(frame *peerv1.Frame, err error) peerv1.Ran {
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

// runPrefill returns the frame that closes a prefill.
func (r *run) runPrefill(ctx context.Context, picked choice, id string, step outcome.Step) (*peerv1.Frame, error) {
	submit := r.request.submit(id, r.entry.opts.Address, picked.server, time.Now())
	submit.PrefillOnly = true
	submit.CachedTokens = int32(picked.cached)
	r.resume(submit, step)
	call, err := r.entry.opts.Peers.Submit(ctx, picked.server.GetAgent(), submit)
	if err != nil {
		return nil, err
	}
	defer call.Close()
	wait, cancel := context.WithTimeout(ctx, max(minPatience, patienceFactor*r.current.predicted))
	defer cancel()
	for {
		frame, err := call.Next(wait)
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
