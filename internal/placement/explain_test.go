package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// TestExplainChangesNoChoice guards against an explanation that differs from the choice
// that follows, and against explanations by which later choices change: of two tables with
// the same history, one also explains each choice several times.
func TestExplainChangesNoChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		explained, other := newTable(engines(2, 3)), newTable(engines(2, 3))
		tables := []*Table{explained, other}
		now := time.Duration(0)
		var sent [2][]*InFlightSend
		for range 30 {
			now += time.Duration(rapid.IntRange(0, 40_000).Draw(t, "pause")) * time.Millisecond
			r := short(rapid.IntRange(0, 9).Draw(t, "own"))
			if rapid.Bool().Draw(t, "long") {
				r = long(rapid.IntRange(0, 2).Draw(t, "part"), rapid.IntRange(0, 9).Draw(t, "own"))
			}
			var want Choice
			var wantErr error
			for range 3 {
				want, _, wantErr = explained.Explain(now, r, func(*Table) {})
			}
			end := rapid.Bool().Draw(t, "end")
			refused := rapid.SampledFrom([]string{"", "p0", "d0", "d1", "d2"}).Draw(t, "refused")
			for i, table := range tables {
				c, err := table.Choose(now, r)
				require.Equal(t, wantErr, err)
				if err == nil {
					require.Equal(t, want, c)
					sent[i] = append(sent[i], recordSend(table, now, c, r))
				}
				table.RecordRefusal(now, refused, 0)
				if end && len(sent[i]) > 0 {
					table.RecordPrefilled(now+time.Second, sent[i][0])
					table.RecordEnd(now+time.Second, sent[i][0])
					sent[i] = sent[i][1:]
				}
			}
			require.Equal(t, other.Dump(now), explained.Dump(now))
		}
	})
}

// TestExplainDoesNotKeepWhatWasPrepared guards against weights that an explanation leaves
// in the table.
func TestExplainDoesNotKeepWhatWasPrepared(t *testing.T) {
	table := newTable(engines(1, 1))
	_, candidates, err := table.Explain(0, long(1, 1), func(copied *Table) {
		copied.SetWeight("d0", 0)
		copied.SetCoordinatorSince(time.Hour, 0)
	})
	require.ErrorIs(t, err, ErrNoServer)
	require.Equal(t, UnusableWeight, candidates[1].Unusable)
	require.True(t, table.Usable(0, "d0"))
	require.False(t, table.knowsAllCaches)
}

// TestCandidates checks that each server is shown with the scores by which it was
// considered, or with the reason why it was not.
func TestCandidates(t *testing.T) {
	servers := engines(2, 4)
	servers[5].Leaving = true
	table := newTable(servers)
	table.SetWeight("d2", 0)
	table.RecordRefusal(0, "d1", 0)
	choice, candidates, err := table.Explain(0, long(1, 1), func(*Table) {})
	require.NoError(t, err)
	byID := make(map[string]Candidate)
	for _, c := range candidates {
		byID[c.Server.ID] = c
	}
	require.Len(t, byID, 6)
	require.Equal(t, UnusableLeaving, byID["d3"].Unusable)
	require.Equal(t, UnusableWeight, byID["d2"].Unusable)
	require.Equal(t, UnusableBackoff, byID["d1"].Unusable)
	require.Equal(t, minRefusalBackoff, byID["d1"].Backoff)
	for _, id := range []string{"d1", "d2", "d3"} {
		require.Empty(t, byID[id].Uses)
	}
	steps := func(id string) (steps []string) {
		for _, u := range byID[id].Uses {
			steps = append(steps, u.Step)
		}
		return steps
	}
	require.ElementsMatch(t, []string{"direct", "import"}, steps("d0"))
	require.Equal(t, []string{"prefill"}, steps("p0"))
	require.Equal(t, []string{"prefill"}, steps("p1"))
	best := byID["p0"]
	if byID["p1"].Uses[0].Score < best.Uses[0].Score {
		best = byID["p1"]
	}
	require.Equal(t, best.Server, choice.PrefillServer, "the lowest score is chosen")
	require.Equal(t, choice.TimeToPrefilled, best.Uses[0].TimeToFirstEvent)
}

// TestExplainPlainServers checks the candidates of a plain service.
func TestExplainPlainServers(t *testing.T) {
	table := NewTable(DefaultOptions("here"), nil)
	table.SetServers(nil, []fleet.Server{{ID: "a", Slots: 4, FailureDomain: "here"}, {ID: "b", Slots: 4, FailureDomain: "there"}})
	want, err := table.Choose(0, Request{})
	require.NoError(t, err)
	choice, candidates, err := table.Explain(0, Request{}, func(*Table) {})
	require.NoError(t, err)
	require.Equal(t, want, choice)
	require.Less(t, candidates[0].Uses[0].Score, candidates[1].Uses[0].Score)
	require.Equal(t, time.Duration(-1), candidates[0].LoadAge)
}
