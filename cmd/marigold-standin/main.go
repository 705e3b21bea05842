// Command marigold-standin runs stand-ins for the platform and for backend
// servers, which tests and the demo use.
package main

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/cli"
)

func main() { cli.Main(newRoot()) }

func newRoot() *ffcli.Command {
	return &ffcli.Command{
		Name:       "marigold-standin",
		ShortUsage: "marigold-standin <subcommand> [flags]",
		ShortHelp:  "Run stand-ins for the platform and for backend servers.",
		Subcommands: []*ffcli.Command{
			newPlatformCommand(),
			newEngineCommand(),
			newServiceCommand(),
		},
		Exec: cli.RequireSubcommand,
	}
}
