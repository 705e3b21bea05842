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
	// WriteBudget is the number of writes per second that all ledgers of a
	// deployment share.
	WriteBudget = 300
	// RetryAfter is when a call that could not be recorded may come back.
	RetryAfter = time.Second
	// homesInterval is the time between two reads of the homes.
	homesInterval = HomeChangeDelay / 4
	// finishDelay is how long answers wait to be stored with an intent.
	finishDelay = time.Second
	// slowWrite is how long a write may take before calls are refused.
	slowWrite = time.Second
	// closeTries bounds the commits at the end.
	closeTries = 3
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
)

// MinWriteInterval returns the least time between two writes of one ledger if
// all writers are to stay within the budget, in writes per second.
func MinWriteInterval(writers, budget int) time.Duration {
	return time.Duration(writers) * time.Second / time.Duration(budget)
}

// errSuperseded says that another incarnation owns the ledger.
var errSuperseded = errors.New("ledger: another incarnation owns it")

// WriterOptions describes a Writer.
type WriterOptions struct {
	Options
	Service string
	Store   platform.Store
	// Interval is the least time between two writes at first; see SetMinWriteInterval.
	MinWriteInterval time.Duration
	Metrics          *Metrics
	Log              logevent.Log
}

// Writer runs one Ledger over the store. It is safe for concurrent use.
type Writer struct {
	opts WriterOptions
	wake chan struct{}
	// writes made since the last pause; of the writing goroutine.
	writes int

	mu       sync.Mutex
	interval time.Duration
	ledger   *Ledger
	calls    map[CallID]*progress
	// blocked is the time until which calls are refused without a try.
	blocked time.Time
	// writing is when the write in flight began; zero if there is none.
	writing time.Time
}

// progress is a call in progress with those who wait for it.
type progress struct {
	// recorded tells the caller that began it what became of the intent.
	recorded chan Decision
	// abandoned is set when that caller no longer waits.
	abandoned bool
	// joined wait for its end.
	joined []chan Decision
}

// NewWriter returns a Writer. Run must be called for it to work.
func NewWriter(opts WriterOptions) *Writer {
	return &Writer{
		opts:     opts,
		interval: opts.MinWriteInterval,
		wake:     make(chan struct{}, 1),
		ledger:   New(opts.Options),
		calls:    make(map[CallID]*progress),
	}
}

// SetMinWriteInterval sets the least time between two writes.
func (w *Writer) SetMinWriteInterval(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interval = d
}

// pause is the time to wait after the writes of a commit. It forgets them.
func (w *Writer) pause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.writes
	w.writes = 0
	return time.Duration(n) * w.interval
}

// Begin offers a call and waits until it is decided. With VerdictRecord the
// call is stored and the caller must pass it on at once and then call Finish
// or Lose, or call Release without having passed it on. No call that Begin
// refuses is passed on.
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

// offer gives the call to the ledger and returns a channel if it has to wait.
func (w *Writer) offer(call Call) (chan Decision, Decision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	d := w.ledger.Begin(call, now)
	wait := make(chan Decision, 1)
	switch d.Verdict {
	case VerdictRecord:
		if now.Before(w.blocked) || w.stuck(now) {
			w.ledger.withdraw(call.ID)
			return nil, unavailable("the ledger cannot be written")
		}
		w.calls[call.ID] = &progress{recorded: wait}
		w.signal()
		return wait, d
	case VerdictJoin:
		p := w.calls[call.ID]
		p.joined = append(p.joined, wait)
		return wait, d
	}
	return nil, d
}

// stuck reports whether the write in flight takes too long to wait for.
func (w *Writer) stuck(now time.Time) bool {
	return !w.writing.IsZero() && now.Sub(w.writing) > slowWrite
}

// abandon leaves a call whose caller has run out of time.
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

// Finish records the answer to a call that was passed on.
func (w *Writer) Finish(id CallID, answer *ledgerv1.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Finish(id, answer)
	w.end(id, Decision{Verdict: VerdictReplay, Answer: answer})
	w.signal()
}

// MarkOutcomeUnknown notes that a call was passed on and its answer will not come.
func (w *Writer) MarkOutcomeUnknown(id CallID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.MarkOutcomeUnknown(id)
	w.end(id, refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "the call was passed on and no answer came"))
}

// Release notes that a recorded call was certainly not passed on.
func (w *Writer) Release(id CallID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.release(id)
}

func (w *Writer) release(id CallID) {
	w.ledger.Release(id)
	w.end(id, refuse(peerv1.RefusalReason_REFUSAL_REASON_WITHDRAWN, peerv1.Ran_RAN_NO, "the call was withdrawn before it was passed on"))
	w.signal()
}

// end tells everyone who joined a call how it ended.
func (w *Writer) end(id CallID, d Decision) {
	p := w.calls[id]
	if p == nil {
		return
	}
	delete(w.calls, id)
	for _, wait := range p.joined {
		wait <- d
	}
}

