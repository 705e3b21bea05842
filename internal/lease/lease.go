// Package lease implements the planner's lease of a service.
//
// The lease is an object of its own, so that renewals do not touch the plan. It
// is an optimization: only its holder computes plans. Correctness does not
// depend on it, because every plan is written by conditional update, and a new
// holder first writes its term into the plan, which makes all later writes of
// its predecessor fail.
//
// The store may be restored from an older copy and then forget leases that it
// has granted. Each generation of the store therefore has a lease object of its
// own, and terms contain the generation. A process that observes a new
// generation loses its authority, and none has authority until the leases of the
// earlier generation have expired.
//
// Step is pure; Participant runs it against the store.
package lease

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultTTL is the time for which one write of the lease is valid.
const DefaultTTL = 15 * time.Second

const (
	// renewalsPerTTL is the number of renewals by the holder per TTL, and of
	// reads by the participant of rank 0.
	renewalsPerTTL = 3
	// driftDivisor is the divisor of the TTL that gives the safety margin for
	// clocks that run at different rates: the holder stops one tenth of the TTL
	// early.
	driftDivisor = 10
)

// Identity identifies one incarnation of a process.
type Identity struct {
	Name        string
	Incarnation uint64
}

// Record is the stored lease. A record without a holder may be claimed
// immediately.
type Record struct {
	Holder Identity
	// Term increases by one each time the lease passes to another incarnation.
	Term uint64
	// Nonce is unique per write. It identifies the own write after a lost
	// response.
	Nonce string
	TTL   time.Duration
}

// Options configures one participant.
type Options struct {
	Self Identity
	// TTL of the written records; 0 means DefaultTTL.
	TTL time.Duration
	// Clock returns the monotonic time against which the lease is measured; nil
	// means Go's monotonic clock, which stops during suspension. BootTime does
	// not.
	Clock func() time.Duration
	// Rank is the position of this process among the candidates for the
	// service, starting at 0. A process of rank r reads the lease r+1 times
	// less often than the one of rank 0, so that the reads of n processes grow
	// only as log n.
	Rank int
	// OnRestore is called when the store turns out to have been restored, with
	// its new generation and the time for which nobody has authority; it may be
	// nil.
	OnRestore func(generation uint64, wait time.Duration)
}

func (o Options) ttl() time.Duration {
	if o.TTL == 0 {
		return DefaultTTL
	}
	return o.TTL
}

// renewInterval is the time between renewals, and between reads at rank 0.
func (o Options) renewInterval() time.Duration { return o.ttl() / renewalsPerTTL }

// readInterval is the time between reads by a participant that does not hold
// the lease.
func (o Options) readInterval() time.Duration {
	return o.renewInterval() * time.Duration(o.Rank+1)
}

// pendingWrite is a write whose outcome is not known yet.
type pendingWrite struct {
	record Record
	began  time.Duration
	// afterRelease is set if the record replaces one that names no holder.
	afterRelease bool
}

// State is the state of a participant. The zero State is that of a process that
// has just started. All times are on Options.Clock.
type State struct {
	// generation is the store's newest known generation, notBefore the time until
	// which a holder of an earlier one may still have authority.
	generation uint64
	notBefore  time.Duration
	// seen is the last record read or written, seenSince when its version was
	// first seen.
	seen      Record
	version   uint64
	observed  bool
	seenSince time.Duration
	// vanished is set if a record has been seen and the store holds none any more.
	vanished bool
	// holding, term and validUntil describe the lease held by this process.
	holding    bool
	term       uint64
	validUntil time.Duration
	// since is when the write began that acquired the lease, and afterRelease is set if
	// the process before gave the lease up.
	since        time.Duration
	afterRelease bool
	// pending is the write in progress, due the time of the next action, and
	// writes the number of writes so far, which makes nonces unique.
	pending *pendingWrite
	due     time.Duration
	writes  uint64
	// released is set once the process has stopped competing for the lease,
	// which it does not resume.
	released bool
}

// Authority is the permission to plan in a term.
type Authority struct {
	// Term increases with each new holder, also across a restore of the store,
	// and is never given to two of them.
	Term uint64
	// Until is when it expires, on Options.Clock.
	Until time.Duration
	// Since is when the process began to acquire the lease, on Options.Clock.
	Since time.Duration
	// AfterRelease is set if the holder before gave the lease up, so that it may have
	// acted until just before.
	AfterRelease bool
}

