package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/loadgen"
)

// errNotSound is why run fails after it has written its results.
var errNotSound = errors.New("some outcomes are unknown, doubled, mixed up, untrue, lost or unjudged")

// runOptions are the flags of run.
type runOptions struct {
	jsonFile string
	csvFile  string
	line     string
	check    bool
}

func newRunCommand() *ffcli.Command {
	fs := flag.NewFlagSet("marigold-load run", flag.ContinueOnError)
	var opts runOptions
	fs.StringVar(&opts.jsonFile, "json", "", "also write the result to this `file` in JSON")
	fs.StringVar(&opts.csvFile, "csv", "", "also write one row for each class to this `file` in CSV")
	fs.StringVar(&opts.line, "line", "", "end with one line of totals after this `label`")
	fs.BoolVar(&opts.check, "check", false, "check the experiment file and stop")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "marigold-load run [flags] <experiment.ini>",
		ShortHelp:  "Send the load of an experiment file and judge its outcomes.",
		LongHelp:   "Exits with 1 unless every outcome is sound: none unknown, doubled or mixed up.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			return run(ctx, args[0], opts)
		},
	}
}

func run(ctx context.Context, file string, opts runOptions) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	experiment, err := loadgen.ParseExperiment(data)
	if err != nil {
		return fmt.Errorf("%s:\n%w", file, err)
	}
	if opts.check {
		fmt.Println(file, "is in order")
		return nil
	}
	result, err := loadgen.Run(ctx, experiment)
	if err != nil {
		return err
	}
	if err := writeResult(result, opts); err != nil {
		return err
	}
	if !result.Passed() {
		return errNotSound
	}
	return nil
}

func writeResult(result *loadgen.Result, opts runOptions) error {
	if err := writeFile(opts.jsonFile, result.WriteJSON); err != nil {
		return err
	}
	if err := writeFile(opts.csvFile, result.WriteCSV); err != nil {
		return err
	}
	if err := result.WriteText(os.Stdout); err != nil {
		return err
	}
	if opts.line != "" {
		fmt.Printf("%s: %s\n", opts.line, result.Summary())
	}
	return nil
}

// writeFile writes a file; an empty name writes nothing.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}
