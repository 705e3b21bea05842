// Package cli runs command line tools with subcommands.
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

// exitFailure is the exit code after an error.
const exitFailure = 1

// Main runs a command with the command line arguments. SIGINT and SIGTERM cancel
// the command's context. If the command returns an error, Main prints it and exits
// the process with code 1.
func Main(root *ffcli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", root.Name, err)
		os.Exit(exitFailure)
	}
}

// RequireSubcommand is the Exec function of a command that does nothing without a
// subcommand. It returns flag.ErrHelp, or an error if args contains an unknown
// subcommand.
func RequireSubcommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unknown subcommand %q", args[0])
	}
	return flag.ErrHelp
}
