package loadgen

import (
	"context"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/loadgen/report"
)

const (
	// probeInterval is the time between two samples of the engines.
	probeInterval = time.Second
	// probeTimeout limits the sampling of one engine.
	probeTimeout = 500 * time.Millisecond
	// secondsPerBucket is the resolution of the request rate series.
	secondsPerBucket = 1
)

// probe samples the queues and the roles of engines during a run.
type probe struct {
	engines     []engine.Engine
	startTime   time.Time
	lastRoles   []configv1.Role
	roleChanges int
	queue       report.Series
	changes     report.Series
	roles       []report.Series
}

func newProbe(urls []string, startTime time.Time) *probe {
	p := &probe{
		startTime: startTime,
		queue:     report.Series{Plot: report.PlotQueue, Unit: "prompt tokens"},
		changes:   report.Series{Plot: report.PlotRoleChanges, Unit: "changes"},
	}
	for _, url := range urls {
		p.engines = append(p.engines, engine.NewHTTP(url))
		p.lastRoles = append(p.lastRoles, configv1.Role_ROLE_UNSPECIFIED)
	}
	for _, name := range []string{"mixed", "prefill", "decode"} {
		p.roles = append(p.roles, report.Series{Plot: report.PlotRoles, Name: name, Unit: "engines"})
	}
	return p
}

// run samples the engines until ctx is done.
func (p *probe) run(ctx context.Context) {
	if len(p.engines) == 0 {
		return
	}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		p.sample(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sample reads all engines once. Engines that do not respond are left out.
func (p *probe) sample(ctx context.Context) {
	var queued int64
	inRole := make([]int, len(configv1.Role_name))
	for i, e := range p.engines {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		load, loadErr := e.Load(callCtx)
		state, stateErr := e.State(callCtx)
		cancel()
		if loadErr == nil {
			queued += load.GetQueuedPromptTokens()
		}
		if stateErr == nil {
			p.observeRole(i, state.GetRole())
			inRole[state.GetRole()]++
		}
	}
	at := time.Since(p.startTime).Seconds()
	p.queue.Add(at, float64(queued))
	p.changes.Add(at, float64(p.roleChanges))
	for i, role := range []configv1.Role{configv1.Role_ROLE_MIXED, configv1.Role_ROLE_PREFILL, configv1.Role_ROLE_DECODE} {
		p.roles[i].Add(at, float64(inRole[role]))
	}
}

// observeRole counts a role change if the role of engine i differs from the
// last sample.
func (p *probe) observeRole(i int, role configv1.Role) {
	if p.lastRoles[i] != configv1.Role_ROLE_UNSPECIFIED && p.lastRoles[i] != role {
		p.roleChanges++
	}
	p.lastRoles[i] = role
}

func (p *probe) series() []report.Series {
	if len(p.engines) == 0 {
		return nil
	}
	return append([]report.Series{p.changes, p.queue}, p.roles...)
}

// requestSeries returns the rates of requests sent, completed in time and
// refused, by the second of arrival.
func requestSeries(outcomes []Outcome) []report.Series {
	buckets := 0
	for _, outcome := range outcomes {
		buckets = max(buckets, int(outcome.Arrival.At.Seconds())/secondsPerBucket+1)
	}
	sent, inTime, refused := make([]float64, buckets), make([]float64, buckets), make([]float64, buckets)
	for _, outcome := range outcomes {
		i := int(outcome.Arrival.At.Seconds()) / secondsPerBucket
		sent[i]++
		if outcome.InTime() {
			inTime[i]++
		}
		if outcome.Verdict == Refused {
			refused[i]++
		}
	}
	series := []report.Series{
		{Plot: report.PlotGoodput, Name: "in time", Unit: "requests/s"},
		{Plot: report.PlotGoodput, Name: "sent", Unit: "requests/s"},
		{Plot: report.PlotGoodput, Name: "refused", Unit: "requests/s"},
	}
	for i := range buckets {
		at := float64(i * secondsPerBucket)
		series[0].Add(at, inTime[i]/secondsPerBucket)
		series[1].Add(at, sent[i]/secondsPerBucket)
		series[2].Add(at, refused[i]/secondsPerBucket)
	}
	return series
}
