// Package lease decides and keeps the planner's lease of a service.
//
// The lease is an object of its own, so that renewals do not touch the plan.
// It saves work: only its holder plans. Safety does not rest on it: each plan
// is written by conditional update, and a new holder first writes its term
// into the plan, after which every write of its predecessor fails.
//
// Step is pure; Keeper runs it against the store.
package lease

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultTTL is the time for which one write of the lease holds.
const DefaultTTL = 15 * time.Second

const (
	// renewalsPerTTL is how often a holder renews within the TTL, and how
	// often the first challenger reads.
	renewalsPerTTL = 3
	// driftShare is the part of the TTL that a holder gives up for clocks
	// that run at different rates.
	driftShare = 10
)

// Identity names one incarnation of a process.
type Identity struct {
	Name        string
	Incarnation uint64
}

// Record is the stored lease. A record without a holder may be claimed at
// once.
type Record struct {
	Holder Identity
	// Term rises by one each time the lease passes to another incarnation.
	Term uint64
	// Nonce is unique for each write.
	Nonce string
	TTL   time.Duration
}

// Options of one participant.
type Options struct {
	Self Identity
	// TTL of the records written; 0 means DefaultTTL.
	TTL time.Duration
	// Clock is the monotonic time that the right is counted by; nil means Go's
	// clock since the start. BootTime counts suspension too.
	Clock func() time.Duration
	// Rank is this process's place among those that may plan for the
	// service. A process of rank r reads the lease r+1 times as seldom as
	// the first, so that the reads of n processes grow as log n.
	Rank int
}

func (o Options) ttl() time.Duration {
	if o.TTL == 0 {
		return DefaultTTL
	}
	return o.TTL
}

// interval is the time between renewals, and between reads of rank 0.
func (o Options) interval() time.Duration { return o.ttl() / renewalsPerTTL }

func (o Options) readInterval() time.Duration {
	return o.interval() * time.Duration(o.Rank+1)
}

// attempt is a write whose outcome is not known yet.
type attempt struct {
	record Record
	began  time.Duration
}

// State is what a participant knows. The zero State is that of a process that
// has just started. All times are monotonic, since the start of the process.
type State struct {
	// seen is the last record read or written, seenSince when its version
	// was first seen.
	seen      Record
	version   uint64
	known     bool
	seenSince time.Duration
	// term and validUntil tell what this process holds.
	holding    bool
	term       uint64
	validUntil time.Duration
	// pending is the write in progress.
	pending *attempt
	due     time.Duration
	writes  uint64
	// released is set when the process gives the lease up for good.
	released bool
}

// Authority is the right to plan in a term.
type Authority struct {
	Term uint64
	// Until is when it ends, on the monotonic clock of the process.
	Until time.Duration
}

// Authority returns the right that the process has at now. A process that
// was paused finds here that its time has passed.
func (s State) Authority(now time.Duration) (Authority, bool) {
	if !s.holding || now >= s.validUntil {
		return Authority{}, false
	}
	return Authority{Term: s.term, Until: s.validUntil}, true
}

// Event is what happened since the last step.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// ReadDone is the answer to a read.
type ReadDone struct {
	// Failed is set when the store did not answer.
	Failed bool
	// Version is 0 when there is no record.
	Version uint64
	Record  Record
}

// Outcome is what became of a write.
type Outcome uint8

// Outcomes of a write.
const (
	// Written: the record is stored.
	Written Outcome = iota
	// Conflict: the store held another version; no effect.
	Conflict
	// Unavailable: no effect.
	Unavailable
	// Unknown: the write may or may not have taken effect.
	Unknown
)

// WriteDone is the answer to a write.
type WriteDone struct {
	Outcome Outcome
	Version uint64
}

// Release says that the process is about to stop and gives the lease up.
type Release struct{}

func (Tick) event()      {}
func (ReadDone) event()  {}
func (WriteDone) event() {}
func (Release) event()   {}

// ActionKind is what to do next.
type ActionKind uint8

// Kinds of action.
const (
	// Wait until Action.Until, then tick.
	Wait ActionKind = iota
	// Read the lease and report ReadDone.
	Read
	// Write Action.Record if the version is Action.Want, and report
	// WriteDone.
	Write
)

// Action is the outcome of a step.
type Action struct {
	Kind        ActionKind
	Until       time.Duration
	Record      Record
	WantVersion uint64
}

// Step decides what to do after an event at now.
func Step(s State, o Options, ev Event, now time.Duration) (State, Action) {
	switch ev := ev.(type) {
	case ReadDone:
		return s.afterRead(o, ev, now)
	case WriteDone:
		return s.afterWrite(o, ev, now)
	case Release:
		return s.release(now)
	default:
		return s.afterTick(o, now)
	}
}

