package gateway

import (
	"time"

	"golang.org/x/time/rate"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/serverspeed"
)

const (
	// maxSpeedReports bounds the reports of servers' speeds in one heartbeat, and
	// speedReportsPerSecond those in all heartbeats and replies. One takes about 35 bytes.
	maxSpeedReports       = 8
	speedReportsPerSecond = 40
	// speedUnit is the unit of a slowdown in a heartbeat, and maxSpeedAge the greatest age
	// that is read from one.
	speedUnit   = 1e-3
	maxSpeedAge = time.Hour
)

// Values of the outcome label of the counter of reports.
const (
	speedReportSent   = "sent"
	speedReportUsed   = "used"
	speedReportUnused = "unused"
)

// newSpeedReportLimit returns the limit of reports sent per second.
func newSpeedReportLimit() *rate.Limiter {
	return rate.NewLimiter(speedReportsPerSecond, maxSpeedReports)
}

// speedReports returns what this gateway has observed of the speeds of servers, for one
// heartbeat. The order of the services is random, so that none is always the last.
func (g *Gateway) speedReports(now time.Duration) []*peerv1.ServerSpeed {
	room := min(maxSpeedReports, int(g.speedReportLimit.Tokens()))
	var messages []*peerv1.ServerSpeed
	for _, s := range g.state.Load().services {
		if room <= len(messages) {
			break
		}
		messages = append(messages, speedsToProto(s.speedReports(now, room-len(messages)))...)
	}
	if len(messages) > 0 {
		// Tokens that another heartbeat has taken meanwhile are owed to the next one.
		g.speedReportLimit.ReserveN(time.Now(), len(messages))
		g.metrics.speedReports.WithLabelValues(speedReportSent).Add(float64(len(messages)))
	}
	return messages
}

// mergeSpeeds adds what another gateway has observed.
func (g *Gateway) mergeSpeeds(now time.Duration, s *service, gateway string, reports []placement.SpeedReport) {
	used, unused := s.mergeSpeeds(now, gateway, reports)
	g.metrics.speedReports.WithLabelValues(speedReportUsed).Add(float64(used))
	g.metrics.speedReports.WithLabelValues(speedReportUnused).Add(float64(unused))
}

func speedsToProto(reports []placement.SpeedReport) []*peerv1.ServerSpeed {
	messages := make([]*peerv1.ServerSpeed, 0, len(reports))
	for _, r := range reports {
		messages = append(messages, &peerv1.ServerSpeed{
			BackendServer: r.ServerID, StartedUnixMs: r.StartedUnixMs, SlowdownPermille: int32(r.Factor / speedUnit),
			Weight: r.Weight, AgeMs: r.Age.Milliseconds(),
		})
	}
	return messages
}

func speedsFromProto(messages []*peerv1.ServerSpeed) []placement.SpeedReport {
	reports := make([]placement.SpeedReport, 0, len(messages))
	for _, m := range messages {
		age := time.Duration(min(max(m.GetAgeMs(), -1), maxSpeedAge.Milliseconds())) * time.Millisecond
		reports = append(reports, placement.SpeedReport{
			ServerID: m.GetBackendServer(), StartedUnixMs: m.GetStartedUnixMs(),
			Report: serverspeed.Report{Factor: float64(m.GetSlowdownPermille()) * speedUnit, Weight: m.GetWeight(), Age: age},
		})
	}
	return reports
}

// The following methods forward to the placement table under the service's lock.

func (s *service) speedReports(now time.Duration, n int) []placement.SpeedReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.SpeedReports(now, n)
}

func (s *service) mergeSpeeds(now time.Duration, gateway string, reports []placement.SpeedReport) (used, unused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.MergeSpeeds(now, gateway, reports)
}
