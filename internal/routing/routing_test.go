package routing

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func testEngines(n int, role configv1.Role) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = Engine{
			Name: fmt.Sprintf("engine-%d", i), Distance: 1,
			PrefillRate: 8000, DecodeRate: 2000, MaxBatch: 64, Role: role,
		}
	}
	return engines
}

func newTestTable(n int, opts Options) *Table {
	t := NewTable(opts)
	t.SetEngines(testEngines(n, configv1.Role_ROLE_MIXED))
	return t
}

// replayBacklog computes the backlog of an engine from scratch, from the last
// report and all attempts sent after it.
func replayBacklog(e Engine, r LoadReport, attempts []unreportedAttempt, scale float64, now time.Duration) Backlog {
	backlog := r.backlog()
	at := r.AsOf
	for _, a := range attempts {
		if a.sentAt > r.AsOf {
			backlog = e.drain(backlog, (a.sentAt-at).Seconds()).add(scale, a.Attempt)
			at = a.sentAt
		}
	}
	return e.drain(backlog, (now - at).Seconds())
}

// The incrementally updated backlog must equal the one computed from the whole
// history, for any order of sends and late reports.
func TestBacklogMatchesFullReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		opts := DefaultOptions(4)
		table := newTestTable(1, opts)
		var now time.Duration
		var last LoadReport
		var attempts []unreportedAttempt
		for i := range rapid.IntRange(1, 30).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(rt, "gap")) * time.Millisecond
			if rapid.Bool().Draw(rt, "report") {
				age := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "age")) * time.Millisecond
				r := LoadReport{
					Engine: "engine-0", AsOf: now - age,
					PromptTokens: rapid.Int64Range(0, 20000).Draw(rt, "prompt"),
					OutputTokens: rapid.Int64Range(0, 5000).Draw(rt, "output"),
					Sequences:    rapid.IntRange(0, 80).Draw(rt, "sequences"),
				}
				require.NoError(rt, table.RecordReport(r))
				if r.AsOf >= last.AsOf {
					last = r
				}
				continue
			}
			attempt := Attempt{ID: fmt.Sprint(i), Engine: "engine-0", PromptTokens: rapid.IntRange(1, 9000).Draw(rt, "p"), OutputTokens: rapid.IntRange(1, 300).Draw(rt, "o"), Remaining: time.Duration(rapid.IntRange(0, 100).Draw(rt, "remaining")) * time.Second}
			require.NoError(rt, table.RecordSend(now, attempt))
			if now > last.AsOf {
				attempts = append(attempts, unreportedAttempt{Attempt: attempt, sentAt: now})
			}
		}
		got, err := table.Backlog(now, "engine-0")
		require.NoError(rt, err)
		want := replayBacklog(table.byName["engine-0"].Engine, last, attempts, opts.OwnSendScale, now)
		for level := range UrgencyLevels {
			require.InDelta(rt, want.PromptTokensAhead(level), got.PromptTokensAhead(level), 1e-6)
		}
		require.InDelta(rt, want.OutputTokens, got.OutputTokens, 1e-6)
		require.InDelta(rt, want.Sequences, got.Sequences, 1e-6)
	})
}

