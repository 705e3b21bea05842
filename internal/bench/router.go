package bench

import (
	"strconv"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/admission"
	"github.com/marigoldwing/marigoldwing/internal/baseline"
	"github.com/marigoldwing/marigoldwing/internal/retry"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// policyRouter makes its decisions with the policy under test.
type policyRouter struct {
	index     int
	variant   variant
	table     *routing.Table
	health    *retry.HealthTracker
	budget    *retry.Budget
	refusals  admission.RetryAfterEstimator
	admission admission.Options
	choices   uint64 // calls of choose; varies the seed between attempts
}

// retryBudget is the maximum ratio of retries to first attempts.
const retryBudget = 0.2

func newPolicyRouter(index int, v variant, engines []routing.Engine) *policyRouter {
	opts := routing.DefaultOptions(entryCount)
	opts.BlockTokens = blockTokens
	if v.changeRouting != nil {
		v.changeRouting(&opts)
	}
	health := retry.DefaultHealthOptions()
	if !v.ejection {
		health.ConsecutiveFailures, health.SlowStart = 0, 0
	}
	p := &policyRouter{
		index:     index,
		variant:   v,
		table:     routing.NewTable(opts),
		health:    retry.NewHealthTracker(health),
		budget:    retry.NewBudget(0, retry.DefaultOptions(retryBudget)),
		admission: v.admission(),
	}
	p.table.SetEngines(engines)
	var names []string
	for _, n := range engines {
		names = append(names, n.Name)
	}
	p.health.SetServers(names)
	return p
}

func (p *policyRouter) choose(now time.Duration, r *request) (routing.Choice, bool) {
	p.choices++
	if r.attempts == 0 {
		p.budget.RecordFirstAttempt()
	}
	c, err := p.table.Choose(now, routing.Request{
		PromptTokens: r.promptTokens + r.produced,
		OutputTokens: max(1, r.expectedOutput-r.produced),
		Remaining:    p.remaining(now, r),
		PrefixHashes: r.prefixHashes,
		Exclude:      r.triedEngines,
		Seed:         r.seed + p.choices,
	})
	if err != nil {
		return c, false
	}
	out := admission.Decide(now, admission.Request{
		Remaining:       r.deadline - now,
		PredictedFinish: c.TimeToFinish,
		Seed:            r.seed,
	}, &p.refusals, p.admission)
	return c, out.Admitted
}

// remaining returns the time left until the deadline, from which routing
// derives the urgency of a request. Without the urgency part of the policy it
// returns 0 for all requests.
func (p *policyRouter) remaining(now time.Duration, r *request) time.Duration {
	if !p.variant.urgency {
		return 0
	}
	return r.deadline - now
}

func (p *policyRouter) sent(now time.Duration, a *attempt) {
	p.refusals.RecordAdmitted(now)
	send := routing.Attempt{
		ID:           a.sequenceID(),
		Engine:       a.prefill.name,
		PromptTokens: a.promptTokens + a.resumeFrom - a.cachedTokens,
		OutputTokens: max(1, a.expectedOutput-a.resumeFrom),
		Remaining:    p.remaining(now, a.request),
		PrefixHashes: a.prefixHashes,
	}
	if a.split {
		decode := send
		send.OutputTokens = 0
		decode.ID = a.id + "/" + strconv.Itoa(1)
		decode.Engine, decode.PromptTokens, decode.PrefixHashes = a.decode.name, 0, nil
		must(p.table.RecordSend(now, decode))
	}
	must(p.table.RecordSend(now, send))
}

func (p *policyRouter) ended(now time.Duration, a *attempt, n *node, failed bool) {
	must(p.table.RecordEnd(now, n.name, a.sequenceID()))
	if a.split && a.stage == 0 && a.ended {
		must(p.table.RecordEnd(now, a.decode.name, a.id+"/"+strconv.Itoa(1)))
	}
	if failed {
		p.health.RecordFailure(now, n.name)
	} else if a.completions > 0 {
		p.health.RecordSuccess(n.name)
	}
	p.updateWeight(now, n.name)
}

// updateWeight passes the health of an engine to routing as its weight.
func (p *policyRouter) updateWeight(now time.Duration, name string) {
	must(p.table.SetWeight(name, p.health.Weight(now, name)))
}

func (p *policyRouter) retryDecision(now time.Duration, a *attempt, ran peerv1.Ran) (time.Duration, bool) {
	d := p.budget.Decide(now, retry.Attempt{
		Idempotent:   true,
		Ran:          ran,
		AttemptsMade: a.attempts,
		Remaining:    a.deadline - now,
		Seed:         a.seed,
	})
	return d.Backoff, d.Action == retry.ActionRetry
}

func (p *policyRouter) report(now time.Duration, rep routing.LoadReport) {
	must(p.table.RecordReport(rep))
	p.updateWeight(now, rep.Engine)
}

func (p *policyRouter) stateChanged(now time.Duration, n *node, rep routing.LoadReport) {
	serving := peerv1.ServerState_SERVER_STATE_SERVING
	if rep.State == serving {
		p.health.RecordRecovery(now, n.name)
		p.updateWeight(now, n.name)
	}
	must(p.table.SetState(n.name, rep.Role, rep.State))
}

func (p *policyRouter) cacheEvent(n *node, block uint64, evicted bool) {
	must(p.table.RecordCacheEvent(n.name, block, evicted))
}

// must panics if an invariant of the benchmark is violated.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// baselineRouter makes its decisions with the baseline.
type baselineRouter struct{ router *baseline.Router }

func (b *baselineRouter) choose(time.Duration, *request) (routing.Choice, bool) {
	c, err := b.router.Choose()
	return c, err == nil
}

func (b *baselineRouter) sent(time.Duration, *attempt) {}

func (b *baselineRouter) ended(time.Duration, *attempt, *node, bool) {}

func (b *baselineRouter) retryDecision(_ time.Duration, a *attempt, _ peerv1.Ran) (time.Duration, bool) {
	return 0, baseline.ShouldRetry(a.attempts)
}

func (b *baselineRouter) report(time.Duration, routing.LoadReport) {}

func (b *baselineRouter) stateChanged(_ time.Duration, n *node, rep routing.LoadReport) {
	b.router.SetState(n.name, rep.Role, rep.State)
}

func (b *baselineRouter) cacheEvent(*node, uint64, bool) {}
