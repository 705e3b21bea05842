package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

const testMaxAge = 20 * time.Second

func newTestGate(incarnation uint64) *Gate {
	return NewGate(GateOptions{Incarnation: incarnation, MaxAge: testMaxAge, MaxClockSkew: 5 * time.Second})
}

// applier is a gate, or a naive one.
type applier interface {
	Apply(ev GateEvent, now time.Time) GateResult
}

// naiveGate forgets what it does not hold: it calls everything that it does
// not see running withdrawn, and runs what arrives.
type naiveGate struct{ running map[string]bool }

func (n *naiveGate) Apply(ev GateEvent, _ time.Time) GateResult {
	switch ev.Kind {
	case GateSubmit:
		return GateResult{State: GateQueued, Accepted: true}
	case GateStart:
		n.running[ev.AttemptID] = true
		return GateResult{State: GateStarted, Accepted: true}
	case GateFinish:
		delete(n.running, ev.AttemptID)
	case GateWithdraw:
		if !n.running[ev.AttemptID] {
			return GateResult{State: GateWithdrawn}
		}
		return GateResult{State: GateStarted}
	}
	return GateResult{}
}

// gateLog keeps every event of all incarnations for ever and judges answers
// by reading it from the start: slow, and obviously right.
type gateLog struct {
	runs      map[string]int
	disowned  map[string]bool
	mixedUp   []string
	startable []string
}

// apply passes an event on and checks the answer against the log.
func (l *gateLog) apply(g applier, ev GateEvent, now time.Time) GateResult {
	out := g.Apply(ev, now)
	switch {
	case ev.Kind == GateStart && out.Accepted:
		l.runs[ev.AttemptID]++
		if l.runs[ev.AttemptID] > 1 {
			l.mixedUp = append(l.mixedUp, "ran twice: "+ev.AttemptID)
		}
		if l.disowned[ev.AttemptID] {
			l.mixedUp = append(l.mixedUp, "ran after withdrawal: "+ev.AttemptID)
		}
	case ev.Kind == GateSubmit && out.Accepted:
		l.startable = append(l.startable, ev.AttemptID)
	case out.State == GateWithdrawn:
		l.disowned[ev.AttemptID] = true
		if l.runs[ev.AttemptID] > 0 {
			l.mixedUp = append(l.mixedUp, "disowned after it ran: "+ev.AttemptID)
		}
	}
	return out
}

// gateFaults drives a gate with late, doubled and crossed messages over
// restarts of the agent, and returns the lies that the log shows.
func gateFaults(t *rapid.T, make func(incarnation uint64) applier) []string {
	log := &gateLog{runs: map[string]int{}, disowned: map[string]bool{}}
	now := epoch
	incarnation := uint64(1)
	gate := make(incarnation)
	sentTo := map[string]uint64{}
	var ids []string
	for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(-500, 4000).Draw(t, "ms")) * time.Millisecond)
		if len(ids) == 0 || rapid.Bool().Draw(t, "new") {
			ids = append(ids, testID(now, step))
			sentTo[ids[len(ids)-1]] = incarnation
		}
		id := rapid.SampledFrom(ids).Draw(t, "id")
		kind := rapid.SampledFrom([]GateEventKind{GateSubmit, GateStart, GateFinish, GateWithdraw, 0}).Draw(t, "kind")
		if kind == 0 && rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
			incarnation++
			gate = make(incarnation)
			continue
		}
		log.apply(gate, GateEvent{
			Kind:        kind,
			AttemptID:   id,
			Deadline:    now.Add(time.Duration(rapid.IntRange(-1, 15).Draw(t, "left")) * time.Second),
			Incarnation: sentTo[id],
		}, now)
	}
	return log.mixedUp
}

func TestGateNeverDisownsWhatRan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lies := gateFaults(t, func(n uint64) applier { return newTestGate(n) })
		require.Empty(t, lies)
	})
}

