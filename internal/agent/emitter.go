package agent

import (
	"context"
	"time"

	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

// emitter sends the frames of one attempt. It is used by one goroutine. After
// the first error it sends nothing more.
type emitter struct {
	ctx    context.Context
	sender peerrpc.FrameSender
	framer *request.Framer
	load   func() *peerv1.Load
	// slot is the attempt's place in the schedule; nil if it has none.
	slot *slot
	// capture keeps the response for the ledger; nil if it is not recorded.
	capture *capturedResponse
	err     error
}

func newEmitter(ctx context.Context, sender peerrpc.FrameSender, submit *peerv1.Submit, load func() *peerv1.Load) *emitter {
	framer := request.NewFramer(submit.GetAttemptId(), int64(submit.GetResumeFromToken()))
	return &emitter{ctx: ctx, sender: sender, framer: framer, load: load}
}

func (e *emitter) started() { e.send(e.framer.Started(e.load())) }

func (e *emitter) head(status int, contentType string) {
	e.capture.head(status, contentType)
	e.send(e.framer.Head(int32(status), contentType))
}

// data sends a part of the response, which contains the given number of output
// tokens.
func (e *emitter) data(b []byte, tokens int) {
	if tokens > 0 && e.slot != nil {
		e.slot.recordTokens(tokens)
	}
	e.capture.data(b)
	e.send(e.framer.Data(b, int32(tokens)))
}

// end ends a complete response.
func (e *emitter) end(kvHandle string) {
	e.capture.end()
	frame := e.framer.End(e.load())
	frame.KvHandle = kvHandle
	e.send(frame)
}

// fail ends the attempt without a complete response.
func (e *emitter) fail(f failure) {
	e.capture.fail(f)
	frame := e.framer.Failed(f.reason, f.ran, f.detail)
	frame.RetryAfterMs = f.retryAfterMS
	frame.Resumable = f.resumable
	frame.KvHandle = f.kvHandle
	frame.Load = e.load()
	e.send(frame)
}

func (e *emitter) send(frame *peerv1.Frame) {
	if e.err == nil {
		e.err = e.sender.SendFrame(e.ctx, frame)
	}
}

// remaining returns the time until the attempt's deadline.
func (e *emitter) remaining() time.Duration {
	deadline, _ := e.ctx.Deadline()
	return max(time.Until(deadline), 0)
}

// capturedResponse is the response as it was sent, whether or not it arrived. A
// nil capturedResponse keeps nothing.
type capturedResponse struct {
	response ledgerv1.Answer
	complete bool
	failed   bool
	executed peerv1.Ran
}

func (c *capturedResponse) head(status int, contentType string) {
	if c != nil {
		c.response.Status = int32(status)
		c.response.ContentType = contentType
	}
}

func (c *capturedResponse) data(b []byte) {
	if c != nil {
		c.response.Body = append(c.response.Body, b...)
	}
}

func (c *capturedResponse) end() {
	if c != nil {
		c.complete = true
	}
}

func (c *capturedResponse) fail(f failure) {
	if c != nil {
		c.failed = true
		c.executed = f.ran
	}
}

// failure describes why an attempt ended without a complete response.
type failure struct {
	reason       peerv1.RefusalReason
	ran          peerv1.Ran
	detail       string
	retryAfterMS int64
	resumable    bool
	kvHandle     string
}

func notExecuted(reason peerv1.RefusalReason, detail string) failure {
	return failure{reason: reason, ran: peerv1.Ran_RAN_NO, detail: detail}
}

// refuse sends a failure even if the attempt's deadline has passed.
func (e *emitter) refuse(f failure) {
	e.ctx = context.WithoutCancel(e.ctx)
	e.fail(f)
}

// noDeadline returns the context of messages that are not bounded by a
// deadline.
func noDeadline() context.Context { return context.Background() }
