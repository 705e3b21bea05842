package ledger

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

// maxWriteTries bounds the writes of one batch.
const maxWriteTries = 3

// segmentLog is the part of a Ledger that is stored.
type segmentLog struct {
	head *ledgerv1.Head
	// version of the open segment, 0 before it exists.
	version uint64
	// stored records of the open segment, and their size.
	stored      []*ledgerv1.Record
	storedBytes int
	queue       []*ledgerv1.Record
	seq         uint64
	inFlight    *Batch
	// newest is the latest time of issue of a key in each segment.
	newest map[uint64]time.Time
}

// Batch is one commit: records that are stored together.
type Batch struct {
	// Rollover is set if the open segment is full and another must be opened
	// before anything is written.
	Rollover bool
	// Segment to be stored, under the version the store must have.
	Segment     *ledgerv1.Segment
	WantVersion uint64

	records []*ledgerv1.Record
	tries   int
}

// WriteResult is what is known after a try to store a batch.
type WriteResult int

// Results of a write.
const (
	// WriteDone says that the store has it, WriteNoEffect that it has not
	// and never will.
	WriteDone WriteResult = iota + 1
	WriteNoEffect
	// WriteOutcomeUnknown says that the segment must be read back.
	WriteOutcomeUnknown
	// WriteReadBackFailed says that the segment could not be read back.
	WriteReadBackFailed
)

// WriteOutcome is what follows from a WriteResult.
type WriteOutcome struct {
	// Again asks for another try of the batch, HandleReadBack for a read first.
	Retry, ReadBack bool
	// Recorded calls may be passed on now. Refused calls must not.
	Recorded, Refused []CallID
	// Superseded is set if another incarnation owns the ledger.
	Superseded bool
}

// Pending returns the number of records that wait to be stored, and whether a
// call waits for one of them.
func (l *Ledger) Pending() (records int, urgent bool) {
	for _, r := range l.log.queue {
		if r.GetState() == ledgerv1.RecordState_RECORD_STATE_INTENT {
			urgent = true
		}
	}
	return len(l.log.queue), urgent
}

// NextBatch returns the next commit. It reports false if nothing waits or one is
// in flight already.
func (l *Ledger) NextBatch() (*Batch, bool) {
	if !l.Ready() || l.log.inFlight != nil || len(l.log.queue) == 0 {
		return nil, false
	}
	records, size := l.take()
	if len(records) == 0 {
		return &Batch{Rollover: true}, true
	}
	l.log.seq++
	batch := &Batch{records: records, WantVersion: l.log.version}
	batch.Segment = &ledgerv1.Segment{
		BackendServer: l.opts.BackendServer,
		Number:        l.log.head.GetOpen(),
		Incarnation:   l.opts.Incarnation,
		Seq:           l.log.seq,
		Records:       append(l.log.stored[:len(l.log.stored):len(l.log.stored)], records...),
	}
	l.log.queue = l.log.queue[len(records):]
	l.log.storedBytes += size
	l.log.inFlight = batch
	return batch, true
}

