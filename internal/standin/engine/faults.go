package engine

import "time"

// Paths of the stand-in's own switches.
const (
	// PathFaults takes Faults by PUT, which replace those in force, and
	// returns them by GET.
	PathFaults = "/admin/faults"
	// PathCrash takes the engine down by POST.
	PathCrash = "/admin/crash"
	// PathRestart starts a crashed engine by POST.
	PathRestart = "/admin/restart"
	// PathRecord returns the Record by GET.
	PathRecord = "/record"
)

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// Slowdown is the factor by which steps are longer; 0 and 1 are normal.
	Slowdown float64 `json:"slow,omitempty"`
	// ReportLagMs replaces the lag of load reports, in milliseconds of the
	// engine's time.
	ReportLagMs int64 `json:"report_lag_ms,omitempty"`
	// CrashDuringOrderMs takes the engine down that many milliseconds after the
	// next accepted order.
	CrashDuringOrderMs int64 `json:"crash_in_change_ms,omitempty"`
	// CheckFencing overrides whether old fencing numbers are refused.
	CheckFencing *bool `json:"fencing,omitempty"`
	// FirstEventDelayMs delays the first event of each stream.
	FirstEventDelayMs int64 `json:"late_ms,omitempty"`
	// WrongSequenceID gives each stream the events of the sequence started before it.
	WrongSequenceID bool `json:"crossed,omitempty"`
	// Leaving is the owner's notice that the engine is going to leave.
	Leaving bool `json:"leaving,omitempty"`
	// TruncateAfterEvents breaks each stream off after that many events.
	TruncateAfterEvents int `json:"truncate_after,omitempty"`
	// Hung has the engine take calls and never answer them.
	Hung bool `json:"hung,omitempty"`
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	slow := f.Slowdown
	if slow <= 0 {
		slow = 1
	}
	e.model.SetSlowdown(e.now(), slow)
	lag := e.opts.Settings.ReportLag
	if f.ReportLagMs > 0 {
		lag = time.Duration(f.ReportLagMs) * time.Millisecond
	}
	e.model.SetReportLag(lag)
	e.poke()
}

// currentFaults returns the faults in force.
func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Crash takes the engine down.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Crash(e.now())
	close(e.changed)
	e.changed = make(chan struct{})
	clear(e.kv)
	e.poke()
}

// Restart starts a crashed engine.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Restart(e.now())
	e.poke()
}

func (e *Engine) checksFencing() bool {
	if e.faults.CheckFencing != nil {
		return *e.faults.CheckFencing
	}
	return e.opts.ChecksFencing
}
