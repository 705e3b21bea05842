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

// recordGrace is how long a call that is not idempotent may run beyond its
// deadline, so that its response is recorded for a replay.
const recordGrace = 10 * time.Second

// ledger returns the ledger writer of a plain backend server and starts it on
// first use. Each incarnation has a single writer per server, which runs until
// stopLedgers.
func (a *Agent) ledger(service, server string) *ledger.Writer {
	if w, ok := a.ledgerWriters[server]; ok {
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
		MinWriteInterval: ledger.MinWriteInterval(countLedgers(a.catalog), ledger.WriteBudget),
		Metrics:          a.opts.LedgerMetrics,
		Log:              a.opts.Log,
	})
	a.ledgerWriters[server] = w
	a.ledgerLoops.Go(func() {
		if err := w.Run(a.ledgerCtx); err != nil && !errors.Is(err, context.Canceled) {
			a.opts.Log.Write(logevent.LedgerStopped(server, err))
		}
	})
	return w
}

// updateLedgerIntervals divides the store's write budget among the ledgers of a
// configuration.
func (a *Agent) updateLedgerIntervals(c *catalog.Catalog) {
	interval := ledger.MinWriteInterval(countLedgers(c), ledger.WriteBudget)
	for _, w := range a.ledgerWriters {
		w.SetMinWriteInterval(interval)
	}
}

// countLedgers returns the number of ledgers in a deployment, which share the
// write budget; at least 1.
func countLedgers(c *catalog.Catalog) int {
	n := 0
	for _, service := range c.Deployment().GetServices() {
		if len(service.GetNonIdempotent()) > 0 {
			n += len(c.BackendServers(service.GetName()))
		}
	}
	return max(n, 1)
}

// stopLedgers makes the ledger writers store what is pending and waits for
// them.
func (a *Agent) stopLedgers() {
	a.cancelLedgers()
	a.ledgerLoops.Wait()
}

// ledgerCall returns the ledger's identification of a call.
func ledgerCall(submit *peerv1.Submit) ledger.Call {
	return ledger.Call{
		ID:   ledger.CallID{Client: submit.GetClient(), Key: submit.GetIdempotencyKey()},
		Hash: ledger.CallHash(submit.GetMethod(), submit.GetPath(), submit.GetBody()),
	}
}

// sendLedgerDecision sends the ledger's decision on a call that must not be
// executed now: its recorded response or a refusal.
func sendLedgerDecision(d ledger.Decision, out *emitter) {
	if d.Verdict == ledger.VerdictReplay {
		replay(d.Answer, out)
		return
	}
	out.refuse(failure{reason: d.Reason, ran: d.Ran, detail: d.Detail, retryAfterMS: ledger.RetryAfter.Milliseconds()})
}

// refuseOrReplay responds to an attempt that the gate refused. A call whose
// response is in the ledger is replayed nevertheless.
func (s *server) refuseOrReplay(submit *peerv1.Submit, out *emitter, refusal failure) {
	out.ctx = context.WithoutCancel(out.ctx)
	if s.ledger != nil && !submit.GetIdempotent() {
		if d, known := s.ledger.Lookup(ledgerCall(submit)); known {
			sendLedgerDecision(d, out)
			return
		}
	}
	out.refuse(refusal)
}

// runRecorded executes a call that is not idempotent, unless its key has been
// used before, and records the result in the ledger.
func (s *server) runRecorded(ctx context.Context, submit *peerv1.Submit, out *emitter) {
	call := ledgerCall(submit)
	if d := s.ledger.Begin(ctx, call); d.Verdict != ledger.VerdictRecord {
		sendLedgerDecision(d, out)
		return
	}
	captured := &capturedResponse{}
	out.capture = captured
	s.runQueued(ctx, submit, out)
	switch {
	case captured.complete:
		s.ledger.Finish(call.ID, &captured.response)
	case captured.failed && captured.executed == peerv1.Ran_RAN_NO:
		s.ledger.Release(call.ID)
	default:
		s.ledger.MarkOutcomeUnknown(call.ID)
	}
}

// replay sends a recorded response.
func replay(answer *ledgerv1.Answer, out *emitter) {
	out.head(int(answer.GetStatus()), answer.GetContentType())
	for chunk := range chunks(answer.GetBody(), frameBytes) {
		out.data(chunk, 0)
	}
	out.end("")
}
