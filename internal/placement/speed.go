package placement

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/serverspeed"
)

// observationNoiseSeconds is added to the observed and the predicted time, in
// seconds, so that noise in short times does not distort their ratio.
const observationNoiseSeconds = 0.02

// speed is what is known of the speed of a server.
type speed struct {
	estimate serverspeed.Estimate
	crowding serverspeed.Crowding
	stated   serverspeed.Stated
	trial    serverspeed.Trial
}

// speedFactors are the factors of a prediction by which work takes longer than on
// a usual server.
type speedFactors struct {
	// server is that of the server itself, crowding that of the requests there,
	// stated that of its instance at the moment.
	server, crowding, stated float64
	stageFactors
	// utilization is the share of the server's slots that are taken.
	utilization float64
}

// stageFactors are the factors that are the same for all servers of a stage: common is
// that by which work takes longer at all of them, usual that of a usual server among
// them.
type stageFactors struct{ common, usual float64 }

// total returns the factor by which work takes longer than on a usual server.
func (f speedFactors) total() float64 { return f.server / f.usual * f.crowding * f.stated * f.common }

// speedFactors returns the factors of a server that has the given number of
// requests.
func (t *Table) speedFactors(now time.Duration, s *server, requests float64, stage stageFactors) speedFactors {
	utilization := requests / float64(max(1, s.Slots))
	return speedFactors{
		server: s.speed.estimate.Factor(now), crowding: s.speed.crowding.Factor(utilization),
		stated: s.speed.stated.Factor(now), stageFactors: stage, utilization: utilization,
	}
}

// estimates returns the estimates of the servers of a stage.
func (t *Table) estimates(stage fleet.Stage) iter.Seq[*serverspeed.Estimate] {
	return func(yield func(*serverspeed.Estimate) bool) {
		for _, s := range t.servers {
			if s.Stage == stage && !yield(&s.speed.estimate) {
				return
			}
		}
	}
}

// trialCost returns the factor of the cost of using a server whose speed is not known
// because it has started anew.
func (s *server) trialCost(now time.Duration) float64 {
	return s.speed.trial.CostFactor(now, &s.speed.estimate, s.ownRequests)
}

// stageFactors returns the factors of all servers of a stage.
func (t *Table) stageFactors(now time.Duration, stage fleet.Stage) stageFactors {
	c := &t.conditions[stage]
	return stageFactors{common: c.Factor(now, t.stageServers[stage]), usual: c.Usual()}
}

// workFactor returns the factor by which work takes longer at a server with the
// given number of requests than at a usual one.
func (t *Table) workFactor(now time.Duration, s *server, requests float64, stage stageFactors) float64 {
	return t.speedFactors(now, s, requests, stage).total()
}

// currentFactor is workFactor of a server with its present requests.
func (t *Table) currentFactor(now time.Duration, s *server) float64 {
	return t.workFactor(now, s, s.requests(now), t.stageFactors(now, s.Stage))
}

// observeLatency updates what is known of a server's speed with the observed time
// to the first event, in seconds. The prediction already includes the factors, so
// that their ratio is what is missing in them.
func (t *Table) observeLatency(now time.Duration, f *InFlightSend, took float64) {
	if f.predicted <= 0 {
		return
	}
	s := f.server
	ratio := (took + observationNoiseSeconds) / (f.predicted + observationNoiseSeconds)
	ratio *= f.factors.common * statedCorrection(f.factors.stated, s.speed.stated.Factor(now))
	ratio = t.conditions[s.Stage].Observe(now, ratio)
	s.speed.crowding.Observe(now, f.factors.utilization, ratio*f.factors.server*f.factors.crowding/s.speed.estimate.LongTerm())
	s.speed.estimate.Observe(now, ratio*f.factors.server)
}

// statedCorrection returns the correction of an observation whose server has stated
// one factor before the send and another with the answer: both applied to a part of
// the time.
func statedCorrection(before, after float64) float64 { return 2 * before / (before + after) }

// SpeedReport is what this gateway has observed of the speed of one server.
type SpeedReport struct {
	ServerID      string
	StartedUnixMs int64
	serverspeed.Report
}

// SpeedReports returns at most n reports for one other gateway, of the servers with the
// highest report priority first.
func (t *Table) SpeedReports(now time.Duration, n int) []SpeedReport {
	var unreported []*server
	for _, s := range t.servers {
		if s.speed.estimate.ReportPriority() > 0 {
			unreported = append(unreported, s)
		}
	}
	slices.SortStableFunc(unreported, func(a, b *server) int {
		return cmp.Compare(b.speed.estimate.ReportPriority(), a.speed.estimate.ReportPriority())
	})
	reports := make([]SpeedReport, 0, n)
	for _, s := range unreported[:min(n, len(unreported))] {
		reports = append(reports, SpeedReport{ServerID: s.ID, StartedUnixMs: s.StartedUnixMs, Report: s.speed.estimate.Report(now)})
	}
	return reports
}

// MergeSpeeds adds what another gateway has observed of the speeds of servers. Other
// starts than the registered ones are ignored. It returns the number of reports that
// were used, and of those for servers of this table that were not.
func (t *Table) MergeSpeeds(now time.Duration, gateway string, reports []SpeedReport) (used, unused int) {
	for _, r := range reports {
		s := t.find(r.ServerID)
		if s == nil {
			continue
		}
		if s.StartedUnixMs == r.StartedUnixMs && s.speed.estimate.Merge(now, gateway, r.Report) {
			used++
		} else {
			unused++
		}
	}
	return used, unused
}
