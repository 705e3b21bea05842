package placement

import (
	"slices"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// Choose returns where a request is best sent: the lowest predicted time of
// its first event, with what the choice costs others added. A request that
// can't be in time is deferred, so that it holds up none that can; under
// overload those that come in time then stay as many as the engines can carry.
// The caller tells the table with Sent.
func (t *Table) Choose(now time.Duration, r Request) (Choice, error) {
	t.sweep(now)
	if t.engine == nil {
		return t.choosePlain(now, r)
	}
	c, err := t.chooseEngine(now, r, false)
	if err != nil || r.FirstEventBudget == 0 || c.TimeToFirstEvent <= r.FirstEventBudget {
		return c, err
	}
	return t.chooseEngine(now, r, true)
}

// query is one request as the choice of an engine sees it.
type query struct {
	Request
	now      time.Duration
	keys     []uint64
	shared   int
	deferred bool
	prefills []*server
	decodes  []*server
	// homes of the shared parts, for engines of each stage.
	prefillHome, decodeHome *server
	// sources are the engines known to have read all shared parts.
	sources []*server
}

func (t *Table) newQuery(now time.Duration, r Request, deferred bool) query {
	q := query{
		Request: r, now: now, deferred: deferred,
		keys:     chain(r.Parts),
		shared:   sharedTokens(r.Parts),
		prefills: t.usable(now, fleet.StagePrefill),
		decodes:  t.usable(now, fleet.StageDecode),
	}
	if q.OriginDomain == "" {
		q.OriginDomain = t.opts.FailureDomain
	}
	if len(q.keys) < 2 {
		return q
	}
	q.sources = t.sources(&q)
	q.prefillHome = rendezvous(q.prefills, q.keys[0])
	q.decodeHome = q.prefillHome
	if q.shared < leastFetch || q.prefillHome == nil {
		q.decodeHome = rendezvous(q.decodes, q.keys[0])
	}
	return q
}

// excluded tells whether a server has failed the request.
func (q *query) excluded(s *server) bool { return slices.Contains(q.Exclude, s.ID) }

// option is a choice with its price.
type option struct {
	Choice
	// score in seconds; the lowest is best.
	score float64
}

// better keeps the option with the lower score.
func better(best *option, found *bool, o option) {
	if !*found || o.score < best.score {
		*best, *found = o, true
	}
}

// choosePlain chooses a plain server by its queue, those of the gateway's own
// failure domain first.
func (t *Table) choosePlain(now time.Duration, r Request) (Choice, error) {
	var best option
	found := false
	for _, s := range t.usable(now, fleet.StageWhole) {
		if slices.Contains(r.Exclude, s.ID) {
			continue
		}
		first := plainService * s.slow(now) * (1 + queueTurns(s, s.load(now)))
		better(&best, &found, option{
			Choice: t.choice(now, s, first),
			score:  first/s.weight + t.distance(t.opts.FailureDomain, s, r.BodyBytes),
		})
	}
	if !found {
		return Choice{}, ErrNoServer
	}
	return best.Choice, nil
}

func (t *Table) choice(now time.Duration, s *server, first float64) Choice {
	age := time.Duration(-1)
	if s.hasTold {
		age = now - s.toldAt
	}
	return Choice{Server: s.Server, TimeToFirstEvent: seconds(first), LoadAge: age}
}
