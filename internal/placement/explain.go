package placement

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// Reasons why a server gets no requests.
const (
	UnusableLeaving = "leaving"
	UnusableWeight  = "weight_0"
	UnusableBackoff = "refusal_backoff"
)

// unusable returns why the server gets no requests, and nothing if it may get some.
func (s *server) unusable(now time.Duration) string {
	switch {
	case s.Leaving:
		return UnusableLeaving
	case s.weight <= 0:
		return UnusableWeight
	case now < s.backoffUntil:
		return UnusableBackoff
	}
	return ""
}

// Candidate is a server as it was considered for a choice.
type Candidate struct {
	Server fleet.Server
	// Unusable is why the server gets no requests; empty if it may get some. Backoff is
	// the time left of its refusal backoff.
	Unusable string
	Backoff  time.Duration
	// OtherWeights is set for a decode engine that can't continue from the KV cache of the
	// prefill engine, because their versions of the weights differ.
	OtherWeights bool
	// Requests is the estimated number of requests at the server, OwnRequests those of
	// this gateway.
	Requests    float64
	OwnRequests int
	// LoadAge is the age of the server's load report; negative if there is none.
	LoadAge time.Duration
	// Slowdown is the factor by which the server takes longer than usual, and Weight the
	// fraction of its usual load that it should get.
	Slowdown, Weight float64
	Uses             []Use
}

// Use is what a server was considered for.
type Use struct {
	// Step is "direct" if the server would run the whole request, "prefill" if it would
	// prefill the prompt for another, and "import" if it would continue from the KV cache
	// of another.
	Step string
	// TimeToFirstEvent is the predicted time of the step.
	TimeToFirstEvent time.Duration
	UncachedTokens   int
	// Score is that time in seconds plus costs. The lowest one wins; that of a prefill
	// and that of an import add up.
	Score float64
}

var stepNames = map[stepKind]string{directStep: "direct", prefillStep: "prefill", importStep: "import"}

// Explain returns what Choose would return, and how the servers were considered, and
// leaves the table as it is. The choice is made with a copy of it, which prepare may
// change.
func (t *Table) Explain(now time.Duration, r Request, prepare func(*Table)) (Choice, []Candidate, error) {
	snapshot := t.snapshot(r)
	prepare(snapshot)
	uses := make(map[string][]Use)
	hasPrefill := false
	snapshot.considered = func(step stepKind, c candidate) {
		use := Use{Step: stepNames[step], TimeToFirstEvent: c.TimeToFirstEvent, UncachedTokens: c.UncachedTokens, Score: c.score}
		hasPrefill = hasPrefill || step == prefillStep
		// A request that would be late is chosen for a second time, deferred.
		uses[c.Server.ID] = append(slices.DeleteFunc(uses[c.Server.ID], func(u Use) bool { return u.Step == use.Step }), use)
	}
	choice, err := snapshot.Choose(now, r)
	candidates := make([]Candidate, 0, len(snapshot.servers))
	for _, s := range snapshot.servers {
		c := Candidate{
			Server: s.Server, Unusable: s.unusable(now), Backoff: max(0, s.backoffUntil-now),
			Requests: s.requests(now), OwnRequests: s.ownRequests, LoadAge: t.newChoice(now, s, 0).LoadAge,
			Slowdown: t.currentFactor(now, s), Weight: s.weight, Uses: uses[s.ID],
		}
		imports := slices.ContainsFunc(c.Uses, func(u Use) bool { return u.Step == stepNames[importStep] })
		c.OtherWeights = hasPrefill && s.Stage == fleet.StageDecode && c.Unusable == "" && !imports
		candidates = append(candidates, c)
	}
	return choice, candidates, err
}

// snapshot returns a copy of the table for the choice for one request. Of the caches, it
// has only the parts of the request's prompt.
func (t *Table) snapshot(r Request) *Table {
	copied := *t
	copied.servers = make([]*server, 0, len(t.servers))
	keys := prefixKeys(r.Parts)
	for _, s := range t.servers {
		c := *s
		c.cache = s.cache.only(keys)
		copied.servers = append(copied.servers, &c)
	}
	return &copied
}

// only returns a copy of the cache with some of its parts.
func (c *cache) only(keys []uint64) *cache {
	var parts []*cachedPart
	for _, key := range keys {
		if e, ok := c.entries[key]; ok {
			part := *e.Value.(*cachedPart)
			parts = append(parts, &part)
		}
	}
	slices.SortStableFunc(parts, func(a, b *cachedPart) int { return cmp.Compare(a.lastUsed, b.lastUsed) })
	copied := &cache{capacity: c.capacity, lru: list.New(), entries: make(map[uint64]*list.Element, len(parts))}
	for _, part := range parts {
		copied.entries[part.key] = copied.lru.PushFront(part)
		copied.tokens += part.tokens
	}
	return copied
}
