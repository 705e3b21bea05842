package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/gatewaypeers"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/usage"
)

const (
	// usageTickInterval is how often the holder of the usage duty checks what is due.
	usageTickInterval = 100 * time.Millisecond
	// collectionsPerWindow is the number of collections per window. What a gateway counts
	// between two of them is lost if it is killed.
	collectionsPerWindow = 4
	// collectDelay is how long after the end of a window the counts of it are collected.
	// By then every gateway has seen the runs that began in it.
	collectDelay = 500 * time.Millisecond
	// collectTimeout bounds the question to one gateway.
	collectTimeout = 500 * time.Millisecond
	// closeShare is the part of the time until a report is due for which the holder waits
	// for gateways that do not answer.
	closeShare = 0.5
)

// KindUsage and nameUsageLedger are those of the object that holds the usage ledger.
const (
	KindUsage       = "usage"
	nameUsageLedger = "ledger"
)

// UsageClient asks other gateways for the runs that they have counted.
type UsageClient interface {
	CollectUsage(ctx context.Context, address string, collect *peerv1.CollectUsage) (*peerv1.CollectUsageReply, error)
}

// UsageStore is the part of the object API in which the usage ledger is kept.
type UsageStore interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error)
}

// UsageOptions configures the reports of usage.
type UsageOptions struct {
	Store  UsageStore
	Client UsageClient
	// Peers returns the other gateways that can be reached.
	Peers func() []gatewaypeers.Peer
	// Window is the length of a window, and Due the time after its end at which its report
	// is due.
	Window, Due time.Duration
}

// usageCount counts the runs that this gateway sees begin.
type usageCount struct {
	counter *usage.Counter
	window  time.Duration
}

// EnableUsage lets the gateway count the runs of client accounts in windows of the given
// length. It must be called before the first request.
func (g *Gateway) EnableUsage(incarnation uint64, window time.Duration) {
	g.usage = &usageCount{counter: usage.NewCounter(incarnation), window: window}
}

// CollectUsage implements peerrpc.UsageCounter.
func (u *usageCount) CollectUsage(collect *peerv1.CollectUsage) *peerv1.CollectUsageReply {
	acknowledged := usage.Source{Incarnation: collect.GetIncarnation(), Number: collect.GetAcknowledged()}
	batch := u.counter.Collect(acknowledged, collect.GetNextWindow())
	reply := &peerv1.CollectUsageReply{Incarnation: batch.Incarnation, Number: batch.Number, NextWindow: batch.Next}
	for window, counts := range batch.Windows {
		reply.Windows = append(reply.Windows, windowToProto(usage.Window{Number: window, Counts: counts}))
	}
	return reply
}

// windowOf returns the window that holds a point in time.
func windowOf(t time.Time, length time.Duration) int64 { return t.UnixNano() / int64(length) }

