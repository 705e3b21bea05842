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
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{
		Level:       slog.Level(-verbosity),
		ReplaceAttr: nameLevel,
	})
	return logr.FromSlogHandler(handler).WithValues("process", process)
}

// nameLevel writes every level below info as DEBUG: slog would name the
// verbosities between by their distance from a level of its own.
func nameLevel(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) > 0 || attr.Key != slog.LevelKey {
		return attr
	}
	if level, ok := attr.Value.Any().(slog.Level); ok && level < slog.LevelInfo {
		attr.Value = slog.StringValue(slog.LevelDebug.String())
	}
	return attr
}

// CaptureKratos sends the log lines of the kratos library to logger.
func CaptureKratos(logger logr.Logger) {
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
// runtime and the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
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
