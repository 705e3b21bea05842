package enginemodel

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Blocks transferred from another engine count as cached and are not prefilled
// again.
func TestInsertedPrefixIsNotPrefilled(t *testing.T) {
	s := DefaultSettings()
	m, err := New(s, 1)
	require.NoError(t, err)
	hashes := []uint64{1, 2, 3, 4}
	m.InsertPrefix(0, hashes[:3])
	require.NoError(t, m.Submit(0, Sequence{ID: "a", PromptTokens: 4 * s.BlockTokens, PrefixHashes: hashes, OutputTokens: 1}))
	next, ok := m.NextEvent()
	require.True(t, ok)
	for _, e := range m.Advance(next) {
		if e.Kind == EventPrefilled {
			require.Equal(t, 3*s.BlockTokens, e.CachedTokens)
			return
		}
	}
	t.Fatal("the prompt was not prefilled")
}
