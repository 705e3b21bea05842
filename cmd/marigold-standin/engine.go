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

// stopTimeout is the time that requests in flight have to finish when a stand-in
// stops.
const stopTimeout = 2 * time.Second

func newEngineCommand() *ffcli.Command {
	fs := flag.NewFlagSet("marigold-standin engine", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7401", "listen `address` (IP:port)")
	opts := standin.Options{Settings: enginemodel.DefaultSettings()}
	s := &opts.Settings
	role := fs.String("role", "mixed", "initial `role`: mixed, prefill or decode")
	fs.StringVar(&s.Model, "model", "", "`model` loaded initially")
	fs.StringVar(&s.ModelVersion, "model-version", "", "`version` of the model loaded initially")
	fs.Float64Var(&opts.TimeScale, "time-scale", 1, "simulated seconds per real second")
	fs.BoolVar(&opts.ChecksFencing, "fencing", true, "reject orders with an outdated fencing token")
	fs.Uint64Var(&opts.Seed, "seed", 1, "seed of the random number generator")
	fs.Float64Var(&s.PrefillRate, "prefill-rate", s.PrefillRate, "prompt tokens prefilled per second while nothing is decoded")
	fs.DurationVar(&s.DecodeStep, "decode-step", s.DecodeStep, "time per decode step with a single sequence")
	fs.DurationVar(&s.DecodeStepPerSequence, "decode-step-per-sequence", s.DecodeStepPerSequence, "added time per decode step for each further sequence")
	fs.IntVar(&s.MaxBatch, "max-batch", s.MaxBatch, "maximum number of sequences decoded together")
	fs.IntVar(&s.KVTokens, "kv-tokens", s.KVTokens, "size of the KV cache in tokens")
	fs.DurationVar(&s.ReportLag, "report-lag", s.ReportLag, "delay of load reports")
	fs.DurationVar(&s.RoleChangeTime, "role-change", s.RoleChangeTime, "duration of a role change")
	fs.DurationVar(&s.ModelLoadTime, "load-model", s.ModelLoadTime, "duration of loading a model")
	return &ffcli.Command{
		Name:       "engine",
		ShortUsage: "marigold-standin engine [flags]",
		ShortHelp:  "Run a simulated model engine in scaled time.",
		LongHelp:   "Durations are in simulated time. To inject faults, PUT a JSON object to " + standin.PathFaults + ", for example {\"slow\":4}.",
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

// serveEngine runs and serves an engine until ctx is done.
func serveEngine(ctx context.Context, address string, opts standin.Options) error {
	engine, err := standin.New(opts)
	if err != nil {
		return err
	}
	go engine.Run(ctx)
	return serve(ctx, address, engine.Handler())
}
