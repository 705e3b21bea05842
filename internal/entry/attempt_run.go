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
	outcome "github.com/marigoldwing/marigoldwing/internal/request"
	"github.com/marigoldwing/marigoldwing/internal/retry"
)

const (
	// withdrawTimeout bounds the question to a gate whether an attempt ran.
	withdrawTimeout = time.Second
	// minPatience is the least time without a frame after which the gate is
	// asked about an attempt.
	minPatience = 3 * time.Second
	// patienceFactor times the predicted time of the answer is the patience.
	patienceFactor = 3
)

// run is one request on its way to an outcome: it carries out the steps that
// its history asks for. One goroutine uses it.
type run struct {
	entry   *Entry
	request *request
	pool    *pool
	sink    sink
	history outcome.State
	current attempt
	tried   []string
	// text is the output that the caller has, for a resume.
	text []byte
	// kvHandle and kvSource name the KV cache of a moved attempt.
	kvHandle, kvSource string
	// detail tells people why the last attempt gave no whole answer.
	detail string
	// stuck is set if no backend server is left to try.
	stuck bool
}

// attempt is the attempt that is in progress.
type attempt struct {
	id          string
	server      *configv1.BackendServer
	predicted   time.Duration
	incarnation uint64
	// call receives frames; nil if the attempt was not sent.
	call      *peerrpc.Call
	assembler *outcome.Assembler
}

// outcome carries the request to its end. It returns nil for a whole answer.
func (r *run) outcome(ctx context.Context) *refusal {
	step := r.next(ctx, outcome.Event{Kind: outcome.EventBegin})
	for !step.Final() {
		switch step.Kind {
		case outcome.StepSend:
			step = r.next(ctx, r.send(ctx, step))
		case outcome.StepWithdraw:
			step = r.next(ctx, r.withdraw(step.Cancel))
		default:
			step = r.next(ctx, r.receive(ctx))
		}
	}
	if step.Kind == outcome.StepComplete {
		_ = r.sink.end()
		r.leave(nil)
		return nil
	}
	ref := &refusal{reason: step.Reason, ran: step.Ran, detail: r.detail, retryAfter: step.RetryAfter}
	r.leave(ref)
	return retryLater(ref)
}

// next gives the history an event. A retry is taken off the budget only if
// the history would make it.
func (r *run) next(ctx context.Context, ev outcome.Event) outcome.Step {
	now := time.Now()
	ev.RetryAllowed = true
	history, step := outcome.Next(r.history, ev, now)
	if step.Kind == outcome.StepSend && step.Retry && !r.mayRetry(ctx, ev) {
		ev.RetryAllowed = false
		history, step = outcome.Next(r.history, ev, now)
	}
	r.history = history
	if ev.Migrated {
		// The others may take the stream again; only the one that it was
		// moved from is about to change.
		r.tried = []string{r.current.server.GetName()}
	}
	return step
}

