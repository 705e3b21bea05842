package ledger

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics measures the commits of ledgers. A nil Metrics records nothing.
type Metrics struct {
	seconds  prometheus.Histogram
	recorded prometheus.Counter
	refused  prometheus.Counter
}

// NewMetrics registers the metrics with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "marigold_ledger_commit_seconds",
			Help:    "Time of one commit to the store.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		recorded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marigold_ledger_recorded_total",
			Help: "Calls recorded before they were passed on.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marigold_ledger_refused_total",
			Help: "Calls refused because they could not be recorded.",
		}),
	}
	reg.MustRegister(m.seconds, m.recorded, m.refused)
	return m
}

// committed records one commit.
func (m *Metrics) committed(took time.Duration, out WriteOutcome) {
	if m == nil {
		return
	}
	m.seconds.Observe(took.Seconds())
	m.recorded.Add(float64(len(out.Recorded)))
	m.refused.Add(float64(len(out.Refused)))
}