// Lookup answers a call whose key is known; see Ledger.Lookup.
func (w *Writer) Lookup(call Call) (Decision, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Lookup(call)
}

// Ready reports whether the Writer has taken the ledger over and owns it.
func (w *Writer) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Ready()
}

// signal wakes the writing goroutine.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run takes the ledger over and writes until ctx is done or another
// incarnation owns the ledger. It then stores once more what is owed.
func (w *Writer) Run(ctx context.Context) error {
	if err := w.takeOver(ctx); err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() { w.refreshHomes(ctx) })
	for w.await(ctx) {
		if err := w.commit(ctx); err != nil {
			return err
		}
		sleep(ctx, w.pause())
	}
	return w.close(context.WithoutCancel(ctx))
}

// close stores what is owed and takes no more calls.
func (w *Writer) close(ctx context.Context) error {
	for range closeTries {
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
	w.settle(w.ledger.close)
	w.mu.Lock()
	defer w.mu.Unlock()
	if records, _ := w.ledger.Pending(); records > 0 {
		return fmt.Errorf("ledger: %d records of finished calls are not stored", records)
	}
	return nil
}

// await waits until there is something to store. Answers alone wait for a
// while, so that they can go with an intent.
func (w *Writer) await(ctx context.Context) bool {
	var late <-chan time.Time
	for {
		w.mu.Lock()
		records, urgent := w.ledger.Pending()
		interval := w.interval
		w.mu.Unlock()
		if urgent {
			return ctx.Err() == nil
		}
		if records > 0 && late == nil {
			timer := time.NewTimer(max(finishDelay, interval))
			defer timer.Stop()
			late = timer.C
		}
		select {
		case <-w.wake:
		case <-late:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// commit stores what waits, in one write unless the segment is full or the
// answer to the write is lost.
func (w *Writer) commit(ctx context.Context) error {
	batch, ok := w.batch()
	if ok && batch.Rollover {
		if err := w.roll(ctx); err != nil {
			return err
		}
		batch, ok = w.batch()
	}
	if !ok || batch.Rollover {
		return nil
	}
	return w.store(ctx, batch)
}

// batch returns the next commit, if any.
func (w *Writer) batch() (*Batch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, ok := w.ledger.NextBatch()
	if ok && !batch.Rollover {
		w.writing = time.Now()
	}
	return batch, ok
}

// store writes a batch until it is decided.
func (w *Writer) store(ctx context.Context, batch *Batch) error {
	began := time.Now()
	for {
		result, version := w.put(ctx, batch)
		out := w.settle(func() WriteOutcome { return w.ledger.HandleWrite(batch, result, version) })
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

// settle has the ledger decide about a write and, before any other call is
// offered, tells those who waited for it.
func (w *Writer) settle(decide func() WriteOutcome) WriteOutcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := decide()
	if !out.Retry && !out.ReadBack {
		w.tell(out)
	}
	return out
}

// put tries to write a batch once.
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

// readBack finds out what became of a batch.
func (w *Writer) readBack(ctx context.Context, batch *Batch) WriteOutcome {
	unreadable := func() WriteOutcome { return w.ledger.HandleWrite(batch, WriteReadBackFailed, 0) }
	head, _, err := w.readHead(ctx)
	if err != nil {
		return w.settle(unreadable)
	}
	have, version, err := w.readSegment(ctx, batch.Segment.GetNumber())
	if err != nil {
		return w.settle(unreadable)
	}
	return w.settle(func() WriteOutcome { return w.ledger.HandleReadBack(batch, head, have, version) })
}

// tell passes the outcome of a write on to its callers. The caller holds the
// lock.
func (w *Writer) tell(out WriteOutcome) {
	w.writing = time.Time{}
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
	w.blocked = time.Now().Add(RetryAfter)
	for _, id := range out.Refused {
		w.calls[id].recorded <- refusal
		w.end(id, refusal)
	}
}

// refreshHomes reads the homes of keys again and again.
func (w *Writer) refreshHomes(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.readHomes(ctx); err != nil {
			w.opts.Log.Write(logevent.KeyHomesReadFailed(w.opts.Service, err))
		}
		sleep(ctx, homesInterval)
	}
}

// readHomes reads the homes of keys from the accepted configuration.
func (w *Writer) readHomes(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := w.opts.Store.Get(ctx, platform.Key{Kind: platform.KindDeployment, Name: platform.NameCurrent})
	if err != nil {
		return fmt.Errorf("ledger: read the configuration: %w", err)
	}
	var accepted configv1.AcceptedDeployment
	if err := proto.Unmarshal(obj.Value, &accepted); err != nil {
		return fmt.Errorf("ledger: decode the configuration: %w", err)
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
