package entry

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/request"
	"github.com/marigoldwing/marigoldwing/internal/retry"
)

const (
	// withdrawTimeout bounds a withdrawal call to a gate, whose reply states
	// whether the attempt may have been executed.
	withdrawTimeout = time.Second
	// An attempt without a frame for the larger of minFrameTimeout and
	// frameTimeoutFactor times the predicted time to the complete response is
	// withdrawn at its gate.
	minFrameTimeout    = 3 * time.Second
	frameTimeoutFactor = 3
)

// run executes the steps of one request's state machine. It is used by one
// goroutine.
type run struct {
	entry   *Entry
	request *callerRequest
	pool    *pool
	sink    sink
	state   request.State
	current attempt
	// tried lists the backend servers that further attempts avoid.
	tried []string
	// text is the output that the caller has received, needed to resume
	// elsewhere.
	text []byte
	// kvHandle and kvSource identify the KV cache of a prefilled or migrated
	// attempt.
	kvHandle, kvSource string
	// detail explains to people why the last attempt had no complete response.
	detail string
	// exhausted is set if no backend server is left to try.
	exhausted bool
}

// attempt is the attempt in progress.
type attempt struct {
	id          string
	server      *configv1.BackendServer
	predicted   time.Duration
	incarnation uint64
	// call receives the frames; nil if the attempt was not sent.
	call      *peerrpc.Call
	assembler *request.Assembler
}

// execute runs the request to its end. It returns nil if the response is
// complete.
func (r *run) execute(ctx context.Context) *refusal {
	step := r.next(ctx, request.Event{Kind: request.EventBegin})
	for !step.Final() {
		switch step.Kind {
		case request.StepSend:
			step = r.next(ctx, r.send(ctx, step))
		case request.StepWithdraw:
			step = r.next(ctx, r.withdraw(step.Cancel))
		default:
			step = r.next(ctx, r.receive(ctx))
		}
	}
	if step.Kind == request.StepComplete {
		_ = r.sink.end()
		r.endAttempt(nil)
		return nil
	}
	ref := &refusal{reason: step.Reason, ran: step.Ran, detail: r.detail, retryAfter: step.RetryAfter}
	r.endAttempt(ref)
	return withDefaultRetryAfter(ref)
}

// next passes an event to the state machine. A retry is taken from the budget
// only if the state machine would make it.
func (r *run) next(ctx context.Context, ev request.Event) request.Step {
	now := time.Now()
	ev.RetryAllowed = true
	state, step := request.Next(r.state, ev, now)
	if step.Kind == request.StepSend && step.Retry && !r.mayRetry(ctx, ev) {
		ev.RetryAllowed = false
		state, step = request.Next(r.state, ev, now)
	}
	r.state = state
	if ev.Migrated {
		// The other backend servers may be tried again; only the one that the
		// stream was migrated from is about to change.
		r.tried = []string{r.current.server.GetName()}
	}
	return step
}