// take returns the records that fit into the open segment, in order. The
// first always fits into an empty one.
func (l *Ledger) take() ([]*ledgerv1.Record, int) {
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

// HandleWrite decides after a try to store a batch. The version is the written one,
// with WriteDone. A segment that was created is read back as well: it might
// take the place of one that a later incarnation has closed and deleted.
func (l *Ledger) HandleWrite(b *Batch, result WriteResult, version uint64) WriteOutcome {
	switch {
	case result == WriteDone && b.WantVersion > 0:
		return l.stored(b, version)
	case result == WriteDone, result == WriteOutcomeUnknown:
		return WriteOutcome{ReadBack: true}
	}
	return l.refuseBatch(b)
}

// HandleReadBack decides about a batch by what the store has: the head, and the
// segment with its version; nil and 0 if there is none.
func (l *Ledger) HandleReadBack(b *Batch, head *ledgerv1.Head, have *ledgerv1.Segment, version uint64) WriteOutcome {
	switch {
	case l.lost(b, head, have):
		l.superseded = true
		out := l.refuseBatch(b)
		out.Superseded = true
		return out
	case have != nil && have.GetSeq() == b.Segment.GetSeq():
		return l.stored(b, version)
	}
	l.log.version = version
	b.WantVersion = version
	b.tries++
	if b.tries < maxWriteTries {
		return WriteOutcome{Retry: true}
	}
	return l.refuseBatch(b)
}

// lost reports whether what the store has shows another owner. A later owner
// names itself in the head before it touches a segment.
func (l *Ledger) lost(b *Batch, head *ledgerv1.Head, have *ledgerv1.Segment) bool {
	return head.GetIncarnation() != l.opts.Incarnation || have == nil && b.WantVersion > 0
}

// stored notes that a batch is in the store.
func (l *Ledger) stored(b *Batch, version uint64) WriteOutcome {
	l.log.inFlight = nil
	l.log.version = version
	l.log.stored = b.Segment.GetRecords()
	var out WriteOutcome
	for _, r := range b.records {
		l.noteNewest(b.Segment.GetNumber(), r)
		id := idOf(r)
		e := l.entries[id]
		if r.GetState() == ledgerv1.RecordState_RECORD_STATE_INTENT && e != nil && e.state == entryPending {
			e.state = entryRunning
			out.Recorded = append(out.Recorded, id)
		}
	}
	return out
}

// refuseBatch gives up the intents of a batch, which have not run, and keeps
// what is known of calls that have.
func (l *Ledger) refuseBatch(b *Batch) WriteOutcome {
	l.log.inFlight = nil
	var out WriteOutcome
	var keep []*ledgerv1.Record
	for _, r := range append(b.records[:len(b.records):len(b.records)], l.log.queue...) {
		if r.GetState() != ledgerv1.RecordState_RECORD_STATE_INTENT {
			keep = append(keep, r)
			continue
		}
		id := idOf(r)
		if e := l.entries[id]; e != nil && e.state == entryPending {
			delete(l.entries, id)
			out.Refused = append(out.Refused, id)
		}
	}
	l.log.queue = keep
	l.log.storedBytes = sizeOf(l.log.stored)
	return out
}

// refuseQueue gives up the intents that wait, because nothing can be stored.
func (l *Ledger) refuseQueue() WriteOutcome { return l.refuseBatch(&Batch{}) }

// close gives up the intents that wait and takes no more.
func (l *Ledger) close() WriteOutcome {
	l.loaded = false
	return l.refuseQueue()
}

// supersede gives everything up to a later incarnation.
func (l *Ledger) supersede() WriteOutcome {
	l.superseded = true
	out := l.refuseQueue()
	out.Superseded = true
	return out
}

// HandleRollover notes that the head names another open segment.
func (l *Ledger) HandleRollover(head *ledgerv1.Head) {
	l.log.head = head
	l.log.version = 0
	l.log.stored = nil
	l.log.storedBytes = 0
}

// NextHead returns the head that opens another segment, leaving out the
// oldest ones whose keys are all too old.
func (l *Ledger) NextHead(now time.Time) *ledgerv1.Head {
	now = l.advance(now)
	next := proto.Clone(l.log.head).(*ledgerv1.Head)
	next.Open++
	for next.First < l.log.head.GetOpen() {
		newest, ok := l.log.newest[next.First]
		if ok && !now.After(newest.Add(l.opts.MaxKeyAge)) {
			break
		}
		delete(l.log.newest, next.First)
		next.First++
	}
	return next
}

// Load takes the records of all segments that are kept, oldest first, and
// the head that this incarnation has written.
func (l *Ledger) Load(head *ledgerv1.Head, segments []*ledgerv1.Segment) error {
	l.log.newest = make(map[uint64]time.Time)
	for _, segment := range segments {
		for _, r := range segment.GetRecords() {
			if err := l.load(segment.GetNumber(), r); err != nil {
				return err
			}
		}
	}
	l.HandleRollover(head)
	l.loaded = true
	return nil
}

// load takes one record of an earlier incarnation.
func (l *Ledger) load(segment uint64, r *ledgerv1.Record) error {
	issued, ok := request.IssuedAt(r.GetKey())
	if !ok {
		return fmt.Errorf("ledger: record of key %q has no time of issue", r.GetKey())
	}
	l.noteNewest(segment, r)
	e := &entry{hash: string(r.GetCallHash()), state: entryUnknown, issued: issued, answer: r.GetAnswer()}
	switch r.GetState() {
	case ledgerv1.RecordState_RECORD_STATE_DONE:
		e.state = entryDone
	case ledgerv1.RecordState_RECORD_STATE_RELEASED:
		e.state = entryReleased
	}
	l.entries[idOf(r)] = e
	return nil
}

// noteNewest keeps the latest time of issue in a segment.
func (l *Ledger) noteNewest(segment uint64, r *ledgerv1.Record) {
	if issued, ok := request.IssuedAt(r.GetKey()); ok && issued.After(l.log.newest[segment]) {
		l.log.newest[segment] = issued
	}
}

func idOf(r *ledgerv1.Record) CallID { return CallID{Client: r.GetClient(), Key: r.GetKey()} }

func sizeOf(records []*ledgerv1.Record) int {
	size := 0
	for _, r := range records {
		size += proto.Size(r)
	}
	return size
}
