package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// blockAge is how long a trait stays blocked after its last crash without a
	// successful trial.
	blockAge = 24 * time.Hour
	// liftedAge is how long a lifted block is remembered, so that gateways that were
	// cut off learn of it.
	liftedAge = 10 * time.Minute
	// maxBlocks bounds the blocks of a service.
	maxBlocks = 64
	// trialGap is the least time between the last crash with a blocked trait and one
	// that counts as a failed trial. Prompts that were in progress when the trait was
	// blocked crash engines before.
	trialGap = 30 * time.Second
	// timeTolerance is by how much times may grow on the way between gateways.
	timeTolerance = time.Second
	// contactTime is how long after a crash all gateways that reach the others know of
	// it. Later crashes under a request count as failed trials.
	contactTime = 3 * time.Second
	// trialTimeout is how long a trial may take before another may begin, and
	// trialPause the time until the next series of trials that had no result.
	trialTimeout = time.Minute
	trialPause   = 10 * time.Minute
	// trialsInSeries is the number of requests in a series of trials of a part. A block
	// is lifted if all of them are answered. One answer shows that a request is sound.
	trialsInSeries = 3
)

// trialWaits are the times from the last crash with a part to the next trial, by
// the number of trials that have failed, and requestTrialWaits those for a request,
// of which one that came once may be blocked by mistake. There is no trial after the
// last of them.
var (
	trialWaits        = []time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour}
	requestTrialWaits = []time.Duration{time.Minute, 10 * time.Minute, time.Hour}
)

// trialWaits returns the waits for trials of the trait.
func (t Trait) trialWaits() []time.Duration {
	if t.IsRequest() {
		return requestTrialWaits
	}
	return trialWaits
}

// trialsInSeries returns how many trials of the trait must be answered.
func (t Trait) trialsInSeries() int {
	if t.IsRequest() {
		return 1
	}
	return trialsInSeries
}

// Block says that requests with a trait are not sent to engines.
type Block struct {
	Trait Trait
	// Engines are the engines that crashed, for logs; only the gateway that blocked
	// the trait knows them.
	Engines []string
	// Crashes and Answered are the numbers of crashes and of requests answered
	// meanwhile for which the trait was blocked.
	Crashes, Answered int
	// LastCrash is the time of the last crash with the trait.
	LastCrash time.Duration
	// FailedTrials is the number of trials that ended in a crash.
	FailedTrials int
	// Lifted is set if the trait is no longer blocked, and ChangedAt is when that was
	// last decided.
	Lifted    bool
	ChangedAt time.Duration
}

// block is a Block with what only this gateway knows.
type block struct {
	Block
	// learnedAt is when this gateway last learned something of the block.
	learnedAt time.Duration
	// trialUntil is the end of a trial in progress, trials the number of trials in the
	// present series, and notBefore the earliest time of the next one.
	trialUntil, notBefore time.Duration
	trials, answered      int
}

// block blocks a trait.
func (d *Detector) block(now time.Duration, c candidate) Block {
	b := &block{learnedAt: now, Block: Block{
		Trait: c.trait, Crashes: c.crashes, Answered: c.sounds, LastCrash: c.last, ChangedAt: now,
	}}
	var times []time.Duration
	for engine, crash := range d.crashes {
		if crash.has(c.trait) {
			b.Engines = append(b.Engines, engine)
			times = append(times, crash.at)
		}
	}
	slices.Sort(b.Engines)
	if c.trait.IsRequest() {
		b.FailedTrials = lateCrashes(times)
	}
	d.blocks[c.trait] = b
	d.boundBlocks()
	return b.Block
}

// lateCrashes returns how many crashes are later than contactTime after the third one.
func lateCrashes(times []time.Duration) int {
	slices.Sort(times)
	late := 0
	for _, at := range times {
		if at > times[minCrashes-1]+contactTime {
			late++
		}
	}
	return late
}

// boundBlocks drops the blocks beyond maxBlocks whose last crash is the longest ago.
func (d *Detector) boundBlocks() {
	if len(d.blocks) <= maxBlocks {
		return
	}
	blocks := d.sortedBlocks()
	slices.SortStableFunc(blocks, func(a, b *block) int { return cmp.Compare(b.LastCrash, a.LastCrash) })
	for _, b := range blocks[maxBlocks:] {
		delete(d.blocks, b.Trait)
	}
}

func (d *Detector) sortedBlocks() []*block {
	blocks := make([]*block, 0, len(d.blocks))
	for _, b := range d.blocks {
		blocks = append(blocks, b)
	}
	slices.SortFunc(blocks, func(a, b *block) int { return cmp.Compare(a.Trait, b.Trait) })
	return blocks
}

// isBlocked reports whether a trait is blocked.
func (d *Detector) isBlocked(p Trait) bool {
	b := d.blocks[p]
	return b != nil && !b.Lifted
}

