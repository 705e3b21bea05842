package process

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	settingsv1 "github.com/marigoldwing/marigoldwing/api/settings/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/settings"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
)

// Exit codes of the long-running processes.
const (
	// ExitOK is the exit code after a graceful stop, after -h, and after -check
	// with valid settings.
	ExitOK = 0
	// ExitFailure is the exit code after a failure to start or to serve.
	ExitFailure = 1
	// ExitUsage is the exit code for invalid settings.
	ExitUsage = 2
)

// hasProcessSection is implemented by settings messages that contain the common
// process section.
type hasProcessSection interface {
	GetProcess() *settingsv1.Process
}

// logOptions is implemented by messages that contain the name and the log verbosity
// of the process.
type logOptions interface {
	GetName() string
	GetLogVerbosity() int32
}

// logOptionsOf returns the part of a settings message that contains the name and log
// verbosity. It panics if there is none.
func logOptionsOf(s any) logOptions {
	if p, ok := s.(hasProcessSection); ok {
		return p.GetProcess()
	}
	return s.(logOptions)
}

// Main loads the settings, runs a process until it is stopped, and returns the
// exit code. It writes the log to out and errors in settings to errOut.
//
// S is a settings message that either contains the common process section, or
// has the name and log verbosity itself.
func Main[S any](
	args []string,
	load func(args []string) (S, settings.CommandLine, error),
	run func(ctx context.Context, s S, logs telemetry.Logs) error,
	out, errOut io.Writer,
) int {
	s, commandLine, err := load(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	if commandLine.CheckOnly {
		fmt.Fprintln(errOut, "settings are valid")
		return ExitOK
	}
	options := logOptionsOf(s)
	writer := telemetry.NewAsyncWriter(out, telemetry.DefaultLogBufferBytes)
	defer writer.Close()
	logs := telemetry.NewLogs(writer, options.GetName(), int(options.GetLogVerbosity()))
	if err := run(context.Background(), s, logs); err != nil {
		logs.Events.Write(logevent.Failed(err))
		return ExitFailure
	}
	return ExitOK
}

// RunAndExit calls Main with the command line arguments and the standard streams,
// and exits with its result.
func RunAndExit[S any](
	load func(args []string) (S, settings.CommandLine, error),
	run func(ctx context.Context, s S, logs telemetry.Logs) error,
) {
	os.Exit(Main(os.Args[1:], load, run, os.Stdout, os.Stderr))
}
