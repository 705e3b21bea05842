package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the least number of crashes for which a trait is blocked, and
	// manyCrashes that for a trait with which more than maxAnsweredPerCrash prompts for
	// each crash have been answered before. With manyCrashes, the best candidate is
	// blocked even if another trait is as suspicious.
	minCrashes          = 3
	manyCrashes         = 5
	maxAnsweredPerCrash = 1
	// maxCompared bounds the latest crashes with a trait that are compared with its
	// answered prompts.
	maxCompared = 8
	// minMoments is the least number of moments at which these crashes happened, and
	// momentGap the time between two moments. Engines that lose power together crash
	// at one moment.
	minMoments = 3
	momentGap  = 50 * time.Millisecond
	// minExplainedShare is the least share of all crashes since the first of them that
	// the trait must have been in, and fewExplainedShare that with fewer crashes than
	// manyCrashes.
	minExplainedShare = 0.5
	fewExplainedShare = 0.75
	// minContrast is the least number of prompts without the trait that must have
	// been answered since the first of these crashes.
	minContrast = 3
	// settleTime is how long ago a crash must be to count, so that all gateways have
	// reported what they lost and what was answered.
	settleTime = time.Second
	// observeTime is how long ago the first crash must be for a trait with which prompts
	// have been answered before, so that further ones may be answered.
	observeTime = 2 * time.Second
)

// candidate is a trait that may be the cause of crashes.
type candidate struct {
	trait Trait
	// crashes is the number of crashes with the trait, sounds the number of prompts
	// with it that were sent after the first of them and answered, and before the
	// number that were answered earlier.
	crashes, sounds, before int
	// first and last are the times of the first and the last crash.
	first, last time.Duration
}

// share is the share of the prompts with the trait that ended in a crash.
func (c candidate) share() float64 {
	return float64(c.crashes) / float64(c.crashes+c.sounds+c.before)
}

// Decide blocks the traits that are to blame for crashes and returns the new blocks.
func (d *Detector) Decide(now time.Duration) []Block {
	d.expire(now)
	d.expireBlocks(now)
	var blocked []Block
	for len(d.crashes) >= minCrashes && now < d.decideUntil {
		worst, ok := d.worst(now)
		if !ok {
			break
		}
		blocked = append(blocked, d.block(now, worst))
	}
	return blocked
}

// worst returns the trait that is to be blocked next, if any.
func (d *Detector) worst(now time.Duration) (candidate, bool) {
	candidates := d.candidates(now)
	if len(candidates) == 0 {
		return candidate{}, false
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.share(), a.share()), cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.trait, b.trait))
	})
	worst := candidates[0]
	if len(candidates) > 1 && candidates[1].share() == worst.share() && worst.crashes < manyCrashes {
		return candidate{}, false
	}
	return worst, true
}

// candidates returns the traits against which there is enough evidence.
func (d *Detector) candidates(now time.Duration) []candidate {
	crashes := d.unexplained()
	settled := crashes[len(crashes)-crashesUntil(crashes, now-settleTime):]
	candidates := d.judgeAll(settled, func(p Trait, with, all []*crash) (candidate, bool) { return d.judge(now, p, with, all) })
	if len(candidates) > 0 {
		return candidates
	}
	return d.judgeAll(crashes, d.judgeAtOnce)
}

