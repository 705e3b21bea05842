// Command marigoldctl lets operators check and apply deployment files and
// read the state that the system reports back.
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

// Exit codes, for scripts.
const (
	exitOK = 0
	// exitRefused: the file has errors.
	exitRefused = 1
	// exitUsage: the command line is wrong.
	exitUsage = 2
	// exitConflict: another apply came first.
	exitConflict = 3
	// exitUnavailable: the call failed and had no effect.
	exitUnavailable = 4
	// exitUnknown: the apply may or may not have been accepted.
	exitUnknown = 5
	// exitDifferent: diff found differences.
	exitDifferent = 6
	// exitNotYet: the revision is not in force everywhere in time.
	exitNotYet = 7
)

const exitHelp = `EXIT CODES
  0  done
  1  the file has errors; nothing was changed
  2  wrong command line
  3  conflict: another apply came first; nothing was changed
  4  the call failed and had no effect
  5  unknown: run the same apply again with the printed -base and -apply-id
  6  diff: there are differences
  7  apply -wait: accepted, but not yet in force everywhere`

// exitError is an error with the exit code that it gives.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// fail returns an error with an exit code.
func fail(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run carries out one command line and returns the exit code.
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

// exitCode returns the exit code of an error.
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

// options are the flags that all subcommands have.
type options struct {
	stdout, stderr io.Writer
	server         string
	output         string
}

// newFlags returns the flag set of a subcommand with the common flags.
func (o *options) newFlags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("marigoldctl "+name, flag.ContinueOnError)
	fs.SetOutput(o.stderr)
	fs.StringVar(&o.server, "server", "http://127.0.0.1:7201", "base `URL` of an entry")
	fs.StringVar(&o.output, "output", "text", "output `format`: text or json")
	return fs
}

// client returns the client for the chosen entry.
func (o *options) client() (*operatorapi.Client, error) {
	client, err := operatorapi.NewClient(o.server)
	if err != nil {
		return nil, fail(exitUsage, "%w", err)
	}
	return client, nil
}

// command returns a subcommand; its flags can be set by environment
// variables as well, for example MARIGOLDCTL_SERVER.
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
				return fail(exitUsage, "-output %q: allowed: text, json", o.output)
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
		LongHelp:   "Operates a marigoldwing deployment: apply a file, read the state.\n\n" + exitHelp,
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			newValidate(o), newApply(o), newDiff(o), newStatus(o), newExplain(o), newDump(o), newTrace(o, os.Stdin),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return fail(exitUsage, "unknown subcommand %q; allowed: validate, apply, diff, status, explain, dump, trace", args[0])
			}
			return flag.ErrHelp
		},
	}
}
