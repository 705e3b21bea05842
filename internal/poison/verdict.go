package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the least number of crashes for which a trait is blocked, and
	// manyCrashes that for a part with which more than maxAnsweredPerCrash requests for
	// each crash have been answered before, and for a request that has ever been. With
	// manyCrashes, the best candidate is blocked even if another one is as suspicious.
	minCrashes          = 3
	manyCrashes         = 5
	maxAnsweredPerCrash = 1
	// maxCompared bounds the latest crashes with a trait that are compared with its
	// answered requests.
	maxCompared = 8
	// minMoments is the least number of moments at which these crashes happened, and
	// momentGap the time between two moments. Servers that lose power together crash
	// at one moment. A request that has never been answered is at several of them only
	// if it is sent again and again, so that momentGap between the first and the last
	// crash is enough.
	minMoments = 3
	momentGap  = 50 * time.Millisecond
	// minExplainedShare is the least share of all crashes since the first of them that
	// the trait must have been in, and fewExplainedShare that with fewer crashes than
	// manyCrashes.
	minExplainedShare = 0.5
	fewExplainedShare = 0.75
	// minContrast is the least number of requests without the trait that must have
	// been answered since the first of these crashes, and manyContrast that for a
	// request that was answered before.
	minContrast  = 3
	manyContrast = 20
	// maxRivals bounds the requests that are blocked together with fewer crashes than
	// manyCrashes. If more are lost equally often, servers end for another reason.
	maxRivals = 3
	// settleTime is how long ago a crash must be to count, so that all gateways have
	// reported what they lost and what was answered.
	settleTime = time.Second
	// observeTime is how long ago the first crash must be for a trait with which requests
	// have been answered before, so that further ones may be answered.
	observeTime = 2 * time.Second
	// reviewInterval is the time between two judgements of evidence that does not grow.
	// What is answered after an outage may decide.
	reviewInterval = time.Second
)

// candidate is a trait that may be the cause of crashes.
type candidate struct {
	trait Trait
	// crashes is the number of crashes with the trait, sounds the number of requests
	// with it that were sent after the first of them and answered, and before the
	// number that were answered earlier.
	crashes, sounds, before int
	// first and last are the times of the first and the last crash.
	first, last time.Duration
}

// share is the share of the requests with the trait that ended in a crash.
func (c candidate) share() float64 {
	return float64(c.crashes) / float64(c.crashes+c.sounds+c.before)
}

// neverAnswered reports whether no request with the trait is known to be answered.
func (c candidate) neverAnswered() bool { return c.sounds+c.before == 0 }

// rivals reports whether the evidence leaves open which of two candidates is to
// blame. A part needs a larger share of its prompts, a request only more crashes.
func (c candidate) rivals(other candidate) bool {
	if c.trait.Kind() != other.trait.Kind() || c.share() != other.share() {
		return false
	}
	return !c.trait.IsRequest() || c.crashes == other.crashes
}

// Decide blocks the traits that are to blame for crashes and returns the new blocks.
func (d *Detector) Decide(now time.Duration) []Block {
	d.expire(now)
	d.expireBlocks(now)
	if len(d.crashes) < minCrashes || now >= d.decideUntil && now < d.reviewAt {
		return nil
	}
	d.reviewAt = now + reviewInterval
	var blocked []Block
	for range maxBlocks {
		worst := d.worst(now)
		if len(worst) == 0 {
			break
		}
		for _, c := range worst {
			blocked = append(blocked, d.block(now, c))
		}
	}
	return blocked
}

