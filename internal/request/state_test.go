package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// nextFunc is Next or faultyNext.
type nextFunc func(State, Event, time.Time) (State, Step)

// faultyNext takes a timeout to mean that the request was not executed, and
// retries every failure.
func faultyNext(h State, ev Event, now time.Time) (State, Step) {
	switch ev.Kind {
	case EventBegin:
		return h, Step{Kind: StepSend}
	case EventComplete:
		return h, Step{Kind: StepComplete}
	case EventNotSent, EventStreamLost, EventFailed:
		if h.Attempts++; h.Attempts < 3 && now.Before(h.Call.Deadline) {
			return h, Step{Kind: StepSend}
		}
		return h, Step{Kind: StepRefuse}
	case EventTimeout, EventCancel:
		return h, Step{Kind: StepRefuse}
	}
	return h, Step{Kind: StepWait}
}

// simulation is one request to two agents that restart at any moment and whose
// messages are lost, delayed and duplicated. It records what was actually
// executed.
type simulation struct {
	t           *rapid.T
	next        nextFunc
	now         time.Time
	h           State
	step        Step
	gates       [2]*Gate
	incarnation [2]uint64
	// sent lists the attempts with the agent and incarnation that each was sent
	// to.
	sent       []sentAttempt
	executions int
	// provedNotExecuted marks attempts that were proved not to be executed
	// before the caller was told the outcome.
	provedNotExecuted map[int]bool
	final             Step
}

type sentAttempt struct {
	id          string
	agent       int
	incarnation uint64
	reached     bool
}

func newSimulation(t *rapid.T, call Call, next nextFunc) *simulation {
	w := &simulation{t: t, next: next, now: epoch, h: NewState(call), provedNotExecuted: map[int]bool{}}
	for i := range w.gates {
		w.restart(i)
	}
	return w
}

func (w *simulation) restart(agent int) {
	w.incarnation[agent]++
	w.gates[agent] = newTestGate(w.incarnation[agent])
}

// handle passes an event to the state machine and carries out sends.
func (w *simulation) handle(ev Event) {
	if w.final.Final() {
		return
	}
	ev.RetryAllowed = rapid.Bool().Draw(w.t, "retry")
	w.h, w.step = w.next(w.h, ev, w.now)
	switch {
	case w.step.Kind == StepSend:
		agent := rapid.IntRange(0, 1).Draw(w.t, "agent")
		w.sent = append(w.sent, sentAttempt{testID(w.now, len(w.sent)), agent, w.incarnation[agent], false})
	case w.step.Final():
		w.final = w.step
	}
}

func (w *simulation) current() int { return len(w.sent) - 1 }

// randomAction performs one random action at an agent or on the network.
func (w *simulation) randomAction() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(w.t, "ms")) * time.Millisecond)
	n := rapid.IntRange(0, w.current()).Draw(w.t, "attempt")
	a := &w.sent[n]
	switch rapid.SampledFrom([]string{"submit", "submit", "start", "start", "finish", "fail", "refuse", "restart", "break", "timeout", "withdraw", "cancel", "not sent"}).Draw(w.t, "act") {
	case "submit":
		a.reached = true
		w.gates[a.agent].Apply(GateEvent{Kind: GateSubmit, AttemptID: a.id, Deadline: w.h.Call.Deadline, Incarnation: a.incarnation}, w.now)
	case "start":
		if w.gates[a.agent].Apply(GateEvent{Kind: GateStart, AttemptID: a.id}, w.now).Accepted {
			w.executions++
			w.forward(n, Event{Kind: EventStarted})
		}
	case "finish":
		w.finish(n, Event{Kind: EventComplete})
	case "fail":
		w.finish(n, Event{Kind: EventFailed, Ran: peerv1.Ran_RAN_YES})
	case "refuse":
		w.refuse(n)
	case "restart":
		w.restart(a.agent)
	case "break":
		w.forward(n, Event{Kind: EventStreamLost})
	case "timeout":
		w.handle(Event{Kind: EventTimeout})
	case "cancel":
		w.handle(Event{Kind: EventCancel})
	case "withdraw":
		w.withdraw()
	case "not sent":
		if !a.reached && n == w.current() {
			a.incarnation = 1 << 40
			w.recordProof(n, true)
			w.handle(Event{Kind: EventNotSent})
		}
	}
}

// recordProof records whether an attempt is proved not to be executed, unless
// the caller has already been told the outcome.
func (w *simulation) recordProof(n int, never bool) {
	if !w.final.Final() {
		w.provedNotExecuted[n] = never
	}
}

// forward passes on an event of the current attempt, or loses it.
func (w *simulation) forward(n int, ev Event) {
	if n == w.current() && rapid.IntRange(0, 3).Draw(w.t, "lost") > 0 {
		w.handle(ev)
	}
}

