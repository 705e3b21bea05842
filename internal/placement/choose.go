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
	if err != nil || r.Objective == 0 || c.FirstEvent <= r.Objective {
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
	if q.From == "" {
		q.From = t.opts.FailureDomain
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

// excluded tells whether a server has failed the request.
func (q *query) excluded(s *server) bool { return slices.Contains(q.Exclude, s.ID) }

func (t *Table) chooseEngine(now time.Duration, r Request, deferred bool) (Choice, error) {
	q := t.newQuery(now, r, deferred)
	whole, okWhole := t.chooseWhole(&q)
	var split option
	okSplit := false
	if !r.DirectOnly {
		split, okSplit = t.chooseSplit(&q)
	}
	switch {
	case okWhole && (!okSplit || whole.score <= split.score):
		whole.Deferred = deferred
		return whole.Choice, nil
	case okSplit:
		split.Deferred = deferred
		return split.Choice, nil
	default:
		return Choice{}, ErrNoServer
	}
}

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

// queueTurns returns how many services a request waits for at a server with
// this load.
func queueTurns(s *server, load float64) float64 {
	slots := float64(max(1, s.Slots))
	if load < slots {
		// Requests in other slots make a wait likelier that is not seen yet.
		return load / slots / 4
	}
	return (load - slots + 1) / slots
}

// chooseWhole chooses one decode engine for prefill and decode.
func (t *Table) chooseWhole(q *query) (best option, found bool) {
	rate := t.rate.perSecond * decodePrefillShare
	for _, s := range q.decodes {
		if q.excluded(s) {
			continue
		}
		wait := s.queued(q.now, rate, q.deferred) / rate
		c := t.cachedFor(q, s, q.decodeHome, seconds(wait))
		fresh := float64(max(1, q.PromptTokens-c.tokens))
		prefill := prefillWork(fresh, float64(q.PromptTokens)) / rate
		first := (firstStep+prefill+wait)*s.slow(q.now) + t.moveSeconds(c.fetched) + t.slotWait(s, q.now)
		o := option{Choice: t.choice(q.now, s, first)}
		o.NewTokens, o.FetchFrom = int(fresh), c.from
		o.score = first/s.weight + t.distance(q.From, s, q.BodyBytes) + t.reread(q, c.tokens) +
			t.opts.FetchToken*float64(c.fetched) + t.disturbance(prefill, s.load(q.now))
		better(&best, &found, o)
	}
	return best, found
}

// disturbance prices a prefill at a decode engine by the streams that it holds
// up. Callers notice the pauses that a long one makes.
func (t *Table) disturbance(prefill, streams float64) float64 {
	noticed := t.opts.LongDisturbance * max(0, prefill-noticedPrefill)
	return t.opts.Disturbance * (prefill + noticed) * streams
}

// noticedPrefill is the time from which a prefill makes pauses that callers
// notice, in seconds.
const noticedPrefill = 0.05

// chooseSplit chooses an engine to prefill and another to decode.
func (t *Table) chooseSplit(q *query) (option, bool) {
	p, ok := t.choosePrefill(q)
	if !ok {
		return option{}, false
	}
	d, ok := t.chooseDecode(q, p.Server)
	if !ok {
		return option{}, false
	}
	o := p
	o.Prefill, o.Server, o.Split = p.Server, d.Server, true
	o.Prefilled = p.FirstEvent
	o.FirstEvent = p.FirstEvent + d.FirstEvent
	o.LoadAge = max(p.LoadAge, d.LoadAge)
	o.score = p.score + d.score
	return o, true
}

// choosePrefill chooses the engine that prefills the prompt.
func (t *Table) choosePrefill(q *query) (best option, found bool) {
	for _, s := range q.prefills {
		if q.excluded(s) {
			continue
		}
		rate := t.rate.perSecond
		wait := s.queued(q.now, rate, q.deferred) / rate
		c := t.cachedFor(q, s, q.prefillHome, seconds(wait))
		fresh := float64(max(1, q.PromptTokens-c.tokens))
		prefill := prefillWork(fresh, float64(q.PromptTokens)) / rate
		first := (firstStep+prefill+wait)*s.slow(q.now) + t.moveSeconds(c.fetched)
		o := option{Choice: t.choice(q.now, s, first)}
		o.NewTokens, o.FetchFrom = int(fresh), c.from
		o.score = first/s.weight + t.distance(q.From, s, q.BodyBytes) + t.reread(q, c.tokens) + t.opts.FetchToken*float64(c.fetched)
		if s != q.prefillHome {
			o.score += t.opts.AwayFromHome
		}
		better(&best, &found, o)
	}
	return best, found
}

// ChooseDecode chooses where a prompt that has been prefilled is decoded. The
// engine of the first choice may be leaving by then, or busy.
func (t *Table) ChooseDecode(now time.Duration, r Request, prefill fleet.Server) (Choice, error) {
	q := query{Request: r, now: now, decodes: t.usable(now, fleet.StageDecode)}
	q.From = t.opts.FailureDomain
	o, ok := t.chooseDecode(&q, prefill)
	if !ok {
		return Choice{}, ErrNoServer
	}
	o.Prefill, o.Split = prefill, true
	return o.Choice, nil
}

// chooseDecode chooses the engine that generates after another one has
// prefilled.
func (t *Table) chooseDecode(q *query, prefill fleet.Server) (best option, found bool) {
	for _, s := range q.decodes {
		if q.excluded(s) {
			continue
		}
		move := t.moveSeconds(q.PromptTokens)
		price := t.opts.MoveToken * float64(q.PromptTokens)
		if s.FailureDomain != prefill.FailureDomain {
			move *= 2
			price *= 2
		}
		rate := t.rate.perSecond * decodePrefillShare
		wait := s.queued(q.now, rate, false) / rate
		first := (firstStep+wait)*s.slow(q.now) + move + t.slotWait(s, q.now)
		o := option{Choice: t.choice(q.now, s, first)}
		o.score = first/s.weight + price + t.distance(q.From, s, q.BodyBytes)
		better(&best, &found, o)
	}
	return best, found
}

func (t *Table) choice(now time.Duration, s *server, first float64) Choice {
	age := time.Duration(-1)
	if s.hasTold {
		age = now - s.toldAt
	}
	return Choice{Server: s.Server, FirstEvent: seconds(first), LoadAge: age}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// distance prices a server in another failure domain than the request's.
func (t *Table) distance(from string, s *server, bodyBytes int) float64 {
	if s.FailureDomain == from {
		return 0
	}
	return t.opts.CrossDomain + t.opts.CrossDomainByte*float64(bodyBytes)
}

// reread prices the shared tokens that are prefilled although others have
// them.
func (t *Table) reread(q *query, held int) float64 {
	return t.opts.RereadToken * float64(max(0, q.shared-held))
}

// sharedTokens returns the tokens of all parts but the request's own.
func sharedTokens(parts []Part) int {
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

// slotWait returns the seconds that a request waits for a slot at an engine.
func (t *Table) slotWait(s *server, now time.Duration) float64 {
	slots := float64(max(1, t.engine.Slots))
	load := s.load(now) + 1
	fill := min(1, load/slots)
	// A fuller batch makes each step slower.
	wait := fullBatchStep * fill * s.slow(now)
	if load > slots {
		wait += (load - slots) / slots * typicalRun
	}
	return wait
}

// fullBatchStep is how much longer a first step takes in a full batch, in
// seconds.
const fullBatchStep = 0.02

// typicalRun is the time that a request holds a slot, in seconds.
const typicalRun = 0.3

// moveSeconds returns the time of a transfer of KV cache.
func (t *Table) moveSeconds(tokens int) float64 {
	if tokens == 0 || t.engine.LinkMbps <= 0 {
		return 0
	}
	const bitsPerMegabit = 1e6
	bits := float64(tokens) * float64(t.engine.BytesPerToken) * 8
	return bits/(t.engine.LinkMbps*bitsPerMegabit) + moveSetup
}

// moveSetup is the time before a transfer begins, in seconds.
const moveSetup = 0.003
