// Package telemetry gives each process its logs, metrics and state dump.
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

// Paths that every process serves.
const (
	PathMetrics = "/metrics"
	PathState   = "/debug/state"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
)

// NewLogger returns a logger that writes JSON lines marked with the name of
// the process. Verbosity 0 writes level info; each step more writes one
// level of logr.Logger.V more.
func NewLogger(w io.Writer, process string, verbosity int) logr.Logger {
	json := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(plainLevels{json}).WithValues("process", process)
}

// plainLevels writes every level below info as DEBUG: slog would name the
// verbosities between by their distance from a level of its own.
type plainLevels struct{ slog.Handler }

// Handle implements slog.Handler.
func (h plainLevels) Handle(ctx context.Context, record slog.Record) error {
	if record.Level < slog.LevelInfo {
		record.Level = slog.LevelDebug
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h plainLevels) WithAttrs(attrs []slog.Attr) slog.Handler {
	return plainLevels{h.Handler.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h plainLevels) WithGroup(name string) slog.Handler {
	return plainLevels{h.Handler.WithGroup(name)}
}

// Logs are what a process writes its lines with.
type Logs struct {
	// Logger is for libraries, Events for the process itself.
	Logger logr.Logger
	Events logevent.Log
	// DroppedLines returns the number of lines that were dropped so far.
	DroppedLines func() int64
}

// NewLogs returns logs that are written to w in the background.
func NewLogs(w *AsyncWriter, process string, verbosity int) Logs {
	logger := NewLogger(w, process, verbosity)
	return Logs{Logger: logger, Events: logevent.NewLog(logger), DroppedLines: w.DroppedLines}
}

// RedirectKratosLogs sends the log lines of the kratos library to logger.
func RedirectKratosLogs(logger logr.Logger) {
	klog.SetLogger(kratosLogger{logger.WithName("kratos")})
}

// kratosLogger implements the logger interface of kratos.
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

// NewRegistry returns a metrics registry with the collectors for the Go
// runtime, the process and its log.
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

// MuxOptions says what a process serves for operators and the platform.
type MuxOptions struct {
	// Metrics are served at PathMetrics.
	Metrics prometheus.Gatherer
	// State returns the dump of the process: a proto.Message or any value
	// that encoding/json can render.
	State func(ctx context.Context) any
	// Ready returns why the process takes no new work, or nil.
	Ready func() error
}

// NewMux returns a mux that serves the paths that every process has. The
// caller may add its own paths.
func NewMux(opts MuxOptions) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(opts.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathState, func(w http.ResponseWriter, r *http.Request) {
		writeState(w, opts.State(r.Context()))
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

// writeState renders the dump of a process.
func writeState(w http.ResponseWriter, state any) {
	data, err := MarshalJSON(state)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone away needs no answer.
	_, _ = w.Write(data)
}

// MarshalJSON renders a proto.Message by protojson, with the field names of
// the schema, and any other value by encoding/json.
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
