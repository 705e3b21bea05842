package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/loadgen/slopes"
)

// targetSizes holds a size for each dimension. It implements flag.Value.
type targetSizes map[string]float64

// String implements flag.Value.
func (t targetSizes) String() string { return "" }

// Set implements flag.Value.
func (t targetSizes) Set(text string) error {
	dimension, size, ok := strings.Cut(text, "=")
	value, err := strconv.ParseFloat(size, 64)
	if !ok || err != nil {
		return fmt.Errorf("want dimension=size, for example engines=940")
	}
	t[dimension] = value
	return nil
}

func newSlopesCommand() *ffcli.Command {
	fs := flag.NewFlagSet("marigold-load slopes", flag.ContinueOnError)
	targets := make(targetSizes)
	fs.Var(targets, "at", "extrapolate to this `dimension=size`; may be given several times")
	return &ffcli.Command{
		Name:       "slopes",
		ShortUsage: "go test -bench ... | marigold-load slopes -at engines=940",
		ShortHelp:  "Fit Go benchmarks that were run at several sizes and extrapolate them.",
		LongHelp:   "Reads the results of benchmarks named Name/dimension=size from the standard input.",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			metrics, err := slopes.Read(os.Stdin)
			if err != nil {
				return err
			}
			return slopes.Write(os.Stdout, metrics, targets)
		},
	}
}