// judgeAll judges each trait that is in enough of the crashes, the latest first.
func (d *Detector) judgeAll(crashes []*crash, judge func(p Trait, with, all []*crash) (candidate, bool)) []candidate {
	with := make(map[Trait][]*crash)
	for _, c := range crashes {
		for _, p := range c.traits {
			if d.suspected[p] >= minCrashes {
				with[p] = append(with[p], c)
			}
		}
	}
	var candidates []candidate
	for p := range with {
		if len(with[p]) < minCrashes {
			continue
		}
		if c, ok := judge(p, with[p], crashes); ok {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// unexplained returns the crashes without a blocked trait, the latest first.
func (d *Detector) unexplained() []*crash {
	var crashes []*crash
	for _, c := range d.crashes {
		if !slices.ContainsFunc(c.traits, d.isBlocked) {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b *crash) int { return cmp.Compare(b.at, a.at) })
	return crashes
}

// judge compares the crashes with a trait with all crashes and with the prompts that
// were answered since. It tries the most crashes first.
func (d *Detector) judge(now time.Duration, p Trait, with, all []*crash) (candidate, bool) {
	if d.wasAnswered(p) {
		with = slices.DeleteFunc(slices.Clone(with), d.hasOtherSuspect)
	}
	for n := min(len(with), maxCompared); n >= minCrashes; n-- {
		c := d.candidate(p, with[:n])
		if c.before > 0 && now-c.first < observeTime {
			continue
		}
		needed := minCrashes
		if c.before > maxAnsweredPerCrash*len(with) {
			needed = manyCrashes
		}
		if c.sounds <= n-needed && moments(with[:n]) >= minMoments && d.standsOut(c, all) {
			return c, true
		}
	}
	return candidate{}, false
}

// wasAnswered reports whether a prompt with a trait has been answered.
func (d *Detector) wasAnswered(p Trait) bool {
	return len(d.sounds[p]) > 0 || d.answered.of(p) > 0 || d.answeredElsewhere[p] > 0
}

// hasOtherSuspect reports whether a crash has a trait that is in several crashes and
// has never been answered. Such a crash is no evidence against a trait that has been.
func (d *Detector) hasOtherSuspect(c *crash) bool {
	return slices.ContainsFunc(c.traits, func(p Trait) bool {
		return d.suspected[p] >= minSuspectCrashes && !d.wasAnswered(p)
	})
}

// judgeAtOnce finds a trait with many crashes and without any answered prompt, which
// needs no further evidence.
func (d *Detector) judgeAtOnce(p Trait, with, all []*crash) (candidate, bool) {
	c := d.candidate(p, with[:min(len(with), maxCompared)])
	certain := c.crashes >= manyCrashes && c.sounds+c.before == 0
	return c, certain && d.standsOut(c, all)
}

// candidate counts what speaks for and against a trait that is in crashes, the latest
// first.
func (d *Detector) candidate(p Trait, crashes []*crash) candidate {
	c := candidate{trait: p, crashes: len(crashes), first: crashes[len(crashes)-1].at, last: crashes[0].at}
	c.sounds = d.soundsSince(p, c.first)
	c.before = max(len(d.sounds[p]), d.answered.of(p), d.answeredElsewhere[p]) - c.sounds
	return c
}

// standsOut reports whether a trait was in many of the crashes since its first one,
// while prompts without it were answered.
func (d *Detector) standsOut(c candidate, all []*crash) bool {
	since := len(all) - crashesUntil(all, c.first-1)
	share := minExplainedShare
	if c.crashes < manyCrashes {
		share = fewExplainedShare
	}
	return float64(c.crashes) >= share*float64(since) && d.contrastSince(c.trait, c.first) >= minContrast
}

// crashesUntil returns the number of crashes, the latest first, up to a time.
func crashesUntil(crashes []*crash, until time.Duration) int {
	n := slices.IndexFunc(crashes, func(c *crash) bool { return c.at <= until })
	if n < 0 {
		return 0
	}
	return len(crashes) - n
}

// moments returns the number of different moments of crashes, the latest first.
func moments(crashes []*crash) int {
	n := 1
	for i := 1; i < len(crashes); i++ {
		if crashes[i-1].at-crashes[i].at >= momentGap {
			n++
		}
	}
	return n
}

// soundsSince returns the number of prompts with a trait that were sent after a time
// and answered.
func (d *Detector) soundsSince(p Trait, since time.Duration) int {
	n := 0
	for _, s := range d.sounds[p] {
		if s.sentAt > since {
			n++
		}
	}
	return n
}

// contrastSince returns the number of prompts without a trait that were sent after a
// time and answered.
func (d *Detector) contrastSince(p Trait, since time.Duration) int {
	n := 0
	for _, prompt := range d.contrast {
		if prompt.sentAt > since && !slices.Contains(prompt.traits, p) {
			n++
		}
	}
	return n
}