// endOf returns the end of a window.
func endOf(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// countRun counts that the request began to run at a time of the gateway's clock. Attempts
// after the first one that ran are the same run to the client account.
func (q *request) countRun(at time.Duration) {
	if q.g.usage == nil || q.account == nil || q.counted {
		return
	}
	q.counted = true
	began := q.g.trueTime().Add(at - q.g.now())
	q.g.usage.counter.Record(windowOf(began, q.g.usage.window), q.account.Name)
}

// countAttempt counts the run of an attempt that was sent at a time and has an answer, or
// whose answer was lost. An engine runs a request from its first event on; when a plain server
// began is not known more precisely than that it was sent then.
func (q *request) countAttempt(sentAt time.Duration, lost bool) {
	switch {
	case q.route.Kind != fleet.Streaming:
		q.countRun(sentAt)
	case !lost:
		q.countRun(q.g.now())
	}
}

// usageReporter collects the counts of all gateways and reports them, while this gateway holds
// the duty.
type usageReporter struct {
	g      *Gateway
	opts   UsageOptions
	caller *dutyCaller

	// generation is that of the store at the latest tenure; at first that of a store that
	// was never restored.
	generation uint64
	// fence is the fencing token of the latest tenure, to which the following belongs; 0
	// before the first one.
	fence uint64
	// ledger is nil until it has been read, and version that of its stored object.
	ledger  *usage.Ledger
	version uint64
	// unsaved is set if the ledger has changed since it was stored.
	unsaved bool
	// collectedAt is the true time of the latest collection.
	collectedAt time.Time
	// callsFrom is the time before which no report is sent.
	callsFrom time.Duration

	mu sync.Mutex
	// lastReported is the latest window that this process has reported, for the state
	// dump.
	lastReported int64
}

// run collects and reports until ctx ends.
func (r *usageReporter) run(ctx context.Context) {
	runEvery(ctx, usageTickInterval, func() { r.tick(ctx) })
}

// tick does what is due, one step after the other. A step that fails is tried again at the
// next tick.
func (r *usageReporter) tick(ctx context.Context) {
	token, held := r.caller.duty.Token()
	if !held {
		// The tenure continues if the lease is renewed late.
		r.ledger = nil
		return
	}
	if token.Fence != r.fence {
		r.begin(token.Fence)
	}
	if r.ledger == nil && !r.load(ctx) || r.unsaved && !r.save(ctx) {
		return
	}
	if now := r.g.trueTime(); r.collectionDue(now) {
		r.collectedAt = now
		closed := r.closeWindows(now, r.collect(ctx))
		if r.unsaved && !r.save(ctx) {
			return
		}
		if closed {
			// All gateways receive the first window that is not final before a report is
			// sent, because the store may lose the ledger.
			r.collect(ctx)
		}
	}
	r.report(ctx)
}

// begin starts a tenure.
func (r *usageReporter) begin(fence uint64) {
	r.g.log.Write(logevent.DutyAcquired(dutyName, fence))
	r.fence, r.ledger, r.unsaved, r.callsFrom = fence, nil, false, 0
}

func (r *usageReporter) key() platform.Key {
	return platform.Key{Kind: KindUsage, Name: nameUsageLedger}
}

// load reads the stored ledger and reports whether it is known. One that can't be decoded is
// replaced, because nothing could be reported with it.
func (r *usageReporter) load(ctx context.Context) bool {
	object, err := r.opts.Store.Get(ctx, r.key())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		r.g.log.Write(logevent.UsageLedgerUnavailable("read", err))
		return false
	}
	message := &peerv1.UsageLedger{}
	if err == nil {
		if err := errors.Join(object.Err, proto.Unmarshal(object.Value, message)); err != nil {
			r.g.log.Write(logevent.UsageLedgerUnavailable("decode", err))
			message = &peerv1.UsageLedger{}
		}
	}
	r.ledger, r.version, r.unsaved = usage.NewLedger(ledgerFromProto(message)), object.Version, false
	r.ledger.Begin(windowOf(r.g.trueTime(), r.opts.Window))
	if r.callsFrom == 0 {
		r.callsFrom = r.firstCall()
	}
	return true
}

// firstCall returns when the new holder may send its first report. A predecessor's report
// without an answer may still be carried out, which only the platform's check of fencing tokens
// makes harmless. After a restore of the store the ledger does not show whether there is one.
func (r *usageReporter) firstCall() time.Duration {
	now := r.g.now()
	generation := max(neverRestored, lease.GenerationOf(r.fence))
	restored := generation != r.generation
	r.generation = generation
	if r.caller.fenced || len(r.ledger.Unsent()) == 0 && !restored {
		return now
	}
	return now + lateCallTimeout
}

// save stores the ledger on condition that nobody else has, and reports whether it is stored.
func (r *usageReporter) save(ctx context.Context) bool {
	value, err := proto.Marshal(ledgerToProto(r.ledger.State()))
	if err != nil {
		r.g.log.Write(logevent.UsageLedgerUnavailable("encode", err))
		return false
	}
	if _, held := r.caller.duty.Token(); !held {
		return false
	}
	object, err := r.opts.Store.Put(ctx, r.key(), value, r.version)
	if err == nil {
		r.version, r.unsaved = object.Version, false
		r.ledger.Stored()
		return true
	}
	r.g.log.Write(logevent.UsageLedgerUnavailable("write", err))
	if !errors.Is(err, platform.ErrUnavailable) {
		// The write may have had an effect, or another holder has written.
		r.ledger = nil
	}
	return false
}

// collectionDue reports whether the counts are to be collected: collectionsPerWindow times per
// window, and collectDelay after its end.
func (r *usageReporter) collectionDue(now time.Time) bool {
	settled := func(t time.Time) int64 { return windowOf(t.Add(-collectDelay), r.opts.Window) }
	elapsed := now.Sub(r.collectedAt)
	return elapsed >= r.opts.Window/collectionsPerWindow || elapsed < 0 || settled(now) > settled(r.collectedAt)
}

// collect asks all gateways for their counts, and reports whether all have answered.
func (r *usageReporter) collect(ctx context.Context) bool {
	own := r.g.usage.CollectUsage(r.collectMessage(r.g.opts.Name))
	peers := r.opts.Peers()
	replies := make([]*peerv1.CollectUsageReply, len(peers))
	var calls sync.WaitGroup
	for i, peer := range peers {
		message := r.collectMessage(peer.Name)
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, collectTimeout)
			defer cancel()
			reply, err := r.opts.Client.CollectUsage(ctx, peer.Address, message)
			if err != nil {
				r.g.log.Write(logevent.UsageNotCollected(peer.Name, err))
				return
			}
			replies[i] = reply
		})
	}
	calls.Wait()
	r.apply(r.g.opts.Name, own)
	complete := true
	for i, reply := range replies {
		if reply == nil {
			complete = false
			continue
		}
		r.apply(peers[i].Name, reply)
	}
	return complete
}

