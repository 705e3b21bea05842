package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	standin "github.com/marigoldwing/marigoldwing/internal/standin/engine"
)

// stopTimeout is the time given to calls in flight when a stand-in stops.
const stopTimeout = 2 * time.Second

func newEngineCommand() *ffcli.Command {
	fs := flag.NewFlagSet("marigold-standin engine", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7401", "listen `address` (IP:port)")
	opts := standin.Options{Settings: enginemodel.DefaultSettings()}
	s := &opts.Settings
	role := fs.String("role", "mixed", "`role` at start: mixed, prefill or decode")
	fs.StringVar(&s.Model, "model", "", "`model` served at start")
	fs.StringVar(&s.ModelVersion, "model-version", "", "`version` of the model served at start")
	fs.Float64Var(&opts.TimeScale, "time-scale", 1, "seconds of the engine in a real second")
	fs.BoolVar(&opts.ChecksFencing, "fencing", true, "refuse orders with an old fencing number")
	fs.Uint64Var(&opts.Seed, "seed", 1, "seed of what is left to chance")
	fs.Float64Var(&s.PrefillRate, "prefill-rate", s.PrefillRate, "prompt tokens per second alone")
	fs.DurationVar(&s.DecodeStep, "decode-step", s.DecodeStep, "time between tokens of one sequence alone")
	fs.DurationVar(&s.DecodeStepPerSequence, "decode-step-per-sequence", s.DecodeStepPerSequence, "added for each further sequence")
	fs.IntVar(&s.MaxBatch, "max-batch", s.MaxBatch, "largest number of sequences together")
	fs.IntVar(&s.KVTokens, "kv-tokens", s.KVTokens, "KV cache memory in tokens")
	fs.DurationVar(&s.ReportLag, "report-lag", s.ReportLag, "least age of load reports")
	fs.DurationVar(&s.RoleChangeTime, "role-change", s.RoleChangeTime, "time that a change of role takes")
	fs.DurationVar(&s.ModelLoadTime, "load-model", s.ModelLoadTime, "time that loading a model takes")
	return &ffcli.Command{
		Name:       "engine",
		ShortUsage: "marigold-standin engine [flags]",
		ShortHelp:  "Serve a model engine that runs in scaled time.",
		LongHelp:   "Durations are in the engine's time. Fault switches: PUT a JSON object to " + standin.PathFaults + ", for example {\"slow\":4}.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			var err error
			if s.Role, err = parseRole(*role); err != nil {
				return err
			}
			return serveEngine(ctx, *address, opts)
		},
	}
}

func parseRole(name string) (configv1.Role, error) {
	switch name {
	case "mixed":
		return configv1.Role_ROLE_MIXED, nil
	case "prefill":
		return configv1.Role_ROLE_PREFILL, nil
	case "decode":
		return configv1.Role_ROLE_DECODE, nil
	}
	return 0, fmt.Errorf("role must be mixed, prefill or decode, got %q", name)
}

// serveEngine drives and serves an engine until ctx is done.
func serveEngine(ctx context.Context, address string, opts standin.Options) error {
	engine, err := standin.New(opts)
	if err != nil {
		return err
	}
	go engine.Run(ctx)
	return serve(ctx, address, engine.Handler())
}
