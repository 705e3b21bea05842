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

// Exit codes of the long-lived processes.
const (
	// ExitOK follows a graceful stop, -h and a passed -check.
	ExitOK = 0
	// ExitFailure follows a failure to start or to serve.
	ExitFailure = 1
	// ExitUsage follows wrong settings.
	ExitUsage = 2
)

// withProcess is a settings message that holds the common section.
type withProcess interface {
	GetProcess() *settingsv1.Process
}

// logged is a settings message that names the process and its log verbosity.
type logged interface {
	GetName() string
	GetLogVerbosity() int32
}

// loggedAs returns where a settings message says how the process logs.
func loggedAs(s any) logged {
	if p, ok := s.(withProcess); ok {
		return p.GetProcess()
	}
	return s.(logged)
}

// Main loads settings, runs a process until it is stopped, and returns the
// exit code. Logs go to out, messages about settings to errOut.
//
// S holds a common section or names the process itself.
func Main[S any](
	args []string,
	load func(args []string) (S, settings.CommandLine, error),
	run func(ctx context.Context, s S, logs telemetry.Logs) error,
	out, errOut io.Writer,
) int {
	s, mode, err := load(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	if mode.CheckOnly {
		fmt.Fprintln(errOut, "settings are in order")
		return ExitOK
	}
	as := loggedAs(s)
	writer := telemetry.NewAsyncWriter(out, telemetry.DefaultLogBufferBytes)
	defer writer.Close()
	logs := telemetry.NewLogs(writer, as.GetName(), int(as.GetLogVerbosity()))
	if err := run(context.Background(), s, logs); err != nil {
		logs.Events.Write(logevent.Failed(err))
		return ExitFailure
	}
	return ExitOK
}

// RunAndExit runs Main with the process's own arguments and streams, and exits.
func RunAndExit[S any](
	load func(args []string) (S, settings.CommandLine, error),
	run func(ctx context.Context, s S, logs telemetry.Logs) error,
) {
	os.Exit(Main(os.Args[1:], load, run, os.Stdout, os.Stderr))
}
