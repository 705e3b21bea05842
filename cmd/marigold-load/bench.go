package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/bench"
)

// newBenchCommand returns the command that measures the decisions in virtual
// time.
func newBenchCommand() *ffcli.Command {
	var options bench.Options
	fs := flag.NewFlagSet("marigold-load bench", flag.ContinueOnError)
	options.AddFlags(fs)
	series := fs.String("json", "", "`file` for the runs of the first seed over time, which report draws")
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "marigold-load bench [flags]",
		ShortHelp:  "Measure the decisions in virtual time against the baseline and the bound.",
		LongHelp: "Example:\n" +
			"  marigold-load bench -profiles servicio-morning -seeds 3 -json bench.json\n" +
			"  marigold-load report -o bench.html bench.json",
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			options.Progress = os.Stderr
			if err := bench.Run(ctx, os.Stdout, options); err != nil || *series == "" {
				return err
			}
			runs, err := bench.RecordSeries(options)
			if err != nil {
				return err
			}
			return writeFile(*series, func(w io.Writer) error { return json.NewEncoder(w).Encode(runs) })
		},
	}
}
