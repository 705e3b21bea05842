package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the request metrics of a gateway. Attempts are counted by step
// (prefill or run) and outcome, ends of streams, decisions about retries by why they denied one,
// placements of long prompts by the gateway that made them, calls for duties; loadAge is the age of
// the load report that a placement used.
type metrics struct {
	requests      *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	retries       *prometheus.CounterVec
	streamEnds    *prometheus.CounterVec
	unframedEnds  *prometheus.CounterVec
	resumes       *prometheus.CounterVec
	firstEvent    *prometheus.HistogramVec
	eventGap      *prometheus.HistogramVec
	duration      *prometheus.HistogramVec
	loadAge       prometheus.Histogram
	placements    *prometheus.CounterVec
	departures    *prometheus.CounterVec
	pauses        *prometheus.CounterVec
	shareRefusals *prometheus.CounterVec
	speedReports  *prometheus.CounterVec
	engineCrashes *prometheus.CounterVec
	dutyCalls     *prometheus.CounterVec
	inflight      prometheus.Gauge
	configVersion prometheus.Gauge
}

var latencyBuckets = []float64{0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5, 10}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_requests_total", Help: "Requests by route, outcome and reason.",
		}, []string{"route", "outcome", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_attempts_total", Help: "Sends to backend servers by service, step and outcome.",
		}, []string{"service", "step", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_retries_total", Help: "Decisions about retries by service, step and why a retry was denied (none: it was made).",
		}, []string{"service", "step", "denial"}),
		resumes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_streams_taken_up_total", Help: "Streams that callers took up again, by how they may go on.",
		}, []string{"service", "decision"}),
		streamEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_stream_ends_total", Help: "Ends of servers' streams by service, framing of the body and position.",
		}, []string{"service", "framing", "position"}),
		unframedEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_unframed_ends_total", Help: "Responses that ended with their connection, by what the server's state was afterwards.",
		}, []string{"service", "server_state"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "marigold_gateway_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: latencyBuckets,
		}, []string{"route"}),
		eventGap: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "marigold_gateway_event_gap_seconds", Help: "Time between the events of a stream.", Buckets: latencyBuckets,
		}, []string{"route"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "marigold_gateway_request_seconds", Help: "Time to the end of the answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		loadAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marigold_gateway_load_age_seconds", Help: "Age of the load that a choice rests on.", Buckets: latencyBuckets,
		}),
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_placements_total", Help: "Choices for long prompts by who made them.",
		}, []string{"by"}),
		engineCrashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_engine_crashes_total", Help: "Crashes of engines with requests in progress, by service and who reported them.",
		}, []string{"service", "source"}),
		departures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_server_departures_total", Help: "Backend servers that have stated that they leave, by service and who reported it.",
		}, []string{"service", "source"}),
		pauses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_server_pauses_total", Help: "Refusals in which a backend server asked for a pause, by service.",
		}, []string{"service"}),
		dutyCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_duty_calls_total", Help: "Calls to the platform that one gateway makes for all, by duty and outcome.",
		}, []string{"duty", "outcome"}),
		shareRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_fair_share_refusals_total", Help: "Requests refused because their account uses more than its fair share, by service.",
		}, []string{"service"}),
		speedReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_gateway_speed_reports_total", Help: "Reports on the speed of a backend server, by whether they were sent, or received and used.",
		}, []string{"outcome"}),
		inflight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "marigold_gateway_inflight_requests", Help: "Requests that have been read and not answered.",
		}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "marigold_gateway_config_version", Help: "Version of the configuration in force.",
		}),
	}
	registerer.MustRegister(m.requests, m.attempts, m.retries, m.streamEnds, m.unframedEnds, m.resumes, m.firstEvent, m.eventGap, m.duration, m.loadAge, m.placements, m.engineCrashes, m.dutyCalls, m.departures, m.pauses, m.speedReports, m.shareRefusals, m.inflight, m.configVersion)
	return m
}

// Values of the step label: a prefill at a separate engine, and the run of the
// request.
const (
	stepPrefill = "prefill"
	stepRun     = "run"
)

// Values of the by label of the placements counter.
const (
	// placementSelf: this gateway placed the prompt, as the coordinator.
	placementSelf = "self"
	// placementCoordinator: another gateway placed the prompt, as the
	// coordinator.
	placementCoordinator = "coordinator"
	// placementFallback: this gateway placed the prompt because the coordinator
	// returned no usable choice.
	placementFallback = "alone"
)

// observeLoadAge records the age of the load report that a placement used; a
// negative age means that there was none.
func (m *metrics) observeLoadAge(age time.Duration) {
	if age >= 0 {
		m.loadAge.Observe(age.Seconds())
	}
}
