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
func (h *loadHistory) record(at time.Duration, load LoadReport) {
	n := len(h.samples)
	if n > 0 && h.samples[n-1].at/loadResolution == at/loadResolution {
		h.samples[n-1] = loadSample{at: at, load: load}
		return
	}
	h.prune(at)
	h.samples = append(h.samples, loadSample{at: at, load: load})
}

// prune discards samples that are too old to be reported again, once there are
// at least 64 of them.
func (h *loadHistory) prune(now time.Duration) {
	oldestVisible := h.newestIndex(now - h.lag)
	if oldestVisible < 64 {
		return
	}
	kept := copy(h.samples, h.samples[oldestVisible:])
	h.samples = h.samples[:kept]
}

// newestIndex returns the index of the newest sample taken at or before until,
// or -1.
func (h *loadHistory) newestIndex(until time.Duration) int {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if h.samples[i].at <= until {
			return i
		}
	}
	return -1
}

// at returns the load report that is available at the given time. Before the
// first sample is old enough, it reports no load.
func (h *loadHistory) at(now time.Duration) LoadReport {
	i := h.newestIndex(now - h.lag)
	if i < 0 {
		return LoadReport{Age: now}
	}
	load := h.samples[i].load
	load.Age = h.lag
	return load
}
