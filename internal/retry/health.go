package retry

import "time"

// HealthOptions set when backend servers are ejected and how they return.
type HealthOptions struct {
	// ConsecutiveFailures in a row that eject a backend server; 0 ejects none.
	ConsecutiveFailures int
	// BaseEjection doubles with each ejection in a row up to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// MaxEjectedShare is the largest share of the pool that is ejected at once. At
	// least one backend server always stays.
	MaxEjectedShare float64
	// SlowStart is the time in which a backend server that returns grows to
	// its whole weight.
	SlowStart time.Duration
}

// DefaultHealthOptions returns the usual options.
func DefaultHealthOptions() HealthOptions {
	return HealthOptions{
		ConsecutiveFailures: defaultFailures,
		BaseEjection:        defaultBaseEjection,
		MaxEjection:         defaultMaxEjection,
		MaxEjectedShare:     defaultMaxEjected,
		SlowStart:           defaultSlowStart,
	}
}

const (
	defaultFailures     = 3
	defaultBaseEjection = 2 * time.Second
	defaultMaxEjection  = 60 * time.Second
	defaultMaxEjected   = 0.34
	defaultSlowStart    = 10 * time.Second
	// startWeight is the weight at the beginning of slow start.
	startWeight = 0.1
)

// server is the health of one backend server.
type server struct {
	failures  int
	ejections int
	// ejectedUntil is 0 while the server has not been ejected.
	ejectedUntil time.Duration
	// startsAt is when its slow start began or begins.
	startsAt time.Duration
	slow     bool
}

// HealthTracker follows the failures of one pool of backend servers.
type HealthTracker struct {
	opts    HealthOptions
	servers map[string]*server
}

// NewHealthTracker returns a Health without backend servers.
func NewHealthTracker(opts HealthOptions) *HealthTracker {
	return &HealthTracker{opts: opts, servers: make(map[string]*server)}
}

// SetServers makes the named backend servers the pool. Those that remain keep
// their health.
func (h *HealthTracker) SetServers(names []string) {
	old := h.servers
	h.servers = make(map[string]*server, len(names))
	for _, name := range names {
		s := old[name]
		if s == nil {
			s = &server{}
		}
		h.servers[name] = s
	}
}

// RecordSuccess takes in a completed attempt.
func (h *HealthTracker) RecordSuccess(name string) {
	if s := h.servers[name]; s != nil {
		s.failures = 0
		s.ejections = 0
	}
}

// RecordFailure takes in an attempt that failed by fault of the backend server or the
// way to it (not a refusal for load or deadline), and reports whether it
// ejects the backend server. An ejection that would leave too few is not made.
func (h *HealthTracker) RecordFailure(now time.Duration, name string) bool {
	s := h.servers[name]
	if s == nil || h.opts.ConsecutiveFailures <= 0 {
		return false
	}
	s.failures++
	if s.failures < h.opts.ConsecutiveFailures || now < s.ejectedUntil {
		return false
	}
	if h.ejected(now) >= h.maxEjected() {
		return false
	}
	s.failures = 0
	length := h.opts.BaseEjection << min(s.ejections, maxDoublings)
	s.ejections++
	s.ejectedUntil = now + min(length, h.opts.MaxEjection)
	s.startsAt = s.ejectedUntil
	s.slow = true
	return true
}

// RecordRecovery takes in that a backend server serves again after it was down or
// away, so that its slow start begins.
func (h *HealthTracker) RecordRecovery(now time.Duration, name string) {
	if s := h.servers[name]; s != nil {
		s.failures = 0
		s.startsAt = max(now, s.ejectedUntil)
		s.slow = true
	}
}

// Available reports whether the backend server is in the pool and not ejected.
func (h *HealthTracker) Available(now time.Duration, name string) bool {
	s := h.servers[name]
	return s != nil && now >= s.ejectedUntil
}

// Weight returns the share of its usual work that the backend server is to
// get: 0 while ejected, growing to 1 during slow start.
func (h *HealthTracker) Weight(now time.Duration, name string) float64 {
	s := h.servers[name]
	if s == nil || now < s.ejectedUntil {
		return 0
	}
	if !s.slow || h.opts.SlowStart <= 0 {
		return 1
	}
	grown := float64(now-s.startsAt) / float64(h.opts.SlowStart)
	return min(1, startWeight+(1-startWeight)*grown)
}

// maxEjected returns how many backend servers may be ejected at once.
func (h *HealthTracker) maxEjected() int {
	n := int(h.opts.MaxEjectedShare * float64(len(h.servers)))
	return min(n, len(h.servers)-1)
}

// ejected counts the backend servers that are ejected now.
func (h *HealthTracker) ejected(now time.Duration) int {
	n := 0
	for _, s := range h.servers {
		if now < s.ejectedUntil {
			n++
		}
	}
	return n
}
