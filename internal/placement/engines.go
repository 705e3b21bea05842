package placement

import (
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

func (t *Table) chooseEngine(now time.Duration, r Request, deferred bool) (Choice, error) {
	q := t.newQuery(now, r, deferred)
	whole, okWhole := t.chooseWhole(&q)
	var split option
	okSplit := false
	if !r.NoSplit {
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
		o.UncachedTokens, o.FetchFrom = int(fresh), c.from
		o.score = first/s.weight + t.distance(q.OriginDomain, s, q.BodyBytes) + t.reread(q, c.tokens) +
			t.opts.FetchPenaltyPerToken*float64(c.fetched) + t.disturbance(prefill, s.load(q.now))
		better(&best, &found, o)
	}
	return best, found
}

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
	o.PrefillServer, o.Server, o.Split = p.Server, d.Server, true
	o.TimeToPrefilled = p.TimeToFirstEvent
	o.TimeToFirstEvent = p.TimeToFirstEvent + d.TimeToFirstEvent
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
		o.UncachedTokens, o.FetchFrom = int(fresh), c.from
		o.score = first/s.weight + t.distance(q.OriginDomain, s, q.BodyBytes) + t.reread(q, c.tokens) + t.opts.FetchPenaltyPerToken*float64(c.fetched)
		if s != q.prefillHome {
			o.score += t.opts.NonHomePenalty
		}
		better(&best, &found, o)
	}
	return best, found
}

// ChooseDecode chooses where a prompt that has been prefilled is decoded. The
// engine of the first choice may be leaving by then, or busy.
func (t *Table) ChooseDecode(now time.Duration, r Request, prefill fleet.Server) (Choice, error) {
	q := query{Request: r, now: now, decodes: t.usable(now, fleet.StageDecode)}
	q.OriginDomain = t.opts.FailureDomain
	o, ok := t.chooseDecode(&q, prefill)
	if !ok {
		return Choice{}, ErrNoServer
	}
	o.PrefillServer, o.Split = prefill, true
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
		price := t.opts.TransferPenaltyPerToken * float64(q.PromptTokens)
		if s.FailureDomain != prefill.FailureDomain {
			move *= 2
			price *= 2
		}
		rate := t.rate.perSecond * decodePrefillShare
		wait := s.queued(q.now, rate, false) / rate
		first := (firstStep+wait)*s.slow(q.now) + move + t.slotWait(s, q.now)
		o := option{Choice: t.choice(q.now, s, first)}
		o.score = first/s.weight + price + t.distance(q.OriginDomain, s, q.BodyBytes)
		better(&best, &found, o)
	}
	return best, found
}
