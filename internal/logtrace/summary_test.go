package logtrace

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const gatewayLogs = `{"time":"2026-12-04T10:00:00Z","msg":"attempt","request_id":"r1","server":"d1","prefill_server":"p1","prefill_predicted_ms":80,"prefill_elapsed_ms":900,"deferred":false}
{"time":"2026-12-04T10:00:00Z","msg":"request ended","request_id":"r1","route":"ask","outcome":"answered","attempts":1,"elapsed_ms":2000,"first_event_ms":930,"objective_ms":300,"server":"d1"}
{"time":"2026-12-04T10:00:01Z","msg":"attempt","request_id":"r2","server":"d1","prefill_server":"p1","deferred":true}
{"time":"2026-12-04T10:00:01Z","msg":"request ended","request_id":"r2","route":"ask","outcome":"answered","attempts":1,"elapsed_ms":2000,"first_event_ms":930,"objective_ms":300,"server":"d1"}
0.4 node-a {"time":"2026-12-04T10:00:02Z","msg":"request ended","request_id":"r3","route":"ask","outcome":"answered","attempts":1,"elapsed_ms":2000,"first_event_ms":200,"objective_ms":300,"server":"d1"}
{"time":"2026-12-04T10:00:02Z","msg":"request ended","request_id":"r4","route":"book","outcome":"refused","reason":"no_server","attempts":0,"elapsed_ms":1}
{"time":"2026-12-04T10:00:11Z","msg":"request ended","request_id":"r5","route":"ask","outcome":"caller_left","attempts":1,"elapsed_ms":2400,"server":"d2"}
{"time":"2026-12-04T10:00:11Z","msg":"request ended","request_id":"r6","route":"ask","outcome":"caller_left","attempts":1,"elapsed_ms":8000,"first_event_ms":100,"server":"d2"}
{"time":"2026-12-04T10:00:11Z","msg":"request ended","request_id":"r7","route":"ask","outcome":"answered","attempts":2,"elapsed_ms":800,"first_event_ms":700,"objective_ms":300,"server":"d2"}
{"time":"2026-12-04T10:00:11Z","msg":"request ended","request_id":"r8","route":"book","outcome":"answered","attempts":1,"elapsed_ms":150,"objective_ms":100,"server":"s1"}
{"time":"2026-12-04T10:00:12Z","msg":"request ended","request_id":"r9","route":"book","outcome":"refused","reason":"servers_paused","attempts":0,"elapsed_ms":1}
{"time":"2026-12-04T10:00:12Z","msg":"request ended","request_id":"r10","route":"book","outcome":"refused","reason":"servers_leaving","attempts":0,"elapsed_ms":1}
{"time":"broken","msg":"request ended","request_id":"r11"
`

// TestSummaryNamesCauses checks the cause and the server of each request that
// was not served within its objective, by interval.
func TestSummaryNamesCauses(t *testing.T) {
	s := NewSummary(10 * time.Second)
	require.NoError(t, s.Read(strings.NewReader(gatewayLogs)))
	require.Equal(t, map[string]int{"ask": 6, "book": 4}, s.Requests)
	require.Equal(t, []Row{
		{0, "ask", CausePredictedLate, "p1", 1},
		{0, "ask", CausePrefill, "p1", 1},
		{0, "book", "refused: no_server", "", 1},
		{10 * time.Second, "ask", CauseLeftAfter, "d2", 1},
		{10 * time.Second, "ask", CauseLeftBefore, "d2", 1},
		{10 * time.Second, "ask", CauseRetried, "d2", 1},
		{10 * time.Second, "book", CauseDecode, "s1", 1},
		{10 * time.Second, "book", "refused: servers_leaving", "", 1},
		{10 * time.Second, "book", "refused: servers_paused", "", 1},
	}, s.Rows())
	var out bytes.Buffer
	require.NoError(t, s.Write(&out))
	require.Contains(t, out.String(), "10s   ask    1         6   d2      late: retried\n")
}
