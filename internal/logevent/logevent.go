// Package logevent defines the structured log lines of the processes: one for
// each decision about a request, and one for each change of the state on which
// a process bases its decisions.
//
// Each kind of line has one constructor, so that a field with the same meaning
// has the same name in all of them. docs/OPERATIONS.md lists the lines.
package logevent

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-logr/logr"
)

// Names of fields that several kinds of lines have.
const (
	// KeyRequestID identifies the caller's request.
	KeyRequestID = "request_id"

	keyAttemptID     = "attempt_id"
	keyClient        = "client"
	keyDuty          = "duty"
	keyElapsed       = "elapsed_ms"
	keyError         = "error"
	keyFencingToken  = "fence"
	keyKind          = "kind"
	keyOutcome       = "outcome"
	keyReason        = "reason"
	keyRemoved       = "removed"
	keyRevision      = "revision"
	keyGeneration    = "generation"
	keyRoute         = "route"
	keyServer        = "server"
	keyService       = "service"
	keyStage         = "stage"
	keyVersion       = "version"
	keyConfigVersion = "config_version"
	keyAttempts      = "attempts"
	keyAttempt       = "attempt"
	keyStatus        = "status"
	keyResult        = "result"
	keyPeer          = "peer"
	keyAddress       = "address"
	keyCause         = "cause"
	keyWhole         = "whole"
	keyCount         = "count"
	keyCountBefore   = "before"
	keyStarted       = "started_unix_ms"
	keyLeaving       = "leaving"
)

// Event is one line of the log.
type Event struct {
	level   slog.Level
	message string
	fields  []slog.Attr
}

// info returns a line at level info.
func info(message string, fields ...slog.Attr) Event {
	return Event{level: slog.LevelInfo, message: message, fields: fields}
}

// detail returns a line that is logged from verbosity 1 on.
func detail(message string, fields ...slog.Attr) Event {
	return Event{level: slog.LevelInfo - 1, message: message, fields: fields}
}

// failure returns a line at level error, for errors that need an operator.
func failure(message string, fields ...slog.Attr) Event {
	return Event{level: slog.LevelError, message: message, fields: fields}
}

// with adds a field.
func (e *Event) with(field slog.Attr) { e.fields = append(e.fields, field) }

// withText adds a field unless its text is empty.
func (e *Event) withText(key, text string) {
	if text != "" {
		e.with(slog.String(key, text))
	}
}

// milliseconds returns a field with a duration in milliseconds.
func milliseconds(key string, d time.Duration) slog.Attr {
	return slog.Int64(key, d.Milliseconds())
}

// errorText returns a field with an error's text.
func errorText(err error) slog.Attr { return slog.String(keyError, err.Error()) }

// Log writes events. The zero Log discards them.
type Log struct{ handler slog.Handler }

// NewLog returns a Log that writes to the logger's sink. It bypasses the front
// end of the logger to save its cost on the lines written for each request.
func NewLog(logger logr.Logger) Log { return Log{handler: logr.ToSlogHandler(logger)} }

// Write writes one event. It never waits for the output.
func (l Log) Write(e Event) {
	ctx := context.Background()
	if l.handler == nil || !l.handler.Enabled(ctx, e.level) {
		return
	}
	record := slog.NewRecord(time.Now(), e.level, e.message, 0)
	record.AddAttrs(e.fields...)
	// A failing log has nowhere else to report the error.
	_ = l.handler.Handle(ctx, record)
}
