package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// Backoff between attempts to take a ledger over. It doubles from the minimum
// to the maximum.
const (
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = time.Second
)

// takeOver makes this incarnation the only one that can write the ledger and
// loads the records of earlier ones. It retries until ctx is done, and returns
// errSuperseded if a later incarnation owns the ledger.
func (w *Writer) takeOver(ctx context.Context) error {
	for pause := minRetryInterval; ; pause = min(2*pause, maxRetryInterval) {
		err := w.tryTakeOver(ctx)
		if err == nil || errors.Is(err, errSuperseded) {
			return err
		}
		w.opts.Log.Write(logevent.LedgerTakeoverFailed(w.opts.BackendServer, err))
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// tryTakeOver performs the steps of a takeover in order and fails on the first
// that is not confirmed: the head names this incarnation, the segment of the
// predecessor is sealed, and all segments are read. Steps that took effect are
// not repeated by the next attempt.
func (w *Writer) tryTakeOver(ctx context.Context) error {
	head, err := w.claimHead(ctx)
	if err != nil {
		return err
	}
	if head.GetOpen() > head.GetFirst() {
		if err := w.seal(ctx, head.GetOpen()-1); err != nil {
			return err
		}
	}
	var segments []*ledgerv1.Segment
	for n := head.GetFirst(); n < head.GetOpen(); n++ {
		segment, _, err := w.readSegment(ctx, n)
		if err != nil {
			return err
		}
		if segment == nil {
			return fmt.Errorf("ledger: segment %d of %s is missing", n, w.opts.BackendServer)
		}
		segments = append(segments, segment)
	}
	if err := w.readHomes(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Load(head, segments)
}

// claimHead writes a head that names this incarnation and a new open segment,
// unless the head does so already.
func (w *Writer) claimHead(ctx context.Context) (*ledgerv1.Head, error) {
	head, version, err := w.readHead(ctx)
	switch {
	case err != nil:
		return nil, err
	case head.GetIncarnation() == w.opts.Incarnation:
		return head, nil
	case head.GetIncarnation() > w.opts.Incarnation:
		return nil, errSuperseded
	}
	next := &ledgerv1.Head{
		BackendServer: w.opts.BackendServer,
		Incarnation:   w.opts.Incarnation,
		First:         max(head.GetFirst(), 1),
		Open:          head.GetOpen() + 1,
	}
	_, err = w.putMessage(ctx, headKey(w.opts.BackendServer), next, version)
	return next, err
}

// seal marks the predecessor's open segment as sealed, or creates it sealed if
// the predecessor has not written it. This changes its version, so that the
// predecessor's next conditional write fails.
func (w *Writer) seal(ctx context.Context, number uint64) error {
	segment, version, err := w.readSegment(ctx, number)
	switch {
	case err != nil:
		return err
	case segment == nil:
		segment = &ledgerv1.Segment{BackendServer: w.opts.BackendServer, Number: number}
	case segment.GetSealed():
		return nil
	}
	segment.Sealed = true
	_, err = w.putMessage(ctx, segmentKey(segment), segment, version)
	return err
}

// rollOver opens the next segment and deletes segments whose keys have all
// expired. If the store cannot be used it refuses the waiting calls.
func (w *Writer) rollOver(ctx context.Context) error {
	w.mu.Lock()
	old := w.ledger.log.head
	next := w.ledger.NextHead(time.Now())
	w.mu.Unlock()
	stored, version, err := w.readHead(ctx)
	switch {
	case err != nil:
		w.decideWrite(w.ledger.refuseQueue)
		return nil
	case stored.GetIncarnation() != w.opts.Incarnation:
		w.decideWrite(w.ledger.supersede)
		return errSuperseded
	case stored.GetOpen() == next.GetOpen():
		next = stored
	default:
		if _, err := w.putMessage(ctx, headKey(w.opts.BackendServer), next, version); err != nil {
			w.decideWrite(w.ledger.refuseQueue)
			return nil
		}
	}
	w.mu.Lock()
	w.ledger.HandleRollover(next)
	w.mu.Unlock()
	for n := old.GetFirst(); n < next.GetFirst(); n++ {
		w.deleteSegment(ctx, n)
	}
	return nil
}

// deleteSegment deletes a segment that the head no longer names. If that fails
// the segment only takes up space.
func (w *Writer) deleteSegment(ctx context.Context, number uint64) {
	segment, version, err := w.readSegment(ctx, number)
	if err != nil || segment == nil {
		return
	}
	w.writesSincePause++
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := w.opts.Store.Delete(ctx, segmentKey(segment), version); err != nil {
		w.opts.Log.Write(logevent.LedgerSegmentDeleteFailed(number, err))
	}
}

// readHead returns the stored head and its version; an empty head and version 0
// if there is none.
func (w *Writer) readHead(ctx context.Context) (*ledgerv1.Head, uint64, error) {
	head := &ledgerv1.Head{}
	version, err := w.getMessage(ctx, headKey(w.opts.BackendServer), head)
	if errors.Is(err, platform.ErrNotFound) {
		err = nil
	}
	return head, version, err
}

// readSegment returns a stored segment and its version; nil and 0 if there is
// none.
func (w *Writer) readSegment(ctx context.Context, number uint64) (*ledgerv1.Segment, uint64, error) {
	segment := &ledgerv1.Segment{BackendServer: w.opts.BackendServer, Number: number}
	version, err := w.getMessage(ctx, segmentKey(segment), segment)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	return segment, version, err
}

// getMessage reads one object into m and returns its version.
func (w *Writer) getMessage(ctx context.Context, key platform.Key, m proto.Message) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := w.opts.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if err := proto.Unmarshal(obj.Value, m); err != nil {
		return 0, fmt.Errorf("ledger: decode %s: %w", key, err)
	}
	return obj.Version, nil
}

// putMessage writes m on condition that the stored version is want; 0 means
// that the object must not exist.
func (w *Writer) putMessage(ctx context.Context, key platform.Key, m proto.Message, want uint64) (platform.Object, error) {
	value, err := proto.Marshal(m)
	if err != nil {
		return platform.Object{}, fmt.Errorf("ledger: encode %s: %w", key, err)
	}
	w.writesSincePause++
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.opts.Store.Put(ctx, key, value, want)
}

func headKey(server string) platform.Key {
	return platform.Key{Kind: platform.KindLedger, Name: server}
}

func segmentKey(s *ledgerv1.Segment) platform.Key {
	return platform.Key{
		Kind: platform.KindLedger,
		Name: fmt.Sprintf("%s.%010d", s.GetBackendServer(), s.GetNumber()),
	}
}
