package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/loadgen/report"
)

func newReportCommand() *ffcli.Command {
	fs := flag.NewFlagSet("marigold-load report", flag.ContinueOnError)
	out := fs.String("o", "report.html", "output `file`")
	title := fs.String("title", "Experiment", "title of the page")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "marigold-load report [flags] <result.json>...",
		ShortHelp:  "Write an HTML page with plots of results in JSON.",
		LongHelp:   "Runs with the same name are drawn in the same plots; the last variant is the baseline.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			runs, err := readRuns(args)
			if err != nil {
				return err
			}
			return writeFile(*out, func(w io.Writer) error { return report.Write(w, *title, runs) })
		},
	}
}

func readRuns(files []string) ([]report.Run, error) {
	var all []report.Run
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		runs, err := report.Read(file)
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, runs...)
	}
	return all, nil
}
