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

// eventApplier is implemented by Gate and by faultyGate.
type eventApplier interface {
	Apply(ev GateEvent, now time.Time) GateResult
}

// faultyGate keeps no tombstones: it reports every attempt that it does not see
// running as withdrawn, and executes every attempt that it receives.
type faultyGate struct{ running map[string]bool }

func (g *faultyGate) Apply(ev GateEvent, _ time.Time) GateResult {
	switch ev.Kind {
	case GateSubmit:
		return GateResult{State: GateQueued, Accepted: true}
	case GateStart:
		g.running[ev.AttemptID] = true
		return GateResult{State: GateStarted, Accepted: true}
	case GateFinish:
		delete(g.running, ev.AttemptID)
	case GateWithdraw:
		if !g.running[ev.AttemptID] {
			return GateResult{State: GateWithdrawn}
		}
		return GateResult{State: GateStarted}
	}
	return GateResult{}
}

// gateOracle records all events of all incarnations without expiry and checks
// each result against the record.
type gateOracle struct {
	executions map[string]int
	withdrawn  map[string]bool
	violations []string
	startable  []string
}

// apply applies an event and checks its result.
func (o *gateOracle) apply(g eventApplier, ev GateEvent, now time.Time) GateResult {
	out := g.Apply(ev, now)
	switch {
	case ev.Kind == GateStart && out.Accepted:
		o.executions[ev.AttemptID]++
		if o.executions[ev.AttemptID] > 1 {
			o.violations = append(o.violations, "executed twice: "+ev.AttemptID)
		}
		if o.withdrawn[ev.AttemptID] {
			o.violations = append(o.violations, "executed after its withdrawal: "+ev.AttemptID)
		}
	case ev.Kind == GateSubmit && out.Accepted:
		o.startable = append(o.startable, ev.AttemptID)
	case out.State == GateWithdrawn:
		o.withdrawn[ev.AttemptID] = true
		if o.executions[ev.AttemptID] > 0 {
			o.violations = append(o.violations, "withdrawn after its execution: "+ev.AttemptID)
		}
	}
	return out
}

// runGateFaults applies delayed, duplicated and reordered messages to a gate
// whose agent restarts, and returns the violations found by the oracle.
func runGateFaults(t *rapid.T, newGate func(incarnation uint64) eventApplier) []string {
	oracle := &gateOracle{executions: map[string]int{}, withdrawn: map[string]bool{}}
	now := epoch
	incarnation := uint64(1)
	gate := newGate(incarnation)
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
			gate = newGate(incarnation)
			continue
		}
		oracle.apply(gate, GateEvent{
			Kind:        kind,
			AttemptID:   id,
			Deadline:    now.Add(time.Duration(rapid.IntRange(-1, 15).Draw(t, "left")) * time.Second),
			Incarnation: sentTo[id],
		}, now)
	}
	return oracle.violations
}

// TestGateNeverWithdrawsExecutedAttempts checks that no attempt is executed
// twice, or reported as withdrawn although it was or will be executed.
func TestGateNeverWithdrawsExecutedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		violations := runGateFaults(t, func(n uint64) eventApplier { return newTestGate(n) })
		require.Empty(t, violations)
	})
}

// TestGateOracleDetectsFaultyGate checks that the oracle finds the violations
// of a gate without tombstones.
func TestGateOracleDetectsFaultyGate(t *testing.T) {
	violations := 0
	rapid.Check(t, func(t *rapid.T) {
		violations += len(runGateFaults(t, func(uint64) eventApplier { return &faultyGate{running: map[string]bool{}} }))
	})
	require.Positive(t, violations)
}

// TestGateStates checks the result of the last event of short sequences.
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
		{"duplicate submit", []GateEvent{submit, start, submit}, 0, GateResult{State: GateStarted, DuplicateAttempt: true}},
		{"sent to an older incarnation", []GateEvent{elsewhere}, 0, GateResult{}},
		{"withdrawn twice from an older incarnation", []GateEvent{elsewhere, elsewhere}, 0, GateResult{}},
		{"submitted after withdrawal from an older incarnation", []GateEvent{elsewhere, submit}, 0, unknown},
		{"deadline passed before start", []GateEvent{submit, start}, 11 * time.Second, expired},
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

// TestGateRetentionIsBounded checks that records expire after MaxAge.
func TestGateRetentionIsBounded(t *testing.T) {
	g := newTestGate(1)
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * time.Second)
		g.Apply(GateEvent{Kind: GateWithdraw, AttemptID: testID(now, i), Incarnation: 1}, now)
	}
	require.LessOrEqual(t, g.Len(), int(testMaxAge/time.Second)+1)
}

// BenchmarkGate measures one attempt from its submission to its end.
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