// finish ends a running attempt.
func (w *simulation) finish(n int, ev Event) {
	a := w.sent[n]
	gate := w.gates[a.agent]
	if gate.Apply(GateEvent{Kind: GateWithdraw, AttemptID: a.id, Incarnation: a.incarnation}, w.now).State != GateStarted {
		return
	}
	gate.Apply(GateEvent{Kind: GateFinish, AttemptID: a.id}, w.now)
	w.forward(n, ev)
}

// refuse lets the agent refuse a queued attempt.
func (w *simulation) refuse(n int) {
	a := w.sent[n]
	out := w.gates[a.agent].Apply(GateEvent{Kind: GateWithdraw, AttemptID: a.id, Incarnation: a.incarnation}, w.now)
	if a.reached && out.State == GateWithdrawn && n == w.current() {
		w.recordProof(n, true)
		w.handle(Event{Kind: EventFailed, Ran: peerv1.Ran_RAN_NO, Migrated: rapid.Bool().Draw(w.t, "moved")})
	}
}

// withdraw delivers a withdrawal to the gate, or loses the message or its
// reply.
func (w *simulation) withdraw() {
	if w.step.Kind != StepWithdraw {
		return
	}
	a := w.sent[w.current()]
	if rapid.Bool().Draw(w.t, "unreachable") {
		w.handle(Event{Kind: EventGateUnreachable})
		return
	}
	ev := GateEvent{Kind: GateWithdraw, AttemptID: a.id, Incarnation: a.incarnation, Cancel: w.step.Cancel}
	out := w.gates[a.agent].Apply(ev, w.now)
	if rapid.Bool().Draw(w.t, "reply lost") {
		w.handle(Event{Kind: EventGateUnreachable})
		return
	}
	w.recordProof(w.current(), out.State == GateWithdrawn)
	w.handle(Event{Kind: EventWithdrawReply, WithdrawState: WithdrawState(out.State)})
}

// run simulates one request to its outcome and beyond, and returns the errors
// in what the caller was told.
func (w *simulation) run() []string {
	w.handle(Event{Kind: EventBegin})
	for range rapid.IntRange(0, 60).Draw(w.t, "acts") {
		w.randomAction()
	}
	w.now = w.h.Call.Deadline
	w.handle(Event{Kind: EventTimeout})
	for range 3 {
		w.handle(Event{Kind: EventGateUnreachable})
	}
	for range 10 {
		w.randomAction()
	}
	return w.faults()
}

func (w *simulation) faults() []string {
	var faults []string
	if !w.final.Final() {
		faults = append(faults, "no outcome")
	}
	if w.final.Kind == StepRefuse && w.executions > 0 {
		faults = append(faults, "reported as not executed, but was executed")
	}
	if !w.h.Call.Idempotent && w.executions > 1 {
		faults = append(faults, "executed more than once")
	}
	proved := 0
	for _, no := range w.provedNotExecuted {
		if no {
			proved++
		}
	}
	if w.final.Kind == StepUnknown && proved == len(w.sent) {
		faults = append(faults, "reported as unknown, but is known not to be executed")
	}
	return faults
}

func drawCall(t *rapid.T) Call {
	return Call{
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Resumable:  rapid.Bool().Draw(t, "resumable"),
		Deadline:   epoch.Add(10 * time.Second),
	}
}

// TestNextReportsExecutionCorrectly checks that the caller is never told that
// an executed request was not executed, that calls that are not idempotent are
// executed at most once, and that a request proved not to be executed is not
// reported as unknown.
func TestNextReportsExecutionCorrectly(t *testing.T) {
	outcomes := map[StepKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, drawCall(t), Next)
		require.Empty(t, w.run())
		outcomes[w.final.Kind]++
	})
	t.Logf("complete %d, refused %d, unknown %d", outcomes[StepComplete], outcomes[StepRefuse], outcomes[StepUnknown])
}

// TestSimulationDetectsFaultyNext checks that the simulation finds the errors
// of a state machine that trusts timeouts.
func TestSimulationDetectsFaultyNext(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		for _, fault := range newSimulation(t, drawCall(t), faultyNext).run() {
			seen[fault]++
		}
	})
	require.Positive(t, seen["reported as not executed, but was executed"])
	require.Positive(t, seen["executed more than once"])
}

