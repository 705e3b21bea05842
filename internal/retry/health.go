package retry

import "time"

// HealthOptions configure the ejection and return of backend servers.
type HealthOptions struct {
	// ConsecutiveFailures is the number of failures in a row after which a
	// backend server is ejected. Zero disables ejection.
	ConsecutiveFailures int
	// BaseEjection is the duration of the first ejection. It doubles with each
	// further ejection in a row, up to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// MaxEjectedShare is the largest share of the pool that may be ejected at
	// once. At least one backend server always remains.
	MaxEjectedShare float64
	// SlowStart is the time in which the weight of a returning backend server
	// rises to 1.
	SlowStart time.Duration
}

// DefaultHealthOptions returns the default options.
func DefaultHealthOptions() HealthOptions {
	return HealthOptions{
		ConsecutiveFailures: defaultConsecutiveFailures,
		BaseEjection:        defaultBaseEjection,
		MaxEjection:         defaultMaxEjection,
		MaxEjectedShare:     defaultMaxEjectedShare,
		SlowStart:           defaultSlowStart,
	}
}

const (
	defaultConsecutiveFailures = 3
	defaultBaseEjection        = 2 * time.Second
	defaultMaxEjection         = 60 * time.Second
	defaultMaxEjectedShare     = 0.34
	defaultSlowStart           = 10 * time.Second
	// startWeight is the weight at the beginning of slow start.
	startWeight = 0.1
	// avoidedWeight is the weight of a backend server that fails repeatedly and is not
	// ejected because too many others are.
	avoidedWeight = 0.02
)

// Ejection is what follows from a failure of a backend server.
type Ejection int

const (
	// NotEjected: nothing changes.
	NotEjected Ejection = iota
	// Ejected: the backend server gets nothing for a while.
	Ejected
	// Avoided: as many others are ejected as may be. For a while the backend server
	// gets only what the others cannot take.
	Avoided
)

// serverHealth is the health of one backend server.
type serverHealth struct {
	failures             int
	consecutiveEjections int
	// ejectedUntil is the end of the last ejection, or 0 without any, and avoidedUntil
	// the end of the time in which the backend server was avoided instead.
	ejectedUntil, avoidedUntil time.Duration
	// suspectUntil is the time until which the backend server is avoided because it may
	// have ended.
	suspectUntil time.Duration
	// slowStartAt is the beginning of the last slow start, which may be in the
	// future.
	slowStartAt  time.Duration
	slowStarting bool
}

// HealthTracker tracks the failures of one pool of backend servers and ejects
// those that fail repeatedly (outlier ejection).
type HealthTracker struct {
	opts    HealthOptions
	servers map[string]*serverHealth
}

// NewHealthTracker returns a tracker without backend servers.
func NewHealthTracker(opts HealthOptions) *HealthTracker {
	return &HealthTracker{opts: opts, servers: make(map[string]*serverHealth)}
}

// SetServers replaces the backend servers of the pool. Those that remain keep
// their health.
func (h *HealthTracker) SetServers(names []string) {
	old := h.servers
	h.servers = make(map[string]*serverHealth, len(names))
	for _, name := range names {
		s := old[name]
		if s == nil {
			s = &serverHealth{}
		}
		h.servers[name] = s
	}
}

// RecordSuccess records a completed attempt, which resets the failures and the
// ejection backoff.
func (h *HealthTracker) RecordSuccess(name string) {
	if s := h.servers[name]; s != nil {
		s.failures = 0
		s.consecutiveEjections = 0
		s.avoidedUntil = 0
	}
}

// RecordFailure records an attempt that failed because of the backend server or
// the connection to it, which excludes refusals for load or deadline. It reports
// whether the backend server has just been ejected, or is avoided because an
// ejection would exceed MaxEjectedShare.
func (h *HealthTracker) RecordFailure(now time.Duration, name string) Ejection {
	s := h.servers[name]
	if s == nil || h.opts.ConsecutiveFailures <= 0 {
		return NotEjected
	}
	s.failures++
	if s.failures < h.opts.ConsecutiveFailures {
		return NotEjected
	}
	return h.eject(now, s)
}

// RecordEnd records that the backend server has ended, so that no further failures need
// to be seen. It reports what RecordFailure does.
func (h *HealthTracker) RecordEnd(now time.Duration, name string) Ejection {
	s := h.servers[name]
	if s == nil || h.opts.ConsecutiveFailures <= 0 {
		return NotEjected
	}
	s.suspectUntil = 0
	return h.eject(now, s)
}

