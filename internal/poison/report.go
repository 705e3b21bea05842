package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// spreadTime is how long a gateway passes on what it has learned.
	spreadTime = 3 * time.Second
	// maxSuspects bounds the traits whose answered requests are reported, and
	// minSuspectCrashes is the number of crashes that make a trait suspicious.
	maxSuspects       = 8
	minSuspectCrashes = 2
	// blocksPerReport bounds the older blocks in a report, which take turns, so that
	// their traffic does not grow with their number.
	blocksPerReport = 1
	// contrastPerReport bounds the answered requests in a report.
	contrastPerReport = 3
)

// Report is what a gateway reports to another one. Times are of the sender.
type Report struct {
	Crashes []Crash
	Sounds  []SoundRequest
	// Answered are the numbers of answered requests with suspicious traits.
	Answered []TraitCount
	// Contrast are some of the latest answered requests with any traits.
	Contrast []AnsweredRequest
	Blocks   []Block
}

// AnsweredRequest is an answered request.
type AnsweredRequest struct {
	Request uint64
	SentAt  time.Duration
	Traits  []Trait
}

// TraitCount is a number of requests with a trait.
type TraitCount struct {
	Trait Trait
	Count int
}

// SoundRequest is an answered request with a suspicious trait.
type SoundRequest struct {
	Trait   Trait
	Request uint64
	SentAt  time.Duration
}

// Report returns what other gateways may not know yet.
func (d *Detector) Report(now time.Duration) Report {
	d.expire(now)
	d.expireBlocks(now)
	r := Report{Crashes: d.recentCrashes(now), Blocks: d.reportedBlocks(now), Contrast: d.recentContrast(now)}
	for _, p := range d.suspects(now) {
		for _, s := range d.sounds[p][:min(len(d.sounds[p]), maxCompared)] {
			r.Sounds = append(r.Sounds, SoundRequest{Trait: p, Request: s.request, SentAt: s.sentAt})
		}
		if n := max(d.answered(p).of(p), d.answeredElsewhere[p]); n > 0 {
			r.Answered = append(r.Answered, TraitCount{p, n})
		}
	}
	return r
}

func (d *Detector) recentCrashes(now time.Duration) []Crash {
	var crashes []Crash
	for engine, c := range d.crashes {
		if now-c.changedAt < spreadTime {
			crashes = append(crashes, Crash{Engine: engine, At: c.at, Traits: c.traits})
		}
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.Engine, b.Engine) })
	return crashes
}

// learnedRecently reports whether this gateway has just learned something of crashes that no
// blocked part explains.
func (d *Detector) learnedRecently(now time.Duration) bool {
	for _, at := range d.exoneratedAt {
		if now-at < spreadTime {
			return true
		}
	}
	return slices.ContainsFunc(d.unexplained(), func(c *crash) bool { return now-c.changedAt < spreadTime })
}

// recentContrast returns some of the latest answered requests, while it has learned something of crashes.
func (d *Detector) recentContrast(now time.Duration) []AnsweredRequest {
	if !d.learnedRecently(now) {
		return nil
	}
	var contrast []AnsweredRequest
	for _, r := range d.contrast[max(0, len(d.contrast)-contrastPerReport):] {
		contrast = append(contrast, AnsweredRequest{r.request, r.sentAt, r.traits})
	}
	return contrast
}

// suspects returns the traits that were in the most crashes, while it has learned something of crashes.
func (d *Detector) suspects(now time.Duration) []Trait {
	if !d.learnedRecently(now) {
		return nil
	}
	unexplained := d.unexplained()
	inCrashes := make(map[Trait]int)
	for _, c := range unexplained {
		for _, p := range c.traits {
			if d.suspected[p] >= minSuspectCrashes {
				inCrashes[p]++
			}
		}
	}
	suspects := slices.Collect(maps.Keys(inCrashes))
	slices.SortFunc(suspects, func(a, b Trait) int {
		return cmp.Or(cmp.Compare(inCrashes[b], inCrashes[a]), cmp.Compare(a, b))
	})
	return suspects[:min(len(suspects), maxSuspects)]
}

// reportedBlocks returns the blocks that this gateway has just learned of, and some
// of the others in turn.
func (d *Detector) reportedBlocks(now time.Duration) []Block {
	var recent, others []Block
	for _, b := range d.sortedBlocks() {
		if now-b.learnedAt < spreadTime {
			recent = append(recent, b.Block)
		} else {
			others = append(others, b.Block)
		}
	}
	for range min(len(others), blocksPerReport) {
		d.blockTurn++
		recent = append(recent, others[d.blockTurn%len(others)])
	}
	return recent
}

// Changes are what a gateway has learned from a report.
type Changes struct {
	// Crashes are those that it did not know.
	Crashes []Crash
	// Evidence is set if there was anything new about crashes.
	Evidence bool
	// Blocks are the traits that are now blocked, or no longer so.
	Blocks []Block
}

// Merge merges the report of another gateway, whose times have been converted to
// those of this one.
func (d *Detector) Merge(now time.Duration, r Report) Changes {
	var changes Changes
	for _, b := range r.Blocks {
		if d.mergeBlock(now, b) {
			changes.Blocks = append(changes.Blocks, d.blocks[b.Trait].Block)
		}
	}
	for _, c := range r.Crashes {
		slices.Sort(c.Traits)
		isNew, changed := d.recordCrash(now, c)
		if isNew {
			changes.Crashes = append(changes.Crashes, c)
		}
		changes.Evidence = changes.Evidence || changed
	}
	for _, s := range r.Sounds {
		changes.Evidence = d.addSound(now, s.Trait, sound{s.Request, s.SentAt}) || changes.Evidence
	}
	for _, answered := range r.Contrast {
		d.mergeContrast(answered)
	}
	for _, answered := range r.Answered {
		if d.suspected[answered.Trait] > 0 {
			d.answeredElsewhere[answered.Trait] = max(d.answeredElsewhere[answered.Trait], answered.Count)
		}
	}
	return changes
}

// mergeContrast keeps an answered request that another gateway reported.
func (d *Detector) mergeContrast(r AnsweredRequest) {
	known := func(other contrastRequest) bool { return other.request == r.Request }
	if !slices.ContainsFunc(d.contrast, known) {
		d.addContrast(contrastRequest{sound{r.Request, r.SentAt}, r.Traits})
	}
}

// Blocks returns all blocks, lifted ones included.
func (d *Detector) Blocks() []Block {
	blocks := make([]Block, 0, len(d.blocks))
	for _, b := range d.sortedBlocks() {
		blocks = append(blocks, b.Block)
	}
	return blocks
}
