package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStreamsGoToEnginesThatMayHaveTheirWeights checks which engines a request that expects
// weights goes to, and that it goes to any if all are known to have others.
func TestStreamsGoToEnginesThatMayHaveTheirWeights(t *testing.T) {
	table := newTable(engines(0, 3))
	table.RecordWeights("d0", "1")
	table.RecordWeights("d1", "2")
	chosen := func(weights string) map[string]bool {
		ids := make(map[string]bool)
		for i := range 50 {
			r := short(i)
			r.Weights = weights
			c, err := table.Choose(0, r)
			require.NoError(t, err)
			ids[c.Server.ID] = true
			recordSend(table, 0, c, r)
		}
		return ids
	}
	require.Len(t, chosen(""), 3)
	require.Equal(t, map[string]bool{"d0": true, "d2": true}, chosen("1"))
	table.RecordWeights("d2", "2")
	require.Equal(t, map[string]bool{"d0": true}, chosen("1"))
	require.NotEmpty(t, chosen("3"))
}

// TestPromptIsNotDecodedWithKnownOtherWeights guards against a KV cache that is made for an
// engine that can't use it.
func TestPromptIsNotDecodedWithKnownOtherWeights(t *testing.T) {
	table := newTable(engines(1, 2))
	table.RecordWeights("p0", "2")
	table.RecordWeights("d0", "1")
	for i := range 20 {
		c, err := table.Choose(0, long(i, i))
		require.NoError(t, err)
		require.True(t, c.Split)
		require.Equal(t, "d1", c.Server.ID)
	}
	table.RecordWeights("d1", "1")
	c, err := table.Choose(0, long(1, 1))
	require.NoError(t, err)
	require.False(t, c.Split)
}

// TestNothingIsFetchedFromKnownOtherWeights guards against parts of prompts that an engine
// fetches from one with other weights.
func TestNothingIsFetchedFromKnownOtherWeights(t *testing.T) {
	for _, weights := range []string{"", "1", "2"} {
		table := newTable(engines(2, 2))
		first, err := table.Choose(0, long(1, 1))
		require.NoError(t, err)
		send := recordSend(table, 0, first, long(1, 1))
		table.RecordPrefilled(100*time.Millisecond, send)
		table.RecordEnd(100*time.Millisecond, send)
		for _, s := range table.servers {
			table.RecordWeights(s.ID, "1")
		}
		table.RecordWeights(first.PrefillServer.ID, weights)
		r := long(1, 2)
		r.Exclude = []string{first.PrefillServer.ID}
		c, err := table.Choose(time.Second, r)
		require.NoError(t, err)
		require.Equal(t, weights == "2", c.FetchFrom == "", "weights %q of the source", weights)
	}
}
