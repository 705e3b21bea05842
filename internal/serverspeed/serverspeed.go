// Package serverspeed estimates by which factor work takes longer on a backend server
// than on a usual one.
//
// An Estimate belongs to one start of one server. It consists of a long-term part, which
// is kept while the server runs, and of a short-term deviation, which follows changes
// within seconds and then decays. Gateways report to each other only their own
// observations, not those reported by others, so that no observation returns to the
// gateway that made it.
//
// The package does no I/O and takes all times as arguments, as durations since an origin
// that the caller fixes once. Its types are not safe for concurrent use.
package serverspeed

import (
	"math"
	"slices"
	"time"
)

const (
	// recentHalfLife is the time after which an observation counts half in the
	// short-term deviation. A change is followed within less than two of them.
	recentHalfLife = 1200 * time.Millisecond
	// recentPrior is the weight with which the long-term part counts in the short-term
	// deviation. It keeps single outliers from moving the factor far.
	recentPrior = 1
	// deviationNoise is the logarithm of a short-term deviation up to which it is taken for
	// noise. Of a greater one a part is subtracted, which is smaller the greater it is.
	// All gateways receive the same reports, so that without it they would all prefer the
	// server whose latest requests happened to be fast.
	deviationNoise = 0.4
	// longHalfLife is the time after which an observation counts half in the long-term
	// part, if there are newer ones. A server that is slow for 10 s changes it little.
	longHalfLife = 60 * time.Second
	// longPrior is the weight with which the usual server counts in the long-term part.
	longPrior = 2
	// keptWeight is the weight that what is known of a server keeps at least, so that one
	// observation after a long pause does not replace it.
	keptWeight = 8
	// MinFactor and MaxFactor bound the factor, and MaxDeviation the ratio by which a
	// single observation may differ from it. Greater deviations are limited to it.
	MinFactor, MaxFactor = 0.25, 8.0
	MaxDeviation         = 3.0
	// maxReportedWeight bounds the weight of a report, so that no gateway outvotes all
	// others. It is that of 14 observations per second.
	maxReportedWeight = 24
	// minNewWeight is the weight of new observations from which a report changes
	// anything. Below it the mean of the new ones is lost in rounding.
	minNewWeight = 0.25
	// maxReporters bounds the gateways whose latest reports are kept for a server, and
	// reporterMemory for how long. After that time nothing is left of a report that
	// is repeated.
	maxReporters   = 32
	reporterMemory = 7 * recentHalfLife
	// maxTransitJitter is the difference between the ages of a report that is repeated, since
	// they do not include the time on the way.
	maxTransitJitter = 250 * time.Millisecond
	// KnownWeight is the weight of observations from which a server is known.
	KnownWeight = 4
	// priorityPerObservation is what an observation that agrees with the estimate adds to
	// the report priority, and priorityAfterReport the factor by which each report reduces
	// it. A report reaches one gateway only. Below minReportPriority nothing is reported.
	priorityPerObservation = 0.05
	priorityAfterReport    = 0.85
	minReportPriority      = 0.01
)

// Estimate is the factor by which work takes longer on one start of a server. The zero
// value has no observations and the factor 1.
type Estimate struct {
	// recent and long are the means of the logarithms of observed factors, own those of
	// this gateway's own observations only.
	recent, long, own mean
	// seen is the weight of all observations, which does not decay.
	seen float64
	// logLong and longFactor are the long-term part.
	logLong, longFactor float64
	reporters           []reporter
	// reportPriority grows with observations that have not been reported.
	reportPriority float64
}

// reporter is the latest report of another gateway.
type reporter struct {
	gateway string
	// logFactor and weight are those of its window as of at.
	logFactor, weight float64
	at                time.Duration
}

// Report is what one gateway has observed in the last seconds.
type Report struct {
	// Factor is the mean of the observations.
	Factor float64
	// Weight is the weight of the observations at the time of the latest one.
	Weight float64
	// Age is the time since the latest one.
	Age time.Duration
}

func clampLog(logFactor float64) float64 {
	return min(max(logFactor, math.Log(MinFactor)), math.Log(MaxFactor))
}

// Observe records that work has taken the given factor of the time that a usual server
// needs.
func (e *Estimate) Observe(now time.Duration, factor float64) {
	if !(factor > 0) || math.IsInf(factor, 0) {
		return
	}
	logFactor := math.Log(factor)
	expected := math.Log(e.Factor(now))
	limit := math.Log(MaxDeviation)
	logFactor = clampLog(min(max(logFactor, expected-limit), expected+limit))
	e.own.add(now, recentHalfLife, logFactor, 1)
	e.own.bound(maxReportedWeight)
	e.add(now, logFactor, 1)
	e.reportPriority += priorityPerObservation + math.Abs(logFactor-e.logLong)
}

