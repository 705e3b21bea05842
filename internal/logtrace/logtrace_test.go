package logtrace

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logs = `not a log line
{"time":"2026-12-03T10:00:00.200Z","level":"INFO","msg":"request ended","process":"b","request_id":"r1","outcome":"refused","status":503,"reason":"no_server"}
   0.1 node-a {"time":"2026-12-03T10:00:00.100Z","level":"INFO","msg":"attempt","process":"a","request_id":"r1","result":"not_run"}
{"time":"2026-12-03T10:00:00.150Z","level":"INFO","msg":"attempt","process":"a","request_id":"r12","result":"delivered"}
{"time":"2026-12-03T10:00:00.150Z","level":"INFO","msg":"other","process":"a","note":"about r1"}
{"time":"broken","request_id":"r1"
`

// Only lines whose request ID matches exactly are printed, in order of time.
// Broken lines, and lines that mention the ID elsewhere, are ignored.
func TestReadRequestSelectsAndSortsLines(t *testing.T) {
	lines, err := ReadRequest(strings.NewReader(logs), "r1")
	require.NoError(t, err)
	Sort(lines)
	var out bytes.Buffer
	require.NoError(t, Write(&out, lines))
	require.Equal(t, `+   0.000s  a                    attempt result="not_run"
+   0.100s  b                    request ended outcome="refused" reason="no_server" status=503
`, out.String())
}

// A request ID that no line has gives no lines and no error.
func TestUnknownRequest(t *testing.T) {
	lines, err := ReadRequest(strings.NewReader(logs), "r9")
	require.NoError(t, err)
	require.Empty(t, lines)
}