// Authority returns the authority of the process at now, or false if it has
// none. It expires by itself, so that a process that was paused finds that its
// time has passed.
func (s State) Authority(now time.Duration) (Authority, bool) {
	if !s.holding || now >= s.validUntil || now < s.notBefore {
		return Authority{}, false
	}
	return Authority{Term: joinTerm(s.generation, s.term), Until: s.validUntil, Since: s.since, AfterRelease: s.afterRelease}, true
}

// termBits is the number of bits for the terms of one generation.
const termBits = 32

// joinTerm returns the term that is unique and increasing over all generations.
func joinTerm(generation, term uint64) uint64 { return generation<<termBits | term }

// GenerationOf returns the generation of the store in which a term was given.
func GenerationOf(term uint64) uint64 { return term >> termBits }

// Generation returns the newest generation of the store that the process has
// observed.
func (s State) Generation() uint64 { return s.generation }

// Event is an input of Step.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// GenerationObserved reports the newest known generation of the store, before
// any other event that was read from it.
type GenerationObserved struct{ Generation uint64 }

// ReadDone is the result of a read.
type ReadDone struct {
	// Failed is set if the store did not respond.
	Failed bool
	// Version is 0 if there is no record.
	Version uint64
	Record  Record
}

// Outcome is the result of a write.
type Outcome uint8

// Outcomes of a write.
const (
	// Written: the record is stored.
	Written Outcome = iota
	// Conflict: the store held another version; the write had no effect.
	Conflict
	// Unavailable: the write had no effect.
	Unavailable
	// Unknown: the write may or may not have taken effect.
	Unknown
)

// WriteDone is the result of a write.
type WriteDone struct {
	Outcome Outcome
	Version uint64
}

// Release reports that the process is about to stop.
type Release struct{}

func (Tick) event()               {}
func (GenerationObserved) event() {}
func (ReadDone) event()           {}
func (WriteDone) event()          {}
func (Release) event()            {}

// ActionKind is what the caller of Step has to do next.
type ActionKind uint8

// Kinds of action.
const (
	// Wait until Action.Until, then report Tick.
	Wait ActionKind = iota
	// Read the lease and report ReadDone.
	Read
	// Write Action.Record on condition that the stored version is
	// Action.WantVersion, and report WriteDone.
	Write
)

// Action is an output of Step.
type Action struct {
	Kind        ActionKind
	Until       time.Duration
	Record      Record
	WantVersion uint64
	// Generation of the store whose lease object is read or written.
	Generation uint64
}

// Step returns the next state and action after an event at now.
func Step(s State, o Options, ev Event, now time.Duration) (State, Action) {
	next, action := s.step(o, ev, now)
	action.Generation = next.generation
	return next, action
}

