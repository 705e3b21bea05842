package routing

import (
	"math"
	"slices"
	"time"
)

// maxCandidates bounds the engines weighed in one choice and stage.
const maxCandidates = 32

// candidate is an engine with its predictions for one request.
type candidate struct {
	*engineState
	// work ahead of the request now.
	work       Backlog
	cached     int
	firstToken float64
	finish     float64
	// score is the finish in seconds, adjusted for weight, work and affinity.
	score float64
}

// candidates is a small set without allocation.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

func (c *candidates) has(e *engineState) bool {
	return slices.ContainsFunc(c.list[:c.n], func(o candidate) bool { return o.engineState == e })
}

func (c *candidates) add(e *engineState) {
	if c.n < maxCandidates && !c.has(e) {
		c.list[c.n] = candidate{engineState: e}
		c.n++
	}
}

// Choose returns where the request is predicted to finish first, among the
// engines that hold its prefix, its prefix's home and a random sample. Engines
// whose predictions are as good as equal are told apart by distance and then
// at random. The error is ErrNoEngine when nothing serves. The caller decides
// on admission by the predicted finish and tells the table with Sent.
func (t *Table) Choose(now time.Duration, r Request) (Choice, error) {
	rng := newRand(r.Seed)
	single, okSingle := t.chooseSingle(now, r, &rng)
	pair, okPair := t.choosePair(now, r, &rng)
	switch {
	case okSingle && (!okPair || single.TimeToFinish <= pair.TimeToFinish):
		return single, nil
	case okPair:
		return pair, nil
	default:
		return Choice{}, ErrNoEngine
	}
}

// chooseSingle chooses one engine for the whole request.
func (t *Table) chooseSingle(now time.Duration, r Request, rng *rand) (Choice, bool) {
	var c candidates
	home := t.collect(&c, t.singles, r, rng)
	if c.n == 0 {
		return Choice{}, false
	}
	for i := range c.list[:c.n] {
		t.predict(&c.list[i], now, r)
	}
	t.preferHome(&c, home)
	best := c.best(t.opts.TieTolerance, rng)
	return Choice{
		PrefillEngine:    best.Name,
		DecodeEngine:     best.Name,
		CachedTokens:     best.cached,
		TimeToFirstToken: seconds(best.firstToken),
		TimeToFinish:     seconds(best.finish),
	}, true
}

// predict fills in a candidate that runs the whole request.
func (t *Table) predict(c *candidate, now time.Duration, r Request) {
	c.work = c.ahead(now)
	c.cached = t.cachedTokens(r, c.engineState)
	prompt := float64(r.PromptTokens - c.cached)
	level := levelOf(r.Remaining)
	c.firstToken = c.Engine.firstToken(c.work, prompt, level) * t.slowdown(now, c, level)
	c.finish = c.firstToken + c.decodeSeconds(c.work, float64(r.OutputTokens))
	c.score = (c.finish + t.workPrice(c.Engine, prompt)) / c.weight
}

// workPrice returns what the engine time of a prefill adds to a score.
func (t *Table) workPrice(e Engine, prompt float64) float64 {
	return t.opts.EngineTimeWeight * e.busySeconds(Backlog{PromptByUrgency: [UrgencyLevels]float64{prompt}})
}

// cachedTokens returns the prompt tokens expected in an engine's cache. The
// last token is always computed.
func (t *Table) cachedTokens(r Request, e *engineState) int {
	blocks := t.hints.cachedBlocks(r.PrefixHashes, e)
	return max(0, min(blocks*t.opts.BlockTokens, r.PromptTokens-1))
}

// choosePair chooses an engine to prefill and another to decode.
func (t *Table) choosePair(now time.Duration, r Request, rng *rand) (Choice, bool) {
	if t.opts.TransferRate <= 0 || (len(t.prefills) == len(t.singles) && len(t.decodes) == len(t.singles)) {
		return Choice{}, false
	}
	prefill, ok := t.choosePrefill(now, r, rng)
	if !ok {
		return Choice{}, false
	}
	decode, ok := t.chooseDecode(now, r, prefill, rng)
	if !ok || decode.engineState == prefill.engineState {
		return Choice{}, false
	}
	return Choice{
		PrefillEngine:    prefill.Name,
		DecodeEngine:     decode.Name,
		CachedTokens:     prefill.cached,
		TimeToFirstToken: seconds(decode.firstToken),
		TimeToFinish:     seconds(decode.finish),
	}, true
}

// choosePrefill chooses the engine where the prompt is prefilled first.
func (t *Table) choosePrefill(now time.Duration, r Request, rng *rand) (candidate, bool) {
	var c candidates
	t.collect(&c, t.prefills, r, rng)
	for i := range c.list[:c.n] {
		p := &c.list[i]
		p.work = p.ahead(now)
		p.cached = t.cachedTokens(r, p.engineState)
		prompt := float64(r.PromptTokens - p.cached)
		level := levelOf(r.Remaining)
		p.finish = p.prefillSeconds(p.work, prompt, level) * t.slowdown(now, p, level)
		p.score = (p.finish + t.workPrice(p.Engine, prompt)) / p.weight
	}
	if c.n == 0 {
		return candidate{}, false
	}
	return c.best(t.opts.TieTolerance, rng), true
}

