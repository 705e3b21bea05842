// Package logevent has the lines that the processes log: one for each decision
// that touches a request, and for each change of what a process believes.
//
// Each kind of line has one constructor, so that a field that holds the same
// thing has the same name in all of them. docs/OPERATIONS.md lists them.
package logevent

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-logr/logr"
)

// Fields that several kinds of lines have.
const (
	// KeyRequestID names the caller's request.
	KeyRequestID = "request_id"

	keyAttemptID  = "attempt_id"
	keyClient     = "client"
	keyElapsed    = "elapsed_ms"
	keyError      = "error"
	keyFence      = "fence"
	keyKind       = "kind"
	keyOutcome    = "outcome"
	keyReason     = "reason"
	keyRemoved    = "removed"
	keyRevision   = "revision"
	keyRoute      = "route"
	keyServer     = "server"
	keyService    = "service"
	keyStage      = "stage"
	keyVersion    = "version"
	keyConfig     = "config_version"
	keyAttempts   = "attempts"
	keyAttempt    = "attempt"
	keyStatus     = "status"
	keyResult     = "result"
	keyPeer       = "peer"
	keyAddress    = "address"
	keyCause      = "cause"
	keyWhole      = "whole"
	keyCount      = "count"
	keyCountPrior = "before"
)

// Event is one line of the log.
type Event struct {
	level   slog.Level
	message string
	fields  []slog.Attr
}

// info returns a line that operators always see.
func info(message string, fields ...slog.Attr) Event {
	return Event{level: slog.LevelInfo, message: message, fields: fields}
}

// detail returns a line that is written from verbosity 1 on.
func detail(message string, fields ...slog.Attr) Event {
	return Event{level: slog.LevelInfo - 1, message: message, fields: fields}
}

// failure returns a line that tells of an error that needs an operator.
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

// milliseconds returns a field for a length of time.
func milliseconds(key string, d time.Duration) slog.Attr {
	return slog.Int64(key, d.Milliseconds())
}

// errorText returns a field for an error.
func errorText(err error) slog.Attr { return slog.String(keyError, err.Error()) }

// Log writes events. The zero Log discards them.
type Log struct{ handler slog.Handler }

// NewLog returns a log that writes where a logger does. It passes over the
// logger's front, as requests write lines by the thousand.
func NewLog(logger logr.Logger) Log { return Log{handler: logr.ToSlogHandler(logger)} }

// Write writes one event. It never waits for the output.
func (l Log) Write(e Event) {
	ctx := context.Background()
	if l.handler == nil || !l.handler.Enabled(ctx, e.level) {
		return
	}
	record := slog.NewRecord(time.Now(), e.level, e.message, 0)
	record.AddAttrs(e.fields...)
	// There is nowhere else to tell of a log that fails.
	_ = l.handler.Handle(ctx, record)
}
