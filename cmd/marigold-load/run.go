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

// errViolations is returned after the results have been written if some of the
// outcomes violate the guarantees given to callers.
var errViolations = errors.New("some outcomes are unknown, doubled or mixed up, contradict the services' records, or could not be checked")

// runOptions are the flags of the run command.
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
	fs.StringVar(&opts.csvFile, "csv", "", "also write the result to this `file` in CSV, with one row for each class")
	fs.StringVar(&opts.line, "line", "", "print a summary line with this `label` at the end")
	fs.BoolVar(&opts.check, "check", false, "check the experiment file and exit")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "marigold-load run [flags] <experiment.ini>",
		ShortHelp:  "Generate the load of an experiment file and verify the outcomes.",
		LongHelp:   "Exits with code 1 if any outcome is unknown, doubled or mixed up, contradicts the services' records, or could not be checked.",
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
		fmt.Println(file, "is valid")
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
		return errViolations
	}
	return nil
}

// writeResult writes the result to the files that the flags name and to the
// standard output.
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

// writeFile creates a file and calls write with it. It does nothing if the name is
// empty.
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
