package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// Choose returns where a request is best sent: the lowest predicted time of
// its first event, with what the choice costs others added. The caller tells
// the table with Sent.
func (t *Table) Choose(now time.Duration, r Request) (Choice, error) {
	if t.engine == nil {
		return t.choosePlain(now, r)
	}
	keys := chain(r.Parts)
	whole, okWhole := t.chooseWhole(now, r, keys)
	var split option
	okSplit := false
	if !r.DirectOnly {
		split, okSplit = t.chooseSplit(now, r, keys)
	}
	switch {
	case okWhole && (!okSplit || whole.score <= split.score):
		return whole.Choice, nil
	case okSplit:
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

// best returns the option with the lowest score.
func best(options []option) (option, bool) {
	if len(options) == 0 {
		return option{}, false
	}
	least := options[0]
	for _, o := range options[1:] {
		if o.score < least.score {
			least = o
		}
	}
	return least, true
}

// choosePlain chooses a plain server by its queue, those of the gateway's own
// failure domain first.
func (t *Table) choosePlain(now time.Duration, r Request) (Choice, error) {
	var options []option
	for _, s := range t.usable(now, fleet.StageWhole, r.Exclude) {
		first := plainService * s.slowdown * (1 + queueTurns(s, s.load(now)))
		options = append(options, option{
			Choice: t.choice(now, s, first),
			score:  first/s.weight + t.distance(s, r.BodyBytes),
		})
	}
	o, ok := best(options)
	if !ok {
		return Choice{}, ErrNoServer
	}
	return o.Choice, nil
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
func (t *Table) chooseWhole(now time.Duration, r Request, keys []uint64) (option, bool) {
	var options []option
	rate := t.rate.perSecond * decodePrefillShare
	for _, s := range t.usable(now, fleet.StageDecode, r.Exclude) {
		c := t.cachedFor(now, s, r, keys)
		fresh := float64(max(1, r.PromptTokens-c.tokens))
		prefill := fresh / rate
		first := (firstStep+prefill+s.queued(now)/rate)*s.slowdown + t.moveSeconds(c.fetched) + t.slotWait(s, now)
		o := option{Choice: t.choice(now, s, first)}
		o.NewTokens, o.FetchFrom = int(fresh), c.from
		o.score = first/s.weight + t.distance(s, r.BodyBytes) + t.reread(r, c.tokens) +
			t.opts.MoveToken*float64(c.fetched) + t.opts.Disturbance*prefill*s.load(now)
		options = append(options, o)
	}
	return best(options)
}

// chooseSplit chooses an engine to prefill and another to decode.
func (t *Table) chooseSplit(now time.Duration, r Request, keys []uint64) (option, bool) {
	p, ok := t.choosePrefill(now, r, keys)
	if !ok {
		return option{}, false
	}
	d, ok := t.chooseDecode(now, r, p.Server)
	if !ok {
		return option{}, false
	}
	o := p
	o.Prefill, o.Server, o.Split = p.Server, d.Server, true
	o.FirstEvent = p.FirstEvent + d.FirstEvent
	o.LoadAge = max(p.LoadAge, d.LoadAge)
	o.score = p.score + d.score
	return o, true
}

// choosePrefill chooses the engine that prefills the prompt.
func (t *Table) choosePrefill(now time.Duration, r Request, keys []uint64) (option, bool) {
	var options []option
	for _, s := range t.usable(now, fleet.StagePrefill, r.Exclude) {
		c := t.cachedFor(now, s, r, keys)
		fresh := float64(max(1, r.PromptTokens-c.tokens))
		queue := s.queued(now)
		first := (firstStep+(fresh+queue)/t.rate.perSecond)*s.slowdown + t.moveSeconds(c.fetched)
		o := option{Choice: t.choice(now, s, first)}
		o.NewTokens, o.FetchFrom = int(fresh), c.from
		o.score = first/s.weight + t.distance(s, r.BodyBytes) + t.reread(r, c.tokens) + t.opts.MoveToken*float64(c.fetched)
		options = append(options, o)
	}
	return best(options)
}

// ChooseDecode chooses where a prompt that has been prefilled is decoded. The
// engine of the first choice may be leaving by then, or busy.
func (t *Table) ChooseDecode(now time.Duration, r Request, prefill fleet.Server) (Choice, error) {
	o, ok := t.chooseDecode(now, r, prefill)
	if !ok {
		return Choice{}, ErrNoServer
	}
	o.Prefill, o.Split = prefill, true
	return o.Choice, nil
}

// chooseDecode chooses the engine that generates after another one has
// prefilled.
func (t *Table) chooseDecode(now time.Duration, r Request, prefill fleet.Server) (option, bool) {
	var options []option
	for _, s := range t.usable(now, fleet.StageDecode, r.Exclude) {
		move := t.moveSeconds(r.PromptTokens)
		price := t.opts.MoveToken * float64(r.PromptTokens)
		if s.FailureDomain != prefill.FailureDomain {
			move *= 2
			price *= 2
		}
		wait := s.queued(now) / (t.rate.perSecond * decodePrefillShare)
		first := (firstStep+wait)*s.slowdown + move + t.slotWait(s, now)
		o := option{Choice: t.choice(now, s, first)}
		o.score = first/s.weight + price + t.distance(s, r.BodyBytes)
		options = append(options, o)
	}
	return best(options)
}

func (t *Table) choice(now time.Duration, s *server, first float64) Choice {
	age := time.Duration(-1)
	if s.hasTold {
		age = now - s.toldAt
	}
	return Choice{Server: s.Server, FirstEvent: time.Duration(first * float64(time.Second)), LoadAge: age}
}

// distance prices a server in another failure domain.
func (t *Table) distance(s *server, bodyBytes int) float64 {
	if s.FailureDomain == t.opts.FailureDomain {
		return 0
	}
	return t.opts.CrossDomain + t.opts.CrossDomainByte*float64(bodyBytes)
}

// reread prices the shared tokens that are prefilled although others have
// them.
func (t *Table) reread(r Request, held int) float64 {
	return t.opts.RereadToken * float64(max(0, sharedTokens(r.Parts)-held))
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
// there first; other engines can fetch them from it.
func (t *Table) cachedFor(now time.Duration, s *server, r Request, keys []uint64) cached {
	shared := sharedTokens(r.Parts)
	most := max(0, r.PromptTokens-1)
	held := s.held(now, r.Parts, keys)
	home := t.home(now, keys, s.Stage, shared)
	if s == home {
		return cached{tokens: min(max(held, shared), most)}
	}
	c := cached{tokens: min(held, most)}
	if home != nil && shared >= leastFetch && home.held(now, r.Parts[:len(r.Parts)-1], keys) > 0 {
		// A fetch of what is held already costs nothing.
		c.from = home.Address
		c.fetched = max(0, shared-held)
		c.tokens = min(max(held, shared), most)
	}
	return c
}

// home returns the engine with the highest rendezvous weight for the first
// part of a prompt. All gateways that know the same engines find the same one.
// Prompts with long shared parts have their home at a prefill engine, if there
// is one, others at an engine of the stage that is asked for.
func (t *Table) home(now time.Duration, keys []uint64, stage fleet.Stage, shared int) *server {
	if len(keys) < 2 {
		return nil
	}
	engines := t.usable(now, stage, nil)
	if prefills := t.usable(now, fleet.StagePrefill, nil); shared >= leastFetch && len(prefills) > 0 {
		engines = prefills
	}
	var best *server
	var highest uint64
	for _, s := range engines {
		if weight := mix(keys[0] ^ xxhash.Sum64String(s.ID)); best == nil || weight > highest {
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
	wait := fullBatchStep * fill * s.slowdown
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
