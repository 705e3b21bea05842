package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/stretchr/testify/require"

	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
)

func TestLoggerWritesJSONLines(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, "entry-1", 1)
	logger.V(2).Info("hidden")
	logger.V(1).Info("request answered", "request_id", "r-1")
	require.NoError(t, kratosLogger{logger}.Log(klog.LevelError, klog.DefaultMessageKey, "listen failed"))
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	require.Len(t, lines, 2)
	var line map[string]any
	require.NoError(t, json.Unmarshal(lines[0], &line))
	require.Equal(t, "entry-1", line["process"])
	require.Equal(t, "request answered", line["msg"])
	require.Equal(t, "r-1", line["request_id"])
	require.Equal(t, "DEBUG", line["level"])
}

func TestMuxServesCommonPaths(t *testing.T) {
	var notReady error
	mux := NewMux(MuxOptions{
		Metrics: NewRegistry(func() int64 { return 0 }),
		State:   func(context.Context) any { return &statusv1.Status{AcceptedRevision: 7} },
		Ready:   func() error { return notReady },
	})
	get := func(path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		return w
	}
	require.Contains(t, get(PathMetrics).Body.String(), "go_goroutines")
	require.JSONEq(t, `{"accepted_revision":"7"}`, get(PathState).Body.String())
	require.Equal(t, 200, get(PathHealth).Code)
	require.Equal(t, 200, get(PathReady).Code)
	notReady = errors.New("no configuration yet")
	require.Equal(t, 503, get(PathReady).Code)
	require.Contains(t, get(PathReady).Body.String(), "no configuration yet")
}
