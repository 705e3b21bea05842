// Package telemetry provides the logging, metrics, health checks and state dump
// that all processes have in common.
package telemetry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// Paths that every process serves: metrics, the state dump, and the liveness and
// readiness checks.
const (
	PathMetrics = "/metrics"
	PathState   = "/debug/state"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
)

// PathExplain is the path at which a gateway explains what a request would get.
const PathExplain = "/debug/explain"

// NewLogger returns a logger that writes JSON lines with the name of the process
// to w. It writes messages up to the given verbosity, as in logr.Logger.V; 0 is
// level info.
func NewLogger(w io.Writer, process string, verbosity int) logr.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(debugLevels{handler}).WithValues("process", process)
}

// debugLevels writes the level of all messages below info as DEBUG. Without it,
// slog would write each verbosity as an offset, such as "DEBUG+3".
type debugLevels struct{ slog.Handler }

// Handle implements slog.Handler.
func (h debugLevels) Handle(ctx context.Context, record slog.Record) error {
	if record.Level < slog.LevelInfo {
		record.Level = slog.LevelDebug
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h debugLevels) WithAttrs(attrs []slog.Attr) slog.Handler {
	return debugLevels{h.Handler.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h debugLevels) WithGroup(name string) slog.Handler {
	return debugLevels{h.Handler.WithGroup(name)}
}

// Logs are the loggers of a process.
type Logs struct {
	// Logger is used by libraries.
	Logger logr.Logger
	// Events is used by the process itself.
	Events logevent.Log
	// DroppedLines returns the number of lines dropped so far.
	DroppedLines func() int64
}

// NewLogs returns the loggers of a process, which write to w.
func NewLogs(w *AsyncWriter, process string, verbosity int) Logs {
	logger := NewLogger(w, process, verbosity)
	return Logs{Logger: logger, Events: logevent.NewLog(logger), DroppedLines: w.DroppedLines}
}

// RedirectKratosLogs makes the kratos library log to logger.
func RedirectKratosLogs(logger logr.Logger) {
	klog.SetLogger(kratosLogger{logger.WithName("kratos")})
}

// kratosLogger implements klog.Logger. Errors are logged as such, and all other
// messages with verbosity 1.
type kratosLogger struct{ logger logr.Logger }

// Log implements klog.Logger.
func (k kratosLogger) Log(level klog.Level, keyvals ...any) error {
	msg := ""
	rest := make([]any, 0, len(keyvals))
	for i := 0; i+1 < len(keyvals); i += 2 {
		if text, ok := keyvals[i+1].(string); ok && keyvals[i] == klog.DefaultMessageKey {
			msg = text
			continue
		}
		rest = append(rest, keyvals[i], keyvals[i+1])
	}
	if level >= klog.LevelError {
		k.logger.Error(nil, msg, rest...)
		return nil
	}
	k.logger.V(1).Info(msg, rest...)
	return nil
}

// NewRegistry returns a metrics registry with collectors for the Go runtime, the
// process, and the number of dropped log lines.
func NewRegistry(logLinesDropped func() int64) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "marigold_log_lines_dropped_total", Help: "Log lines dropped as the output was slow.",
		}, func() float64 { return float64(logLinesDropped()) }),
	)
	return registry
}

// MuxOptions are the options of NewMux.
type MuxOptions struct {
	// Metrics are served at PathMetrics.
	Metrics prometheus.Gatherer
	// State returns the state dump served at PathState: a proto.Message, or any
	// value that encoding/json can encode.
	State func(ctx context.Context) any
	// Ready returns nil if the process accepts new requests, and otherwise an
	// error with the reason. It is served at PathReady.
	Ready func() error
}

// NewMux returns a mux that serves the paths that all processes have in common.
// The caller may register further paths.
func NewMux(opts MuxOptions) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(opts.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathState, func(w http.ResponseWriter, r *http.Request) {
		WriteState(w, opts.State(r.Context()))
	})
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok\n")
	})
	mux.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if err := opts.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	return mux
}

// WriteState writes the state of a process, or a part of it, as MarshalJSON encodes it.
func WriteState(w http.ResponseWriter, state any) {
	data, err := MarshalJSON(state)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_, _ = w.Write(data)
}

// MarshalJSON encodes a proto.Message by protojson, with the field names of the
// schema, and any other value by encoding/json. The result is indented.
func MarshalJSON(v any) ([]byte, error) {
	if msg, ok := v.(proto.Message); ok {
		return protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(msg)
	}
	return json.MarshalIndent(v, "", "  ")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
