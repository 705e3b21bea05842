package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/gatewaybench"
)

func newGatewaysCommand() *ffcli.Command {
	var options gatewaybench.Options
	fs := flag.NewFlagSet("marigold-load gateways", flag.ContinueOnError)
	options.AddFlags(fs)
	return &ffcli.Command{
		Name:       "gateways",
		ShortUsage: "marigold-load gateways [flags]",
		ShortHelp:  "Simulate the placement of gateways and compare it with a plain forwarder.",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			return gatewaybench.Run(os.Stdout, os.Stderr, options)
		},
	}
}
