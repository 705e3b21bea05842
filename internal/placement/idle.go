package placement

import "time"

// IdleEstimate is what a request would take on the servers of a choice if they had
// nothing else to do.
type IdleEstimate struct {
	// PrefillSeconds is how long an engine works on the prompt; 0 for a plain service.
	PrefillSeconds float64
	// FirstEvent is the time to the first event. What the choice predicts beyond that
	// is time that the request waits for others.
	FirstEvent time.Duration
}

// EstimateIdle returns the estimate for a request with the given number of prompt
// tokens and a choice that was made now.
func (t *Table) EstimateIdle(now time.Duration, c Choice, promptTokens int) IdleEstimate {
	runs := t.find(c.Server.ID)
	if runs == nil {
		return IdleEstimate{FirstEvent: c.TimeToFirstEvent}
	}
	if t.engine == nil {
		return IdleEstimate{FirstEvent: seconds(plainServiceSeconds * t.currentFactor(now, runs))}
	}
	prefills, step, first := runs, directStep, 0.0
	if prefill := t.find(c.PrefillServer.ID); c.Split && prefill != nil {
		prefills, step = prefill, prefillStep
		transfer := t.transferSeconds(promptTokens)
		if prefill.FailureDomain != runs.FailureDomain {
			transfer *= 2
		}
		first = t.firstSteps[importStep].seconds*t.currentFactor(now, runs) + transfer
	}
	work := prefillWork(float64(c.UncachedTokens), float64(promptTokens)) / t.rateOf(prefills)
	first += (t.firstSteps[step].seconds + work) * t.currentFactor(now, prefills)
	if c.FetchFrom != "" {
		first += t.transferSeconds(max(0, promptTokens-c.UncachedTokens))
	}
	return IdleEstimate{PrefillSeconds: work, FirstEvent: seconds(first)}
}
