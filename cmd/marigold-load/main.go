// Command marigold-load generates load for entries, runs simulated benchmarks and
// reports on their results.
package main

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/cli"
)

func main() { cli.Main(newRoot()) }

func newRoot() *ffcli.Command {
	return &ffcli.Command{
		Name:       "marigold-load",
		ShortUsage: "marigold-load <subcommand> [flags]",
		ShortHelp:  "Generate load for entries, run benchmarks and report on the results.",
		Subcommands: []*ffcli.Command{
			newBenchCommand(),
			newGatewaysCommand(),
			newRunCommand(),
			newReportCommand(),
			newSlopesCommand(),
		},
		Exec: cli.RequireSubcommand,
	}
}
