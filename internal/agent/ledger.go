package agent

import (
	"context"
	"errors"
	"time"

	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// recordGrace is how long after its deadline a call that is not idempotent may
// run on, so that its answer is recorded for a replay.
const recordGrace = 10 * time.Second

// ledger returns the ledger of a plain backend server, starting it on first
// use. An incarnation has one writer for each, until stopLedgers.
func (a *Agent) ledger(service, server string) *ledger.Writer {
	if w, ok := a.writers[server]; ok {
		return w
	}
	w := ledger.NewWriter(ledger.WriterOptions{
		Options: ledger.Options{
			BackendServer: server,
			Incarnation:   a.opts.Incarnation,
			StartTime:     a.started,
		},
		Service:          service,
		Store:            a.opts.Store,
		MinWriteInterval: ledger.MinWriteInterval(ledgers(a.catalog), ledger.WriteBudget),
		Metrics:          a.opts.LedgerMetrics,
		Log:              a.opts.Log,
	})
	a.writers[server] = w
	a.ledgers.Go(func() {
		if err := w.Run(a.ledgerCtx); err != nil && !errors.Is(err, context.Canceled) {
			a.opts.Log.Write(logevent.LedgerStopped(server, err))
		}
	})
	return w
}

// paceLedgers shares the write budget among the ledgers of a configuration.
func (a *Agent) paceLedgers(c *catalog.Catalog) {
	interval := ledger.MinWriteInterval(ledgers(c), ledger.WriteBudget)
	for _, w := range a.writers {
		w.SetMinWriteInterval(interval)
	}
}

// ledgers counts the ledgers of a deployment, which share the write budget.
func ledgers(c *catalog.Catalog) int {
	n := 0
	for _, service := range c.Deployment().GetServices() {
		if len(service.GetNonIdempotent()) > 0 {
			n += len(c.BackendServers(service.GetName()))
		}
	}
	return max(n, 1)
}

// stopLedgers stores what is owed and returns when that is done.
func (a *Agent) stopLedgers() {
	a.endLedgers()
	a.ledgers.Wait()
}

// ledgerCall returns the call as the ledger knows it.
func ledgerCall(submit *peerv1.Submit) ledger.Call {
	return ledger.Call{
		ID:   ledger.CallID{Client: submit.GetClient(), Key: submit.GetIdempotencyKey()},
		Hash: ledger.CallHash(submit.GetMethod(), submit.GetPath(), submit.GetBody()),
	}
}

// answerKnown sends what the ledger says of a call that is not to run now.
func answerKnown(d ledger.Decision, out *emitter) {
	if d.Verdict == ledger.VerdictReplay {
		replay(d.Answer, out)
		return
	}
	out.refuse(failure{reason: d.Reason, ran: d.Ran, detail: d.Detail, retryAfterMS: ledger.RetryAfter.Milliseconds()})
}

// turnAway answers an attempt that the gate refused. A replay of a call that
// the ledger knows gets its answer all the same.
func (s *server) turnAway(submit *peerv1.Submit, out *emitter, refusal failure) {
	out.ctx = context.WithoutCancel(out.ctx)
	if s.ledger != nil && !submit.GetIdempotent() {
		if d, known := s.ledger.Lookup(ledgerCall(submit)); known {
			answerKnown(d, out)
			return
		}
	}
	out.refuse(refusal)
}

// runOnce runs a call that is not idempotent, unless its key has run before.
func (s *server) runOnce(ctx context.Context, submit *peerv1.Submit, out *emitter) {
	call := ledgerCall(submit)
	if d := s.ledger.Begin(ctx, call); d.Verdict != ledger.VerdictRecord {
		answerKnown(d, out)
		return
	}
	answer := &capture{}
	out.capture = answer
	s.runQueued(ctx, submit, out)
	switch {
	case answer.whole:
		s.ledger.Finish(call.ID, &answer.kept)
	case answer.failed && answer.ran == peerv1.Ran_RAN_NO:
		s.ledger.Release(call.ID)
	default:
		s.ledger.MarkOutcomeUnknown(call.ID)
	}
}

// replay sends a recorded answer.
func replay(answer *ledgerv1.Answer, out *emitter) {
	out.head(int(answer.GetStatus()), answer.GetContentType())
	for chunk := range chunks(answer.GetBody(), frameBytes) {
		out.data(chunk, 0)
	}
	out.end("")
}
