package reversals

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReversalsApply checks that each patch still applies: a change of mended code has to
// update its reversal.
func TestReversalsApply(t *testing.T) {
	patches, err := filepath.Glob("*.patch")
	require.NoError(t, err)
	require.NotEmpty(t, patches)
	for _, patch := range patches {
		text, err := os.ReadFile(patch)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(string(text), "# regression tests: Test"), "%s names no regression test", patch)
		check := exec.Command("git", "apply", "--check", filepath.Join("test", "reversals", patch))
		check.Dir = filepath.Join("..", "..")
		out, err := check.CombinedOutput()
		require.NoError(t, err, "%s no longer applies: %s", patch, out)
	}
}