func TestGateNaiveIsSeenToLie(t *testing.T) {
	lies := 0
	rapid.Check(t, func(t *rapid.T) {
		lies += len(gateFaults(t, func(uint64) applier { return &naiveGate{running: map[string]bool{}} }))
	})
	require.Positive(t, lies)
}

func TestGateStates(t *testing.T) {
	id := testID(epoch, 1)
	submit := GateEvent{Kind: GateSubmit, AttemptID: id, Deadline: epoch.Add(10 * time.Second), Incarnation: 7}
	start := GateEvent{Kind: GateStart, AttemptID: id}
	finish := GateEvent{Kind: GateFinish, AttemptID: id}
	withdraw := GateEvent{Kind: GateWithdraw, AttemptID: id, Incarnation: 7}
	stop := GateEvent{Kind: GateWithdraw, AttemptID: id, Incarnation: 7, Cancel: true}
	elsewhere := GateEvent{Kind: GateWithdraw, AttemptID: id, Incarnation: 6}
	refused := func(state GateState, reason peerv1.RefusalReason) GateResult {
		return GateResult{State: state, Reason: reason}
	}
	withdrawn := refused(GateWithdrawn, peerv1.RefusalReason_REFUSAL_REASON_WITHDRAWN)
	unknown := refused(GateUnknown, peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN)
	expired := refused(GateWithdrawn, peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED)
	tests := []struct {
		name   string
		events []GateEvent
		after  time.Duration
		want   GateResult
	}{
		{"withdrawn before start", []GateEvent{submit, withdraw, start}, 0, withdrawn},
		{"withdrawn before submit", []GateEvent{withdraw, submit}, 0, withdrawn},
		{"withdrawn while queued", []GateEvent{submit, withdraw}, 0, GateResult{State: GateWithdrawn}},
		{"started", []GateEvent{submit, start, withdraw}, 0, GateResult{State: GateStarted}},
		{"cancelled", []GateEvent{submit, start, stop}, 0, GateResult{State: GateStarted, Cancel: true}},
		{"cancelled once", []GateEvent{submit, start, stop, stop}, 0, GateResult{State: GateStarted}},
		{"finished", []GateEvent{submit, start, finish, stop}, 0, GateResult{State: GateFinished}},
		{"doubled submit", []GateEvent{submit, start, submit}, 0, GateResult{State: GateStarted, DuplicateAttempt: true}},
		{"sent to an older incarnation", []GateEvent{elsewhere}, 0, GateResult{}},
		{"asked twice about an older one", []GateEvent{elsewhere, elsewhere}, 0, GateResult{}},
		{"crossed with an older one", []GateEvent{elsewhere, submit}, 0, unknown},
		{"too late to start", []GateEvent{submit, start}, 11 * time.Second, expired},
		{"too old", []GateEvent{submit}, time.Minute, refused(GateUnknown, peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGate(7)
			var out GateResult
			for i, ev := range test.events {
				now := epoch
				if i == len(test.events)-1 {
					now = now.Add(test.after)
				}
				out = g.Apply(ev, now)
			}
			require.Equal(t, test.want, out)
		})
	}
}

func TestGateForgetsInBoundedTime(t *testing.T) {
	g := newTestGate(1)
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * time.Second)
		g.Apply(GateEvent{Kind: GateWithdraw, AttemptID: testID(now, i), Incarnation: 1}, now)
	}
	require.LessOrEqual(t, g.Len(), int(testMaxAge/time.Second)+1)
}

func BenchmarkGate(b *testing.B) {
	g := newTestGate(1)
	b.ReportAllocs()
	for i := range b.N {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		id := testID(now, i)
		g.Apply(GateEvent{Kind: GateSubmit, AttemptID: id, Deadline: now.Add(time.Second)}, now)
		g.Apply(GateEvent{Kind: GateStart, AttemptID: id}, now)
		g.Apply(GateEvent{Kind: GateFinish, AttemptID: id}, now)
	}
}