// Blocked returns the first block that keeps a request from the servers.
func (d *Detector) Blocked(traits []Trait) (Block, bool) {
	if len(d.blocks) == 0 {
		return Block{}, false
	}
	for _, p := range traits {
		if d.isBlocked(p) {
			return d.blocks[p].Block, true
		}
	}
	return Block{}, false
}

// NextTrial returns the time from which a request with the trait may be tried again.
func (b Block) NextTrial() time.Duration {
	waits := b.Trait.trialWaits()
	if b.FailedTrials >= len(waits) {
		return b.LastCrash + blockAge
	}
	return b.LastCrash + waits[b.FailedTrials]
}

// BeginTrial reports whether a request with blocked traits is to be sent to a server
// to see whether it still crashes. It tries the trait that Blocked returns. Only one
// gateway may ask.
func (d *Detector) BeginTrial(now time.Duration, traits []Trait) bool {
	if !d.TrialDue(now, traits) {
		return false
	}
	tried := d.blocks[traits[slices.IndexFunc(traits, d.isBlocked)]]
	if tried.trials >= tried.Trait.trialsInSeries() {
		tried.trials, tried.answered = 0, 0
	}
	tried.trials++
	tried.trialUntil = now + trialTimeout
	return true
}

// TrialDue reports whether a request with blocked traits may be tried as far as this
// gateway knows.
func (d *Detector) TrialDue(now time.Duration, traits []Trait) bool {
	due := false
	for _, p := range traits {
		if !d.isBlocked(p) {
			continue
		}
		b := d.blocks[p]
		if now < b.NextTrial() || now < b.notBefore || now < b.trialUntil {
			return false
		}
		due = true
	}
	return due
}

// EndTrial records the end of a trial, and whether its request was answered. It
// returns the block if it has been lifted.
func (d *Detector) EndTrial(now time.Duration, p Trait, answered bool) (lifted Block, ok bool) {
	b := d.blocks[p]
	if b == nil || b.Lifted {
		return Block{}, false
	}
	b.trialUntil = 0
	if answered {
		b.answered++
	}
	if b.answered >= p.trialsInSeries() {
		b.Lifted, b.ChangedAt, b.learnedAt = true, now, now
		d.forgetCrashes(p)
		return b.Block, true
	}
	if b.trials >= p.trialsInSeries() {
		b.notBefore = now + trialPause
	}
	return Block{}, false
}

// lastCrash returns the time of the last known crash with a trait.
func (d *Detector) lastCrash(p Trait) time.Duration {
	last := time.Duration(math.MinInt64)
	for _, c := range d.crashes {
		if c.has(p) {
			last = max(last, c.at)
		}
	}
	return last
}

// recordBlockedCrash records a crash in the blocks of its traits.
func (d *Detector) recordBlockedCrash(now time.Duration, c *crash, isNew bool) {
	for _, p := range c.traits {
		b := d.blocks[p]
		if b == nil || b.Lifted || c.at <= b.LastCrash {
			continue
		}
		if isNew && c.at-b.LastCrash > trialGap {
			b.FailedTrials++
			b.trials, b.answered = 0, 0
		}
		b.LastCrash, b.learnedAt = c.at, now
	}
}

// mergeBlock merges a block that another gateway or the store has. It reports
// whether this gateway did not know that the trait is blocked, or no longer so.
func (d *Detector) mergeBlock(now time.Duration, other Block) bool {
	if now-other.LastCrash > blockAge || other.Lifted && now-other.ChangedAt > liftedAge {
		return false
	}
	b := d.blocks[other.Trait]
	if b == nil {
		b = &block{Block: other, learnedAt: now}
		b.LastCrash = max(b.LastCrash, d.lastCrash(other.Trait))
		d.blocks[other.Trait] = b
		d.boundBlocks()
		return !other.Lifted
	}
	wasLifted := b.Lifted
	if other.ChangedAt > b.ChangedAt {
		b.Lifted, b.ChangedAt = other.Lifted, other.ChangedAt
	}
	b.Crashes = max(b.Crashes, other.Crashes)
	if other.LastCrash > b.LastCrash+timeTolerance {
		b.LastCrash = other.LastCrash
	}
	b.FailedTrials = max(b.FailedTrials, other.FailedTrials)
	if b.Lifted == wasLifted {
		return false
	}
	b.learnedAt = now
	if b.Lifted {
		d.forgetCrashes(b.Trait)
	}
	return true
}

// forgetCrashes forgets the crashes with a trait that has become sound.
func (d *Detector) forgetCrashes(p Trait) {
	for engine, c := range d.crashes {
		if c.has(p) {
			delete(d.crashes, engine)
		}
	}
	d.forgetSuspects()
}

// expireBlocks forgets blocks that are too old.
func (d *Detector) expireBlocks(now time.Duration) {
	for p, b := range d.blocks {
		if now-b.LastCrash > blockAge || b.Lifted && now-b.ChangedAt > liftedAge {
			delete(d.blocks, p)
		}
	}
}
