package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

const (
	// WriteBudget is the number of store writes per second that all ledgers of
	// a deployment share.
	WriteBudget = 300
	// RetryAfter is how long calls are refused after a failed write, and the
	// retry delay to suggest to their callers.
	RetryAfter = time.Second
	// homesRefreshInterval is the time between two reads of the homes.
	homesRefreshInterval = HomeChangeDelay / 4
	// finishDelay is how long records of finished calls wait for an intent to
	// share a write with.
	finishDelay = time.Second
	// maxWriteWait is the duration of a write above which new calls are refused
	// instead of waiting for it.
	maxWriteWait = time.Second
	// maxCloseCommits bounds the number of commits at shutdown.
	maxCloseCommits = 3
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
)

// MinWriteInterval returns the minimum time between two writes of one ledger
// for the given number of writers to stay within a budget in writes per second.
func MinWriteInterval(writers, budget int) time.Duration {
	return time.Duration(writers) * time.Second / time.Duration(budget)
}

// errSuperseded is returned once another incarnation of the agent owns the
// ledger.
var errSuperseded = errors.New("ledger: owned by another incarnation of the agent")

// WriterOptions configures a Writer.
type WriterOptions struct {
	Options
	Service string
	Store   platform.Store
	// MinWriteInterval is the initial minimum time between two writes; see
	// SetMinWriteInterval.
	MinWriteInterval time.Duration
	Metrics          *Metrics
	Log              logevent.Log
}

// Writer runs one Ledger against the store. It is safe for concurrent use.
type Writer struct {
	opts WriterOptions
	wake chan struct{}
	// writesSincePause counts the writes since the last pause. It belongs to
	// the goroutine of Run.
	writesSincePause int

	mu       sync.Mutex
	interval time.Duration
	ledger   *Ledger
	// calls holds the calls in progress.
	calls map[CallID]*callProgress
	// refuseUntil is the time until which new calls are refused after a failed
	// write.
	refuseUntil time.Time
	// writeStarted is when the write in flight began; zero if there is none.
	writeStarted time.Time
}

// callProgress is a call in progress with the callers that wait for it.
type callProgress struct {
	// recorded receives the decision about the intent. The caller that began
	// the call waits on it.
	recorded chan Decision
	// abandoned is set once that caller no longer waits.
	abandoned bool
	// joined holds the channels of the callers that wait for the outcome of the
	// call.
	joined []chan Decision
}

// NewWriter returns a Writer. Calls are refused until Run has taken the ledger
// over.
func NewWriter(opts WriterOptions) *Writer {
	return &Writer{
		opts:     opts,
		interval: opts.MinWriteInterval,
		wake:     make(chan struct{}, 1),
		ledger:   New(opts.Options),
		calls:    make(map[CallID]*callProgress),
	}
}

// SetMinWriteInterval sets the minimum time between two writes.
func (w *Writer) SetMinWriteInterval(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interval = d
}

// takePause returns how long to wait after the writes of a commit, and resets
// their count.
func (w *Writer) takePause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.writesSincePause
	w.writesSincePause = 0
	return time.Duration(n) * w.interval
}

// Begin offers a call and waits until it is decided. On VerdictRecord the
// intent is stored, and the caller must do one of two things: forward the call
// at once and then call Finish or MarkOutcomeUnknown, or call Release without
// having forwarded it. On any other verdict the call must not be forwarded.
func (w *Writer) Begin(ctx context.Context, call Call) Decision {
	wait, decision := w.offer(call)
	if wait == nil {
		return decision
	}
	select {
	case decision = <-wait:
		return decision
	case <-ctx.Done():
	}
	return w.abandon(call.ID, wait)
}

// offer passes the call to the ledger. It returns a channel if the decision has
// to be waited for.
func (w *Writer) offer(call Call) (chan Decision, Decision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	d := w.ledger.Begin(call, now)
	wait := make(chan Decision, 1)
	switch d.Verdict {
	case VerdictRecord:
		if now.Before(w.refuseUntil) || w.writeStalled(now) {
			w.ledger.undoBegin(call.ID)
			return nil, unavailable("the ledger cannot be written")
		}
		w.calls[call.ID] = &callProgress{recorded: wait}
		w.wakeRun()
		return wait, d
	case VerdictJoin:
		p := w.calls[call.ID]
		p.joined = append(p.joined, wait)
		return wait, d
	}
	return nil, d
}

