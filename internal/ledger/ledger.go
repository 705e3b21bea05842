package ledger

import (
	"crypto/sha256"
	"time"

	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/request"
)

const (
	defaultMaxIssuedAhead  = 30 * time.Second
	defaultMaxAnswerBytes  = 4 << 10
	defaultMaxSegmentBytes = 128 << 10
	// callHashBytes is the length of CallHash in bytes.
	callHashBytes = 16
)

// CallID identifies a call within a service.
type CallID struct {
	Client string
	// Key is the idempotency key, a UUID of version 7.
	Key string
}

// Call is a call that may run at most once.
type Call struct {
	ID CallID
	// Hash distinguishes different calls that use the same key; see CallHash.
	Hash string
}

// CallHash returns a truncated SHA-256 hash of a call's method, path and body.
func CallHash(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return string(h.Sum(nil)[:callHashBytes])
}

// Verdict is the outcome of offering a call to a Ledger.
type Verdict int

// Verdicts.
const (
	// VerdictRecord means that the intent is being recorded. The call may be
	// forwarded once the record is stored, but not before.
	VerdictRecord Verdict = iota + 1
	// VerdictJoin means that the same call is in progress; this one gets the
	// same outcome.
	VerdictJoin
	// VerdictReplay means that the call has completed; Answer is the recorded
	// answer.
	VerdictReplay
	// VerdictRefuse means that the call must not be forwarded.
	VerdictRefuse
)

// Decision is the ledger's response to a call.
type Decision struct {
	Verdict Verdict
	Answer  *ledgerv1.Answer
	// Reason, Ran and Detail are set for VerdictRefuse. Ran is whether the call
	// has run, as far as known.
	Reason peerv1.RefusalReason
	Ran    peerv1.Ran
	Detail string
}

// Options configures a Ledger. Zero limits are replaced by defaults.
type Options struct {
	BackendServer string
	// Incarnation of the agent, and the time at which it started.
	Incarnation uint64
	StartTime   time.Time
	// MaxKeyAge is the age above which a key is refused. MaxIssuedAhead is how
	// far in the future a key's time of issue may be, to allow for clock skew.
	MaxKeyAge, MaxIssuedAhead time.Duration
	// MaxAnswerBytes is the largest answer body that is recorded,
	// MaxSegmentBytes the largest segment.
	MaxAnswerBytes, MaxSegmentBytes int
}

// callState is the progress of a call as known to this incarnation. From
// callDone on, the call is no longer in progress.
type callState int

const (
	// callPending: the intent is not stored yet, so the call must not be
	// forwarded.
	callPending callState = iota + 1
	// callRunning: the intent is stored and the call may have been forwarded.
	callRunning
	// callDone: the call has completed.
	callDone
	// callOutcomeUnknown: the call may have been forwarded and its answer is
	// lost.
	callOutcomeUnknown
	// callReleased: the call was recorded but not forwarded.
	callReleased
)

// trackedCall is the state of one call.
type trackedCall struct {
	hash   string
	state  callState
	issued time.Time
	answer *ledgerv1.Answer
}

// Ledger decides about the calls whose keys belong to one backend server. It is
// not safe for concurrent use.
type Ledger struct {
	opts Options
	// latestTime is the highest time passed in, so that time never goes
	// backwards.
	latestTime time.Time
	// calls holds all calls that are in progress or whose keys have not expired.
	calls map[CallID]*trackedCall
	homes Homes
	// revision is that of the configuration from which homes was read.
	revision uint64
	// homesConfirmedUntil is the time of issue up to which homes is known to be
	// valid. A later key might have another home, through a configuration
	// change that this process has not read yet.
	homesConfirmedUntil time.Time
	// loaded is set once the records of all earlier incarnations have been
	// read.
	loaded bool
	// superseded is set once a later incarnation owns the ledger.
	superseded bool
	log        segmentLog
	nextSweep  time.Time
}

// New returns a Ledger without records. It refuses new calls until Load.
func New(opts Options) *Ledger {
	if opts.MaxKeyAge <= 0 {
		opts.MaxKeyAge = DefaultMaxKeyAge
	}
	if opts.MaxIssuedAhead <= 0 {
		opts.MaxIssuedAhead = defaultMaxIssuedAhead
	}
	if opts.MaxAnswerBytes <= 0 {
		opts.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if opts.MaxSegmentBytes <= 0 {
		opts.MaxSegmentBytes = defaultMaxSegmentBytes
	}
	return &Ledger{opts: opts, calls: make(map[CallID]*trackedCall)}
}

// SetHomes sets the homes of a configuration revision that was read from the
// store by a read that began at readBegan. They are valid for keys issued up to
// HomeChangeDelay after that, less MaxClockSkew; later keys are refused until
// the homes are read again. A revision older than one already seen is ignored.
func (l *Ledger) SetHomes(homes Homes, revision uint64, readBegan time.Time) {
	if revision < l.revision {
		return
	}
	l.revision = revision
	l.homes = homes
	l.homesConfirmedUntil = readBegan.Add(HomeChangeDelay - MaxClockSkew)
}

// Begin decides about a call. The intent of a call with a new key is queued to
// be recorded.
func (l *Ledger) Begin(call Call, now time.Time) Decision {
	now = l.advance(now)
	issued, ok := request.IssuedAt(call.ID.Key)
	if !ok {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, peerv1.Ran_RAN_NO, "the idempotency key is not a UUID of version 7")
	}
	if now.After(issued.Add(l.opts.MaxKeyAge)) {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "the idempotency key is too old")
	}
	if c, ok := l.calls[call.ID]; ok && (c.state != callReleased || c.hash != call.Hash) {
		return c.decideKnown(call)
	}
	if refusal, refused := l.refuseNew(call, issued, now); refused {
		return refusal
	}
	l.calls[call.ID] = &trackedCall{hash: call.Hash, state: callPending, issued: issued}
	l.log.queue = append(l.log.queue, l.record(call.ID, ledgerv1.RecordState_RECORD_STATE_INTENT))
	return Decision{Verdict: VerdictRecord}
}

