package gatewaybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// blockTokens is the size of the engines' KV cache blocks, in tokens.
const blockTokens = 256

// request is an arrival and its outcome.
type request struct {
	id      string
	class   *class
	at      time.Duration
	gateway int
	domain  string
	// parts are the shared prefix and the rest of the prompt.
	parts        []placement.PromptPart
	promptTokens int
	prefixHashes []uint64

	// firstEvent is the time from the arrival to the first event of the
	// response; 0 if there was none.
	firstEvent time.Duration
}

// sharedBlocks returns the number of whole blocks in the shared prefix.
func (r *request) sharedBlocks() int { return r.parts[0].Tokens / blockTokens }

// arrivals generates the requests of a profile for a seed, in order of time.
func arrivals(p *profile, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 1))
	var all []*request
	for _, c := range []*class{&p.long, &p.short} {
		factor := func(at time.Duration) float64 { return loadFactor(c == &p.long, at) }
		for at := time.Duration(0); at < arrivalDuration; {
			gap := rng.ExpFloat64() / (c.rate * factor(at))
			at += time.Duration(gap * float64(time.Second))
			all = append(all, newRequest(p, c, at, len(all), rng))
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.at - b.at) })
	return all
}

// loadFactor returns the ratio of the arrival rate of long or short prompts at
// the given time to their usual rate.
func loadFactor(long bool, at time.Duration) float64 {
	longBurst := (at/burstDuration)%2 == 1
	switch {
	case long && longBurst:
		return longSurplus
	case long:
		return longDeficit
	case longBurst:
		return shortDeficit
	}
	return shortSurplus
}

// newRequest draws a request of class c. The length of its own part of the
// prompt is exponentially distributed.
func newRequest(p *profile, c *class, at time.Duration, index int, rng *rand.Rand) *request {
	prefix := rng.IntN(c.prefixes)
	ownTokens := 1 + int(float64(c.ownTokens)*rng.ExpFloat64())
	r := &request{
		id: fmt.Sprintf("%s-%d", c.name, index), class: c, at: at,
		gateway:      rng.IntN(p.gateways),
		parts:        []placement.PromptPart{{ID: fmt.Sprintf("%s-part-%d", c.name, prefix), Tokens: c.sharedTokens}, {ID: fmt.Sprint("own-", index), Tokens: ownTokens}},
		promptTokens: c.sharedTokens + ownTokens,
	}
	r.domain = domainOf(r.gateway, p)
	r.prefixHashes = blockHashes(r)
	return r
}

// domainOf returns the failure domain of gateway or engine i.
func domainOf(i int, p *profile) string { return fmt.Sprint("domain-", i%p.engines.domains) }

// blockHashes returns a hash for each whole leading block of the prompt.
func blockHashes(r *request) []uint64 {
	var hashes []uint64
	shared := r.sharedBlocks()
	for block := range r.promptTokens / blockTokens {
		name := r.parts[0].ID
		if block >= shared {
			name = r.parts[1].ID
		}
		hashes = append(hashes, xxhash.Sum64String(fmt.Sprint(name, "/", block)))
	}
	return hashes
}
