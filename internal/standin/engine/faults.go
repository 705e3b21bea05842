package engine

import "time"

// Paths of the stand-in's fault injection API.
const (
	// PathFaults returns the active Faults by GET and replaces them by PUT.
	PathFaults = "/admin/faults"
	// PathCrash crashes the engine by POST.
	PathCrash = "/admin/crash"
	// PathRestart restarts a crashed engine by POST.
	PathRestart = "/admin/restart"
	// PathRecord returns the Record by GET.
	PathRecord = "/record"
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Slowdown multiplies the duration of each step; 0 and 1 mean normal speed.
	Slowdown float64 `json:"slow,omitempty"`
	// ReportLagMs overrides the lag of load reports, in milliseconds of
	// simulated time; 0 keeps the configured lag.
	ReportLagMs int64 `json:"report_lag_ms,omitempty"`
	// CrashDuringOrderMs crashes the engine that many milliseconds after it
	// accepts its next order; 0 does not.
	CrashDuringOrderMs int64 `json:"crash_in_change_ms,omitempty"`
	// ChecksFencing overrides Options.ChecksFencing if it is set.
	ChecksFencing *bool `json:"fencing,omitempty"`
	// FirstEventDelayMs delays the first event of each stream, in milliseconds.
	FirstEventDelayMs int64 `json:"late_ms,omitempty"`
	// WrongSequenceID labels the events of each stream with the ID of the
	// sequence that was started before it, as an engine that mixes up its
	// responses would.
	WrongSequenceID bool `json:"crossed,omitempty"`
	// Leaving makes the engine announce that its owner is about to remove it.
	Leaving bool `json:"leaving,omitempty"`
	// TruncateAfterEvents aborts each stream after that many events; 0 does
	// not.
	TruncateAfterEvents int `json:"truncate_after,omitempty"`
	// Hung makes the engine accept calls without ever responding to them.
	Hung bool `json:"hung,omitempty"`
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	slowdown := f.Slowdown
	if slowdown <= 0 {
		slowdown = 1
	}
	e.model.SetSlowdown(e.now(), slowdown)
	lag := e.opts.Settings.ReportLag
	if f.ReportLagMs > 0 {
		lag = time.Duration(f.ReportLagMs) * time.Millisecond
	}
	e.model.SetReportLag(lag)
	e.notifyRun()
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Crash takes the engine down. Its sequences and KV caches are lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Crash(e.now())
	close(e.changeDone)
	e.changeDone = make(chan struct{})
	clear(e.exports)
	e.notifyRun()
}

// Restart starts a crashed engine.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Restart(e.now())
	e.notifyRun()
}

// checksFencing reports whether to reject lower fencing tokens. The caller
// must hold mu.
func (e *Engine) checksFencing() bool {
	if e.faults.ChecksFencing != nil {
		return *e.faults.ChecksFencing
	}
	return e.opts.ChecksFencing
}