// Lookup decides about a call whose key is already recorded, and never records
// a new one. It reports false if the key has no record.
func (l *Ledger) Lookup(call Call) (Decision, bool) {
	c, ok := l.calls[call.ID]
	if !ok || c.state == callReleased {
		return Decision{}, false
	}
	d := c.decideKnown(call)
	if d.Verdict == VerdictJoin {
		d = refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "the same call is in progress")
	}
	return d, true
}

// decideKnown decides about a call whose key has a record.
func (c *trackedCall) decideKnown(call Call) Decision {
	switch {
	case c.hash != call.Hash:
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_KEY_REUSED, peerv1.Ran_RAN_NO, "the idempotency key belongs to another call")
	case c.state == callPending || c.state == callRunning:
		return Decision{Verdict: VerdictJoin}
	case c.state == callDone && c.answer != nil:
		return Decision{Verdict: VerdictReplay, Answer: c.answer}
	case c.state == callDone:
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_YES, "the call is done; its answer was too large to be kept")
	}
	return refuse(peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN, "the call was passed on and no answer to it is known")
}

// refuseNew returns a refusal if a call whose key has no record must not run
// now.
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
	case !issued.Before(l.homesConfirmedUntil):
		return unavailable("the homes of keys are not confirmed"), true
	}
	return Decision{}, false
}

// Finish records the answer to a call that was forwarded. An answer above
// MaxAnswerBytes is recorded without its content.
func (l *Ledger) Finish(id CallID, answer *ledgerv1.Answer) {
	c, ok := l.calls[id]
	if !ok {
		return
	}
	c.state = callDone
	if len(answer.GetBody()) <= l.opts.MaxAnswerBytes {
		c.answer = answer
	}
	l.log.queue = append(l.log.queue, l.record(id, ledgerv1.RecordState_RECORD_STATE_DONE))
}

// MarkOutcomeUnknown notes that a call was forwarded and that its answer will
// not arrive.
func (l *Ledger) MarkOutcomeUnknown(id CallID) {
	if c, ok := l.calls[id]; ok {
		c.state = callOutcomeUnknown
	}
}

// Release notes that a recorded call was certainly not forwarded, so that the
// caller may retry it.
func (l *Ledger) Release(id CallID) {
	if c, ok := l.calls[id]; ok && c.state == callRunning {
		c.state = callReleased
		l.log.queue = append(l.log.queue, l.record(id, ledgerv1.RecordState_RECORD_STATE_RELEASED))
	}
}

// undoBegin undoes the latest Begin that returned VerdictRecord.
func (l *Ledger) undoBegin(id CallID) {
	delete(l.calls, id)
	l.log.queue = l.log.queue[:len(l.log.queue)-1]
}

// Len returns the number of calls held in memory.
func (l *Ledger) Len() int { return len(l.calls) }

// Ready reports whether new calls can be recorded.
func (l *Ledger) Ready() bool { return l.loaded && !l.superseded }

// record returns the record to store for a call in the given state.
func (l *Ledger) record(id CallID, state ledgerv1.RecordState) *ledgerv1.Record {
	c := l.calls[id]
	return &ledgerv1.Record{
		Client:   id.Client,
		Key:      id.Key,
		CallHash: []byte(c.hash),
		State:    state,
		Answer:   c.answer,
	}
}

// advance returns the current time, which never goes backwards, and
// periodically evicts calls whose keys have expired, unless they are in
// progress.
func (l *Ledger) advance(now time.Time) time.Time {
	if now.Before(l.latestTime) {
		return l.latestTime
	}
	l.latestTime = now
	if now.Before(l.nextSweep) {
		return now
	}
	l.nextSweep = now.Add(l.opts.MaxKeyAge / 16)
	for id, c := range l.calls {
		if now.After(c.issued.Add(l.opts.MaxKeyAge)) && c.state >= callDone {
			delete(l.calls, id)
		}
	}
	return now
}

func refuse(reason peerv1.RefusalReason, ran peerv1.Ran, detail string) Decision {
	return Decision{Verdict: VerdictRefuse, Reason: reason, Ran: ran, Detail: detail}
}

// unavailable refuses a call that cannot be recorded at the moment.
func unavailable(detail string) Decision {
	return refuse(peerv1.RefusalReason_REFUSAL_REASON_LEDGER_UNAVAILABLE, peerv1.Ran_RAN_NO, detail)
}
