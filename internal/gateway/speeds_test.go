package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/serverspeed"
)

// TestSpeedReportsFitTheirShareOfTraffic guards against heartbeats that take more than 1.5 KB/s
// for the speeds of servers, in each direction.
func TestSpeedReportsFitTheirShareOfTraffic(t *testing.T) {
	limit := newSpeedReportLimit()
	begin, sent := time.Now(), 0
	const length = 30 * time.Second
	for now := time.Duration(0); now < length; now += 50 * time.Millisecond {
		for sent < 1e6 && limit.AllowN(begin.Add(now), 1) {
			sent++
		}
	}
	var reports []placement.SpeedReport
	for i := range maxSpeedReports {
		reports = append(reports, placement.SpeedReport{
			ServerID: fmt.Sprint("engine-", 900+i), StartedUnixMs: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli(),
			Report: serverspeed.Report{Factor: 1.3, Weight: 2.718281828, Age: 1300 * time.Millisecond},
		})
	}
	bytes := proto.Size(&peerv1.Heartbeat{ServerSpeeds: speedsToProto(reports)})
	perSecond := float64(sent) / length.Seconds() * float64(bytes) / maxSpeedReports
	t.Logf("%.0f bytes per second", perSecond)
	require.Less(t, perSecond, 1536.0)
}

// TestSpeedReportsSurviveHeartbeats checks the conversion, and that what a faulty gateway states
// is not read as something plausible.
func TestSpeedReportsSurviveHeartbeats(t *testing.T) {
	sent := []placement.SpeedReport{{ServerID: "a", StartedUnixMs: 5, Report: serverspeed.Report{Factor: 1.25, Weight: 3, Age: 40 * time.Millisecond}}}
	require.Equal(t, sent, speedsFromProto(speedsToProto(sent)))
	faulty := speedsFromProto([]*peerv1.ServerSpeed{
		{BackendServer: "a", SlowdownPermille: 1000, Weight: 1, AgeMs: 1 << 62},
		{BackendServer: "a", SlowdownPermille: 1000, Weight: 1, AgeMs: -1 << 62},
		{BackendServer: "a", SlowdownPermille: -3, Weight: 1},
		{BackendServer: "a", SlowdownPermille: 0, Weight: 1},
	})
	for _, r := range faulty {
		var e serverspeed.Estimate
		require.False(t, e.Merge(time.Hour, "peer", r.Report))
	}
}
