package logevent

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// line writes an event and returns the fields of its JSON line; nil if the
// level suppresses it.
func line(t *testing.T, level slog.Level, e Event) map[string]any {
	t.Helper()
	var out bytes.Buffer
	NewLog(logr.FromSlogHandler(slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: level}))).Write(e)
	if out.Len() == 0 {
		return nil
	}
	var fields map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &fields))
	delete(fields, slog.TimeKey)
	return fields
}

// TestAttemptFields checks that a line contains the inputs of its decision and
// no fields for inputs that the decision did not have.
func TestAttemptFields(t *testing.T) {
	plain := Attempt{
		RequestID: "r1", Route: "stamps", Service: "passport", ConfigVersion: 4, Number: 1, Server: "i-1",
		Predicted: 20 * time.Millisecond, LoadAge: -time.Millisecond, Result: "delivered",
		Sent: 4 * time.Millisecond, Elapsed: 31 * time.Millisecond,
	}
	require.Equal(t, map[string]any{
		"level": "INFO", "msg": "attempt", "request_id": "r1", "route": "stamps", "service": "passport",
		"config_version": 4.0, "attempt": 1.0, "server": "i-1", "predicted_ms": 20.0, "load_age_ms": -1.0,
		"result": "delivered", "sent_ms": 4.0, "elapsed_ms": 31.0,
	}, line(t, slog.LevelInfo, plain.Event()))

	split := plain
	split.PromptTokens, split.NewTokens, split.FetchFrom, split.Reason = 900, 300, "10.0.0.1:80", "stream broke"
	split.Prefill = &Prefill{Server: "i-2", Predicted: 70 * time.Millisecond, Elapsed: 90 * time.Millisecond}
	got := line(t, slog.LevelInfo, split.Event())
	require.Equal(t, 70.0, got["prefill_predicted_ms"])
	require.Equal(t, 90.0, got["prefill_elapsed_ms"])
	require.Equal(t, "i-2", got["prefill_server"])
	require.Equal(t, 300.0, got["new_tokens"])
	require.Equal(t, false, got["deferred"])
	require.Equal(t, "10.0.0.1:80", got["fetch_from"])
	require.LessOrEqual(t, len(split.Event().fields), attemptFields, "no second allocation")
}

// TestRequestEndedFields checks that left_ms is logged for refused requests
// only and is never negative.
func TestRequestEndedFields(t *testing.T) {
	refused := RequestEnded{RequestID: "r1", Outcome: OutcomeRefused, Reason: "overloaded", Status: 503, Remaining: -time.Second}
	got := line(t, slog.LevelInfo, refused.Event())
	require.Equal(t, 0.0, got["left_ms"], "negative remaining time is logged as 0")
	require.Equal(t, "overloaded", got["reason"])
	answered := RequestEnded{RequestID: "r1", Outcome: "answered", Status: 200, TimeToFirstEvent: 5 * time.Millisecond, Server: "i-1", Attempts: 1}
	got = line(t, slog.LevelInfo, answered.Event())
	require.NotContains(t, got, "left_ms")
	require.Equal(t, 5.0, got["first_event_ms"])
	require.LessOrEqual(t, len(answered.Event().fields), requestEndedFields)
}

// TestDetailNeedsVerbosity checks that lines of level detail are suppressed by
// default and that failures have level ERROR.
func TestDetailNeedsVerbosity(t *testing.T) {
	silent := PeerHeartbeatFailed("gw-2", errors.New("timeout"))
	require.Nil(t, line(t, slog.LevelInfo, silent))
	require.NotNil(t, line(t, slog.LevelInfo-1, silent))
	require.Equal(t, "ERROR", line(t, slog.LevelInfo, Failed(errors.New("no port")))["level"])
	Log{}.Write(silent)
}

// BenchmarkRequest measures the cost of the lines of one request.
func BenchmarkRequest(b *testing.B) {
	logger := logr.FromSlogHandler(slog.NewJSONHandler(io.Discard, nil)).WithValues("process", "front-1")
	log := NewLog(logger)
	b.ReportAllocs()
	for b.Loop() {
		log.Write(Attempt{RequestID: "9c41d07be2a35f68", Route: "lezi290", Service: "goye72a", Number: 1, Server: "i-94a43266c1", Predicted: time.Millisecond, Result: "delivered", PromptTokens: 380, NewTokens: 291}.Event())
		log.Write(RequestEnded{RequestID: "9c41d07be2a35f68", Route: "lezi290", Outcome: "answered", Status: 200, Attempts: 1, Server: "i-94a43266c1"}.Event())
	}
}
