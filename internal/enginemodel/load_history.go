package enginemodel

import "time"

// loadResolution is the time resolution of the recorded load.
const loadResolution = 100 * time.Millisecond

// loadSample is the load at one time.
type loadSample struct {
	at   time.Duration
	load LoadReport
}

// loadHistory records the load so that it can be reported with a delay. It
// keeps only the samples that the delay requires.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

// record records the load at the given time. Only the last sample within each
// interval of loadResolution is kept.
func (r *loadHistory) record(at time.Duration, load LoadReport) {
	n := len(r.samples)
	if n > 0 && r.samples[n-1].at/loadResolution == at/loadResolution {
		r.samples[n-1] = loadSample{at: at, load: load}
		return
	}
	r.prune(at)
	r.samples = append(r.samples, loadSample{at: at, load: load})
}

// prune discards samples that are too old to be reported again, once there are
// at least 64 of them.
func (r *loadHistory) prune(now time.Duration) {
	oldestVisible := r.newestIndex(now - r.lag)
	if oldestVisible < 64 {
		return
	}
	kept := copy(r.samples, r.samples[oldestVisible:])
	r.samples = r.samples[:kept]
}

// newestIndex returns the index of the newest sample taken at or before until,
// or -1.
func (r *loadHistory) newestIndex(until time.Duration) int {
	for i := len(r.samples) - 1; i >= 0; i-- {
		if r.samples[i].at <= until {
			return i
		}
	}
	return -1
}

// at returns the load report that is available at the given time. Before the
// first sample is old enough, it reports no load.
func (r *loadHistory) at(now time.Duration) LoadReport {
	i := r.newestIndex(now - r.lag)
	if i < 0 {
		return LoadReport{Age: now}
	}
	load := r.samples[i].load
	load.Age = r.lag
	return load
}
