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

// arrive has a request's entry decide on it.
func (w *world) arrive(now time.Duration, r *request) {
	if r.over {
		return
	}
	choice, ok := w.routers[r.entry].choose(now, r)
	if !ok {
		w.close(r, true)
		return
	}
	w.send(now, r, choice)
}

// send puts an attempt on its way to the gate of its first stage.
func (w *world) send(now time.Duration, r *request, choice routing.Choice) {
	r.attempts++
	a := &attempt{
		request: r,
		id:      fmt.Sprintf("%d-%d", r.id, r.attempts),
		prefill: w.nodeOf(choice.PrefillEngine),
		decode:  w.nodeOf(choice.DecodeEngine),
		split:   choice.Split(),
		cached:  choice.CachedTokens,
		resume:  r.produced,
	}
	if !a.split {
		a.stage = 1
	}
	r.current = a
	w.planning.admitted(a)
	w.routers[r.entry].sent(now, a)
	w.schedule(now+hop, func(later time.Duration) { a.node().submit(later, a) })
}

func (w *world) nodeOf(name string) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	return w.nodes[i]
}

// expire ends a request at its deadline: the caller has gone away, and what
// still runs for it is cancelled.
func (w *world) expire(now time.Duration, r *request) {
	if r.over {
		return
	}
	r.late = true
	a := r.current
	w.close(r, false)
	if a == nil || a.ended {
		return
	}
	a.ended = true
	w.routers[r.entry].ended(now, a, a.node(), false)
	if w.variant.cancel {
		w.schedule(now+hop, func(later time.Duration) { a.node().cancel(later, a) })
	}
}

// close ends a request without an answer.
func (w *world) close(r *request, refused bool) {
	r.over = true
	r.refused = refused
}

// failed has the entry decide on what follows an attempt that did not
// complete, after the delay in which it learns of it.
func (w *world) failed(now, delay time.Duration, a *attempt, n *node, ran peerv1.Ran) {
	w.schedule(now+delay, func(later time.Duration) {
		if a.ended {
			return
		}
		a.ended = true
		broke := ran != peerv1.Ran_RAN_NO
		w.routers[a.entry].ended(later, a, n, broke)
		a.tried = append(a.tried, n.name)
		if a.over {
			return
		}
		backoff, ok := w.routers[a.entry].again(later, a, ran)
		if !ok {
			w.close(a.request, ran == peerv1.Ran_RAN_NO)
			return
		}
		w.result.retries++
		w.schedule(later+backoff, func(at time.Duration) { w.arrive(at, a.request) })
	})
}

// refusedBy has an attempt refused by a gate, which has not run it.
func (w *world) refusedBy(now time.Duration, a *attempt, n *node) {
	w.failed(now, hop, a, n, peerv1.Ran_RAN_NO)
}

// onEvent takes in what an engine reports of an attempt.
func (w *world) onEvent(a *attempt, n *node, e enginemodel.Event) {
	switch e.Kind {
	case enginemodel.EventTokens:
		w.onTokens(a, e)
	case enginemodel.EventDone:
		w.onDone(a, n, e)
	case enginemodel.EventFailed:
		w.failed(e.At, downDelay, a, n, peerv1.Ran_RAN_UNKNOWN)
	}
}

// onTokens counts output tokens and the time between them.
func (w *world) onTokens(a *attempt, e enginemodel.Event) {
	r := a.request
	if r.over || r.current != a {
		return
	}
	first := e.At - time.Duration(e.Tokens-1)*e.TokenInterval
	if r.firstToken == 0 {
		r.firstToken = first
	} else {
		w.result.gap(r, first-r.lastToken, 1)
	}
	if e.Tokens > 1 {
		w.result.gap(r, e.TokenInterval, e.Tokens-1)
	}
	r.lastToken = e.At
	r.produced = e.TokenIndex + e.Tokens
}

// onDone ends a stage: after the prefill of a split attempt the decode
// follows, else the request is answered.
func (w *world) onDone(a *attempt, n *node, e enginemodel.Event) {
	if e.Reason == enginemodel.FinishedMoved {
		return
	}
	w.routers[a.entry].ended(e.At, a, n, false)
	if a.split && a.stage == 0 {
		w.schedule(e.At+hop, func(later time.Duration) { w.handOver(later, a, n) })
		return
	}
	r := a.request
	a.ended = true
	if r.current == a || r.answers > 0 {
		r.answers++
	}
	if !r.over {
		r.finishedAt = e.At + hop
		r.over = true
	}
}

// handOver sends the second stage of a split attempt, which imports the KV
// cache, to its engine.
func (w *world) handOver(now time.Duration, a *attempt, from *node) {
	from.model.Release(now, a.sequenceID())
	from.pump(now)
	if a.over || a.ended {
		return
	}
	a.stage = 1
	w.schedule(now+hop, func(later time.Duration) { a.decode.submit(later, a) })
}

// sequence returns what the attempt asks of its engine at the present stage.
func (a *attempt) sequence(priority int) enginemodel.Sequence {
	return enginemodel.Sequence{
		ID:           a.sequenceID(),
		PromptTokens: a.prompt,
		PrefixHashes: a.prefix,
		OutputTokens: a.output,
		ResumeFrom:   a.resume,
		Imported:     a.split && a.stage == 1,
		PrefillOnly:  a.split && a.stage == 0,
		Priority:     priority,
	}
}

// takes reports whether a role takes the attempt's present stage.
func (a *attempt) fits(role configv1.Role) bool {
	switch role {
	case configv1.Role_ROLE_PREFILL:
		return a.split && a.stage == 0
	case configv1.Role_ROLE_DECODE:
		return a.split && a.stage == 1
	default:
		return true
	}
}
