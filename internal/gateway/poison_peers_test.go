package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/marigoldwing/marigoldwing/internal/poison"
)

// TestPoisonReportSurvivesTransport checks that a report has the same content after
// its way to another gateway, with the times of that gateway.
func TestPoisonReportSurvivesTransport(t *testing.T) {
	const here, there = 50 * time.Second, 9 * time.Second
	sent := poison.Report{
		Crashes:  []poison.Crash{{Engine: "i-1@7", At: here - time.Second, Traits: []poison.Trait{1, 1 << 63}}},
		Sounds:   []poison.SoundRequest{{Trait: 1, Request: 1 << 63, SentAt: here - 2*time.Second}},
		Answered: []poison.TraitCount{{Trait: 1, Count: 4}},
		Blocks:   []poison.Block{{Trait: 2, Crashes: 3, LastCrash: here - time.Minute, FailedTrials: 1, Lifted: true, ChangedAt: here - 3*time.Second}},
	}
	got := poisonFromProto(there, poisonToProto(here, "lm", sent))
	require.Equal(t, poison.Report{
		Crashes:  []poison.Crash{{Engine: "i-1@7", At: there - time.Second, Traits: []poison.Trait{1, 1 << 63}}},
		Sounds:   []poison.SoundRequest{{Trait: 1, Request: 1 << 63, SentAt: there - 2*time.Second}},
		Answered: []poison.TraitCount{{Trait: 1, Count: 4}},
		Blocks:   []poison.Block{{Trait: 2, Crashes: 3, LastCrash: there - time.Minute, FailedTrials: 1, Lifted: true, ChangedAt: there - 3*time.Second}},
	}, got)
}

// TestPoisonReportStaysWithinTrafficBudget checks the size of a heartbeat's report
// while parts are blocked, of which a gateway sends and gets some 25 a second, and the
// size of one crash.
func TestPoisonReportStaysWithinTrafficBudget(t *testing.T) {
	const maxBlockBytes, maxCrashBytes = 48, 3 << 10
	d := poison.New()
	for p := range 20 {
		d.Merge(time.Minute, poison.Report{Blocks: []poison.Block{{Trait: poison.Trait(p) << 50, Crashes: 5, LastCrash: time.Minute, ChangedAt: time.Minute}}})
	}
	now := time.Hour
	blocks := proto.Size(poisonToProto(now, "guide-lm", d.Report(now)))
	require.LessOrEqual(t, blocks, maxBlockBytes)
	var parts []poison.Trait
	for p := range 300 {
		parts = append(parts, poison.Trait(p)<<50)
	}
	d.Merge(now, poison.Report{Crashes: []poison.Crash{{Engine: "i-1035f2f00d@1783000000000", At: now, Traits: parts}}})
	crash := proto.Size(poisonToProto(now, "guide-lm", d.Report(now)))
	require.LessOrEqual(t, crash, maxCrashBytes)
	t.Logf("%d B with blocked parts, %d B with a crash of the largest size", blocks, crash)
}
