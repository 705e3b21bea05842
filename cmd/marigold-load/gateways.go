package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/gatewaybench"
)

// newGatewaysCommand returns the command that measures the gateways' placement
// in virtual time.
func newGatewaysCommand() *ffcli.Command {
	var options gatewaybench.Options
	fs := flag.NewFlagSet("marigold-load gateways", flag.ContinueOnError)
	options.AddFlags(fs)
	return &ffcli.Command{
		Name:       "gateways",
		ShortUsage: "marigold-load gateways [flags]",
		ShortHelp:  "Measure the gateways' placement in virtual time against a plain forwarder.",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			return gatewaybench.Run(os.Stdout, os.Stderr, options)
		},
	}
}
