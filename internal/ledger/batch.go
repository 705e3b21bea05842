package ledger

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

// maxWriteAttempts bounds the attempts to write one batch.
const maxWriteAttempts = 3

// segmentLog is the persistent part of a Ledger: the open segment and the
// records waiting to be stored.
type segmentLog struct {
	head *ledgerv1.Head
	// openVersion is the version of the open segment in the store; 0 before it
	// is created.
	openVersion uint64
	// storedRecords holds the records of the open segment that are in the
	// store; storedBytes is their size, including those of the batch in flight.
	storedRecords []*ledgerv1.Record
	storedBytes   int
	// queue holds the records that wait to be stored.
	queue    []*ledgerv1.Record
	seq      uint64
	inFlight *Batch
	// newestIssued is the latest time of issue of any key in each segment.
	newestIssued map[uint64]time.Time
}

// Batch is a set of records that are stored by one write.
type Batch struct {
	// Rollover is set if the open segment is full, so that a new one must be
	// opened before anything is written. The other fields are empty then.
	Rollover bool
	// Segment is the object to write, on condition that its version in the
	// store is WantVersion.
	Segment     *ledgerv1.Segment
	WantVersion uint64

	records  []*ledgerv1.Record
	attempts int
}

// WriteResult is the result of an attempt to store a batch.
type WriteResult int

// Results of a write.
const (
	// WriteDone means that the store confirmed the write, WriteNoEffect that
	// the write has not taken effect and never will.
	WriteDone WriteResult = iota + 1
	WriteNoEffect
	// WriteOutcomeUnknown means that the segment must be read back.
	WriteOutcomeUnknown
	// WriteReadBackFailed means that the segment could not be read back.
	WriteReadBackFailed
)

// WriteOutcome is what to do after a WriteResult.
type WriteOutcome struct {
	// Retry asks for another attempt to write the batch, ReadBack for reading
	// the segment back first.
	Retry, ReadBack bool
	// Recorded lists the calls that may be forwarded now, Refused those that
	// must not be forwarded.
	Recorded, Refused []CallID
	// Superseded is set if another incarnation of the agent owns the ledger.
	Superseded bool
}

// Pending returns the number of records that wait to be stored. It is urgent if
// one of them is an intent, since a caller waits for it.
func (l *Ledger) Pending() (records int, urgent bool) {
	for _, r := range l.log.queue {
		if r.GetState() == ledgerv1.RecordState_RECORD_STATE_INTENT {
			urgent = true
		}
	}
	return len(l.log.queue), urgent
}

// NextBatch returns the next batch to store. It reports false if no record
// waits or a batch is in flight.
func (l *Ledger) NextBatch() (*Batch, bool) {
	if !l.Ready() || l.log.inFlight != nil || len(l.log.queue) == 0 {
		return nil, false
	}
	records, size := l.fittingRecords()
	if len(records) == 0 {
		return &Batch{Rollover: true}, true
	}
	l.log.seq++
	batch := &Batch{records: records, WantVersion: l.log.openVersion}
	batch.Segment = &ledgerv1.Segment{
		BackendServer: l.opts.BackendServer,
		Number:        l.log.head.GetOpen(),
		Incarnation:   l.opts.Incarnation,
		Seq:           l.log.seq,
		Records:       append(l.log.storedRecords[:len(l.log.storedRecords):len(l.log.storedRecords)], records...),
	}
	l.log.queue = l.log.queue[len(records):]
	l.log.storedBytes += size
	l.log.inFlight = batch
	return batch, true
}

// fittingRecords returns the longest prefix of the queue that fits into the
// open segment, and its size in bytes. An empty segment takes at least one
// record, regardless of its size.
func (l *Ledger) fittingRecords() ([]*ledgerv1.Record, int) {
	size := 0
	for n, r := range l.log.queue {
		bytes := proto.Size(r)
		total := l.log.storedBytes + size + bytes
		if total > l.opts.MaxSegmentBytes && total > bytes {
			return l.log.queue[:n:n], size
		}
		size += bytes
	}
	return l.log.queue, size
}

// HandleWrite processes the result of an attempt to store a batch. With
// WriteDone, version is the one written. The creation of a segment is always
// read back, even if confirmed: it may have recreated a segment that a later
// incarnation has sealed and deleted.
func (l *Ledger) HandleWrite(b *Batch, result WriteResult, version uint64) WriteOutcome {
	switch {
	case result == WriteDone && b.WantVersion > 0:
		return l.markStored(b, version)
	case result == WriteDone, result == WriteOutcomeUnknown:
		return WriteOutcome{ReadBack: true}
	}
	return l.refuseIntents(b)
}

// HandleReadBack processes the state of the store after a write that has to be
// read back: the head, and the segment with its version (nil and 0 if there is
// none). A write that had no effect is attempted maxWriteAttempts times in all.
func (l *Ledger) HandleReadBack(b *Batch, head *ledgerv1.Head, have *ledgerv1.Segment, version uint64) WriteOutcome {
	switch {
	case l.ownershipLost(b, head, have):
		l.superseded = true
		out := l.refuseIntents(b)
		out.Superseded = true
		return out
	case have != nil && have.GetSeq() == b.Segment.GetSeq():
		return l.markStored(b, version)
	}
	l.log.openVersion = version
	b.WantVersion = version
	b.attempts++
	if b.attempts < maxWriteAttempts {
		return WriteOutcome{Retry: true}
	}
	return l.refuseIntents(b)
}