// collectMessage returns the message that asks a gateway for its counts.
func (r *usageReporter) collectMessage(gateway string) *peerv1.CollectUsage {
	acknowledged := r.ledger.Acknowledged(gateway)
	return &peerv1.CollectUsage{Incarnation: acknowledged.Incarnation, Acknowledged: acknowledged.Number, NextWindow: r.ledger.Next()}
}

// apply adds the counts of a gateway to the ledger. A gateway that does not count answers
// without an incarnation.
func (r *usageReporter) apply(gateway string, reply *peerv1.CollectUsageReply) {
	if reply.GetIncarnation() == 0 {
		return
	}
	batch := usage.Batch{Incarnation: reply.GetIncarnation(), Number: reply.GetNumber(), Next: reply.GetNextWindow(), Windows: make(usage.Windows)}
	for _, w := range reply.GetWindows() {
		window := windowFromProto(w)
		batch.Windows[window.Number] = window.Counts
	}
	r.unsaved = r.ledger.Apply(gateway, batch) || r.unsaved
}

// closeWindows makes the counts of windows final that ended long enough ago: collectDelay if
// all gateways have answered, and otherwise closeShare of the time until the report is due. It
// reports whether there are any.
func (r *usageReporter) closeWindows(now time.Time, complete bool) bool {
	wait := time.Duration(closeShare * float64(r.opts.Due))
	if complete {
		wait = min(wait, collectDelay)
	}
	before := windowOf(now.Add(-wait), r.opts.Window)
	if before <= r.ledger.Next() {
		return false
	}
	r.ledger.Close(before)
	r.unsaved = true
	return true
}

// report sends the reports of closed windows, oldest first, until one fails.
func (r *usageReporter) report(ctx context.Context) {
	if r.g.now() < r.callsFrom {
		return
	}
	for _, w := range r.ledger.Unsent() {
		err := r.caller.call(ctx, r.fence, dutyUsage, func(ctx context.Context, c DutyCall) error {
			return r.caller.platform.ReportUsage(ctx, c, w.Number, w.Counts)
		})
		if errors.Is(err, errNotHolder) {
			return
		}
		late := r.g.trueTime().Sub(endOf(w.Number, r.opts.Window))
		r.g.log.Write(logevent.UsageReported(logevent.UsageReport{
			Window: w.Number, Fence: r.fence, Accounts: len(w.Counts), Runs: total(w.Counts), SinceEnd: late, Err: err,
		}))
		if err != nil && !errors.Is(err, ErrDutyRefused) {
			return
		}
		// A report that the platform refuses would be refused again.
		r.mu.Lock()
		r.lastReported = w.Number
		r.mu.Unlock()
		r.ledger.Answered(w.Number)
		r.unsaved = true
		if !r.save(ctx) {
			return
		}
	}
}

// lastWindow returns the latest window that this process has reported, 0 if there is none.
func (r *usageReporter) lastWindow() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReported
}

// total returns the sum of counts.
func total(counts usage.Counts) int64 {
	var sum int64
	for _, n := range counts {
		sum += n
	}
	return sum
}

func windowToProto(w usage.Window) *peerv1.UsageWindow {
	message := &peerv1.UsageWindow{Window: w.Number}
	for account, n := range w.Counts {
		message.Counts = append(message.Counts, &peerv1.UsageCount{Client: account, Count: n})
	}
	return message
}

func windowFromProto(message *peerv1.UsageWindow) usage.Window {
	w := usage.Window{Number: message.GetWindow(), Counts: make(usage.Counts, len(message.GetCounts()))}
	for _, c := range message.GetCounts() {
		w.Counts[c.GetClient()] = c.GetCount()
	}
	return w
}

func ledgerToProto(s usage.State) *peerv1.UsageLedger {
	message := &peerv1.UsageLedger{NextWindow: s.Next}
	for _, source := range s.Sources {
		message.Sources = append(message.Sources, &peerv1.UsageSource{Gateway: source.Gateway, Incarnation: source.Incarnation, Number: source.Number})
	}
	for _, w := range s.Open {
		message.Open = append(message.Open, windowToProto(w))
	}
	for _, w := range s.Closed {
		message.Closed = append(message.Closed, windowToProto(w))
	}
	return message
}

func ledgerFromProto(message *peerv1.UsageLedger) usage.State {
	s := usage.State{Next: message.GetNextWindow()}
	for _, source := range message.GetSources() {
		s.Sources = append(s.Sources, usage.Source{Gateway: source.GetGateway(), Incarnation: source.GetIncarnation(), Number: source.GetNumber()})
	}
	for _, w := range message.GetOpen() {
		s.Open = append(s.Open, windowFromProto(w))
	}
	for _, w := range message.GetClosed() {
		s.Closed = append(s.Closed, windowFromProto(w))
	}
	return s
}
