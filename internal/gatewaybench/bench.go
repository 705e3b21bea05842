package gatewaybench

import (
	"flag"
	"fmt"
	"io"
	"slices"
	"time"
)

// Options selects what the benchmark runs.
type Options struct {
	// Seeds is the number of random seeds, starting with 1.
	Seeds int
}

// AddFlags defines the command-line flags of the benchmark.
func (o *Options) AddFlags(fs *flag.FlagSet) {
	const defaultSeeds = 3
	fs.IntVar(&o.Seeds, "seeds", defaultSeeds, "number of random seeds, starting with 1")
}

// variant is a way to route requests.
type variant struct {
	name   string
	router func(*simulation) router
}

// variants returns the compared variants: gateways that coordinate the
// placement of long prompts, gateways that each place on their own, and a plain
// forwarder.
func variants() []variant {
	return []variant{
		{"gateways", func(sim *simulation) router { return newGatewayRouter(sim, true) }},
		{"gateways, each alone", func(sim *simulation) router { return newGatewayRouter(sim, false) }},
		{"plain forwarder", func(*simulation) router { return newForwarder() }},
	}
}

// Run runs each profile with each variant and writes a table of the results.
// Progress messages go to progress.
func Run(out, progress io.Writer, o Options) error {
	for _, p := range profiles() {
		fmt.Fprintf(out, "%s\n%-22s %-16s %8s %8s %9s %9s %9s %12s\n", p.name,
			"", "kind", "asked/s", "in time", "share", "p50 ms", "p95 ms", "credit/s")
		for _, v := range variants() {
			var all []*request
			for seed := range o.Seeds {
				fmt.Fprintf(progress, "%s, %s, seed %d of %d\n", p.name, v.name, seed+1, o.Seeds)
				sim, err := newSimulation(&p, uint64(seed)+1)
				if err != nil {
					return err
				}
				sim.simulate(v.router(sim))
				all = append(all, sim.requests...)
			}
			for _, c := range []string{p.long.name, p.short.name} {
				writeRow(out, v.name, c, all, o.Seeds)
			}
		}
	}
	return nil
}

// result aggregates the requests of one class.
type result struct {
	arrived, withinObjective int
	p50, p95                 time.Duration
	credit                   float64
}

// summarize aggregates the requests of a class.
func summarize(class string, all []*request) result {
	var res result
	var times []time.Duration
	for _, r := range all {
		if r.class.name != class {
			continue
		}
		res.arrived++
		if r.firstEvent == 0 {
			continue
		}
		times = append(times, r.firstEvent)
		if r.firstEvent <= r.class.objective {
			res.withinObjective++
			res.credit += r.class.credit
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		res.p50, res.p95 = times[len(times)/2], times[len(times)*95/100]
	}
	return res
}

// writeRow writes the table row of one variant and class. Rates are per second
// of arrivals.
func writeRow(out io.Writer, variant, class string, all []*request, seeds int) {
	res := summarize(class, all)
	seconds := float64(seeds) * arrivalDuration.Seconds()
	fmt.Fprintf(out, "%-22s %-16s %8.1f %8.1f %9.3f %9d %9d %12.1f\n", variant, class,
		float64(res.arrived)/seconds, float64(res.withinObjective)/seconds, float64(res.withinObjective)/float64(max(1, res.arrived)),
		res.p50.Milliseconds(), res.p95.Milliseconds(), res.credit/seconds)
}
