package ledger

import (
	"crypto/sha256"
	"time"

	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

const (
	defaultMaxAhead        = 30 * time.Second
	defaultMaxAnswerBytes  = 4 << 10
	defaultMaxSegmentBytes = 128 << 10
	// callHashBytes is the length of the hash that tells calls apart.
	callHashBytes = 16
)

// CallID names a call within a service.
type CallID struct {
	Client string
	// Key is the idempotency key, a UUID of version 7.
	Key string
}

// Call is a call that may run at most once.
type Call struct {
	ID CallID
	// Hash tells calls with the same key apart; see CallHash.
	Hash string
}

// CallHash returns the hash of a call's method, path and body.
func CallHash(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return string(h.Sum(nil)[:callHashBytes])
}

// Verdict is what becomes of a call offered to a Ledger.
type Verdict int

// Verdicts.
const (
	// VerdictRecord means that the call is being recorded; it may be passed
	// on once that is done, and not before.
	VerdictRecord Verdict = iota + 1
	// VerdictJoin means that the same call is in progress; its outcome is
	// the outcome of this one.
	VerdictJoin
	// VerdictReplay means that the call is done and Answer is its answer.
	VerdictReplay
	// VerdictRefuse means that the call is not passed on.
	VerdictRefuse
)

// Decision answers a call.
type Decision struct {
	Verdict Verdict
	Answer  *ledgerv1.Answer
	// Reason, Ran and Detail belong to VerdictRefuse.
	Reason peerv1.RefusalReason
	Ran    peerv1.Ran
	Detail string
}

// Options of a Ledger; zero fields have defaults.
type Options struct {
	BackendServer string
	// Incarnation of the agent, and the time at which it started.
	Incarnation uint64
	StartTime   time.Time
	// MaxKeyAge bounds the age of keys, MaxIssuedAhead their time of issue in the
	// future.
	MaxKeyAge, MaxIssuedAhead time.Duration
	// MaxAnswerBytes bounds recorded answers, MaxSegmentBytes segments.
	MaxAnswerBytes, MaxSegmentBytes int
}

// entryState is how far a call has come in this incarnation.
type entryState int

const (
	// entryPending is not stored yet and must not be passed on.
	entryPending entryState = iota + 1
	// entryRunning is stored and may have been passed on.
	entryRunning
	entryDone
	// entryUnknown may have been passed on, and no answer will come.
	entryUnknown
	// entryReleased was not passed on.
	entryReleased
)

// entry is what the Ledger knows of one call.
type entry struct {
	hash   string
	state  entryState
	issued time.Time
	answer *ledgerv1.Answer
}

// Ledger decides for the keys of one backend server. It is not safe for
// concurrent use.
type Ledger struct {
	opts    Options
	latest  time.Time
	entries map[CallID]*entry
	homes   Homes
	// revision of the configuration that homes come from.
	revision uint64
	// issuedBefore is the time from which keys are issued whose home may be
	// another by a change that this process has not seen.
	issuedBefore time.Time
	// loaded is set when all records of earlier incarnations are known.
	loaded bool
	// superseded is set when a later incarnation owns the ledger.
	superseded bool
	log        segmentLog
	nextSweep  time.Time
}

// New returns a Ledger that has not been loaded.
func New(opts Options) *Ledger {
	if opts.MaxKeyAge <= 0 {
		opts.MaxKeyAge = DefaultMaxKeyAge
	}
	if opts.MaxIssuedAhead <= 0 {
		opts.MaxIssuedAhead = defaultMaxAhead
	}
	if opts.MaxAnswerBytes <= 0 {
		opts.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if opts.MaxSegmentBytes <= 0 {
		opts.MaxSegmentBytes = defaultMaxSegmentBytes
	}
	return &Ledger{opts: opts, entries: make(map[CallID]*entry)}
}

// SetHomes takes the homes of a configuration revision, as read from the store
// by a read that began at a time. Keys issued HomeChangeDelay later, less the clocks'
// difference, wait for the next confirmation. An older revision than one seen
// before confirms nothing.
func (l *Ledger) SetHomes(homes Homes, revision uint64, readBegan time.Time) {
	if revision < l.revision {
		return
	}
	l.revision = revision
	l.homes = homes
	l.issuedBefore = readBegan.Add(HomeChangeDelay - MaxClockSkew)
}

// Begin decides about a call.
func (l *Ledger) Begin(call Call, now time.Time) Decision {
	now = l.advance(now)
	issued, ok := request.IssuedAt(call.ID.Key)
	if !ok {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, peerv1.Ran_RAN_NO, "the idempotency key is not a UUID of version 7")
	}
	if now.After(issued.Add(l.opts.MaxKeyAge)) {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "the idempotency key is too old")
	}
	if e, ok := l.entries[call.ID]; ok && (e.state != entryReleased || e.hash != call.Hash) {
		return e.again(call)
	}
	if refusal, refused := l.refuseNew(call, issued, now); refused {
		return refusal
	}
	l.entries[call.ID] = &entry{hash: call.Hash, state: entryPending, issued: issued}
	l.log.queue = append(l.log.queue, l.record(call.ID, ledgerv1.RecordState_RECORD_STATE_INTENT))
	return Decision{Verdict: VerdictRecord}
}