// ownershipLost reports whether the state of the store shows that another
// incarnation owns the ledger. A new owner names itself in the head before it
// touches any segment.
func (l *Ledger) ownershipLost(b *Batch, head *ledgerv1.Head, have *ledgerv1.Segment) bool {
	return head.GetIncarnation() != l.opts.Incarnation || have == nil && b.WantVersion > 0
}

// markStored marks a batch as stored and returns the calls that may be
// forwarded.
func (l *Ledger) markStored(b *Batch, version uint64) WriteOutcome {
	l.log.inFlight = nil
	l.log.openVersion = version
	l.log.storedRecords = b.Segment.GetRecords()
	var out WriteOutcome
	for _, r := range b.records {
		l.trackNewestIssued(b.Segment.GetNumber(), r)
		id := callIDOf(r)
		c := l.calls[id]
		if r.GetState() == ledgerv1.RecordState_RECORD_STATE_INTENT && c != nil && c.state == callPending {
			c.state = callRunning
			out.Recorded = append(out.Recorded, id)
		}
	}
	return out
}

// refuseIntents refuses the calls whose intents are in the batch or in the
// queue: none of them has been forwarded. The other records concern calls that
// have been forwarded or released, so they go back to the queue.
func (l *Ledger) refuseIntents(b *Batch) WriteOutcome {
	l.log.inFlight = nil
	var out WriteOutcome
	var keep []*ledgerv1.Record
	for _, r := range append(b.records[:len(b.records):len(b.records)], l.log.queue...) {
		if r.GetState() != ledgerv1.RecordState_RECORD_STATE_INTENT {
			keep = append(keep, r)
			continue
		}
		id := callIDOf(r)
		if c := l.calls[id]; c != nil && c.state == callPending {
			delete(l.calls, id)
			out.Refused = append(out.Refused, id)
		}
	}
	l.log.queue = keep
	l.log.storedBytes = sizeOf(l.log.storedRecords)
	return out
}

// refuseQueue refuses the calls whose intents wait in the queue, because
// nothing can be stored.
func (l *Ledger) refuseQueue() WriteOutcome { return l.refuseIntents(&Batch{}) }

// close refuses the calls whose intents wait in the queue and all later ones.
func (l *Ledger) close() WriteOutcome {
	l.loaded = false
	return l.refuseQueue()
}

// supersede notes that a later incarnation owns the ledger and refuses the
// calls whose intents wait in the queue.
func (l *Ledger) supersede() WriteOutcome {
	l.superseded = true
	out := l.refuseQueue()
	out.Superseded = true
	return out
}

// HandleRollover makes the segment that the new head names the open one.
func (l *Ledger) HandleRollover(head *ledgerv1.Head) {
	l.log.head = head
	l.log.openVersion = 0
	l.log.storedRecords = nil
	l.log.storedBytes = 0
}

// NextHead returns the head that opens the next segment. It drops the oldest
// segments if all keys in them have expired.
func (l *Ledger) NextHead(now time.Time) *ledgerv1.Head {
	now = l.advance(now)
	next := proto.Clone(l.log.head).(*ledgerv1.Head)
	next.Open++
	for next.First < l.log.head.GetOpen() {
		newest, ok := l.log.newestIssued[next.First]
		if ok && !now.After(newest.Add(l.opts.MaxKeyAge)) {
			break
		}
		delete(l.log.newestIssued, next.First)
		next.First++
	}
	return next
}

// Load loads the records of all retained segments, oldest first. Head is the
// one that this incarnation has written. It returns an error if the key of a
// record has no time of issue.
func (l *Ledger) Load(head *ledgerv1.Head, segments []*ledgerv1.Segment) error {
	l.log.newestIssued = make(map[uint64]time.Time)
	for _, segment := range segments {
		for _, r := range segment.GetRecords() {
			if err := l.loadRecord(segment.GetNumber(), r); err != nil {
				return err
			}
		}
	}
	l.HandleRollover(head)
	l.loaded = true
	return nil
}

// loadRecord loads one record of an earlier incarnation. An intent without a
// later record may have been forwarded, so its outcome is unknown.
func (l *Ledger) loadRecord(segment uint64, r *ledgerv1.Record) error {
	issued, ok := request.IssuedAt(r.GetKey())
	if !ok {
		return fmt.Errorf("ledger: cannot read the time of issue from recorded key %q", r.GetKey())
	}
	l.trackNewestIssued(segment, r)
	c := &trackedCall{hash: string(r.GetCallHash()), state: callOutcomeUnknown, issued: issued, answer: r.GetAnswer()}
	switch r.GetState() {
	case ledgerv1.RecordState_RECORD_STATE_DONE:
		c.state = callDone
	case ledgerv1.RecordState_RECORD_STATE_RELEASED:
		c.state = callReleased
	}
	l.calls[callIDOf(r)] = c
	return nil
}

// trackNewestIssued updates the latest time of issue in a segment.
func (l *Ledger) trackNewestIssued(segment uint64, r *ledgerv1.Record) {
	if issued, ok := request.IssuedAt(r.GetKey()); ok && issued.After(l.log.newestIssued[segment]) {
		l.log.newestIssued[segment] = issued
	}
}

func callIDOf(r *ledgerv1.Record) CallID { return CallID{Client: r.GetClient(), Key: r.GetKey()} }

func sizeOf(records []*ledgerv1.Record) int {
	size := 0
	for _, r := range records {
		size += proto.Size(r)
	}
	return size
}
