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

func newBenchCommand() *ffcli.Command {
	var options bench.Options
	fs := flag.NewFlagSet("marigold-load bench", flag.ContinueOnError)
	options.AddFlags(fs)
	series := fs.String("json", "", "write the time series of the first seed to this `file`, as input of report")
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "marigold-load bench [flags]",
		ShortHelp:  "Simulate routing and planning and compare them with the baseline and the upper bound.",
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
