package dissemination

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/marigoldwing/marigoldwing/internal/config"
)

// unknownAgeSeconds is the reported age if no store response is known.
const unknownAgeSeconds = -1

// Descriptors of the metrics that Collect reports.
var (
	revisionDesc = prometheus.NewDesc("marigold_config_revision",
		"Revision of the configuration in force; 0 before the first.", nil, nil)
	alarmDesc = prometheus.NewDesc("marigold_config_alarm",
		"1 while the alarm stands.", []string{"alarm"}, nil)
	storeAgeDesc = prometheus.NewDesc("marigold_store_answer_age_seconds",
		"Age of the newest answer of the store that the process knows of; -1 when there is none.", nil, nil)
	relayDesc = prometheus.NewDesc("marigold_spread_relay",
		"1 while the process watches the store for its failure domain.", nil, nil)
)

var _ prometheus.Collector = (*Propagator)(nil)

// Describe implements prometheus.Collector.
func (pr *Propagator) Describe(descs chan<- *prometheus.Desc) {
	descs <- revisionDesc
	descs <- alarmDesc
	descs <- storeAgeDesc
	descs <- relayDesc
}

// Collect implements prometheus.Collector.
func (pr *Propagator) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	gauge(revisionDesc, float64(pr.InForce().GetRevision()))
	active := pr.Alarm().Kind
	for _, alarm := range config.Alarms() {
		gauge(alarmDesc, boolValue(alarm == active), alarm.String())
	}
	age, ok := pr.StoreResponseAge()
	if !ok {
		gauge(storeAgeDesc, unknownAgeSeconds)
	} else {
		gauge(storeAgeDesc, age.Seconds())
	}
	gauge(relayDesc, boolValue(pr.view().IsRelay()))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