// worst returns the trait that is to be blocked next, if any, and the requests that
// are as suspicious.
func (d *Detector) worst(now time.Duration) []candidate {
	candidates := d.candidates(now)
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.share(), a.share()), cmp.Compare(b.crashes, a.crashes),
			cmp.Compare(b.trait.Kind(), a.trait.Kind()), cmp.Compare(a.trait, b.trait))
	})
	worst := candidates[0]
	rivals := 1
	for rivals < len(candidates) && worst.rivals(candidates[rivals]) {
		rivals++
	}
	allowed := 1
	if worst.trait.IsRequest() {
		allowed = maxRivals
	}
	switch {
	case rivals > allowed && worst.crashes < manyCrashes:
		return nil
	case worst.trait.IsRequest():
		return candidates[:rivals]
	}
	return candidates[:1]
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
			if d.suspected[p] >= minCrashes && !d.isBlocked(p) {
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

// unexplained returns the crashes without a blocked part, the latest first.
func (d *Detector) unexplained() []*crash {
	var crashes []*crash
	for _, c := range d.crashes {
		if !slices.ContainsFunc(c.traits, d.isBlockedPart) {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b *crash) int { return cmp.Compare(b.at, a.at) })
	return crashes
}

// isBlockedPart reports whether a trait is a blocked part of prompts.
func (d *Detector) isBlockedPart(t Trait) bool { return !t.IsRequest() && d.isBlocked(t) }

// isBlockedRequest reports whether a trait is a blocked request.
func (d *Detector) isBlockedRequest(t Trait) bool { return t.IsRequest() && d.isBlocked(t) }

// explainedByRequest reports whether a crash has a blocked request. It may still be
// evidence against a part of that request, which others have as well.
func (d *Detector) explainedByRequest(c *crash) bool {
	return slices.ContainsFunc(c.traits, d.isBlockedRequest)
}

// judge compares the crashes with a trait with all crashes and with the requests that
// were answered since. It tries the most crashes first.
func (d *Detector) judge(now time.Duration, p Trait, with, all []*crash) (candidate, bool) {
	answered := d.wasAnswered(p)
	if answered {
		with = slices.DeleteFunc(slices.Clone(with), func(c *crash) bool { return d.hasOtherSuspect(c, p) })
	}
	for n := min(len(with), maxCompared); n >= minCrashes; n-- {
		c := d.candidate(p, with[:n])
		if c.before > 0 && now-c.first < observeTime {
			continue
		}
		needed := minCrashes
		if c.before > maxAnsweredPerCrash*len(with) || p.IsRequest() && answered {
			needed = manyCrashes
		}
		if c.sounds <= n-needed && separate(c, with[:n]) && d.standsOut(c, all) {
			return c, true
		}
	}
	return candidate{}, false
}

// separate reports whether the crashes of a candidate happened at enough moments.
func separate(c candidate, crashes []*crash) bool {
	if c.trait.IsRequest() && c.neverAnswered() {
		return c.last-c.first >= momentGap
	}
	return moments(crashes) >= minMoments
}

// wasAnswered reports whether a request with a trait has been answered.
func (d *Detector) wasAnswered(p Trait) bool {
	return len(d.sounds[p]) > 0 || d.answered(p).of(p) > 0 || d.answeredElsewhere[p] > 0
}

// hasOtherSuspect reports whether a crash with a trait has another one that is in
// several crashes and has never been answered. Such a crash is no evidence against a
// trait that has been. Each request with a poisonous part may be lost twice, so that it
// must be in more crashes if the trait is in many.
func (d *Detector) hasOtherSuspect(c *crash, than Trait) bool {
	return slices.ContainsFunc(c.traits, func(p Trait) bool {
		least := minSuspectCrashes
		if p.IsRequest() && d.suspected[than] >= 2*manyCrashes {
			least = minCrashes
		}
		return p != than && d.suspected[p] >= least && !d.wasAnswered(p)
	})
}

// judgeAtOnce finds a trait with many crashes and without any answered request, which
// needs no further evidence.
func (d *Detector) judgeAtOnce(p Trait, with, all []*crash) (candidate, bool) {
	c := d.candidate(p, with[:min(len(with), maxCompared)])
	certain := c.crashes >= manyCrashes && c.neverAnswered()
	if p.IsRequest() && !separate(c, with) {
		return candidate{}, false
	}
	return c, certain && d.standsOut(c, all)
}

// candidate counts what speaks for and against a trait that is in crashes, the latest
// first.
func (d *Detector) candidate(p Trait, crashes []*crash) candidate {
	c := candidate{trait: p, crashes: len(crashes), first: crashes[len(crashes)-1].at, last: crashes[0].at}
	c.sounds = d.soundsSince(p, c.first)
	c.before = max(len(d.sounds[p]), d.answered(p).of(p), d.answeredElsewhere[p]) - c.sounds
	return c
}

// standsOut reports whether a trait was in many of the crashes since its first one,
// while requests without it were answered. A request that has never been answered
// needs no share. While it keeps all servers down nothing is answered; then it stands
// out among others that were lost once.
func (d *Detector) standsOut(c candidate, all []*crash) bool {
	contrast := d.contrastSince(c.trait, c.first)
	if c.trait.IsRequest() && c.neverAnswered() {
		contrast += d.lostOnce(c, all)
		return contrast >= minContrast || contrast > 0 && c.crashes >= manyCrashes
	}
	needed, share := minContrast, minExplainedShare
	if c.trait.IsRequest() {
		needed = manyContrast
	}
	if c.crashes < manyCrashes {
		share = fewExplainedShare
	}
	return float64(c.crashes) >= share*float64(d.crashesSince(c, all)) && contrast >= needed
}

// lostOnce returns the number of requests that were lost in one crash, a candidate's
// or a later one.
func (d *Detector) lostOnce(c candidate, all []*crash) int {
	n := 0
	for _, crash := range all {
		if crash.at < c.first {
			continue
		}
		for _, t := range crash.traits {
			if t.Kind() == KindRequest && d.suspected[t] == 1 {
				n++
			}
		}
	}
	return n
}

// crashesSince returns the number of crashes since the first one of a candidate,
// without those that a blocked request explains.
func (d *Detector) crashesSince(c candidate, all []*crash) int {
	n := 0
	for _, crash := range all {
		if crash.at >= c.first && (crash.has(c.trait) || !d.explainedByRequest(crash)) {
			n++
		}
	}
	return n
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

// soundsSince returns the number of requests with a trait that were sent after a time
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

// contrastSince returns the number of requests without a trait that were sent after a
// time and answered.
func (d *Detector) contrastSince(p Trait, since time.Duration) int {
	n := 0
	for _, r := range d.contrast {
		if r.sentAt > since && !slices.Contains(r.traits, p) {
			n++
		}
	}
	return n
}
