package agent

import (
	"context"
	"errors"
	"fmt"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/engine"
)

// Finish reasons of a sequence. Any other reason means a failure.
const (
	finishStop   = "stop"
	finishLength = "length"
	finishMoved  = "moved"
)

// engineRunner executes attempts at a model engine.
type engineRunner struct {
	engine engine.Engine
	model  string
}

func (r *engineRunner) run(ctx context.Context, submit *peerv1.Submit, out *emitter) {
	stream, err := r.engine.Generate(ctx, r.request(submit))
	if err != nil {
		out.fail(engineFailure(err))
		return
	}
	defer stream.Close()
	out.head(200, "text/plain")
	next := submit.GetResumeFromToken()
	for {
		event, err := stream.Next()
		if err == nil {
			err = checkEvent(event, submit.GetAttemptId(), next)
		}
		if err != nil {
			r.handleInterruption(ctx, submit, out, err)
			return
		}
		next += event.GetTokens()
		if event.GetTokens() > 0 {
			out.data([]byte(event.GetText()), int(event.GetTokens()))
		}
		if event.GetDone() {
			emitFinish(event, out)
			return
		}
		if out.err != nil {
			r.cancel(submit.GetAttemptId())
			return
		}
	}
}

// checkEvent returns an error for an event of another sequence, or one that
// repeats or skips tokens, so that it does not become part of the response.
func checkEvent(event *enginev1.GenerateEvent, id string, next int32) error {
	if event.GetId() != id {
		return fmt.Errorf("agent: the engine answered for sequence %q", event.GetId())
	}
	if event.GetTokens() > 0 && event.GetTokenIndex() != next {
		return fmt.Errorf("agent: the engine sent token %d in place of %d", event.GetTokenIndex(), next)
	}
	return nil
}

func (r *engineRunner) request(submit *peerv1.Submit) *enginev1.GenerateRequest {
	return &enginev1.GenerateRequest{
		Id:              submit.GetAttemptId(),
		Model:           r.model,
		Prompt:          string(submit.GetBody()),
		MaxTokens:       submit.GetOutputTokens(),
		Priority:        submit.GetPriority(),
		ResumeFromToken: submit.GetResumeFromToken(),
		KvHandle:        submit.GetKvHandle(),
		KvSource:        submit.GetKvSource(),
		PrefillOnly:     submit.GetPrefillOnly(),
		RequestId:       submit.GetRequestId(),
	}
}

// handleInterruption ends an attempt whose stream broke or whose context ended.
func (r *engineRunner) handleInterruption(ctx context.Context, submit *peerv1.Submit, out *emitter, err error) {
	if ctx.Err() != nil {
		r.cancel(submit.GetAttemptId())
		out.fail(failure{reason: peerv1.RefusalReason_REFUSAL_REASON_CANCELLED, ran: peerv1.Ran_RAN_YES, detail: "cancelled"})
		return
	}
	out.fail(failure{
		reason:    peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED,
		ran:       peerv1.Ran_RAN_YES,
		detail:    err.Error(),
		resumable: true,
	})
}

// cancel cancels a sequence at the engine. It uses a context of its own,
// because the attempt's context may have ended.
func (r *engineRunner) cancel(id string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = r.engine.Cancel(ctx, id)
}

func emitFinish(event *enginev1.GenerateEvent, out *emitter) {
	switch event.GetFinishReason() {
	case finishStop, finishLength:
		out.end(event.GetKvHandle())
	case finishMoved:
		out.fail(failure{
			reason:    peerv1.RefusalReason_REFUSAL_REASON_LEAVING,
			ran:       peerv1.Ran_RAN_YES,
			detail:    "moved to another engine",
			resumable: true,
			kvHandle:  event.GetKvHandle(),
		})
	default:
		out.fail(failure{
			reason:    peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED,
			ran:       peerv1.Ran_RAN_YES,
			detail:    event.GetFinishReason() + " " + event.GetError(),
			resumable: true,
		})
	}
}

func engineFailure(err error) failure {
	switch {
	case errors.Is(err, engine.ErrUnreachable):
		return notExecuted(peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED, err.Error())
	case errors.Is(err, engine.ErrRefused):
		return notExecuted(peerv1.RefusalReason_REFUSAL_REASON_OVERLOADED, err.Error())
	}
	return failure{
		reason:    peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED,
		ran:       peerv1.Ran_RAN_UNKNOWN,
		detail:    err.Error(),
		resumable: true,
	}
}
