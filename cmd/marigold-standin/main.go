// Command marigold-standin runs the stand-ins that take the place of the
// platform and of backend servers in tests and in the demo.
package main

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/cli"
)

func main() { cli.Main(newRoot()) }

// newRoot returns the command with its subcommands, one file each.
func newRoot() *ffcli.Command {
	return &ffcli.Command{
		Name:       "marigold-standin",
		ShortUsage: "marigold-standin <subcommand> [flags]",
		ShortHelp:  "Stand-ins for the platform and for backend servers.",
		Subcommands: []*ffcli.Command{
			newPlatformCommand(),
			newEngineCommand(),
			newServiceCommand(),
		},
		Exec: cli.RequireSubcommand,
	}
}
