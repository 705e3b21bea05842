package placement

import (
	"slices"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// Choose returns the server with the lowest predicted time to first event, plus
// the cost that the choice imposes on other requests. A request that cannot
// meet its first-event budget is deferred behind those that still can, so that
// under overload the engines keep serving as many requests in time as their
// capacity allows. The caller reports the send with RecordSend. The error is
// ErrNoServer if no server is usable.
func (t *Table) Choose(now time.Duration, r Request) (Choice, error) {
	t.sweep(now)
	if t.engine == nil {
		return t.choosePlainServer(now, r)
	}
	c, err := t.chooseEngine(now, r, false)
	if err != nil || r.FirstEventBudget == 0 || c.TimeToFirstEvent <= r.FirstEventBudget {
		return c, err
	}
	return t.chooseEngine(now, r, true)
}

// query holds a request and everything derived from it for one choice of
// engines.
type query struct {
	Request
	now            time.Duration
	keys           []uint64
	shared         int
	deferred       bool
	prefillEngines []*server
	decodeEngines  []*server
	// prefillHome and decodeHome are the home engines of the shared parts for a
	// split and a single choice. Each is nil if the prompt has no shared parts
	// or the stage no usable engine. If the shared parts are long enough to be
	// fetched and there is a prefillHome, decodeHome is the same engine, so that
	// no decode engine is assumed to have them cached.
	prefillHome, decodeHome *server
	// fetchSources are the engines whose caches are known to hold all shared
	// parts.
	fetchSources []*server
}

func (t *Table) newQuery(now time.Duration, r Request, deferred bool) query {
	q := query{
		Request: r, now: now, deferred: deferred,
		keys:           prefixKeys(r.Parts),
		shared:         sharedTokens(r.Parts),
		prefillEngines: t.usableFor(now, r, fleet.StagePrefill),
		decodeEngines:  t.usableFor(now, r, fleet.StageDecode),
	}
	if q.OriginDomain == "" {
		q.OriginDomain = t.opts.FailureDomain
	}
	if len(q.keys) < 2 {
		return q
	}
	q.fetchSources = t.findFetchSources(&q)
	q.prefillHome = rendezvous(q.prefillEngines, q.keys[0])
	q.decodeHome = q.prefillHome
	if q.shared < minFetchTokens || q.prefillHome == nil {
		q.decodeHome = rendezvous(q.decodeEngines, q.keys[0])
	}
	return q
}

// excluded reports whether the server has refused or failed this request.
func (q *query) excluded(s *server) bool { return slices.Contains(q.Exclude, s.ID) }

// candidate is a possible choice with its score.
type candidate struct {
	Choice
	// score is the predicted time to first event plus costs, in seconds. The
	// lowest score wins.
	score float64
}

// keepBetter replaces best by c, which is for a kind of step, if c has the lower score
// or nothing was found yet.
func (t *Table) keepBetter(step stepKind, best *candidate, found *bool, c candidate) {
	if t.considered != nil {
		t.considered(step, c)
	}
	if !*found || c.score < best.score {
		*best, *found = c, true
	}
}

// choosePlainServer chooses a server of a plain service by its expected
// queueing time. Servers outside the gateway's failure domain incur a penalty.
func (t *Table) choosePlainServer(now time.Duration, r Request) (Choice, error) {
	var best candidate
	found := false
	stage := t.stageFactors(now, fleet.StageWhole)
	for _, s := range t.usableFor(now, r, fleet.StageWhole) {
		if slices.Contains(r.Exclude, s.ID) {
			continue
		}
		requests := s.requests(now)
		service := plainServiceSeconds * t.workFactor(now, s, requests, stage)
		wait := service * expectedServiceWaits(s, requests)
		first := service + wait
		t.keepBetter(directStep, &best, &found, candidate{
			Choice: t.newChoice(now, s, first),
			score:  (service+wait*s.loadCostFactor)*s.trialCost(now)/s.weight + t.domainCost(t.opts.FailureDomain, s, r.BodyBytes),
		})
	}
	if !found {
		return Choice{}, ErrNoServer
	}
	return best.Choice, nil
}

// newChoice returns the choice of a server with the predicted time to first
// event in seconds.
func (t *Table) newChoice(now time.Duration, s *server, first float64) Choice {
	age := time.Duration(-1)
	if s.hasReport {
		age = now - s.reportedAt
	}
	return Choice{Server: s.Server, TimeToFirstEvent: seconds(first), LoadAge: age}
}
