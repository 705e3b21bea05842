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

// entry decides with the policy.
type entry struct {
	index    int
	variant  variant
	table    *routing.Table
	health   *retry.HealthTracker
	budget   *retry.Budget
	refusals admission.RetryAfterEstimator
	admit    admission.Options
	seeds    uint64
}

// retryBudget is the share of retries that the services allow.
const retryBudget = 0.2

func newEntry(index int, v variant, engines []routing.Engine) *entry {
	opts := routing.DefaultOptions(entryCount)
	opts.BlockTokens = blockTokens
	if v.routing != nil {
		v.routing(&opts)
	}
	health := retry.DefaultHealthOptions()
	if !v.ejection {
		health.ConsecutiveFailures, health.SlowStart = 0, 0
	}
	e := &entry{
		index:   index,
		variant: v,
		table:   routing.NewTable(opts),
		health:  retry.NewHealthTracker(health),
		budget:  retry.NewBudget(retry.DefaultOptions(retryBudget)),
		admit:   v.admission(),
	}
	e.table.SetEngines(engines)
	var names []string
	for _, n := range engines {
		names = append(names, n.Name)
	}
	e.health.SetServers(names)
	return e
}

func (e *entry) choose(now time.Duration, r *request) (routing.Choice, bool) {
	e.seeds++
	if r.attempts == 0 {
		e.budget.RecordFirstAttempt()
	}
	c, err := e.table.Choose(now, routing.Request{
		PromptTokens: r.prompt + r.produced,
		OutputTokens: max(1, r.expected-r.produced),
		Remaining:    e.remaining(now, r),
		PrefixHashes: r.prefix,
		Exclude:      r.tried,
		Seed:         r.seed + e.seeds,
	})
	if err != nil {
		return c, false
	}
	out := admission.Decide(now, admission.Request{
		Remaining:       r.deadline - now,
		PredictedFinish: c.TimeToFinish,
		Seed:            r.seed,
	}, &e.refusals, e.admit)
	return c, out.Admitted
}

// remaining returns the time that tells the request's urgency to routing.
func (e *entry) remaining(now time.Duration, r *request) time.Duration {
	if !e.variant.urgency {
		return 0
	}
	return r.deadline - now
}

func (e *entry) sent(now time.Duration, a *attempt) {
	e.refusals.RecordAdmitted(now)
	send := routing.Attempt{
		ID:           a.sequenceID(),
		Engine:       a.prefill.name,
		PromptTokens: a.prompt + a.resume - a.cached,
		OutputTokens: max(1, a.expected-a.resume),
		Remaining:    e.remaining(now, a.request),
		PrefixHashes: a.prefix,
	}
	if a.split {
		decode := send
		send.OutputTokens = 0
		decode.ID = a.id + "/" + strconv.Itoa(1)
		decode.Engine, decode.PromptTokens, decode.PrefixHashes = a.decode.name, 0, nil
		must(e.table.RecordSend(now, decode))
	}
	must(e.table.RecordSend(now, send))
}

func (e *entry) ended(now time.Duration, a *attempt, n *node, failed bool) {
	must(e.table.RecordEnd(now, n.name, a.sequenceID()))
	if a.split && a.stage == 0 && a.ended {
		must(e.table.RecordEnd(now, a.decode.name, a.id+"/"+strconv.Itoa(1)))
	}
	if failed {
		e.health.RecordFailure(now, n.name)
	} else if a.answers > 0 {
		e.health.RecordSuccess(n.name)
	}
	e.weigh(now, n.name)
}

// weigh passes a backend server's health on to routing.
func (e *entry) weigh(now time.Duration, name string) {
	must(e.table.SetWeight(name, e.health.Weight(now, name)))
}

func (e *entry) again(now time.Duration, a *attempt, ran peerv1.Ran) (time.Duration, bool) {
	d := e.budget.Decide(retry.Attempt{
		Idempotent:   true,
		Ran:          ran,
		AttemptsMade: a.attempts,
		Remaining:    a.deadline - now,
		Seed:         a.seed,
	})
	return d.Backoff, d.Action == retry.ActionRetry
}

func (e *entry) report(now time.Duration, rep routing.LoadReport) {
	must(e.table.RecordReport(rep))
	e.weigh(now, rep.Engine)
}

func (e *entry) state(now time.Duration, n *node, rep routing.LoadReport) {
	serving := peerv1.ServerState_SERVER_STATE_SERVING
	if rep.State == serving {
		e.health.RecordRecovery(now, n.name)
		e.weigh(now, n.name)
	}
	must(e.table.SetState(n.name, rep.Role, rep.State))
}

func (e *entry) cacheEvent(n *node, block uint64, evicted bool) {
	must(e.table.RecordCacheEvent(n.name, block, evicted))
}

// must stops the bench on a broken invariant.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// naiveEntry decides with the baseline.
type naiveEntry struct{ router *baseline.Router }

func (e *naiveEntry) choose(time.Duration, *request) (routing.Choice, bool) {
	c, err := e.router.Choose()
	return c, err == nil
}

func (e *naiveEntry) sent(time.Duration, *attempt) {}

func (e *naiveEntry) ended(time.Duration, *attempt, *node, bool) {}

func (e *naiveEntry) again(_ time.Duration, a *attempt, _ peerv1.Ran) (time.Duration, bool) {
	return 0, baseline.ShouldRetry(a.attempts)
}

func (e *naiveEntry) report(time.Duration, routing.LoadReport) {}

func (e *naiveEntry) state(_ time.Duration, n *node, rep routing.LoadReport) {
	e.router.SetState(n.name, rep.Role, rep.State)
}

func (e *naiveEntry) cacheEvent(*node, uint64, bool) {}