// With all engines sampled and no tie tolerance, the choice must be the one
// that a full scan finds to finish first.
func TestChooseMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 16).Draw(rt, "engines")
		opts := Options{RandomCandidates: n, OwnSendScale: 1}
		table := newTestTable(n, opts)
		for i := range n {
			require.NoError(rt, table.RecordReport(LoadReport{
				Engine:       fmt.Sprintf("engine-%d", i),
				PromptTokens: rapid.Int64Range(0, 50000).Draw(rt, "prompt"),
				OutputTokens: rapid.Int64Range(0, 9000).Draw(rt, "output"),
				Sequences:    rapid.IntRange(0, 90).Draw(rt, "sequences"),
				State:        peerv1.ServerState(rapid.IntRange(1, 4).Draw(rt, "state")),
			}))
		}
		r := Request{PromptTokens: rapid.IntRange(1, 9000).Draw(rt, "p"), OutputTokens: rapid.IntRange(1, 400).Draw(rt, "o"), Seed: rapid.Uint64().Draw(rt, "seed")}
		earliest := math.Inf(1)
		for _, e := range table.engines {
			if e.state == peerv1.ServerState_SERVER_STATE_SERVING {
				earliest = min(earliest, e.firstTokenSeconds(e.backlog, float64(r.PromptTokens), urgencyLevel(r.Remaining))+e.decodeSeconds(e.backlog, float64(r.OutputTokens)))
			}
		}
		choice, err := table.Choose(0, r)
		if math.IsInf(earliest, 1) {
			require.ErrorIs(rt, err, ErrNoEngine)
			return
		}
		require.NoError(rt, err)
		require.InDelta(rt, earliest, choice.TimeToFinish.Seconds(), 1e-6)
	})
}

