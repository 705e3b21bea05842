package routing

import (
	"math"
	"slices"
	"time"
)

// maxCandidates bounds the number of engines scored for one stage of a request.
const maxCandidates = 32

// candidate is an engine with the predictions for one request.
type candidate struct {
	*engineState
	// backlogNow is the work ahead of the request.
	backlogNow   Backlog
	cachedTokens int
	// firstToken and finish are the predicted times from now, in seconds.
	firstToken float64
	finish     float64
	// score is the predicted finish in seconds, adjusted by the engine's
	// weight, the cost of its engine time and prefix affinity. The lowest score
	// wins.
	score float64
}

// candidates is a set of candidates in a fixed array, which needs no
// allocation.
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

// Choose returns the engine, or pair of engines, on which the request is
// predicted to finish first. It considers engines that have its prefix cached,
// the home engine of the prefix and a random sample. Among engines with nearly
// equal scores it prefers the nearest and then chooses at random. The error is
// ErrNoEngine if no engine is serving. The caller decides on admission by the
// predicted finish and reports the attempt with RecordSend.
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

// chooseSingle chooses one engine for both prefill and decode.
func (t *Table) chooseSingle(now time.Duration, r Request, rng *rand) (Choice, bool) {
	var c candidates
	home := t.collectCandidates(&c, t.singleEngines, r, rng)
	if c.n == 0 {
		return Choice{}, false
	}
	for i := range c.list[:c.n] {
		t.predictSingle(&c.list[i], now, r)
	}
	t.preferHome(&c, home)
	best := c.best(t.opts.TieTolerance, rng)
	return Choice{
		PrefillEngine:    best.Name,
		DecodeEngine:     best.Name,
		CachedTokens:     best.cachedTokens,
		TimeToFirstToken: seconds(best.firstToken),
		TimeToFinish:     seconds(best.finish),
	}, true
}

// predictSingle predicts the whole request on one engine.
func (t *Table) predictSingle(c *candidate, now time.Duration, r Request) {
	c.backlogNow = c.backlogAt(now)
	c.cachedTokens = t.cachedTokens(r, c.engineState)
	prompt := float64(r.PromptTokens - c.cachedTokens)
	level := urgencyLevel(r.Remaining)
	c.firstToken = c.Engine.firstTokenSeconds(c.backlogNow, prompt, level) * t.arrivalSlowdown(now, c, level)
	c.finish = c.firstToken + c.decodeSeconds(c.backlogNow, float64(r.OutputTokens))
	c.score = (c.finish + t.engineTimeCost(c.Engine, prompt)) / c.weight
}

// engineTimeCost returns the addition to a score, in seconds, for the engine
// time used by a prefill.
func (t *Table) engineTimeCost(e Engine, prompt float64) float64 {
	return t.opts.EngineTimeWeight * e.engineSeconds(Backlog{PromptByUrgency: [UrgencyLevels]float64{prompt}})
}

// cachedTokens returns the number of prompt tokens expected in an engine's
// prefix cache. The last prompt token is always computed.
func (t *Table) cachedTokens(r Request, e *engineState) int {
	blocks := t.prefixes.cachedBlocks(r.PrefixHashes, e)
	return max(0, min(blocks*t.opts.BlockTokens, r.PromptTokens-1))
}

// choosePair chooses a prefill engine and a decode engine. There is no pair to
// choose if all engines run whole requests.
func (t *Table) choosePair(now time.Duration, r Request, rng *rand) (Choice, bool) {
	if t.opts.TransferRate <= 0 || (len(t.prefillEngines) == len(t.singleEngines) && len(t.decodeEngines) == len(t.singleEngines)) {
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
		CachedTokens:     prefill.cachedTokens,
		TimeToFirstToken: seconds(decode.firstToken),
		TimeToFinish:     seconds(decode.finish),
	}, true
}

// choosePrefill chooses the engine predicted to finish the prefill first.
func (t *Table) choosePrefill(now time.Duration, r Request, rng *rand) (candidate, bool) {
	var c candidates
	t.collectCandidates(&c, t.prefillEngines, r, rng)
	for i := range c.list[:c.n] {
		p := &c.list[i]
		p.backlogNow = p.backlogAt(now)
		p.cachedTokens = t.cachedTokens(r, p.engineState)
		prompt := float64(r.PromptTokens - p.cachedTokens)
		level := urgencyLevel(r.Remaining)
		p.finish = p.prefillSeconds(p.backlogNow, prompt, level) * t.arrivalSlowdown(now, p, level)
		p.score = (p.finish + t.engineTimeCost(p.Engine, prompt)) / p.weight
	}
	if c.n == 0 {
		return candidate{}, false
	}
	return c.best(t.opts.TieTolerance, rng), true
}

