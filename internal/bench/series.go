package bench

import (
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/loadgen/report"
)

// sampleInterval is the time between the points of a series.
const sampleInterval = 5 * time.Second

// sampler follows one run over time.
type sampler struct {
	world                              *world
	queue, changes                     report.Series
	mixed, prefill, decode, notServing report.Series
}

func newSampler(w *world) *sampler {
	role := func(name string) report.Series {
		return report.Series{Plot: report.PlotRoles, Name: name, Unit: "engines"}
	}
	s := &sampler{
		world:      w,
		queue:      report.Series{Plot: report.PlotQueue, Unit: "prompt tokens"},
		changes:    report.Series{Plot: report.PlotRoleChanges, Unit: "role changes"},
		mixed:      role("mixed"),
		prefill:    role("prefill"),
		decode:     role("decode"),
		notServing: role("not serving"),
	}
	w.every(sampleInterval, s.sample)
	return s
}

// sample adds a point to each series.
func (s *sampler) sample(now time.Duration) {
	at := now.Seconds()
	var queued, mixed, prefill, decode, notServing float64
	for _, n := range s.world.nodes {
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
	s.changes.Add(at, float64(s.world.result.roleChanges))
	s.mixed.Add(at, mixed)
	s.prefill.Add(at, prefill)
	s.decode.Add(at, decode)
	s.notServing.Add(at, notServing)
}

// goodputSeries counts the requests completed in time by the time at which
// they finished.
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

// runSampled plays a profile and follows it over time.
func runSampled(p *profile, v variant, seed uint64) (report.Run, error) {
	w, err := newWorld(p, v, seed)
	if err != nil {
		return report.Run{}, err
	}
	s := newSampler(w)
	res := w.play()
	return report.Run{
		Name:        p.name,
		Variant:     v.name,
		Seed:        int64(seed),
		Goodput:     res.goodput() / p.judged().Seconds(),
		RoleChanges: res.roleChanges,
		Series:      []report.Series{goodputSeries(w.requests), s.changes, s.queue, s.mixed, s.prefill, s.decode, s.notServing},
	}, nil
}

// RecordSeries plays the chosen profiles with the first of the seeds, under the
// policy and then under the baseline, and returns what a report draws.
func RecordSeries(o Options) ([]report.Run, error) {
	chosen, err := chooseProfiles(o.Profiles)
	if err != nil {
		return nil, err
	}
	var runs []report.Run
	for i := range chosen {
		for _, v := range []variant{policyVariant(), naiveVariant()} {
			run, err := runSampled(&chosen[i], v, o.seeds()[0])
			if err != nil {
				return nil, err
			}
			runs = append(runs, run)
		}
	}
	return runs, nil
}
