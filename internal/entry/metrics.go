package entry

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the request metrics of an entry.
type metrics struct {
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	attempts *prometheus.CounterVec
	dropped  prometheus.Counter
	broken   prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_answers_total",
			Help: "Requests answered whole, by service.",
		}, []string{"service"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_refusals_total",
			Help: "Requests refused, by reason and whether they were not run.",
		}, []string{"reason", "not_run"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_attempts_total",
			Help: "Attempts sent to agents, by service and kind: first, retry or resume.",
		}, []string{"service", "kind"}),
	}
	m.dropped = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marigold_frames_dropped_total",
		Help: "Frames dropped because they are doubled or of another attempt.",
	})
	m.broken = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marigold_streams_broken_total",
		Help: "Streams of frames with a gap or a wrong checksum.",
	})
	reg.MustRegister(m.answers, m.refusals, m.attempts, m.dropped, m.broken)
	return m
}

// Values of the kind label.
const (
	attemptFirst  = "first"
	attemptRetry  = "retry"
	attemptResume = "resume"
)

// observeAttempt counts an attempt sent. tried is the number of backend servers
// tried so far, including the one of this attempt; more than 1 marks a retry.
func (m *metrics) observeAttempt(service string, tried int, resume bool) {
	kind := attemptFirst
	switch {
	case resume:
		kind = attemptResume
	case tried > 1:
		kind = attemptRetry
	}
	m.attempts.WithLabelValues(service, kind).Inc()
}

func (m *metrics) observeRefusal(r *refusal) {
	m.refusals.WithLabelValues(reasonName(r.reason), r.notRun()).Inc()
}
