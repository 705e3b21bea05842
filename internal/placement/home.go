package placement

import (
	"time"
)

// sources returns the engines from which the shared parts can be fetched.
func (t *Table) sources(q *query) []*server {
	if q.shared < leastFetch {
		return nil
	}
	var list []*server
	for _, s := range t.servers {
		if !s.Leaving && s.weight > 0 && s.cache.held(q.now, q.Parts[:len(q.Parts)-1], q.keys) >= q.shared {
			list = append(list, s)
		}
	}
	return list
}

// sourceFor returns where an engine fetches the shared parts from, one in its
// own failure domain first, or nil.
func (q *query) sourceFor(s *server) *server {
	var best *server
	for _, source := range q.sources {
		switch {
		case source == s:
		case source.FailureDomain == s.FailureDomain:
			return source
		case best == nil:
			best = source
		}
	}
	return best
}

// sharedTokens returns the tokens of all parts but the request's own.
func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for i := 0; i+1 < len(parts); i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}

// cached is what an engine need not prefill of a prompt.
type cached struct {
	// tokens held already, or fetched before the prefill.
	tokens int
	// fetched of them from the engine at the address from.
	fetched int
	from    string
}

// cachedFor returns what an engine is thought to have cached of a prompt. The
// home of a prompt is taken to hold its shared parts, as all gateways send
// there first, unless this one has placed all prompts; other engines can fetch
// them from one that is known to have read them. It is the request's turn after
// a time.
func (t *Table) cachedFor(q *query, s, home *server, turn time.Duration) cached {
	most := max(0, q.PromptTokens-1)
	held := s.cache.held(q.now+turn, q.Parts, q.keys)
	if s == home && !t.knowsAll {
		return cached{tokens: min(max(held, q.shared), most)}
	}
	c := cached{tokens: min(held, most)}
	if source := q.sourceFor(s); source != nil {
		// A fetch of what is held already costs nothing.
		c.from = source.Address
		c.fetched = max(0, q.shared-held)
		c.tokens = min(max(held, q.shared), most)
	}
	return c
}

// rendezvous returns the engine with the highest weight for a key. All
// gateways that know the same engines find the same one.
func rendezvous(engines []*server, key uint64) *server {
	var best *server
	var highest uint64
	for _, s := range engines {
		if weight := mix(key ^ s.hash); best == nil || weight > highest {
			best, highest = s, weight
		}
	}
	return best
}

// mix spreads the bits of a key.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