// chooseDecode chooses the engine predicted to finish the request first after a
// transfer of its KV cache.
func (t *Table) chooseDecode(now time.Duration, r Request, prefill candidate, rng *rand) (candidate, bool) {
	transfer := float64(r.PromptTokens)/t.opts.TransferRate + t.opts.TransferLatency.Seconds()
	var c candidates
	t.sample(&c, t.decodeEngines, r, rng)
	for i := range c.list[:c.n] {
		d := &c.list[i]
		d.backlogNow = d.backlogAt(now)
		d.firstToken = prefill.finish + transfer + d.slotWaitSeconds(d.backlogNow) + d.stepSeconds(d.backlogNow.Sequences+1)
		d.finish = d.firstToken + d.decodeSeconds(d.backlogNow, float64(r.OutputTokens))
		d.score = d.finish / d.weight
	}
	if c.n == 0 {
		return candidate{}, false
	}
	return c.best(t.opts.TieTolerance, rng), true
}

// collectCandidates adds the engines that have the request's prefix cached, its
// home engine and a random sample. It returns the home engine, or nil if the
// request has no prefix or prefix affinity is disabled.
func (t *Table) collectCandidates(c *candidates, pool []*engineState, r Request, rng *rand) *engineState {
	var home *engineState
	if len(r.PrefixHashes) > 0 && t.opts.AffinityCandidates > 0 {
		t.addPrefixHolders(c, pool, r, rng)
		home = t.homeEngine(pool, r)
		if home != nil {
			c.add(home)
		}
	}
	t.sample(c, pool, r, rng)
	return home
}

// addPrefixHolders adds engines expected to have the longest known prefix
// cached.
func (t *Table) addPrefixHolders(c *candidates, pool []*engineState, r Request, rng *rand) {
	holders := t.prefixes.longestPrefixHolders(r.PrefixHashes)
	if len(holders) == 0 {
		return
	}
	start := rng.intn(len(holders))
	for i := range holders {
		e := holders[(start+i)%len(holders)]
		if c.n >= t.opts.AffinityCandidates {
			return
		}
		if !e.removed && slices.Contains(pool, e) && !slices.Contains(r.Exclude, e.Name) {
			c.add(e)
		}
	}
}

// homeEngine returns the engine with the highest rendezvous hash for the
// longest prefix of the request.
func (t *Table) homeEngine(pool []*engineState, r Request) *engineState {
	var best *engineState
	var highest uint64
	prefix := r.PrefixHashes[len(r.PrefixHashes)-1]
	for _, e := range pool {
		hash := mix(prefix ^ e.hash)
		if (best == nil || hash > highest) && !slices.Contains(r.Exclude, e.Name) {
			best, highest = e, hash
		}
	}
	return best
}

// sample adds random engines of the pool. If the pool is small or engines are
// excluded, it adds successive engines from a random one on instead, so that
// repeated or excluded engines do not reduce their number.
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

// sampleInOrder adds engines in the order of the pool from start on, skipping
// excluded ones.
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

// preferHome lowers the score of the prefix's home engine as long as its
// backlog does not exceed BoundedLoadFactor times the mean of the candidates,
// so that the prefix is cached on one engine instead of many.
func (t *Table) preferHome(c *candidates, home *engineState) {
	if home == nil {
		return
	}
	mean := 0.0
	for _, o := range c.list[:c.n] {
		mean += o.engineSeconds(o.backlogNow) / float64(c.n)
	}
	for i := range c.list[:c.n] {
		o := &c.list[i]
		if o.engineState == home && o.engineSeconds(o.backlogNow) <= t.opts.BoundedLoadFactor*mean {
			o.score -= 2 * t.opts.TieTolerance.Seconds()
		}
	}
}

// best returns the candidate with the lowest score. Among those within the
// tolerance it returns the nearest, and a random one if several are equally
// near.
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

// rand is a splitmix64 random number generator.
type rand struct{ state uint64 }

func newRand(seed uint64) rand { return rand{state: seed} }

func (r *rand) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	return mix(r.state)
}

// intn returns a pseudo-random number in [0, n).
func (r *rand) intn(n int) int { return int(r.next() >> 1 % uint64(n)) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
