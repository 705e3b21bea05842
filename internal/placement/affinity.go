package placement

import (
	"time"
)

// findFetchSources returns the engines from which all shared parts can be
// fetched. It returns nil for shared parts too short for a fetch to pay off.
func (t *Table) findFetchSources(q *query) []*server {
	if q.shared < minFetchTokens {
		return nil
	}
	var list []*server
	for _, s := range t.servers {
		if !s.Leaving && s.weight > 0 && s.cache.cachedTokens(q.now, q.Parts[:len(q.Parts)-1], q.keys) >= q.shared {
			list = append(list, s)
		}
	}
	return list
}

// fetchSourceFor returns the engine from which s can fetch the shared parts,
// preferably in its own failure domain, or nil.
func (q *query) fetchSourceFor(s *server) *server {
	var best *server
	for _, source := range q.fetchSources {
		switch {
		case source == s || !source.mayHave(s.weights):
		case source.FailureDomain == s.FailureDomain:
			return source
		case best == nil:
			best = source
		}
	}
	return best
}

// sharedTokens returns the tokens in all parts but the last, which belongs to
// the request or session alone.
func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for i := 0; i+1 < len(parts); i++ {
		tokens += parts[i].Tokens
	}
	return tokens
}

// prefixHit is the part of a prompt that an engine does not have to prefill.
type prefixHit struct {
	// tokens are cached already or fetched before the prefill.
	tokens int
	// fetched is how many of them are fetched from the engine at sourceAddress.
	fetched       int
	sourceAddress string
}

// prefixHitFor estimates the prefix hit of a prompt at engine s, whose prefill
// starts after wait. The home engine is assumed to hold the shared parts
// because all gateways send them there first, unless this table is a
// coordinator that knows all caches (knowsAllCaches). Other engines can fetch
// the parts from an engine known to hold them.
func (t *Table) prefixHitFor(q *query, s, home *server, wait time.Duration) prefixHit {
	limit := max(0, q.PromptTokens-1)
	cachedNow := s.cache.cachedTokens(q.now+wait, q.Parts, q.keys)
	if s == home && !t.knowsAllCaches {
		return prefixHit{tokens: min(max(cachedNow, q.shared), limit)}
	}
	hit := prefixHit{tokens: min(cachedNow, limit)}
	if source := q.fetchSourceFor(s); source != nil {
		// Tokens that are cached already need not be fetched.
		hit.sourceAddress = source.Address
		hit.fetched = max(0, q.shared-cachedNow)
		hit.tokens = min(max(cachedNow, q.shared), limit)
	}
	return hit
}

// rendezvous returns the engine with the highest rendezvous hash for a key, so
// that all gateways with the same list of engines choose the same one.
func rendezvous(engines []*server, key uint64) *server {
	var best *server
	var highest uint64
	for _, s := range engines {
		if hash := mixBits(key ^ s.hash); best == nil || hash > highest {
			best, highest = s, hash
		}
	}
	return best
}

// mixBits is the 64-bit finalizer of MurmurHash3.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