func (s State) afterTick(o Options, now time.Duration) (State, Action) {
	switch {
	case s.released || now < s.due:
		return s, Action{Kind: Wait, Until: s.due}
	case s.pending != nil || !s.holding:
		return s, Action{Kind: Read}
	default:
		return s.write(o, s.term, now)
	}
}

func (s State) afterRead(o Options, ev ReadDone, now time.Duration) (State, Action) {
	if ev.Failed {
		return s.wait(s.retryInterval(o), now)
	}
	if !s.known || ev.Version != s.version {
		s.known, s.version, s.seen, s.seenSince = true, ev.Version, ev.Record, now
	}
	pending := s.pending
	s.pending = nil
	if pending != nil && ev.Version != 0 && ev.Record.Nonce == pending.record.Nonce {
		return s.hold(o, pending, now)
	}
	if ev.Version != 0 && s.seen.Holder == o.Self {
		return s.resume(o, now)
	}
	s.holding = false
	if s.claimable(now) {
		return s.write(o, s.seen.Term+1, now)
	}
	next := o.readInterval()
	if next <= o.ttl() {
		next = min(next, s.seenSince+s.seen.TTL-now)
	}
	return s.wait(next, now)
}

// retryInterval is the time until the next try after the store did not
// answer: short for a holder, whose right is running out.
func (s State) retryInterval(o Options) time.Duration {
	if s.holding {
		return o.interval() / renewalsPerTTL
	}
	return o.readInterval()
}

// resume goes on with a record of this very incarnation: a write thought
// lost that took effect late. Its time of writing is not known, so that it
// gives no right until it is renewed.
func (s State) resume(o Options, now time.Duration) (State, Action) {
	if !s.holding || s.term != s.seen.Term {
		s.holding, s.term, s.validUntil = true, s.seen.Term, 0
	}
	return s.write(o, s.term, now)
}

// claimable reports whether nobody holds the lease: there is no record, it
// names no holder, or it has not moved for its TTL while this process looked.
func (s State) claimable(now time.Duration) bool {
	free := s.version == 0 || s.seen.Holder == Identity{}
	return free || now >= s.seenSince+s.seen.TTL
}

func (s State) write(o Options, term uint64, now time.Duration) (State, Action) {
	s.writes++
	record := Record{
		Holder: o.Self,
		Term:   term,
		Nonce:  fmt.Sprintf("%s/%d/%d", o.Self.Name, o.Self.Incarnation, s.writes),
		TTL:    o.ttl(),
	}
	s.pending = &attempt{record: record, began: now}
	return s, Action{Kind: Write, Record: record, WantVersion: s.version}
}

func (s State) afterWrite(o Options, ev WriteDone, now time.Duration) (State, Action) {
	if s.pending == nil || s.released {
		return s, Action{Kind: Wait, Until: s.due}
	}
	switch ev.Outcome {
	case Written:
		s.version = ev.Version
		return s.hold(o, s.pending, now)
	case Conflict:
		s.pending = nil
		return s, Action{Kind: Read}
	case Unavailable:
		s.pending = nil
		return s.wait(s.retryInterval(o), now)
	default:
		return s, Action{Kind: Read}
	}
}

// hold counts the lease from the moment at which its write began.
func (s State) hold(o Options, a *attempt, now time.Duration) (State, Action) {
	s.pending = nil
	s.seen, s.seenSince = a.record, now
	s.holding, s.term = true, a.record.Term
	s.validUntil = a.began + a.record.TTL - a.record.TTL/driftShare
	return s.wait(o.interval()-(now-a.began), now)
}

func (s State) wait(d, now time.Duration) (State, Action) {
	s.due = now + max(d, time.Millisecond)
	return s, Action{Kind: Wait, Until: s.due}
}

// release writes a record without a holder, if the process holds the lease.
func (s State) release(now time.Duration) (State, Action) {
	_, held := s.Authority(now)
	s.holding, s.released = false, true
	if !held {
		return s, Action{Kind: Wait, Until: s.due}
	}
	return s, Action{Kind: Write, Record: Record{Term: s.term}, WantVersion: s.version}
}

// Rank returns a process's place among those that may plan for a service, by
// rendezvous hash, so that services spread over the processes.
func Rank(service, self string, members []string) int {
	own, rank := weight(service, self), 0
	for _, m := range members {
		if m != self && weight(service, m) > own {
			rank++
		}
	}
	return rank
}

func weight(service, member string) uint64 {
	return xxhash.Sum64String(service + "\x00" + member)
}
