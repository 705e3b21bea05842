package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	standin "github.com/marigoldwing/marigoldwing/internal/standin/service"
)

func newServiceCommand() *ffcli.Command {
	fs := flag.NewFlagSet("marigold-standin service", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7501", "listen `address` (IP:port)")
	return &ffcli.Command{
		Name:       "service",
		ShortUsage: "marigold-standin service [flags]",
		ShortHelp:  "Run a plain backend server that echoes requests.",
		LongHelp:   "To inject faults, PUT a JSON object to " + standin.PathFaults + ", for example {\"late_ms\":500}.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			service := &standin.Service{}
			return serve(ctx, *address, service.Handler())
		},
	}
}
