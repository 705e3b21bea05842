package bench

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// defaultSeeds is the default number of seeds. The policy is tuned with
	// seeds 1 to defaultSeeds.
	defaultSeeds = 10
	// defaultAblationSeeds is the default number of seeds for the ablations.
	defaultAblationSeeds = 3
	// heldOutFrom is the first of heldOutSeeds seeds that are not used for
	// tuning.
	heldOutFrom  = 1001
	heldOutSeeds = 5
)

// Options selects what the benchmark runs.
type Options struct {
	// Seeds is the number of random seeds, starting with 1.
	Seeds int
	// HeldOut selects the seeds that are held out from tuning instead.
	HeldOut bool
	// Ablations is a comma-separated list of the parts of the policy to remove,
	// each in a variant of its own. "all" selects every part; empty means none.
	Ablations string
	// AblationSeeds is the number of seeds for the ablations.
	AblationSeeds int
	// Profiles is a comma-separated list of the profiles to run; empty means
	// all.
	Profiles string
	// Workers is the maximum number of concurrent runs.
	Workers int
	// Progress receives progress messages; nil discards them.
	Progress io.Writer
}

// progress counts completed runs and reports them periodically.
type progress struct {
	w         io.Writer
	completed atomic.Int64
	startTime time.Time
}

// progressInterval is the number of runs between two progress messages.
const progressInterval = 10

func newProgress(out io.Writer) *progress { return &progress{w: out, startTime: time.Now()} }

// runDone records that a run has completed.
func (p *progress) runDone() {
	n := p.completed.Add(1)
	if p.w != nil && n%progressInterval == 0 {
		fmt.Fprintf(p.w, "%d runs completed in %s\n", n, time.Since(p.startTime).Round(time.Second))
	}
}

// AddFlags defines the command-line flags of the benchmark.
func (o *Options) AddFlags(fs *flag.FlagSet) {
	fs.IntVar(&o.Seeds, "seeds", defaultSeeds, "number of random seeds, starting with 1")
	fs.BoolVar(&o.HeldOut, "held-back", false, "run the five seeds that are held out from tuning instead")
	fs.StringVar(&o.Ablations, "ablations", "all", "comma-separated parts of the policy to remove, one at a time; \"all\" selects every part, empty none")
	fs.IntVar(&o.AblationSeeds, "ablation-seeds", defaultAblationSeeds, "number of random seeds for the ablations")
	fs.StringVar(&o.Profiles, "profiles", "", "comma-separated profiles to run; empty means all")
	fs.IntVar(&o.Workers, "workers", runtime.NumCPU(), "maximum number of concurrent runs")
}

// Run runs the selected profiles and writes a table for each, followed by a
// summary line for each.
func Run(ctx context.Context, out io.Writer, o Options) error {
	startTime := time.Now()
	variants := []variant{policyVariant(), baselineVariant(), fixedRolesBaselineVariant()}
	ablated, err := selectAblations(o.Ablations)
	if err != nil {
		return err
	}
	variants = append(variants, ablated...)
	selected, err := selectProfiles(o.Profiles)
	if err != nil {
		return err
	}
	seeds := o.seeds()
	seedLimit := func(v variant) int {
		if strings.HasPrefix(v.name, ablationPrefix) {
			return o.AblationSeeds
		}
		return len(seeds)
	}
	all, err := runAll(ctx, selected, variants, seeds, seedLimit, max(1, o.Workers), newProgress(o.Progress))
	if err != nil {
		return err
	}
	for _, p := range all {
		if err := p.writeTable(out); err != nil {
			return err
		}
	}
	writeElapsed(out, time.Since(startTime))
	for _, p := range all {
		p.writeSummary(out)
	}
	return nil
}

func (o Options) seeds() []uint64 {
	from, n := uint64(1), max(1, o.Seeds)
	if o.HeldOut {
		from, n = heldOutFrom, heldOutSeeds
	}
	var seeds []uint64
	for i := range uint64(n) {
		seeds = append(seeds, from+i)
	}
	return seeds
}

func selectProfiles(names string) ([]profile, error) {
	return selectByName(names, "", profiles(), func(p profile) string { return p.name })
}

func selectAblations(names string) ([]variant, error) {
	if names == "" {
		return nil, nil
	}
	return selectByName(names, "all", ablations(), func(v variant) string { return strings.TrimPrefix(v.name, ablationPrefix) })
}

// selectByName returns the elements of all whose names are in the
// comma-separated list names. If names equals allKeyword, it returns all of
// them. It returns an error for an unknown name.
func selectByName[T any](names, allKeyword string, all []T, name func(T) string) ([]T, error) {
	if names == allKeyword {
		return all, nil
	}
	var selected []T
	for _, want := range strings.Split(names, ",") {
		i := slices.IndexFunc(all, func(element T) bool { return name(element) == want })
		if i < 0 {
			return nil, fmt.Errorf("bench: unknown name %q", want)
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

// runAll runs every variant of every profile, with as many of the seeds as
// seedLimit returns for the variant.
func runAll(ctx context.Context, selected []profile, variants []variant, seeds []uint64, seedLimit func(variant) int, workers int, progress *progress) ([]*profileRuns, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	var allRuns []*profileRuns
	for i := range selected {
		runs := &profileRuns{profile: &selected[i], variants: variants, seeds: make([]seedRuns, len(seeds))}
		allRuns = append(allRuns, runs)
		for s, seed := range seeds {
			runs.seeds[s].results = make([]*result, len(variants))
			group.Go(func() error { return runs.computeBounds(s, seed) })
			for v := range variants {
				if s >= seedLimit(variants[v]) {
					continue
				}
				group.Go(func() error {
					if err := ctx.Err(); err != nil {
						return err
					}
					res, err := runOne(runs.profile, variants[v], seed)
					runs.seeds[s].results[v] = res
					progress.runDone()
					return err
				})
			}
		}
	}
	return allRuns, group.Wait()
}

// computeBounds computes the goodput bounds of one seed: for all requests, and
// for each class as if it had the whole fleet to itself.
func (p *profileRuns) computeBounds(s int, seed uint64) error {
	requests := arrivals(p.profile, seed, entryCount)
	counted := func(r *request) bool { return measured(p.profile, r) }
	p.seeds[s].bound = goodputBound(p.profile, requests, counted)
	for c := range p.profile.classes {
		countedOfClass := func(r *request) bool { return counted(r) && r.class == c }
		p.seeds[s].classBound = append(p.seeds[s].classBound, goodputBound(p.profile, requests, countedOfClass))
	}
	return nil
}
