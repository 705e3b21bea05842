// Command marigold-load sends loads to entries and reports on experiments.
package main

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/cli"
)

func main() { cli.Main(newRoot()) }

// newRoot returns the command with its subcommands, one file each.
func newRoot() *ffcli.Command {
	return &ffcli.Command{
		Name:       "marigold-load",
		ShortUsage: "marigold-load <subcommand> [flags]",
		ShortHelp:  "Send loads to entries and report on experiments.",
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