// chooseDecode chooses the engine where the request finishes first after its
// KV cache has been transferred.
func (t *Table) chooseDecode(now time.Duration, r Request, prefill candidate, rng *rand) (candidate, bool) {
	transfer := float64(r.PromptTokens)/t.opts.TransferRate + t.opts.TransferLatency.Seconds()
	var c candidates
	t.sample(&c, t.decodes, r, rng)
	for i := range c.list[:c.n] {
		d := &c.list[i]
		d.work = d.ahead(now)
		d.firstToken = prefill.finish + transfer + d.waitForSlot(d.work) + d.stepSeconds(d.work.Sequences+1)
		d.finish = d.firstToken + d.decodeSeconds(d.work, float64(r.OutputTokens))
		d.score = d.finish / d.weight
	}
	if c.n == 0 {
		return candidate{}, false
	}
	return c.best(t.opts.TieTolerance, rng), true
}

// collect gathers the candidates of a stage, by prefix and at random, and
// returns the home of the request's prefix, if any.
func (t *Table) collect(c *candidates, pool []*engineState, r Request, rng *rand) *engineState {
	var home *engineState
	if len(r.PrefixHashes) > 0 && t.opts.AffinityCandidates > 0 {
		t.addHolders(c, pool, r, rng)
		home = t.home(pool, r)
		if home != nil {
			c.add(home)
		}
	}
	t.sample(c, pool, r, rng)
	return home
}

// addHolders adds engines that are thought to hold the longest known prefix.
func (t *Table) addHolders(c *candidates, pool []*engineState, r Request, rng *rand) {
	held := t.hints.longest(r.PrefixHashes)
	if len(held) == 0 {
		return
	}
	start := rng.intn(len(held))
	for i := range held {
		e := held[(start+i)%len(held)]
		if c.n >= t.opts.AffinityCandidates {
			return
		}
		if !e.gone && slices.Contains(pool, e) && !slices.Contains(r.Exclude, e.Name) {
			c.add(e)
		}
	}
}

// home returns the engine with the highest rendezvous weight for the longest
// prefix of the request.
func (t *Table) home(pool []*engineState, r Request) *engineState {
	var best *engineState
	var top uint64
	prefix := r.PrefixHashes[len(r.PrefixHashes)-1]
	for _, e := range pool {
		w := mix(prefix ^ e.key)
		if (best == nil || w > top) && !slices.Contains(r.Exclude, e.Name) {
			best, top = e, w
		}
	}
	return best
}

// sample adds random engines of the pool; all of them when it is small.
func (t *Table) sample(c *candidates, pool []*engineState, r Request, rng *rand) {
	if len(pool) == 0 {
		return
	}
	want := t.opts.RandomCandidates
	start := rng.intn(len(pool))
	if want >= len(pool) || len(r.Exclude) > 0 {
		t.sampleInOrder(c, pool, r, start, max(1, want))
		return
	}
	for range max(1, want) {
		c.add(pool[rng.intn(len(pool))])
	}
}

// sampleInOrder adds engines from a random start on, passing over excluded
// ones.
func (t *Table) sampleInOrder(c *candidates, pool []*engineState, r Request, start, want int) {
	for i := range pool {
		e := pool[(start+i)%len(pool)]
		if want == 0 {
			return
		}
		if !slices.Contains(r.Exclude, e.Name) {
			c.add(e)
			want--
		}
	}
}

// preferHome lowers the score of the prefix's home while its work is within
// the bound, so that a prefix is cached in one place.
func (t *Table) preferHome(c *candidates, home *engineState) {
	if home == nil {
		return
	}
	mean := 0.0
	for _, o := range c.list[:c.n] {
		mean += o.busySeconds(o.work) / float64(c.n)
	}
	for i := range c.list[:c.n] {
		o := &c.list[i]
		if o.engineState == home && o.busySeconds(o.work) <= t.opts.BoundedLoadFactor*mean {
			o.score -= 2 * t.opts.TieTolerance.Seconds()
		}
	}
}

// best returns the candidate with the lowest score; among those within the
// tolerance the nearest, and among these one at random.
func (c *candidates) best(tolerance time.Duration, rng *rand) candidate {
	lowest := math.Inf(1)
	for _, o := range c.list[:c.n] {
		lowest = min(lowest, o.score)
	}
	limit := lowest + tolerance.Seconds()
	chosen, equal := -1, 0
	for i, o := range c.list[:c.n] {
		if o.score > limit {
			continue
		}
		switch {
		case chosen < 0 || o.Distance < c.list[chosen].Distance:
			chosen, equal = i, 1
		case o.Distance == c.list[chosen].Distance:
			equal++
			if rng.intn(equal) == 0 {
				chosen = i
			}
		}
	}
	return c.list[chosen]
}

// rand is a splitmix64 generator.
type rand struct{ state uint64 }

func newRand(seed uint64) rand { return rand{state: seed} }

func (r *rand) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	return mix(r.state)
}

// intn returns a number in [0, n).
func (r *rand) intn(n int) int { return int(r.next() >> 1 % uint64(n)) }

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