// Lookup answers a call whose key is known, without taking up a new one. It
// reports false if the key is not known.
func (l *Ledger) Lookup(call Call) (Decision, bool) {
	e, ok := l.entries[call.ID]
	if !ok || e.state == entryReleased {
		return Decision{}, false
	}
	d := e.again(call)
	if d.Verdict == VerdictJoin {
		d = refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "the same call is in progress")
	}
	return d, true
}

// again answers a call whose key is known.
func (e *entry) again(call Call) Decision {
	switch {
	case e.hash != call.Hash:
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_KEY_REUSED, peerv1.Ran_RAN_NO, "the idempotency key belongs to another call")
	case e.state == entryPending || e.state == entryRunning:
		return Decision{Verdict: VerdictJoin}
	case e.state == entryDone && e.answer != nil:
		return Decision{Verdict: VerdictReplay, Answer: e.answer}
	case e.state == entryDone:
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_YES, "the call is done; its answer was too large to be kept")
	}
	return refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "the call was passed on and no answer to it is known")
}

// refuseNew returns the refusal of a call whose key has no record, if it
// must not run now.
func (l *Ledger) refuseNew(call Call, issued, now time.Time) (Decision, bool) {
	home, _ := l.homes.Home(call.ID.Key, issued)
	switch {
	case l.superseded:
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "another incarnation owns the ledger"), true
	case issued.After(now.Add(l.opts.MaxIssuedAhead)):
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, peerv1.Ran_RAN_NO, "the idempotency key is from the future"), true
	case !l.loaded && !issued.After(l.opts.StartTime.Add(l.opts.MaxIssuedAhead)):
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "the records from before the agent's start cannot be read"), true
	case !l.loaded:
		return unavailable("the ledger is not loaded"), true
	case home != l.opts.BackendServer:
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_NOT_CONFIGURED, peerv1.Ran_RAN_NO, "the idempotency key belongs to another backend server"), true
	case !issued.Before(l.issuedBefore):
		return unavailable("the homes of keys are not confirmed"), true
	}
	return Decision{}, false
}

// Finish records the answer to a call that was passed on.
func (l *Ledger) Finish(id CallID, answer *ledgerv1.Answer) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	e.state = entryDone
	if len(answer.GetBody()) <= l.opts.MaxAnswerBytes {
		e.answer = answer
	}
	l.log.queue = append(l.log.queue, l.record(id, ledgerv1.RecordState_RECORD_STATE_DONE))
}

// MarkOutcomeUnknown notes that a call was passed on and that its answer will not come.
func (l *Ledger) MarkOutcomeUnknown(id CallID) {
	if e, ok := l.entries[id]; ok {
		e.state = entryUnknown
	}
}

// Release notes that a recorded call was certainly not passed on, so that it
// may be offered again.
func (l *Ledger) Release(id CallID) {
	if e, ok := l.entries[id]; ok && e.state == entryRunning {
		e.state = entryReleased
		l.log.queue = append(l.log.queue, l.record(id, ledgerv1.RecordState_RECORD_STATE_RELEASED))
	}
}

// withdraw takes back a call that Begin has just decided to record.
func (l *Ledger) withdraw(id CallID) {
	delete(l.entries, id)
	l.log.queue = l.log.queue[:len(l.log.queue)-1]
}

// Len returns the number of calls known.
func (l *Ledger) Len() int { return len(l.entries) }

// Ready reports whether new calls can be recorded.
func (l *Ledger) Ready() bool { return l.loaded && !l.superseded }

// record returns what is to be stored of a call.
func (l *Ledger) record(id CallID, state ledgerv1.RecordState) *ledgerv1.Record {
	e := l.entries[id]
	return &ledgerv1.Record{
		Client:   id.Client,
		Key:      id.Key,
		CallHash: []byte(e.hash),
		State:    state,
		Answer:   e.answer,
	}
}

// advance moves time on, never back, and forgets keys that are too old.
func (l *Ledger) advance(now time.Time) time.Time {
	if now.Before(l.latest) {
		return l.latest
	}
	l.latest = now
	if now.Before(l.nextSweep) {
		return now
	}
	l.nextSweep = now.Add(l.opts.MaxKeyAge / 16)
	for id, e := range l.entries {
		if now.After(e.issued.Add(l.opts.MaxKeyAge)) && e.state >= entryDone {
			delete(l.entries, id)
		}
	}
	return now
}

func refuse(reason peerv1.RefusalReason, ran peerv1.Ran, detail string) Decision {
	return Decision{Verdict: VerdictRefuse, Reason: reason, Ran: ran, Detail: detail}
}

// unavailable refuses a call because nothing can be recorded now.
func unavailable(detail string) Decision {
	return refuse(peerv1.RefusalReason_REFUSAL_REASON_LEDGER_UNAVAILABLE, peerv1.Ran_RAN_NO, detail)
}