// herdShare has several entries route requests by the same report, in which one
// engine is idle. It returns the largest share of the requests that a single
// engine gets.
func herdShare(t *testing.T, opts Options) float64 {
	const engines, entries, requests = 12, 8, 40
	counts := make(map[string]int)
	for entry := range entries {
		table := newTestTable(engines, opts)
		for i := range engines {
			load := int64(4000)
			if i == 3 {
				load = 0
			}
			require.NoError(t, table.RecordReport(LoadReport{Engine: fmt.Sprintf("engine-%d", i), PromptTokens: load, Sequences: int(load / 500), OutputTokens: load / 5}))
		}
		for i := range requests {
			now := time.Duration(i) * time.Millisecond
			c, err := table.Choose(now, Request{PromptTokens: 400, OutputTokens: 100, Seed: uint64(entry*1000 + i)})
			require.NoError(t, err)
			require.NoError(t, table.RecordSend(now, Attempt{ID: fmt.Sprint(i), Engine: c.DecodeEngine, PromptTokens: 400, OutputTokens: 100}))
			counts[c.DecodeEngine]++
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return float64(most) / (entries * requests)
}

// Entries that act on the same report must not all send to the engine that was idle
// when the report was made.
func TestEntriesDoNotHerdOnAStaleReport(t *testing.T) {
	require.Less(t, herdShare(t, DefaultOptions(8)), 0.25)
	naive := Options{RandomCandidates: 12, TieTolerance: 0}
	require.Equal(t, 1.0, herdShare(t, naive), "without own sends in the load, all entries choose the idle engine")
}

func TestChoosePrefersCachedPrefixUntilBusy(t *testing.T) {
	table := newTestTable(12, DefaultOptions(4))
	prefix := []uint64{11, 22, 33, 44, 55, 66, 77, 88}
	require.NoError(t, table.RecordCacheEvent("engine-7", 88, false))
	r := Request{PromptTokens: 600, OutputTokens: 50, PrefixHashes: prefix, Seed: 1}
	c, err := table.Choose(0, r)
	require.NoError(t, err)
	require.Equal(t, "engine-7", c.PrefillEngine)
	require.Equal(t, 512, c.CachedTokens)
	require.NoError(t, table.RecordReport(LoadReport{Engine: "engine-7", PromptTokens: 90000, Sequences: 30, OutputTokens: 900}))
	c, err = table.Choose(0, r)
	require.NoError(t, err)
	require.NotEqual(t, "engine-7", c.PrefillEngine)
}

func TestNearestWinsTies(t *testing.T) {
	table := NewTable(Options{RandomCandidates: 12, TieTolerance: 20 * time.Millisecond})
	engines := testEngines(12, configv1.Role_ROLE_MIXED)
	engines[5].Distance, engines[6].Distance = 0, 0
	table.SetEngines(engines)
	seen := make(map[string]int)
	for seed := range uint64(100) {
		c, err := table.Choose(0, Request{PromptTokens: 100, OutputTokens: 10, Seed: seed})
		require.NoError(t, err)
		seen[c.DecodeEngine]++
	}
	require.Len(t, seen, 2)
	require.Greater(t, seen["engine-5"], 25)
	require.Greater(t, seen["engine-6"], 25)
}

func TestPairIsChosenWhenRolesAreSplit(t *testing.T) {
	table := NewTable(DefaultOptions(4))
	engines := append(testEngines(2, configv1.Role_ROLE_PREFILL), Engine{Name: "decode", PrefillRate: 8000, DecodeRate: 2000, MaxBatch: 64, Role: configv1.Role_ROLE_DECODE})
	table.SetEngines(engines)
	c, err := table.Choose(0, Request{PromptTokens: 4000, OutputTokens: 50, Seed: 1})
	require.NoError(t, err)
	require.True(t, c.Split())
	require.Equal(t, "decode", c.DecodeEngine)
	require.NoError(t, table.SetState("decode", configv1.Role_ROLE_DECODE, peerv1.ServerState_SERVER_STATE_DRAINING))
	_, err = table.Choose(0, Request{PromptTokens: 4000, OutputTokens: 50, Seed: 1})
	require.ErrorIs(t, err, ErrNoEngine)
}

func TestRecordEndRemovesBacklog(t *testing.T) {
	table := newTestTable(1, DefaultOptions(1))
	require.NoError(t, table.RecordSend(0, Attempt{ID: "a", Engine: "engine-0", PromptTokens: 8000, OutputTokens: 100}))
	require.NoError(t, table.RecordEnd(0, "engine-0", "a"))
	backlog, err := table.Backlog(0, "engine-0")
	require.NoError(t, err)
	require.Equal(t, Backlog{}, backlog)
}

func BenchmarkChoose940(b *testing.B) {
	table := newTestTable(940, DefaultOptions(50))
	prefix := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	b.ReportAllocs()
	var seed uint64
	for b.Loop() {
		seed++
		prefix[7] = seed % 5000
		if _, err := table.Choose(time.Duration(seed)*time.Microsecond, Request{PromptTokens: 1000, OutputTokens: 100, PrefixHashes: prefix, Seed: seed}); err != nil {
			b.Fatal(err)
		}
	}
}

// The prediction for a request that can wait must include the more urgent requests
// that will overtake it, as estimated from the recent demand.
func TestUrgentArrivalsDelayLessUrgentRequests(t *testing.T) {
	const entries, rate = 4, 4000 // prompt tokens per second sent by this entry
	table := newTestTable(2, DefaultOptions(entries))
	plain := newTestTable(2, Options{RandomCandidates: 2})
	var now time.Duration
	for i := range 300 {
		now = time.Duration(i) * 100 * time.Millisecond
		attempt := Attempt{ID: fmt.Sprint(i), Engine: fmt.Sprintf("engine-%d", i%2), PromptTokens: rate / 10, Remaining: 2 * time.Second}
		require.NoError(t, table.RecordSend(now, attempt))
		require.NoError(t, table.RecordEnd(now, attempt.Engine, attempt.ID))
	}
	require.InEpsilon(t, rate, table.demand.moreUrgentRate(now, UrgencyLevels-1), 0.1)
	long := Request{PromptTokens: 8000, Remaining: time.Minute}
	slow, err := table.Choose(now, long)
	require.NoError(t, err)
	free, err := plain.Choose(now, long)
	require.NoError(t, err)
	require.Greater(t, slow.TimeToFinish, 2*free.TimeToFinish)
	short := Request{PromptTokens: 100, Remaining: time.Second}
	quick, err := table.Choose(now, short)
	require.NoError(t, err)
	require.Less(t, quick.TimeToFinish, 50*time.Millisecond)
}
