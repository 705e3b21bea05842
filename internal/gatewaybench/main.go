package gatewaybench

import (
	"flag"
	"fmt"
	"io"
	"slices"
	"time"
)

// Options select what is run.
type Options struct {
	// Seeds is the number of seeds, from 1 on.
	Seeds int
}

// AddFlags defines the flags of the bench.
func (o *Options) AddFlags(fs *flag.FlagSet) {
	const defaultSeeds = 3
	fs.IntVar(&o.Seeds, "seeds", defaultSeeds, "number of seeds, from 1 on")
}

// variant is one way to send requests.
type variant struct {
	name   string
	router func(*world) router
}

func variants() []variant {
	return []variant{
		{"gateways", func(w *world) router { return newGateways(w, true) }},
		{"gateways, each alone", func(w *world) router { return newGateways(w, false) }},
		{"plain forwarder", func(*world) router { return newForwarder() }},
	}
}

// Run plays each profile with each variant, tells progress of what runs, and
// writes a table.
func Run(out, progress io.Writer, o Options) error {
	for _, p := range profiles() {
		fmt.Fprintf(out, "%s\n%-22s %-16s %8s %8s %9s %9s %9s %12s\n", p.name,
			"", "kind", "asked/s", "in aim", "share", "p50 ms", "p95 ms", "credit/s")
		for _, v := range variants() {
			var all []*request
			for seed := range o.Seeds {
				fmt.Fprintf(progress, "%s, %s, seed %d of %d\n", p.name, v.name, seed+1, o.Seeds)
				w, err := newWorld(&p, uint64(seed)+1)
				if err != nil {
					return err
				}
				w.play(v.router(w))
				all = append(all, w.requests...)
			}
			for _, c := range []string{p.long.name, p.short.name} {
				report(out, v.name, c, all, o.Seeds)
			}
		}
	}
	return nil
}

// result sums up one kind of request.
type result struct {
	asked, inAim int
	p50, p95     time.Duration
	credit       float64
}

func sumUp(class string, all []*request) result {
	var res result
	var times []time.Duration
	for _, r := range all {
		if r.class.name != class {
			continue
		}
		res.asked++
		if r.firstEvent == 0 {
			continue
		}
		times = append(times, r.firstEvent)
		if r.firstEvent <= r.class.aim {
			res.inAim++
			res.credit += r.class.worth
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		res.p50, res.p95 = times[len(times)/2], times[len(times)*95/100]
	}
	return res
}

func report(out io.Writer, variant, class string, all []*request, seeds int) {
	res := sumUp(class, all)
	seconds := float64(seeds) * length.Seconds()
	fmt.Fprintf(out, "%-22s %-16s %8.1f %8.1f %9.3f %9d %9d %12.1f\n", variant, class,
		float64(res.asked)/seconds, float64(res.inAim)/seconds, float64(res.inAim)/float64(max(1, res.asked)),
		res.p50.Milliseconds(), res.p95.Milliseconds(), res.credit/seconds)
}
