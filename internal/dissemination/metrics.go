package dissemination

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/marigoldwing/marigoldwing/internal/config"
)

// noAnswerSeconds stands for an age when the store has never answered.
const noAnswerSeconds = -1

// Descriptions of the metrics that Collect reports.
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
func (s *Propagator) Describe(descs chan<- *prometheus.Desc) {
	descs <- revisionDesc
	descs <- alarmDesc
	descs <- storeAgeDesc
	descs <- relayDesc
}

// Collect implements prometheus.Collector.
func (s *Propagator) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	gauge(revisionDesc, float64(s.InForce().GetRevision()))
	standing := s.Alarm().Kind
	for _, alarm := range config.Alarms() {
		gauge(alarmDesc, boolValue(alarm == standing), alarm.String())
	}
	age, ok := s.StoreResponseAge()
	if !ok {
		gauge(storeAgeDesc, noAnswerSeconds)
	} else {
		gauge(storeAgeDesc, age.Seconds())
	}
	gauge(relayDesc, boolValue(s.view().IsRelay()))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
