// Package cli runs the commands that end by themselves or by a signal.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// exitFailed is the exit code after an error.
const exitFailed = 1

// Main runs a command with the arguments of the process until it ends, or
// until SIGINT or SIGTERM ends its context. It exits with code 1 on an error,
// which it prints.
func Main(root *ffcli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", root.Name, err)
		os.Exit(exitFailed)
	}
}

// RequireSubcommand is the Exec of a command that only has subcommands: it shows
// the help, or names the argument that is none of them.
func RequireSubcommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unknown subcommand %q", args[0])
	}
	return flag.ErrHelp
}
