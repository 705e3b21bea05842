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
	// defaultSeeds is the number of seeds to tune with, from 1 on.
	defaultSeeds = 10
	// defaultAblationSeeds is the number of them for the ablations.
	defaultAblationSeeds = 3
	// heldBackFrom is the first seed held back from tuning.
	heldBackFrom  = 1001
	heldBackSeeds = 5
)

// Options select what is run.
type Options struct {
	// Seeds is the number of seeds.
	Seeds int
	// HeldOut takes the seeds that are held back from tuning.
	HeldOut bool
	// Ablations names the parts that are taken out alone, separated by commas;
	// "all" stands for each of them and empty for none.
	Ablations string
	// AblationSeeds is the number of seeds for the ablations.
	AblationSeeds int
	// Profiles to run, by name and separated by commas; empty for all.
	Profiles string
	// Workers is the number of runs at once.
	Workers int
	// Progress is told of the runs that have ended; nil for nobody.
	Progress io.Writer
}

// progress counts runs and tells of them now and then.
type progress struct {
	out   io.Writer
	ended atomic.Int64
	began time.Time
}

// progressRuns is the number of runs between two words of progress.
const progressRuns = 10

func newProgress(out io.Writer) *progress { return &progress{out: out, began: time.Now()} }

// end takes in that a run has ended.
func (p *progress) end() {
	n := p.ended.Add(1)
	if p.out != nil && n%progressRuns == 0 {
		fmt.Fprintf(p.out, "%d runs played in %s\n", n, time.Since(p.began).Round(time.Second))
	}
}

// AddFlags defines the flags of the bench.
func (o *Options) AddFlags(fs *flag.FlagSet) {
	fs.IntVar(&o.Seeds, "seeds", defaultSeeds, "number of seeds, from 1 on")
	fs.BoolVar(&o.HeldOut, "held-back", false, "run the five seeds held back from tuning instead")
	fs.StringVar(&o.Ablations, "ablations", "all", "parts of the policy to take out alone, separated by commas; all, or none when empty")
	fs.IntVar(&o.AblationSeeds, "ablation-seeds", defaultAblationSeeds, "number of seeds for the ablations")
	fs.StringVar(&o.Profiles, "profiles", "", "profiles to run, separated by commas; all when empty")
	fs.IntVar(&o.Workers, "workers", runtime.NumCPU(), "number of runs at once")
}

// Run plays the profiles and writes a table for each, and at the end one line
// for each.
func Run(ctx context.Context, out io.Writer, o Options) error {
	began := time.Now()
	variants := []variant{policyVariant(), naiveVariant(), heldNaiveVariant()}
	taken, err := chooseAblations(o.Ablations)
	if err != nil {
		return err
	}
	variants = append(variants, taken...)
	chosen, err := chooseProfiles(o.Profiles)
	if err != nil {
		return err
	}
	seeds := o.seeds()
	limit := func(v variant) int {
		if strings.HasPrefix(v.name, withoutPrefix) {
			return o.AblationSeeds
		}
		return len(seeds)
	}
	all, err := runAll(ctx, chosen, variants, seeds, limit, max(1, o.Workers), newProgress(o.Progress))
	if err != nil {
		return err
	}
	for _, p := range all {
		if err := p.write(out); err != nil {
			return err
		}
	}
	elapsed(out, time.Since(began))
	for _, p := range all {
		p.summary(out)
	}
	return nil
}

func (o Options) seeds() []uint64 {
	from, n := uint64(1), max(1, o.Seeds)
	if o.HeldOut {
		from, n = heldBackFrom, heldBackSeeds
	}
	var seeds []uint64
	for i := range uint64(n) {
		seeds = append(seeds, from+i)
	}
	return seeds
}

func chooseProfiles(names string) ([]profile, error) {
	return choose(names, "", profiles(), func(p profile) string { return p.name })
}

func chooseAblations(names string) ([]variant, error) {
	if names == "" {
		return nil, nil
	}
	return choose(names, "all", ablations(), func(v variant) string { return strings.TrimPrefix(v.name, withoutPrefix) })
}

// choose returns those of all that the names, separated by commas, select.
func choose[T any](names, whole string, all []T, name func(T) string) ([]T, error) {
	if names == whole {
		return all, nil
	}
	var chosen []T
	for _, want := range strings.Split(names, ",") {
		i := slices.IndexFunc(all, func(one T) bool { return name(one) == want })
		if i < 0 {
			return nil, fmt.Errorf("bench: unknown name %q", want)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// runAll runs every variant of every profile with as many of the seeds as its
// limit says.
func runAll(ctx context.Context, chosen []profile, variants []variant, seeds []uint64, limit func(variant) int, workers int, told *progress) ([]*profileRuns, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	var all []*profileRuns
	for i := range chosen {
		runs := &profileRuns{profile: &chosen[i], variants: variants, seeds: make([]seedRuns, len(seeds))}
		all = append(all, runs)
		for s, seed := range seeds {
			runs.seeds[s].results = make([]*result, len(variants))
			group.Go(func() error { return runs.runBounds(s, seed) })
			for v := range variants {
				if s >= limit(variants[v]) {
					continue
				}
				group.Go(func() error {
					if err := ctx.Err(); err != nil {
						return err
					}
					res, err := runOne(runs.profile, variants[v], seed)
					runs.seeds[s].results[v] = res
					told.end()
					return err
				})
			}
		}
	}
	return all, group.Wait()
}

// runBounds works out the bounds of one seed: of all requests, and of each
// class with the whole fleet to itself.
func (p *profileRuns) runBounds(s int, seed uint64) error {
	requests := arrivals(p.profile, seed, entryCount)
	judged := func(r *request) bool { return counts(p.profile, r) }
	p.seeds[s].bound = bound(p.profile, requests, judged)
	for c := range p.profile.classes {
		own := func(r *request) bool { return judged(r) && r.class == c }
		p.seeds[s].classBound = append(p.seeds[s].classBound, bound(p.profile, requests, own))
	}
	return nil
}