// writeStalled reports whether the write in flight is too slow to wait for.
func (w *Writer) writeStalled(now time.Time) bool {
	return !w.writeStarted.IsZero() && now.Sub(w.writeStarted) > maxWriteWait
}

// abandon handles a caller whose deadline has passed. If its intent has been
// stored meanwhile the call is released; if it is stored later, deliver releases
// it.
func (w *Writer) abandon(id CallID, wait chan Decision) Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.calls[id]
	owner := p != nil && p.recorded == wait
	select {
	case d := <-wait:
		if d.Verdict != VerdictRecord {
			return d
		}
		w.release(id)
	default:
		if !owner {
			return refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "the same call is in progress")
		}
		p.abandoned = true
	}
	return refuse(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED, peerv1.Ran_RAN_NO, "the call was not recorded in time")
}

// Finish records the answer to a call that was forwarded.
func (w *Writer) Finish(id CallID, answer *ledgerv1.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Finish(id, answer)
	w.endCall(id, Decision{Verdict: VerdictReplay, Answer: answer})
	w.wakeRun()
}

// MarkOutcomeUnknown notes that a call was forwarded and that its answer will
// not arrive.
func (w *Writer) MarkOutcomeUnknown(id CallID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.MarkOutcomeUnknown(id)
	w.endCall(id, refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "the call was passed on and no answer came"))
}

// Release notes that a recorded call was certainly not forwarded.
func (w *Writer) Release(id CallID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.release(id)
}

// release is Release for callers that hold mu.
func (w *Writer) release(id CallID) {
	w.ledger.Release(id)
	w.endCall(id, refuse(peerv1.RefusalReason_REFUSAL_REASON_WITHDRAWN, peerv1.Ran_RAN_NO, "the call was withdrawn before it was passed on"))
	w.wakeRun()
}

// endCall sends the outcome of a call to all callers that joined it. The caller
// holds mu.
func (w *Writer) endCall(id CallID, d Decision) {
	p := w.calls[id]
	if p == nil {
		return
	}
	delete(w.calls, id)
	for _, wait := range p.joined {
		wait <- d
	}
}

// Lookup decides about a call whose key is already recorded; see Ledger.Lookup.
func (w *Writer) Lookup(call Call) (Decision, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Lookup(call)
}

// Ready reports whether the Writer owns the ledger and has loaded it.
func (w *Writer) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Ready()
}

// wakeRun wakes the goroutine of Run.
func (w *Writer) wakeRun() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run takes the ledger over and stores records until ctx is done or another
// incarnation owns the ledger. Before it returns because of ctx, it stores the
// remaining records; it returns an error if some could not be stored.
func (w *Writer) Run(ctx context.Context) error {
	if err := w.takeOver(ctx); err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() { w.refreshHomes(ctx) })
	for w.awaitRecords(ctx) {
		if err := w.commit(ctx); err != nil {
			return err
		}
		sleep(ctx, w.takePause())
	}
	return w.close(context.WithoutCancel(ctx))
}

// close stores the remaining records and refuses all later calls.
func (w *Writer) close(ctx context.Context) error {
	for range maxCloseCommits {
		w.mu.Lock()
		records, _ := w.ledger.Pending()
		w.mu.Unlock()
		if records == 0 {
			break
		}
		if err := w.commit(ctx); err != nil {
			return err
		}
	}
	w.decideWrite(w.ledger.close)
	w.mu.Lock()
	defer w.mu.Unlock()
	if records, _ := w.ledger.Pending(); records > 0 {
		return fmt.Errorf("ledger: %d records of finished calls could not be stored", records)
	}
	return nil
}

