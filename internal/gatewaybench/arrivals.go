package gatewaybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// blockTokens is the size of the engines' cache blocks.
const blockTokens = 256

// request is one arrival and what becomes of it.
type request struct {
	id      string
	class   *class
	at      time.Duration
	gateway int
	domain  string
	parts   []placement.PromptPart
	prompt  int
	hashes  []uint64

	// firstEvent is the time from arrival; 0 if there was none.
	firstEvent time.Duration
}

// sharedBlocks is the number of whole blocks of the shared part.
func (r *request) sharedBlocks() int { return r.parts[0].Tokens / blockTokens }

// arrivals draws the requests of a profile in order.
func arrivals(p *profile, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []*request
	for _, c := range []*class{&p.long, &p.short} {
		factor := func(at time.Duration) float64 { return load(c == &p.long, at) }
		for at := time.Duration(0); at < length; {
			gap := random.ExpFloat64() / (c.perSecond * factor(at))
			at += time.Duration(gap * float64(time.Second))
			all = append(all, draw(p, c, at, len(all), random))
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.at - b.at) })
	return all
}

// load is how many times as often as usual a kind of request comes.
func load(long bool, at time.Duration) float64 {
	longTurn := (at/swing)%2 == 1
	switch {
	case long && longTurn:
		return moreLong
	case long:
		return lessLong
	case longTurn:
		return lessShort
	}
	return moreShort
}

func draw(p *profile, c *class, at time.Duration, number int, random *rand.Rand) *request {
	part := random.IntN(c.parts)
	own := 1 + int(float64(c.own)*random.ExpFloat64())
	r := &request{
		id: fmt.Sprintf("%s-%d", c.name, number), class: c, at: at,
		gateway: random.IntN(p.gateways),
		parts:   []placement.PromptPart{{ID: fmt.Sprintf("%s-part-%d", c.name, part), Tokens: c.shared}, {ID: fmt.Sprint("own-", number), Tokens: own}},
		prompt:  c.shared + own,
	}
	r.domain = domainOf(r.gateway, p)
	r.hashes = blockHashes(r)
	return r
}

func domainOf(i int, p *profile) string { return fmt.Sprint("domain-", i%p.engines.domains) }

// blockHashes returns a hash for each leading whole block of the prompt.
func blockHashes(r *request) []uint64 {
	var hashes []uint64
	shared := r.sharedBlocks()
	for block := range r.prompt / blockTokens {
		name := r.parts[0].ID
		if block >= shared {
			name = r.parts[1].ID
		}
		hashes = append(hashes, xxhash.Sum64String(fmt.Sprint(name, "/", block)))
	}
	return hashes
}