func (s State) step(o Options, ev Event, now time.Duration) (State, Action) {
	switch ev := ev.(type) {
	case GenerationObserved:
		return s.observeGeneration(o, ev.Generation, now)
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

// firstGeneration is the generation of a store that has not been restored.
const firstGeneration = 1

// observeGeneration discards everything that was read in an earlier generation,
// the process's own authority included, and starts over with a read. The leases
// of the earlier generation have expired one TTL later. A process that has just
// started does not know how long ago the restore was.
func (s State) observeGeneration(o Options, generation uint64, now time.Duration) (State, Action) {
	if generation <= s.generation {
		return s, Action{Kind: Wait, Until: s.due}
	}
	next := State{generation: generation, writes: s.writes, released: s.released, due: now}
	if generation > firstGeneration {
		next.notBefore = now + o.ttl()
	}
	if next.released {
		return next, Action{Kind: Wait, Until: next.due}
	}
	return next, Action{Kind: Read}
}

// afterTick renews a held lease, and reads the lease if it is not held or the
// outcome of a write is unknown.
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

// afterRead resolves a pending write by its nonce, resumes a late write of this
// incarnation, and claims the lease if it is free. Otherwise it schedules the
// next read, at the latest when the observed record expires, unless the rank of
// this process is so high that it reads less than once per TTL.
func (s State) afterRead(o Options, ev ReadDone, now time.Duration) (State, Action) {
	if ev.Failed {
		return s.wait(s.retryInterval(o), now)
	}
	s = s.observe(ev, now)
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

// observe records what was read. The term and the time to live of a record that another
// program has deleted remain known, so that no term is given twice and nobody takes the
// lease before it has expired.
func (s State) observe(ev ReadDone, now time.Duration) State {
	if s.observed && ev.Version == s.version {
		return s
	}
	s.vanished = s.observed && ev.Version == 0
	if !s.vanished {
		s.seen = ev.Record
	}
	s.observed, s.version, s.seenSince = true, ev.Version, now
	return s
}

// retryInterval is the time until the next attempt after the store did not
// respond. It is short for a holder, whose lease is about to expire. The first
// candidates retry sooner than they read, because they find out later that the
// holder is silent the longer they do not read. The others do not, so that an
// outage of the store does not multiply their calls.
func (s State) retryInterval(o Options) time.Duration {
	switch {
	case s.holding:
		return o.renewInterval() / renewalsPerTTL
	case o.readInterval() <= o.ttl():
		return o.renewInterval()
	default:
		return o.readInterval()
	}
}

// resume handles a stored record of this very incarnation that is not the
// pending write: an earlier write, believed lost, that took effect late. It is
// unknown when it was written, so it confers no authority until it is renewed.
func (s State) resume(o Options, now time.Duration) (State, Action) {
	if !s.holding || s.term != s.seen.Term {
		s.holding, s.term, s.validUntil = true, s.seen.Term, 0
		// What the write replaced is not known.
		s.since, s.afterRelease = now, true
	}
	return s.write(o, s.term, now)
}

// claimable reports whether the lease is free: there is no record, it names no
// holder, or its version has not changed for its TTL while this process
// observed it.
func (s State) claimable(now time.Duration) bool {
	free := s.version == 0 && !s.vanished || s.seen.Holder == Identity{}
	return free || now >= s.seenSince+s.seen.TTL
}

// write starts a conditional write of a record in the given term.
func (s State) write(o Options, term uint64, now time.Duration) (State, Action) {
	s.writes++
	record := Record{
		Holder: o.Self,
		Term:   term,
		Nonce:  fmt.Sprintf("%s/%d/%d", o.Self.Name, o.Self.Incarnation, s.writes),
		TTL:    o.ttl(),
	}
	s.pending = &pendingWrite{record: record, began: now, afterRelease: s.version != 0 && s.seen.Holder == Identity{}}
	return s, Action{Kind: Write, Record: record, WantVersion: s.version}
}

// afterWrite processes the result of a write. If it is unknown the lease is
// read back.
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

// hold marks the lease as held. It is valid from the moment at which the write
// began, not from when the response arrived.
func (s State) hold(o Options, w *pendingWrite, now time.Duration) (State, Action) {
	s.pending = nil
	s.seen, s.seenSince = w.record, now
	if !s.holding || s.term != w.record.Term {
		s.since, s.afterRelease = w.began, w.afterRelease
	}
	s.holding, s.term = true, w.record.Term
	s.validUntil = w.began + w.record.TTL - w.record.TTL/driftDivisor
	return s.wait(o.renewInterval()-(now-w.began), now)
}

// wait schedules the next action in d, at least one millisecond.
func (s State) wait(d, now time.Duration) (State, Action) {
	s.due = now + max(d, time.Millisecond)
	return s, Action{Kind: Wait, Until: s.due}
}

// release writes a record without a holder if the process holds the lease, so
// that the next process need not wait for the TTL.
func (s State) release(now time.Duration) (State, Action) {
	_, held := s.Authority(now)
	s.holding, s.released = false, true
	if !held {
		return s, Action{Kind: Wait, Until: s.due}
	}
	return s, Action{Kind: Write, Record: Record{Term: s.term}, WantVersion: s.version}
}

// Rank returns the rank of a process among the members for a service, by
// rendezvous hash, so that the leases of different services spread over the
// processes.
func Rank(service, self string, members []string) int {
	own, rank := rendezvousWeight(service, self), 0
	for _, m := range members {
		if m != self && rendezvousWeight(service, m) > own {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(service, member string) uint64 {
	return xxhash.Sum64String(service + "\x00" + member)
}
