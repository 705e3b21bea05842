package bench

import (
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/loadgen/report"
)

// sampleInterval is the time between two points of a series.
const sampleInterval = 5 * time.Second

// sampler records time series of a run.
type sampler struct {
	sim                                *simulation
	queue, changes                     report.Series
	mixed, prefill, decode, notServing report.Series
}

func newSampler(sim *simulation) *sampler {
	role := func(name string) report.Series {
		return report.Series{Plot: report.PlotRoles, Name: name, Unit: "engines"}
	}
	s := &sampler{
		sim:        sim,
		queue:      report.Series{Plot: report.PlotQueue, Unit: "prompt tokens"},
		changes:    report.Series{Plot: report.PlotRoleChanges, Unit: "role changes"},
		mixed:      role("mixed"),
		prefill:    role("prefill"),
		decode:     role("decode"),
		notServing: role("not serving"),
	}
	sim.every(sampleInterval, s.sample)
	return s
}

// sample appends a point to each series.
func (s *sampler) sample(now time.Duration) {
	at := now.Seconds()
	var queued, mixed, prefill, decode, notServing float64
	for _, n := range s.sim.nodes {
		queued += float64(n.gate.Load(now).PromptTokens)
		switch {
		case n.down || n.drained || n.changing:
			notServing++
		case n.role == configv1.Role_ROLE_PREFILL:
			prefill++
		case n.role == configv1.Role_ROLE_DECODE:
			decode++
		default:
			mixed++
		}
	}
	s.queue.Add(at, queued)
	s.changes.Add(at, float64(s.sim.result.roleChanges))
	s.mixed.Add(at, mixed)
	s.prefill.Add(at, prefill)
	s.decode.Add(at, decode)
	s.notServing.Add(at, notServing)
}

// goodputSeries returns the rate of requests completed in time, by completion
// time.
func goodputSeries(requests []*request) report.Series {
	var counts []float64
	for _, r := range requests {
		if !r.inTime() {
			continue
		}
		i := int(r.finishedAt / sampleInterval)
		for len(counts) <= i {
			counts = append(counts, 0)
		}
		counts[i]++
	}
	series := report.Series{Plot: report.PlotGoodput, Unit: "requests/s"}
	for i, n := range counts {
		end := time.Duration(i+1) * sampleInterval
		series.Add(end.Seconds(), n/sampleInterval.Seconds())
	}
	return series
}

// runSampled simulates a profile and records its time series.
func runSampled(p *profile, v variant, seed uint64) (report.Run, error) {
	sim, err := newSimulation(p, v, seed)
	if err != nil {
		return report.Run{}, err
	}
	s := newSampler(sim)
	res := sim.simulate()
	return report.Run{
		Name:        p.name,
		Variant:     v.name,
		Seed:        int64(seed),
		Goodput:     res.goodput() / p.measuredDuration().Seconds(),
		RoleChanges: res.roleChanges,
		Series:      []report.Series{goodputSeries(sim.requests), s.changes, s.queue, s.mixed, s.prefill, s.decode, s.notServing},
	}, nil
}

// RecordSeries runs the selected profiles with the first seed, both with the
// policy and with the baseline, and returns their time series for a report.
func RecordSeries(o Options) ([]report.Run, error) {
	selected, err := selectProfiles(o.Profiles)
	if err != nil {
		return nil, err
	}
	var runs []report.Run
	for i := range selected {
		for _, v := range []variant{policyVariant(), baselineVariant()} {
			run, err := runSampled(&selected[i], v, o.seeds()[0])
			if err != nil {
				return nil, err
			}
			runs = append(runs, run)
		}
	}
	return runs, nil
}
