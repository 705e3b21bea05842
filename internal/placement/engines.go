package placement

import (
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// chooseEngine chooses a single engine or a prefill and a decode engine,
// whichever scores lower.
func (t *Table) chooseEngine(now time.Duration, r Request, deferred bool) (Choice, error) {
	q := t.newQuery(now, r, deferred)
	single, okSingle := t.chooseSingle(&q)
	var split candidate
	okSplit := false
	if !r.NoSplit {
		split, okSplit = t.chooseSplit(&q)
	}
	switch {
	case okSingle && (!okSplit || single.score <= split.score):
		single.Deferred = deferred
		return single.Choice, nil
	case okSplit:
		split.Deferred = deferred
		return split.Choice, nil
	default:
		return Choice{}, ErrNoServer
	}
}

// chooseSingle chooses one decode engine for both prefill and decode.
func (t *Table) chooseSingle(q *query) (best candidate, found bool) {
	rate := t.prefillRate.perSecond * decodePrefillShare
	stage := t.stageFactors(q.now, fleet.StageDecode)
	for _, s := range q.decodeEngines {
		if q.excluded(s) {
			continue
		}
		priority := clampPriority(q.Priority)
		requests := s.requests(q.now)
		factor := t.workFactor(q.now, s, requests, stage)
		ahead, behind := s.backlog(q.now, rate/factor, priority)
		wait := ahead / rate
		hit := t.prefixHitFor(q, s, q.decodeHome, seconds(wait))
		uncached := q.uncachedTokens(hit)
		prefill := q.prefillSeconds(hit, rate)
		first := (t.firstSteps[directStep].seconds+prefill+wait)*factor + t.transferSeconds(hit.fetched) + t.slotWaitSeconds(requests, factor)
		c := candidate{Choice: t.newChoice(q.now, s, first)}
		c.UncachedTokens, c.FetchFrom, c.Priority = int(uncached), hit.sourceAddress, priority
		c.score = first*s.trialCost(q.now)/s.weight + t.domainCost(q.OriginDomain, s, q.BodyBytes) + t.recomputeCost(q, hit.tokens) + t.opts.OvertakingWeight*behind/rate*factor +
			t.opts.FetchPenaltyPerToken*float64(hit.fetched) + t.interferenceCost(prefill*factor, requests)*s.loadCostFactor
		t.keepBetter(directStep, &best, &found, c)
	}
	return best, found
}

// chooseSplit chooses a prefill engine and a decode engine.
func (t *Table) chooseSplit(q *query) (candidate, bool) {
	p, ok := t.choosePrefill(q)
	if !ok {
		return candidate{}, false
	}
	decode := *q
	if prefill := t.find(p.Server.ID); prefill != nil {
		decode.decodeEngines = withSameWeights(q.decodeEngines, prefill)
	}
	d, ok := t.chooseDecode(&decode, p.Server)
	if !ok {
		return candidate{}, false
	}
	c := p
	c.PrefillServer, c.Server, c.Split = p.Server, d.Server, true
	c.TimeToPrefilled = p.TimeToFirstEvent
	c.TimeToFirstEvent = p.TimeToFirstEvent + d.TimeToFirstEvent
	c.LoadAge = max(p.LoadAge, d.LoadAge)
	c.score = p.score + d.score
	return c, true
}

// choosePrefill chooses the engine that prefills the prompt.
func (t *Table) choosePrefill(q *query) (best candidate, found bool) {
	stage := t.stageFactors(q.now, fleet.StagePrefill)
	for _, s := range q.prefillEngines {
		if q.excluded(s) {
			continue
		}
		factor := t.workFactor(q.now, s, s.requests(q.now), stage)
		rate := t.prefillRate.perSecond
		hit := t.prefixHitFor(q, s, q.prefillHome, 0)
		priority := q.prefillPriority(q.prefillSeconds(hit, rate))
		ahead, behind := s.backlog(q.now, rate/factor, priority)
		wait := ahead / rate
		if wait > 0 {
			hit = t.prefixHitFor(q, s, q.prefillHome, seconds(wait))
		}
		uncached := q.uncachedTokens(hit)
		prefill := q.prefillSeconds(hit, rate)
		first := (t.firstSteps[prefillStep].seconds+prefill+wait)*factor + t.transferSeconds(hit.fetched)
		c := candidate{Choice: t.newChoice(q.now, s, first)}
		c.UncachedTokens, c.FetchFrom, c.Priority = int(uncached), hit.sourceAddress, priority
		c.score = first*s.trialCost(q.now)/s.weight + t.domainCost(q.OriginDomain, s, q.BodyBytes) + t.recomputeCost(q, hit.tokens) + t.opts.OvertakingWeight*behind/rate*factor + t.opts.FetchPenaltyPerToken*float64(hit.fetched)
		if s != q.prefillHome {
			c.score += t.opts.NonHomePenalty
		}
		t.keepBetter(prefillStep, &best, &found, c)
	}
	return best, found
}

// uncachedTokens returns the number of tokens that an engine has to prefill.
func (q *query) uncachedTokens(hit prefixHit) float64 {
	return float64(max(1, q.PromptTokens-hit.tokens))
}

// prefillSeconds returns the time of the prefill at the given rate, in work per
// second.
func (q *query) prefillSeconds(hit prefixHit, rate float64) float64 {
	return prefillWork(q.uncachedTokens(hit), float64(q.PromptTokens)) / rate
}

// ChooseDecode chooses the decode engine a second time, after the prompt has been
// prefilled, because the engine chosen at first may have become busy or started
// to leave in the meantime. The error is ErrNoServer if no decode engine is
// usable.
func (t *Table) ChooseDecode(now time.Duration, r Request, prefill fleet.Server) (Choice, error) {
	q := query{Request: r, now: now, decodeEngines: t.usableFor(now, r, fleet.StageDecode)}
	q.OriginDomain = t.opts.FailureDomain
	c, ok := t.chooseDecode(&q, prefill)
	if !ok {
		return Choice{}, ErrNoServer
	}
	c.PrefillServer, c.Split = prefill, true
	return c.Choice, nil
}

// chooseDecode chooses the decode engine for a prompt prefilled by another
// engine.
func (t *Table) chooseDecode(q *query, prefill fleet.Server) (best candidate, found bool) {
	stage := t.stageFactors(q.now, fleet.StageDecode)
	for _, s := range q.decodeEngines {
		if q.excluded(s) {
			continue
		}
		requests := s.requests(q.now)
		factor := t.workFactor(q.now, s, requests, stage)
		transfer := t.transferSeconds(q.PromptTokens)
		cost := t.opts.TransferPenaltyPerToken * float64(q.PromptTokens)
		if s.FailureDomain != prefill.FailureDomain {
			transfer *= 2
			cost *= 2
		}
		rate := t.prefillRate.perSecond * decodePrefillShare
		wait := s.backlogAhead(q.now, rate/factor, clampPriority(q.Priority)) / rate
		first := (t.firstSteps[importStep].seconds+wait)*factor + transfer + t.slotWaitSeconds(requests, factor)
		c := candidate{Choice: t.newChoice(q.now, s, first)}
		c.score = first*s.trialCost(q.now)/s.weight + cost + t.domainCost(q.OriginDomain, s, q.BodyBytes)
		t.keepBetter(importStep, &best, &found, c)
	}
	return best, found
}