// mayRetry reports whether the retry budget allows another attempt, and waits
// for the backoff before it. A call that is not idempotent is bound to one
// backend server and is not tried elsewhere.
func (r *run) mayRetry(ctx context.Context, ev request.Event) bool {
	q := r.request
	if !q.idempotent || r.exhausted || ctx.Err() != nil {
		return false
	}
	decision := r.pool.retry(r.entry.router.now(), retry.Attempt{
		Idempotent:        q.idempotent,
		Ran:               ev.Ran,
		Reason:            ev.Reason,
		AttemptsMade:      r.state.Attempts,
		Remaining:         time.Until(q.deadline),
		PredictedDuration: r.current.predicted,
		Seed:              q.seed() + uint64(r.state.Attempts),
	})
	if decision.Action != retry.ActionRetry {
		return false
	}
	select {
	case <-time.After(decision.Backoff):
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends an attempt. It returns the event caused by a failure to send, or
// an event without a kind if the attempt was sent.
func (r *run) send(ctx context.Context, step request.Step) request.Event {
	if step.Cancel {
		last := r.current
		go func() { _, _ = r.entry.withdrawAttempt(last, true) }()
	}
	r.endAttempt(&refusal{reason: peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED})
	picked, ref := r.choose()
	if ref != nil {
		return r.notChosen(ref)
	}
	if !step.Resume && !r.sink.begun() {
		r.startOver()
	}
	id := uuid.Must(uuid.NewV7()).String()
	r.tried = append(r.tried, picked.server.GetName())
	r.request.lastAttempt = id
	r.current = attempt{id: id, server: picked.server, predicted: picked.predicted}
	r.current.assembler = request.NewAssembler(request.AssemblerOptions{AttemptID: id, Prior: r.state.Progress, Resume: step.Resume})
	if picked.prefill != nil && r.kvHandle == "" {
		if ev, ok := r.prefill(ctx, picked, step); !ok {
			return ev
		}
		picked.cached = r.request.promptTokens
	}
	r.pool.recordSend(r.entry.router.now(), r.request, picked, id)
	return r.submit(ctx, step, picked)
}

// submit submits the attempt to the agent of its backend server.
func (r *run) submit(ctx context.Context, step request.Step, picked choice) request.Event {
	submit := r.request.submit(r.current.id, r.entry.opts.Address, r.current.server, time.Now())
	submit.CachedTokens = int32(picked.cached)
	r.resume(submit, step)
	r.entry.metrics.observeAttempt(r.request.service.GetName(), len(r.tried), step.Resume)
	call, err := r.entry.opts.Peers.Submit(ctx, r.current.server.GetAgent(), submit)
	r.current.incarnation = submit.GetAgentIncarnation()
	r.current.call = call
	switch {
	case errors.Is(err, peerrpc.ErrUnreachable):
		r.entry.observeFailure(r.current.server.GetAgent())
		r.detail = "agent unreachable: " + err.Error()
		return request.Event{Kind: request.EventNotSent, Reason: peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED}
	case err != nil:
		r.detail = err.Error()
		return request.Event{Kind: request.EventStreamLost}
	}
	return request.Event{}
}

// resume lets the attempt continue after what the caller has received, and from
// the KV cache of a migrated or prefilled sequence. A KV handle is used only
// once.
func (r *run) resume(submit *peerv1.Submit, step request.Step) {
	if step.Resume {
		submit.ResumeFromToken = int32(r.state.Progress.Tokens)
		submit.ResumeText = r.text
	}
	submit.KvHandle, submit.KvSource = r.kvHandle, r.kvSource
	r.kvHandle, r.kvSource = "", ""
}

// choose selects the backend server of the next attempt.
func (r *run) choose() (choice, *refusal) {
	if !r.request.idempotent {
		return r.request.home()
	}
	return r.pool.choose(r.entry.router.now(), r.request, r.state.Attempts, r.tried)
}

// notChosen returns the event of a failure to choose a backend server. If an
// earlier attempt has failed, the reason is the failure of backend servers and
// the detail remains that of the earlier attempt.
func (r *run) notChosen(ref *refusal) request.Event {
	r.exhausted = true
	ev := request.Event{Kind: request.EventNotSent, Reason: ref.reason, RetryAfter: ref.retryAfter}
	if len(r.tried) > 0 {
		ev.Reason = peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED
		return ev
	}
	r.detail = ref.detail
	return ev
}

// startOver discards the buffered part of a response of which the caller has
// received nothing, so that another attempt may respond differently.
func (r *run) startOver() {
	r.sink.reset()
	r.state.Progress = request.NewProgress()
	r.text = nil
}

// home returns the backend server to which the idempotency key of a call is
// bound.
func (q *callerRequest) home() (choice, *refusal) {
	issued, _ := request.IssuedAt(q.key)
	name, _ := ledger.HomesOf(q.catalog.Accepted(), q.service.GetName()).Home(q.key, issued)
	server, ok := q.catalog.BackendServer(name)
	if !ok {
		ref := refuse(peerv1.RefusalReason_REFUSAL_REASON_NO_BACKEND_SERVER, "the backend server that the idempotency key belongs to is gone")
		return choice{}, withDefaultRetryAfter(ref)
	}
	return choice{server: server}, nil
}

// receive waits for the next frame, or until the frame timeout.
func (r *run) receive(ctx context.Context) request.Event {
	timeout := max(minFrameTimeout, frameTimeoutFactor*r.current.predicted)
	frameCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	frame, err := r.current.call.Next(frameCtx)
	switch {
	case err == nil:
		return r.handleFrame(frame)
	case errors.Is(err, peerrpc.ErrConnectionLost):
		r.detail = err.Error()
		return request.Event{Kind: request.EventStreamLost}
	case errors.Is(ctx.Err(), context.Canceled):
		r.detail = "the caller left"
		return request.Event{Kind: request.EventCancel}
	}
	r.detail = "no answer in time"
	return request.Event{Kind: request.EventTimeout}
}

// handleFrame verifies a frame and relays what is new in it.
func (r *run) handleFrame(frame *peerv1.Frame) request.Event {
	if frame.GetLoad() != nil {
		r.entry.observeLoad(r.request.catalog, frame.GetLoad())
	}
	out := r.current.assembler.Accept(frame)
	switch {
	case out.Verdict == request.FrameCorrupt:
		r.entry.metrics.broken.Inc()
		r.detail = out.Detail
		return request.Event{Kind: request.EventStreamLost}
	case out.Verdict != request.FrameAccepted:
		r.entry.metrics.dropped.Inc()
		return request.Event{}
	}
	switch frame.GetKind() {
	case peerv1.FrameKind_FRAME_KIND_STARTED:
		return request.Event{Kind: request.EventStarted}
	case peerv1.FrameKind_FRAME_KIND_HEAD:
		r.sink.head(int(frame.GetStatus()), frame.GetContentType())
	case peerv1.FrameKind_FRAME_KIND_DATA:
		return r.deliver(out)
	case peerv1.FrameKind_FRAME_KIND_END:
		return request.Event{Kind: request.EventComplete}
	case peerv1.FrameKind_FRAME_KIND_FAILED:
		return r.failed(frame)
	}
	return request.Event{}
}

// deliver relays data to the caller.
func (r *run) deliver(out request.FrameResult) request.Event {
	if err := r.sink.data(out.Data, int(out.Tokens)); err != nil {
		r.detail = "the caller left: " + err.Error()
		return request.Event{Kind: request.EventCancel}
	}
	r.text = append(r.text, out.Data...)
	return request.Event{Kind: request.EventDelivered, Progress: r.current.assembler.Progress()}
}

// failed processes the frame that ends an attempt without a complete response.
func (r *run) failed(frame *peerv1.Frame) request.Event {
	r.detail = frame.GetDetail()
	r.kvHandle = frame.GetKvHandle()
	r.kvSource = ""
	if r.kvHandle != "" {
		r.kvSource = r.current.server.GetAddress()
	}
	return request.Event{
		Kind:       request.EventFailed,
		Reason:     frame.GetReason(),
		Ran:        frame.GetRan(),
		RetryAfter: time.Duration(frame.GetRetryAfterMs()) * time.Millisecond,
		Migrated:   frame.GetResumable() && frame.GetReason() == peerv1.RefusalReason_REFUSAL_REASON_LEAVING,
	}
}

// withdraw asks the gate to withdraw the current attempt.
func (r *run) withdraw(cancel bool) request.Event {
	reply, err := r.entry.withdrawAttempt(r.current, cancel)
	if err != nil {
		r.entry.observeFailure(r.current.server.GetAgent())
		return request.Event{Kind: request.EventGateUnreachable}
	}
	return request.Event{Kind: request.EventWithdrawReply, WithdrawState: reply.GetState()}
}

// withdrawAttempt withdraws an attempt at its gate. It uses a context of its
// own, because it must work after the caller has disconnected.
func (e *Entry) withdrawAttempt(a attempt, cancel bool) (*peerv1.WithdrawReply, error) {
	ctx, stop := context.WithTimeout(context.Background(), withdrawTimeout)
	defer stop()
	return e.opts.Peers.Withdraw(ctx, a.server.GetAgent(), &peerv1.Withdraw{
		AttemptId:        a.id,
		Cancel:           cancel,
		AgentIncarnation: a.incarnation,
	})
}

// endAttempt ends the current attempt, if there is one. ref is nil if the
// response is complete.
func (r *run) endAttempt(ref *refusal) {
	if r.current.server == nil {
		return
	}
	if r.current.call != nil {
		r.current.call.Close()
	}
	name := r.current.server.GetName()
	r.pool.recordEnd(r.entry.router.now(), name, r.current.id, ref)
	r.entry.log.Write(logevent.AttemptEnded(r.request.id, r.current.id, name, ref == nil))
	r.current = attempt{predicted: r.current.predicted}
}
