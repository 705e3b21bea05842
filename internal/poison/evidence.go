package poison

import (
	"cmp"
	"slices"
	"time"
)

// loss holds the attempts that were lost at an engine that may have crashed.
type loss struct {
	// at is the time of the first of them.
	at     time.Duration
	traits []Trait
	// checking is set while the engine is being checked, and checkedAt is the time
	// of the last check.
	checking  bool
	checkedAt time.Duration
}

// crash is the end of an engine with requests in progress.
type crash struct {
	// at is the earliest time that a gateway reported.
	at     time.Duration
	traits []Trait
	// changedAt is when this gateway last learned something of the crash.
	changedAt time.Duration
}

// sound is an answered request.
type sound struct {
	// request identifies the request among those of all gateways.
	request uint64
	sentAt  time.Duration
}

// Check is the result of a check whether an engine has ended.
type Check int

const (
	// CheckUnclear: the engine did not respond.
	CheckUnclear Check = iota
	// CheckAlive: the engine that lost the attempts is running.
	CheckAlive
	// CheckEnded: the engine has ended or was started again.
	CheckEnded
)

// Crash describes a crash for logs and reports.
type Crash struct {
	Engine string
	At     time.Duration
	Traits []Trait
}

// RecordLoss records that the connection of an attempt at an engine was lost. It
// reports whether the caller has to check the engine now.
func (d *Detector) RecordLoss(now time.Duration, engine string, traits []Trait) bool {
	if len(traits) == 0 {
		return false
	}
	if c := d.crashes[engine]; c != nil {
		d.recordCrash(now, Crash{Engine: engine, At: c.at, Traits: traits})
		return false
	}
	l := d.losses[engine]
	if l == nil {
		l = &loss{at: now, checkedAt: now - checkInterval}
		d.losses[engine] = l
	}
	l.traits = union(l.traits, traits)
	if l.checking || now-l.checkedAt < checkInterval {
		return false
	}
	l.checking = true
	return true
}

// EndCheck records the result of a check. It returns the crash if the engine has
// ended.
func (d *Detector) EndCheck(now time.Duration, engine string, result Check) (Crash, bool) {
	l := d.losses[engine]
	if l == nil {
		return Crash{}, false
	}
	l.checking, l.checkedAt = false, now
	switch result {
	case CheckEnded:
		return d.confirm(now, engine), true
	case CheckAlive:
		l.at, l.traits = now, nil
	}
	return Crash{}, false
}

// EngineGone records that an engine is no longer registered, without having
// announced that it leaves. It returns the crash if attempts were lost there.
func (d *Detector) EngineGone(now time.Duration, engine string) (Crash, bool) {
	l := d.losses[engine]
	if l == nil || len(l.traits) == 0 || now-l.at > lossAge {
		return Crash{}, false
	}
	return d.confirm(now, engine), true
}

// confirm turns the losses at an engine into a crash.
func (d *Detector) confirm(now time.Duration, engine string) Crash {
	l := d.losses[engine]
	delete(d.losses, engine)
	d.recordCrash(now, Crash{Engine: engine, At: l.at, Traits: l.traits})
	return Crash{Engine: engine, At: l.at, Traits: l.traits}
}

// recordCrash merges a crash with what is known of it. It reports whether the crash
// is new, and whether there was anything new about it.
func (d *Detector) recordCrash(now time.Duration, report Crash) (isNew, changed bool) {
	if now-report.At > evidenceAge {
		return false, false
	}
	c := d.crashes[report.Engine]
	isNew = c == nil
	if isNew {
		c = &crash{at: report.At}
		d.crashes[report.Engine] = c
	}
	c.at = min(c.at, report.At)
	added := c.missing(report.Traits)
	changed = isNew || len(added) > 0
	if changed {
		d.addTraits(c, added)
		c.changedAt = now
		d.decideUntil = max(d.decideUntil, now+2*observeTime)
		d.addEarlierSounds(c)
		d.recordBlockedCrash(now, c, isNew)
	}
	if d.boundCrashes() {
		d.forgetSuspects()
	}
	return isNew, changed
}

// countSuspects counts the crashes that each trait is in.
func (d *Detector) countSuspects() {
	clear(d.suspected)
	for _, c := range d.crashes {
		for _, p := range c.traits {
			d.suspected[p]++
		}
	}
}