// TestNextSteps checks the last step of short sequences of events.
func TestNextSteps(t *testing.T) {
	begin := Event{Kind: EventBegin}
	started := Event{Kind: EventStarted}
	got := NewProgress()
	got.add([]byte("one"), 1)
	delivered := Event{Kind: EventDelivered, Progress: got}
	broken := Event{Kind: EventStreamLost, RetryAllowed: true}
	brokenNoBudget := Event{Kind: EventStreamLost}
	moved := Event{Kind: EventFailed, Ran: peerv1.Ran_RAN_YES, Migrated: true}
	timeout := Event{Kind: EventTimeout}
	withdrawn := Event{Kind: EventWithdrawReply, RetryAllowed: true, WithdrawState: peerv1.WithdrawState_WITHDRAW_STATE_WITHDRAWN}
	running := Event{Kind: EventWithdrawReply, RetryAllowed: true, WithdrawState: peerv1.WithdrawState_WITHDRAW_STATE_STARTED}
	finished := Event{Kind: EventWithdrawReply, RetryAllowed: true, WithdrawState: peerv1.WithdrawState_WITHDRAW_STATE_FINISHED}
	unreachable := Event{Kind: EventGateUnreachable, RetryAllowed: true}
	cancel := Event{Kind: EventCancel, RetryAllowed: true}
	idempotent := Call{Idempotent: true}
	nonIdempotent := Call{}
	stream := Call{Idempotent: true, Resumable: true}
	cancelled := peerv1.RefusalReason_REFUSAL_REASON_CANCELLED
	outcomeUnknown := peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN
	tests := []struct {
		name   string
		call   Call
		events []Event
		want   Step
	}{
		{"withdrawal permits a retry", nonIdempotent, []Event{begin, timeout, withdrawn}, Step{Kind: StepSend, Retry: true}},
		{"started attempt is awaited", nonIdempotent, []Event{begin, timeout, running}, Step{Kind: StepWait}},
		{"end frame may be in transit", idempotent, []Event{begin, timeout, finished}, Step{Kind: StepWait}},
		{"end frame is lost", idempotent, []Event{begin, timeout, finished, timeout, finished}, Step{Kind: StepSend, Retry: true}},
		{"non-idempotent call with unreachable gate", nonIdempotent, []Event{begin, broken, unreachable}, Step{Kind: StepUnknown, Ran: peerv1.Ran_RAN_UNKNOWN, Reason: outcomeUnknown}},
		{"idempotent call with unreachable gate", idempotent, []Event{begin, timeout, unreachable}, Step{Kind: StepSend, Retry: true, Cancel: true}},
		{"idempotent call loses its stream", idempotent, []Event{begin, started, broken}, Step{Kind: StepSend, Retry: true, Cancel: true}},
		{"idempotent call loses its stream, retry budget spent", idempotent, []Event{begin, brokenNoBudget}, Step{Kind: StepWithdraw, Cancel: true}},
		{"non-idempotent call loses its stream", nonIdempotent, []Event{begin, broken}, Step{Kind: StepWithdraw}},
		{"started non-idempotent call loses its stream", nonIdempotent, []Event{begin, started, broken}, Step{Kind: StepUnknown, Ran: peerv1.Ran_RAN_UNKNOWN, Reason: outcomeUnknown}},
		{"resumable stream is resumed", stream, []Event{begin, delivered, broken}, Step{Kind: StepSend, Retry: true, Resume: true, Cancel: true}},
		{"only the end of a resumable stream is lost", Call{Idempotent: true, Resumable: true, MaxTokens: 1}, []Event{begin, delivered, broken}, Step{Kind: StepComplete, Ran: peerv1.Ran_RAN_YES, Cancel: true}},
		{"migration does not count as a retry", stream, []Event{begin, delivered, moved}, Step{Kind: StepSend, Resume: true}},
		{"cancelled before its start", idempotent, []Event{begin, cancel, withdrawn}, Step{Kind: StepRefuse, Reason: cancelled, Ran: peerv1.Ran_RAN_NO}},
		{"cancelled non-idempotent call continues", nonIdempotent, []Event{begin, started, cancel}, Step{Kind: StepWithdraw}},
		{"cancelled idempotent call is stopped", idempotent, []Event{begin, started, cancel}, Step{Kind: StepWithdraw, Cancel: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.call.Deadline = epoch.Add(time.Minute)
			h := NewState(test.call)
			var step Step
			for _, ev := range test.events {
				h, step = Next(h, ev, epoch)
			}
			require.Equal(t, test.want, step)
		})
	}
}

// TestExecutionOutsideAttemptsIsReported checks that a prefill counts as
// execution when the attempt itself was not executed.
func TestExecutionOutsideAttemptsIsReported(t *testing.T) {
	h := NewState(Call{Idempotent: true, Deadline: epoch.Add(time.Minute)})
	h, _ = Next(h, Event{Kind: EventBegin}, epoch)
	h.RecordExecution(peerv1.Ran_RAN_YES)
	_, step := Next(h, Event{Kind: EventFailed, Ran: peerv1.Ran_RAN_NO}, epoch)
	require.Equal(t, StepUnknown, step.Kind)
	require.Equal(t, peerv1.Ran_RAN_YES, step.Ran)
}
