package revision

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRevisionsCompareByGenerationFirst checks the order of revisions and that
// both parts can be read back.
func TestRevisionsCompareByGenerationFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generation := rapid.Uint64Range(0, 1<<20-1)
		number := rapid.Uint64Range(0, 1<<numberBits-1)
		g1, n1 := generation.Draw(t, "g1"), number.Draw(t, "n1")
		g2, n2 := generation.Draw(t, "g2"), number.Draw(t, "n2")
		a, b := Join(g1, n1), Join(g2, n2)
		require.Equal(t, g1, a.Generation())
		require.Equal(t, n1, a.Number())
		require.Equal(t, g1 < g2 || g1 == g2 && n1 < n2, a < b)
	})
}
