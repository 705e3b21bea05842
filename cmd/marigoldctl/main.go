// Command marigoldctl is the command line tool for operators. It validates and
// applies deployment files and shows the state of a deployment.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/operatorapi"
)

// Exit codes. Scripts depend on them.
const (
	exitOK = 0
	// exitInvalid means that the file has errors, or that trace found no lines.
	exitInvalid = 1
	// exitUsage means that the command line is invalid.
	exitUsage = 2
	// exitConflict means that another file was accepted after the base revision.
	exitConflict = 3
	// exitUnavailable means that the call failed and had no effect.
	exitUnavailable = 4
	// exitUnknown means that the file may or may not have been accepted.
	exitUnknown = 5
	// exitDifferent means that diff found differences.
	exitDifferent = 6
	// exitNotInForce means that the file was accepted, but that some failure
	// domains have not applied it within the time given by -wait.
	exitNotInForce = 7
)

// exitHelp documents the exit codes in the help texts.
const exitHelp = `EXIT CODES
  0  done
  1  the file has errors; nothing was changed
  2  wrong command line
  3  conflict: another apply came first; nothing was changed
  4  the call failed and had no effect
  5  unknown: run the same apply again with the printed -base and -apply-id
  6  diff: there are differences
  7  apply -wait: accepted, but not yet in force everywhere`

// exitError is an error with the exit code to which it leads.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without its exit code.
func (e *exitError) Unwrap() error { return e.err }

// withExitCode returns an error with an exit code. The format is that of
// fmt.Errorf.
func withExitCode(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(stderr, "marigoldctl:", err)
		return exitUsage
	}
	err := root.Run(ctx)
	if err == nil {
		return exitOK
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	fmt.Fprintln(stderr, "marigoldctl:", err)
	return exitCode(err)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var exit *exitError
	var problem *operatorapi.ProblemError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &problem) && problem.Problem.GetNotRun() == "unknown":
		return exitUnknown
	default:
		return exitUnavailable
	}
}

// options holds the flags that all subcommands have in common, and the output
// streams.
type options struct {
	stdout, stderr io.Writer
	server         string
	output         string
}

// newFlags returns a flag set with the common flags for a subcommand.
func (o *options) newFlags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("marigoldctl "+name, flag.ContinueOnError)
	fs.SetOutput(o.stderr)
	fs.StringVar(&o.server, "server", "http://127.0.0.1:7201", "base `URL` of an entry; for explain-request and dump, of a process on its metrics address")
	fs.StringVar(&o.output, "output", "text", "output `format`: text or json")
	return fs
}

// client returns a client for the entry given by -server.
func (o *options) client() (*operatorapi.Client, error) {
	client, err := operatorapi.NewClient(o.server)
	if err != nil {
		return nil, withExitCode(exitUsage, "%w", err)
	}
	return client, nil
}

// command returns a subcommand. Its flags can also be set by environment variables
// such as MARIGOLDCTL_SERVER.
func (o *options) command(name, args, help, examples string, fs *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "marigoldctl " + name + " [flags]" + args,
		ShortHelp:  help,
		LongHelp:   help + "\n\nEXAMPLES\n" + examples + "\n\n" + exitHelp,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("MARIGOLDCTL")},
		Exec: func(ctx context.Context, args []string) error {
			if o.output != "text" && o.output != "json" {
				return withExitCode(exitUsage, "invalid -output %q; allowed: text, json", o.output)
			}
			return exec(ctx, args)
		},
	}
}

func newRoot(stdout, stderr io.Writer) *ffcli.Command {
	o := &options{stdout: stdout, stderr: stderr}
	fs := flag.NewFlagSet("marigoldctl", flag.ContinueOnError)
	fs.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "marigoldctl",
		ShortUsage: "marigoldctl <subcommand> [flags] [arguments]",
		LongHelp:   "Manages a marigoldwing deployment: applies deployment files and shows the state.\n\n" + exitHelp,
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			newValidate(o), newApply(o), newDiff(o), newStatus(o), newExplain(o), newExplainRequest(o), newDump(o), newTrace(o, os.Stdin),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return withExitCode(exitUsage, "unknown subcommand %q; allowed: validate, apply, diff, status, explain, explain-request, dump, trace", args[0])
			}
			return flag.ErrHelp
		},
	}
}