// add adds observations of this gateway or of others.
func (e *Estimate) add(at time.Duration, logFactor, weight float64) {
	if at-e.long.at > reporterMemory {
		// Not sooner, so that reports commute.
		e.long.keep(at, longHalfLife, keptWeight)
	}
	e.recent.add(at, recentHalfLife, logFactor, weight)
	e.long.add(at, longHalfLife, logFactor, weight)
	e.seen += weight
	e.logLong = e.long.value(0) * e.seen / (e.seen + longPrior)
	e.longFactor = math.Exp(e.logLong)
}

// LongTerm returns the long-term part of the factor.
func (e *Estimate) LongTerm() float64 {
	if e.longFactor == 0 {
		return 1
	}
	return e.longFactor
}

// Factor returns the factor by which work takes longer than on a usual server.
func (e *Estimate) Factor(now time.Duration) float64 {
	elapsed := now - e.recent.at
	if e.recent.weight == 0 || elapsed > forgottenAfter*recentHalfLife {
		return e.LongTerm()
	}
	left := decay(elapsed, recentHalfLife)
	deviation := (e.recent.total - e.recent.weight*e.logLong) * left / (e.recent.weight*left + recentPrior)
	if math.Abs(deviation) <= deviationNoise {
		return e.longFactor
	}
	deviation -= deviationNoise * deviationNoise / deviation
	return min(max(e.longFactor*math.Exp(deviation), MinFactor), MaxFactor)
}

// Weight returns the weight of all observations of the server, by any gateway.
func (e *Estimate) Weight() float64 { return e.seen }

// Known reports whether there are enough observations to rely on the factor.
func (e *Estimate) Known() bool { return e.seen >= KnownWeight }

// Age returns the time since the latest observation; negative if there is none.
func (e *Estimate) Age(now time.Duration) time.Duration {
	if e.seen == 0 {
		return -1
	}
	return max(0, now-e.recent.at)
}

// ReportPriority returns how urgent a report of this gateway's observations is: higher after
// observations that differ from the estimate, and lower after each report. It is 0 if there
// is nothing to report.
func (e *Estimate) ReportPriority() float64 {
	if e.reportPriority < minReportPriority {
		return 0
	}
	return e.reportPriority
}

// Report returns what this gateway itself has observed, to be sent to one other gateway.
func (e *Estimate) Report(now time.Duration) Report {
	e.reportPriority *= priorityAfterReport
	return Report{Factor: math.Exp(e.own.value(0)), Weight: e.own.weight, Age: max(0, now-e.own.at)}
}

// Merge adds what another gateway has observed since its previous report. Reports of
// different gateways commute; one that is repeated, or older than another of the same
// gateway, changes nothing. It returns whether the report was used.
func (e *Estimate) Merge(now time.Duration, gateway string, r Report) bool {
	if !(r.Factor > 0) || !(r.Weight > 0) || r.Age < 0 || r.Age > reporterMemory {
		return false
	}
	at := now - r.Age
	latest := reporter{gateway: gateway, logFactor: clampLog(math.Log(r.Factor)), weight: min(r.Weight, maxReportedWeight), at: at}
	i := slices.IndexFunc(e.reporters, func(p reporter) bool { return p.gateway == gateway })
	if i < 0 {
		if latest.weight < minNewWeight || !e.makeRoom(now) {
			return false
		}
		e.reporters = append(e.reporters, latest)
		e.add(at, latest.logFactor, latest.weight)
		return true
	}
	previous := &e.reporters[i]
	repeated := latest.logFactor == previous.logFactor && latest.weight == previous.weight && at < previous.at+maxTransitJitter
	if at <= previous.at || repeated {
		return false
	}
	left := previous.weight * decay(at-previous.at, recentHalfLife)
	added := latest.weight - left
	if added < minNewWeight {
		if added < -minNewWeight {
			// The gateway has started anew.
			*previous = latest
		}
		return false
	}
	logFactor := clampLog((latest.weight*latest.logFactor - left*previous.logFactor) / added)
	*previous = latest
	e.add(at, logFactor, added)
	return true
}

// makeRoom discards old reports. It reports false if there is no room for another one.
func (e *Estimate) makeRoom(now time.Duration) bool {
	if len(e.reporters) < maxReporters {
		return true
	}
	e.reporters = slices.DeleteFunc(e.reporters, func(p reporter) bool { return now-p.at > reporterMemory })
	return len(e.reporters) < maxReporters
}