// forgetSuspects forgets what is known of traits that are no longer in a crash.
func (d *Detector) forgetSuspects() {
	d.countSuspects()
	for p := range d.sounds {
		if d.suspected[p] == 0 {
			delete(d.sounds, p)
		}
	}
	for p := range d.answeredElsewhere {
		if d.suspected[p] == 0 {
			delete(d.answeredElsewhere, p)
		}
	}
	for p := range d.exoneratedAt {
		if d.suspected[p] == 0 {
			delete(d.exoneratedAt, p)
		}
	}
}

// missing returns those of some traits that the crash lacks, unless it has as many as
// it may have.
func (c *crash) missing(traits []Trait) []Trait {
	if len(c.traits) >= maxTraits {
		return nil
	}
	var missing []Trait
	for _, p := range traits {
		if !c.has(p) && !slices.Contains(missing, p) {
			missing = append(missing, p)
		}
	}
	return missing[:min(len(missing), maxTraits-len(c.traits))]
}

// addTraits adds traits to a crash that lacks them.
func (d *Detector) addTraits(c *crash, traits []Trait) {
	for _, p := range traits {
		d.suspected[p]++
	}
	c.traits = union(c.traits, traits)
}

// boundCrashes drops the oldest crashes beyond maxCrashes and reports whether there
// were any.
func (d *Detector) boundCrashes() (dropped bool) {
	for len(d.crashes) > maxCrashes {
		oldest := ""
		for engine, c := range d.crashes {
			if oldest == "" || c.at < d.crashes[oldest].at || c.at == d.crashes[oldest].at && engine < oldest {
				oldest = engine
			}
		}
		delete(d.crashes, oldest)
		dropped = true
	}
	return dropped
}

// union returns the sorted union of sorted traits and others, at most maxTraits of
// them.
func union(traits, others []Trait) []Trait {
	merged := append(slices.Clone(traits), others...)
	slices.Sort(merged)
	merged = slices.Compact(merged)
	return merged[:min(len(merged), maxTraits)]
}

// RecordSound records at a time that a request, sent at sentAt, was answered. The
// request identifies it among those of all gateways. RecordSound reports whether other
// gateways should learn of it soon.
func (d *Detector) RecordSound(now time.Duration, request uint64, sentAt time.Duration, traits []Trait) bool {
	exonerated := false
	for _, p := range traits {
		d.answered(p).add(p)
		exonerated = d.addSound(now, p, sound{request, sentAt}) || exonerated
	}
	d.addContrast(contrastRequest{sound{request, sentAt}, traits})
	return exonerated
}

// addContrast keeps an answered request, and forgets old ones.
func (d *Detector) addContrast(r contrastRequest) {
	d.contrast = append(d.contrast, r)
	if len(d.contrast) > 2*maxContrast {
		d.contrast = slices.Clone(d.contrast[len(d.contrast)-maxContrast:])
	}
}

// addSound keeps an answered request with a trait that is in a crash. It reports
// whether it is the first one that speaks for the trait in several crashes.
func (d *Detector) addSound(now time.Duration, p Trait, s sound) (exonerated bool) {
	if d.suspected[p] == 0 {
		return false
	}
	sounds := d.sounds[p]
	if slices.ContainsFunc(sounds, func(other sound) bool { return other.request == s.request }) {
		return false
	}
	exonerated = len(sounds) == 0 && d.suspected[p] >= minSuspectCrashes
	if exonerated {
		d.exoneratedAt[p] = now
	}
	sounds = append(sounds, s)
	slices.SortFunc(sounds, func(a, b sound) int {
		return cmp.Or(cmp.Compare(b.sentAt, a.sentAt), cmp.Compare(a.request, b.request))
	})
	d.sounds[p] = sounds[:min(len(sounds), maxSounds)]
	return exonerated
}

// addEarlierSounds keeps the requests with the traits of a crash that were answered
// before this gateway learned of it.
func (d *Detector) addEarlierSounds(c *crash) {
	for _, r := range d.contrast {
		for _, p := range r.traits {
			if c.has(p) {
				d.addSound(c.changedAt, p, r.sound)
			}
		}
	}
}

func (c *crash) has(p Trait) bool {
	_, found := slices.BinarySearch(c.traits, p)
	return found
}

// expire forgets evidence that is too old.
func (d *Detector) expire(now time.Duration) {
	for engine, l := range d.losses {
		if now-l.at > lossAge && !l.checking {
			delete(d.losses, engine)
		}
	}
	expired := false
	for engine, c := range d.crashes {
		if now-c.at > evidenceAge {
			delete(d.crashes, engine)
			expired = true
		}
	}
	if expired {
		d.forgetSuspects()
	}
}