// eject ejects the backend server, or lets it be avoided if too many others are ejected.
func (h *HealthTracker) eject(now time.Duration, s *serverHealth) Ejection {
	if now < s.ejectedUntil {
		return NotEjected
	}
	if h.ejectedCount(now) >= h.maxEjected() {
		return s.avoid(now, now+h.opts.BaseEjection)
	}
	s.failures = 0
	duration := h.opts.BaseEjection << min(s.consecutiveEjections, maxDoublings)
	s.consecutiveEjections++
	s.ejectedUntil = now + min(duration, h.opts.MaxEjection)
	s.startSlowlyAt(s.ejectedUntil)
	return Ejected
}

// avoid lets the backend server get very little until a time. Each further failure
// prolongs that.
func (s *serverHealth) avoid(now, until time.Duration) Ejection {
	wasAvoided := now < s.avoidedUntil
	s.avoidedUntil = until
	s.startSlowlyAt(until)
	if wasAvoided {
		return NotEjected
	}
	return Avoided
}

// startSlowlyAt begins a slow start at a time.
func (s *serverHealth) startSlowlyAt(at time.Duration) {
	s.slowStartAt = at
	s.slowStarting = true
}

// Suspect lets the backend server be avoided until a time, unless Trust or RecordEnd is
// called before: it may have ended and is being asked.
func (h *HealthTracker) Suspect(name string, until time.Duration) {
	if s := h.servers[name]; s != nil {
		s.suspectUntil = until
	}
}

// Trust records that a suspected backend server has not ended.
func (h *HealthTracker) Trust(name string) {
	if s := h.servers[name]; s != nil {
		s.suspectUntil = 0
	}
}

// EndSuspicion lets a suspected backend server be avoided no longer than until a time.
func (h *HealthTracker) EndSuspicion(name string, until time.Duration) {
	if s := h.servers[name]; s != nil {
		s.suspectUntil = min(s.suspectUntil, until)
	}
}

// RecordRecovery records that a backend server is serving again after it was
// down or unreachable, which begins its slow start.
func (h *HealthTracker) RecordRecovery(now time.Duration, name string) {
	if s := h.servers[name]; s != nil {
		s.failures = 0
		s.startSlowlyAt(max(now, s.ejectedUntil))
		s.avoidedUntil = 0
	}
}

// RecordStart records that the backend server has started again, so that what its
// former start did no longer counts. If that was ejected or avoided, the new one begins
// slowly.
func (h *HealthTracker) RecordStart(now time.Duration, name string) {
	s := h.servers[name]
	if s == nil {
		return
	}
	s.failures, s.suspectUntil = 0, 0
	if now < max(s.ejectedUntil, s.avoidedUntil) {
		s.ejectedUntil, s.avoidedUntil = 0, 0
		s.startSlowlyAt(now)
	}
}

// Available reports whether the backend server is in the pool and not ejected.
func (h *HealthTracker) Available(now time.Duration, name string) bool {
	s := h.servers[name]
	return s != nil && now >= s.ejectedUntil
}

// Weight returns the fraction of its usual load that the backend server should
// get: 0 while ejected, very little while avoided, rising to 1 during slow start.
func (h *HealthTracker) Weight(now time.Duration, name string) float64 {
	s := h.servers[name]
	if s == nil || now < s.ejectedUntil {
		return 0
	}
	if now < s.avoidedUntil || now < s.suspectUntil {
		return avoidedWeight
	}
	if !s.slowStarting || h.opts.SlowStart <= 0 {
		return 1
	}
	progress := max(0, float64(now-s.slowStartAt)/float64(h.opts.SlowStart))
	return min(1, startWeight+(1-startWeight)*progress)
}

// maxEjected returns the number of backend servers that may be ejected at once.
func (h *HealthTracker) maxEjected() int {
	n := int(h.opts.MaxEjectedShare * float64(len(h.servers)))
	return min(n, len(h.servers)-1)
}

// ejectedCount returns the number of backend servers that are ejected at now.
func (h *HealthTracker) ejectedCount(now time.Duration) int {
	n := 0
	for _, s := range h.servers {
		if now < s.ejectedUntil {
			n++
		}
	}
	return n
}
