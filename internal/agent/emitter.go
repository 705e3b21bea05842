package agent

import (
	"context"
	"time"

	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

// emitter sends the frames of one attempt. It is used by one goroutine.
type emitter struct {
	ctx    context.Context
	sender peerrpc.FrameSender
	framer *request.Framer
	load   func() *peerv1.Load
	// turn is the attempt's place in the schedule, nil if it has none.
	turn *turn
	// capture keeps the answer for the ledger, nil if none does.
	capture *capture
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

// data sends bytes of the answer and the number of output tokens in them.
func (e *emitter) data(b []byte, tokens int) {
	if tokens > 0 && e.turn != nil {
		e.turn.generated(tokens)
	}
	e.capture.data(b)
	e.send(e.framer.Data(b, int32(tokens)))
}

// end closes a whole answer.
func (e *emitter) end(kvHandle string) {
	e.capture.end()
	frame := e.framer.End(e.load())
	frame.KvHandle = kvHandle
	e.send(frame)
}

// fail closes the attempt without a whole answer.
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

// capture is the answer as it was sent, whether or not it arrived. A nil
// capture keeps nothing.
type capture struct {
	kept   ledgerv1.Answer
	whole  bool
	failed bool
	ran    peerv1.Ran
}

func (c *capture) head(status int, contentType string) {
	if c != nil {
		c.kept.Status = int32(status)
		c.kept.ContentType = contentType
	}
}

func (c *capture) data(b []byte) {
	if c != nil {
		c.kept.Body = append(c.kept.Body, b...)
	}
}

func (c *capture) end() {
	if c != nil {
		c.whole = true
	}
}

func (c *capture) fail(f failure) {
	if c != nil {
		c.failed = true
		c.ran = f.ran
	}
}

// failure is why an attempt ended without a whole answer.
type failure struct {
	reason       peerv1.RefusalReason
	ran          peerv1.Ran
	detail       string
	retryAfterMS int64
	resumable    bool
	kvHandle     string
}

func notRun(reason peerv1.RefusalReason, detail string) failure {
	return failure{reason: reason, ran: peerv1.Ran_RAN_NO, detail: detail}
}

// refuse sends a failure although the attempt's own time may be over.
func (e *emitter) refuse(f failure) {
	e.ctx = context.WithoutCancel(e.ctx)
	e.fail(f)
}

// noDeadline is the context of messages that no deadline bounds.
func noDeadline() context.Context { return context.Background() }