// awaitRecords waits until there is something to store and reports false if ctx
// is done. Records of finished calls alone are delayed, so that they can share
// a write with an intent.
func (w *Writer) awaitRecords(ctx context.Context) bool {
	var flush <-chan time.Time
	for {
		w.mu.Lock()
		records, urgent := w.ledger.Pending()
		interval := w.interval
		w.mu.Unlock()
		if urgent {
			return ctx.Err() == nil
		}
		if records > 0 && flush == nil {
			timer := time.NewTimer(max(finishDelay, interval))
			defer timer.Stop()
			flush = timer.C
		}
		select {
		case <-w.wake:
		case <-flush:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// commit stores the waiting records. It takes one write, unless the open
// segment is full or the response to the write is lost.
func (w *Writer) commit(ctx context.Context) error {
	batch, ok := w.nextBatch()
	if ok && batch.Rollover {
		if err := w.rollOver(ctx); err != nil {
			return err
		}
		batch, ok = w.nextBatch()
	}
	if !ok || batch.Rollover {
		return nil
	}
	return w.storeBatch(ctx, batch)
}

// nextBatch returns the next batch, if any.
func (w *Writer) nextBatch() (*Batch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, ok := w.ledger.NextBatch()
	if ok && !batch.Rollover {
		w.writeStarted = time.Now()
	}
	return batch, ok
}

// storeBatch writes a batch until its outcome is decided.
func (w *Writer) storeBatch(ctx context.Context, batch *Batch) error {
	began := time.Now()
	for {
		result, version := w.put(ctx, batch)
		out := w.decideWrite(func() WriteOutcome { return w.ledger.HandleWrite(batch, result, version) })
		if out.ReadBack {
			out = w.readBack(ctx, batch)
		}
		if out.Retry {
			continue
		}
		w.opts.Metrics.committed(time.Since(began), out)
		if out.Superseded {
			return errSuperseded
		}
		return nil
	}
}

// decideWrite lets the ledger decide about a write and sends the outcome to the
// callers that wait for it. Both happen under one lock, so that no call is
// offered in between.
func (w *Writer) decideWrite(decide func() WriteOutcome) WriteOutcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := decide()
	if !out.Retry && !out.ReadBack {
		w.deliver(out)
	}
	return out
}

// put attempts to write a batch once.
func (w *Writer) put(ctx context.Context, batch *Batch) (WriteResult, uint64) {
	obj, err := w.putMessage(ctx, segmentKey(batch.Segment), batch.Segment, batch.WantVersion)
	switch {
	case err == nil:
		return WriteDone, obj.Version
	case errors.Is(err, platform.ErrUnavailable):
		return WriteNoEffect, 0
	}
	return WriteOutcomeUnknown, 0
}

// readBack determines the outcome of a write from the state of the store.
func (w *Writer) readBack(ctx context.Context, batch *Batch) WriteOutcome {
	unreadable := func() WriteOutcome { return w.ledger.HandleWrite(batch, WriteReadBackFailed, 0) }
	head, _, err := w.readHead(ctx)
	if err != nil {
		return w.decideWrite(unreadable)
	}
	have, version, err := w.readSegment(ctx, batch.Segment.GetNumber())
	if err != nil {
		return w.decideWrite(unreadable)
	}
	return w.decideWrite(func() WriteOutcome { return w.ledger.HandleReadBack(batch, head, have, version) })
}

// deliver sends the outcome of a write to the callers that wait for it. The
// caller holds mu.
func (w *Writer) deliver(out WriteOutcome) {
	w.writeStarted = time.Time{}
	for _, id := range out.Recorded {
		p := w.calls[id]
		if p.abandoned {
			w.release(id)
			continue
		}
		p.recorded <- Decision{Verdict: VerdictRecord}
	}
	if len(out.Refused) == 0 {
		return
	}
	refusal := unavailable("the ledger cannot be written")
	if out.Superseded {
		refusal = refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "another incarnation owns the ledger")
	}
	w.refuseUntil = time.Now().Add(RetryAfter)
	for _, id := range out.Refused {
		w.calls[id].recorded <- refusal
		w.endCall(id, refusal)
	}
}

// refreshHomes reads the homes of keys every homesRefreshInterval until ctx is
// done.
func (w *Writer) refreshHomes(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.readHomes(ctx); err != nil {
			w.opts.Log.Write(logevent.KeyHomesReadFailed(w.opts.Service, err))
		}
		sleep(ctx, homesRefreshInterval)
	}
}

// readHomes reads the homes of keys from the accepted configuration in the
// store.
func (w *Writer) readHomes(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := w.opts.Store.Get(ctx, platform.Key{Kind: platform.KindDeployment, Name: platform.NameCurrent})
	if err != nil {
		return fmt.Errorf("ledger: read configuration: %w", err)
	}
	var accepted configv1.AcceptedDeployment
	if err := proto.Unmarshal(obj.Value, &accepted); err != nil {
		return fmt.Errorf("ledger: decode configuration: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.SetHomes(HomesOf(&accepted, w.opts.Service), accepted.GetRevision(), began)
	return nil
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
