package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
	standin "github.com/marigoldwing/marigoldwing/internal/standin/platform"
)

// Default rate limits of the stand-in, which are those of the platform.
const (
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 400
)

func newPlatformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("marigold-standin platform", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7100", "listen `address` (IP:port)")
	reads := fs.Int("reads-per-second", defaultReadsPerSecond, "rate limit of reads, including watches (0: no limit)")
	writes := fs.Int("writes-per-second", defaultWritesPerSecond, "rate limit of writes (0: no limit)")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "marigold-standin platform [flags]",
		ShortHelp:  "Run an in-memory implementation of the platform's object API.",
		LongHelp:   "To inject faults, PUT a JSON object to " + standin.PathFaults + ", for example {\"down\":true}.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			store := fake.New(fake.Options{ReadsPerSecond: *reads, WritesPerSecond: *writes})
			return serve(ctx, *address, standin.NewHandler(store))
		},
	}
}
