package bench

import (
	"fmt"
	"slices"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// arrive routes a request, on its arrival or for a retry.
func (sim *simulation) arrive(now time.Duration, r *request) {
	if r.finished {
		return
	}
	choice, ok := sim.routers[r.entry].choose(now, r)
	if !ok {
		sim.finishUnanswered(r, true)
		return
	}
	sim.send(now, r, choice)
}

// send sends an attempt to the gate of its first stage.
func (sim *simulation) send(now time.Duration, r *request, choice routing.Choice) {
	r.attempts++
	a := &attempt{
		request:      r,
		id:           fmt.Sprintf("%d-%d", r.id, r.attempts),
		prefill:      sim.nodeByName(choice.PrefillEngine),
		decode:       sim.nodeByName(choice.DecodeEngine),
		split:        choice.Split(),
		cachedTokens: choice.CachedTokens,
		resumeFrom:   r.produced,
	}
	if !a.split {
		a.stage = 1
	}
	r.current = a
	sim.planLoop.recordDemand(a)
	sim.routers[r.entry].sent(now, a)
	sim.schedule(now+messageLatency, func(later time.Duration) { a.node().submit(later, a) })
}

func (sim *simulation) nodeByName(name string) *node {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.name == name })
	return sim.nodes[i]
}

// expire ends a request at its deadline. The caller has given up, and the
// running attempt is cancelled if the variant propagates cancellation.
func (sim *simulation) expire(now time.Duration, r *request) {
	if r.finished {
		return
	}
	r.expired = true
	a := r.current
	sim.finishUnanswered(r, false)
	if a == nil || a.ended {
		return
	}
	a.ended = true
	sim.routers[r.entry].ended(now, a, a.node(), false)
	if sim.variant.cancel {
		sim.schedule(now+messageLatency, func(later time.Duration) { a.node().cancel(later, a) })
	}
}

// finishUnanswered ends a request without a response.
func (sim *simulation) finishUnanswered(r *request, refused bool) {
	r.finished = true
	r.refused = refused
}

// attemptFailed lets the entry decide whether to retry an attempt that did not
// complete. The entry learns of the failure after the delay.
func (sim *simulation) attemptFailed(now, delay time.Duration, a *attempt, n *node, ran peerv1.Ran) {
	sim.schedule(now+delay, func(later time.Duration) {
		if a.ended {
			return
		}
		a.ended = true
		mayHaveRun := ran != peerv1.Ran_RAN_NO
		sim.routers[a.entry].ended(later, a, n, mayHaveRun)
		a.triedEngines = append(a.triedEngines, n.name)
		if a.finished {
			return
		}
		backoff, ok := sim.routers[a.entry].retryDecision(later, a, ran)
		if !ok {
			sim.finishUnanswered(a.request, ran == peerv1.Ran_RAN_NO)
			return
		}
		sim.result.retries++
		sim.schedule(later+backoff, func(at time.Duration) { sim.arrive(at, a.request) })
	})
}

// attemptRejected handles an attempt that a node rejected without running it.
func (sim *simulation) attemptRejected(now time.Duration, a *attempt, n *node) {
	sim.attemptFailed(now, messageLatency, a, n, peerv1.Ran_RAN_NO)
}

// onEvent processes an engine event that concerns an attempt.
func (sim *simulation) onEvent(a *attempt, n *node, e enginemodel.Event) {
	switch e.Kind {
	case enginemodel.EventTokens:
		sim.onTokens(a, e)
	case enginemodel.EventDone:
		sim.onDone(a, n, e)
	case enginemodel.EventFailed:
		sim.attemptFailed(e.At, lossDetectionDelay, a, n, peerv1.Ran_RAN_UNKNOWN)
	}
}

// onTokens records generated tokens and the times between them.
func (sim *simulation) onTokens(a *attempt, e enginemodel.Event) {
	r := a.request
	if r.finished || r.current != a {
		return
	}
	first := e.At - time.Duration(e.Tokens-1)*e.TokenInterval
	if r.firstToken == 0 {
		r.firstToken = first
	} else {
		sim.result.recordGap(r, first-r.lastToken, 1)
	}
	if e.Tokens > 1 {
		sim.result.recordGap(r, e.TokenInterval, e.Tokens-1)
	}
	r.lastToken = e.At
	r.produced = e.TokenIndex + e.Tokens
}

// onDone ends a stage. The prefill stage of a split attempt is followed by its
// decode stage; otherwise the request is complete.
func (sim *simulation) onDone(a *attempt, n *node, e enginemodel.Event) {
	if e.Reason == enginemodel.FinishedMoved {
		return
	}
	sim.routers[a.entry].ended(e.At, a, n, false)
	if a.split && a.stage == 0 {
		sim.schedule(e.At+messageLatency, func(later time.Duration) { sim.startDecode(later, a, n) })
		return
	}
	r := a.request
	a.ended = true
	if r.current == a || r.completions > 0 {
		r.completions++
	}
	if !r.finished {
		r.finishedAt = e.At + messageLatency
		r.finished = true
	}
}

// startDecode sends the decode stage of a split attempt, which imports the KV
// cache, to its engine.
func (sim *simulation) startDecode(now time.Duration, a *attempt, from *node) {
	from.model.Release(now, a.sequenceID())
	from.startAdmitted(now)
	if a.finished || a.ended {
		return
	}
	a.stage = 1
	sim.schedule(now+messageLatency, func(later time.Duration) { a.decode.submit(later, a) })
}

// sequence returns the engine request for the attempt's current stage.
func (a *attempt) sequence(priority int) enginemodel.Sequence {
	return enginemodel.Sequence{
		ID:           a.sequenceID(),
		PromptTokens: a.promptTokens,
		PrefixHashes: a.prefixHashes,
		OutputTokens: a.outputTokens,
		ResumeFrom:   a.resumeFrom,
		Imported:     a.split && a.stage == 1,
		PrefillOnly:  a.split && a.stage == 0,
		Priority:     priority,
	}
}

// acceptedBy reports whether an engine with the given role accepts the
// attempt's current stage.
func (a *attempt) acceptedBy(role configv1.Role) bool {
	switch role {
	case configv1.Role_ROLE_PREFILL:
		return a.split && a.stage == 0
	case configv1.Role_ROLE_DECODE:
		return a.split && a.stage == 1
	default:
		return true
	}
}