// mayRetry asks the retry budget, and waits for the time of the retry. A call
// that is not idempotent has one home and is not tried elsewhere.
func (r *run) mayRetry(ctx context.Context, ev outcome.Event) bool {
	q := r.request
	if !q.idempotent || r.stuck || ctx.Err() != nil {
		return false
	}
	decision := r.pool.retry(retry.Attempt{
		Idempotent:        q.idempotent,
		Ran:               ev.Ran,
		Reason:            ev.Reason,
		AttemptsMade:      r.history.Attempts,
		Remaining:         time.Until(q.deadline),
		PredictedDuration: r.current.predicted,
		Seed:              q.seed() + uint64(r.history.Attempts),
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

// send sends an attempt and returns what came of that: an event without a
// kind if it is on its way.
func (r *run) send(ctx context.Context, step outcome.Step) outcome.Event {
	if step.Cancel {
		last := r.current
		go func() { _, _ = r.entry.askGate(last, true) }()
	}
	r.leave(&refusal{reason: peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED})
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
	r.current.assembler = outcome.NewAssembler(outcome.AssemblerOptions{AttemptID: id, Prior: r.history.Progress, Resume: step.Resume})
	if picked.prefill != nil && r.kvHandle == "" {
		if ev, ok := r.prefill(ctx, picked, step); !ok {
			return ev
		}
		picked.cached = r.request.promptTokens
	}
	r.pool.sent(r.entry.router.now(), r.request, picked, id)
	return r.submit(ctx, step, picked)
}

// submit puts the attempt on its way.
func (r *run) submit(ctx context.Context, step outcome.Step, picked choice) outcome.Event {
	submit := r.request.submit(r.current.id, r.entry.opts.Address, r.current.server, time.Now())
	submit.CachedTokens = int32(picked.cached)
	r.resume(submit, step)
	r.entry.metrics.attempted(r.request.service.GetName(), len(r.tried), step.Resume)
	call, err := r.entry.opts.Peers.Submit(ctx, r.current.server.GetAgent(), submit)
	r.current.incarnation = submit.GetAgentIncarnation()
	r.current.call = call
	switch {
	case errors.Is(err, peerrpc.ErrUnreachable):
		r.entry.observeFailure(r.current.server.GetAgent())
		r.detail = "agent unreachable: " + err.Error()
		return outcome.Event{Kind: outcome.EventNotSent, Reason: peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED}
	case err != nil:
		r.detail = err.Error()
		return outcome.Event{Kind: outcome.EventStreamLost}
	}
	return outcome.Event{}
}

// resume has the attempt go on from what the caller has, and from the KV cache
// of a moved or prefilled sequence. A handle is used once.
func (r *run) resume(submit *peerv1.Submit, step outcome.Step) {
	if step.Resume {
		submit.ResumeFromToken = int32(r.history.Progress.Tokens)
		submit.ResumeText = r.text
	}
	submit.KvHandle, submit.KvSource = r.kvHandle, r.kvSource
	r.kvHandle, r.kvSource = "", ""
}

// choose picks the backend server of the next attempt.
func (r *run) choose() (choice, *refusal) {
	if !r.request.idempotent {
		return r.request.home()
	}
	return r.pool.choose(r.entry.router.now(), r.request, r.history.Attempts, r.tried)
}

// notChosen tells the history that no backend server could be chosen. After
// an attempt that failed, its reason stands.
func (r *run) notChosen(ref *refusal) outcome.Event {
	r.stuck = true
	ev := outcome.Event{Kind: outcome.EventNotSent, Reason: ref.reason, RetryAfter: ref.retryAfter}
	if len(r.tried) > 0 {
		ev.Reason = peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED
		return ev
	}
	r.detail = ref.detail
	return ev
}

// startOver drops what is kept of an answer that the caller has not begun to
// see, so that another attempt may answer differently.
func (r *run) startOver() {
	r.sink.reset()
	r.history.Progress = outcome.NewProgress()
	r.text = nil
}

// home returns the backend server that a call's idempotency key belongs to.
func (q *request) home() (choice, *refusal) {
	issued, _ := outcome.IssuedAt(q.key)
	name, _ := ledger.HomesOf(q.catalog.Accepted(), q.service.GetName()).Home(q.key, issued)
	server, ok := q.catalog.BackendServer(name)
	if !ok {
		ref := refuse(peerv1.RefusalReason_REFUSAL_REASON_NO_BACKEND_SERVER, "the backend server that the idempotency key belongs to is gone")
		return choice{}, retryLater(ref)
	}
	return choice{server: server}, nil
}

// receive waits for the next frame, or for the end of patience.
func (r *run) receive(ctx context.Context) outcome.Event {
	patience := max(minPatience, patienceFactor*r.current.predicted)
	wait, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	frame, err := r.current.call.Next(wait)
	switch {
	case err == nil:
		return r.take(frame)
	case errors.Is(err, peerrpc.ErrConnectionLost):
		r.detail = err.Error()
		return outcome.Event{Kind: outcome.EventStreamLost}
	case errors.Is(ctx.Err(), context.Canceled):
		r.detail = "the caller left"
		return outcome.Event{Kind: outcome.EventCancel}
	}
	r.detail = "no answer in time"
	return outcome.Event{Kind: outcome.EventTimeout}
}

// take checks a frame and passes on what is new in it.
func (r *run) take(frame *peerv1.Frame) outcome.Event {
	if frame.GetLoad() != nil {
		r.entry.observeLoad(r.request.catalog, frame.GetLoad())
	}
	out := r.current.assembler.Accept(frame)
	switch {
	case out.Verdict == outcome.FrameCorrupt:
		r.entry.metrics.broken.Inc()
		r.detail = out.Detail
		return outcome.Event{Kind: outcome.EventStreamLost}
	case out.Verdict != outcome.FrameAccepted:
		r.entry.metrics.dropped.Inc()
		return outcome.Event{}
	}
	switch frame.GetKind() {
	case peerv1.FrameKind_FRAME_KIND_STARTED:
		return outcome.Event{Kind: outcome.EventStarted}
	case peerv1.FrameKind_FRAME_KIND_HEAD:
		r.sink.head(int(frame.GetStatus()), frame.GetContentType())
	case peerv1.FrameKind_FRAME_KIND_DATA:
		return r.deliver(out)
	case peerv1.FrameKind_FRAME_KIND_END:
		return outcome.Event{Kind: outcome.EventComplete}
	case peerv1.FrameKind_FRAME_KIND_FAILED:
		return r.failed(frame)
	}
	return outcome.Event{}
}

// deliver passes data on to the caller.
func (r *run) deliver(out outcome.FrameResult) outcome.Event {
	if err := r.sink.data(out.Data, int(out.Tokens)); err != nil {
		r.detail = "the caller left: " + err.Error()
		return outcome.Event{Kind: outcome.EventCancel}
	}
	r.text = append(r.text, out.Data...)
	return outcome.Event{Kind: outcome.EventDelivered, Progress: r.current.assembler.Progress()}
}

// failed reads the frame that closes an attempt without an answer.
func (r *run) failed(frame *peerv1.Frame) outcome.Event {
	r.detail = frame.GetDetail()
	r.kvHandle = frame.GetKvHandle()
	r.kvSource = ""
	if r.kvHandle != "" {
		r.kvSource = r.current.server.GetAddress()
	}
	return outcome.Event{
		Kind:       outcome.EventFailed,
		Reason:     frame.GetReason(),
		Ran:        frame.GetRan(),
		RetryAfter: time.Duration(frame.GetRetryAfterMs()) * time.Millisecond,
		Migrated:   frame.GetResumable() && frame.GetReason() == peerv1.RefusalReason_REFUSAL_REASON_LEAVING,
	}
}

// withdraw asks the gate what became of the current attempt.
func (r *run) withdraw(cancel bool) outcome.Event {
	reply, err := r.entry.askGate(r.current, cancel)
	if err != nil {
		r.entry.observeFailure(r.current.server.GetAgent())
		return outcome.Event{Kind: outcome.EventGateUnreachable}
	}
	return outcome.Event{Kind: outcome.EventWithdrawReply, WithdrawState: reply.GetState()}
}

// askGate withdraws an attempt at its gate, whatever became of the caller.
func (e *Entry) askGate(a attempt, cancel bool) (*peerv1.WithdrawReply, error) {
	ctx, stop := context.WithTimeout(context.Background(), withdrawTimeout)
	defer stop()
	return e.opts.Peers.Withdraw(ctx, a.server.GetAgent(), &peerv1.Withdraw{
		AttemptId:        a.id,
		Cancel:           cancel,
		AgentIncarnation: a.incarnation,
	})
}

// leave ends the current attempt, if there is one; ref is nil for a whole
// answer.
func (r *run) leave(ref *refusal) {
	if r.current.server == nil {
		return
	}
	if r.current.call != nil {
		r.current.call.Close()
	}
	name := r.current.server.GetName()
	r.pool.ended(r.entry.router.now(), name, r.current.id, ref)
	r.entry.log.Write(logevent.AttemptEnded(r.request.id, r.current.id, name, ref == nil))
	r.current = attempt{predicted: r.current.predicted}
}
