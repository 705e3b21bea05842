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
func faultyNext(s State, ev Event, now time.Time) (State, Step) {
	switch ev.Kind {
	case EventBegin:
		return s, Step{Kind: StepSend}
	case EventComplete:
		return s, Step{Kind: StepComplete}
	case EventNotSent, EventStreamLost, EventFailed:
		if s.Attempts++; s.Attempts < 3 && now.Before(s.Call.Deadline) {
			return s, Step{Kind: StepSend}
		}
		return s, Step{Kind: StepRefuse}
	case EventTimeout, EventCancel:
		return s, Step{Kind: StepRefuse}
	}
	return s, Step{Kind: StepWait}
}

// simulation is one request to two agents that restart at any moment and whose
// messages are lost, delayed and duplicated. It records what was actually
// executed.
type simulation struct {
	t           *rapid.T
	next        nextFunc
	now         time.Time
	state       State
	step        Step
	gates       [2]*Gate
	incarnation [2]uint64
	// sent lists the attempts with the agent and incarnation that each was sent
	// to.
	sent       []sentAttempt
	executions int
	// provedNotExecuted marks attempts that were proved not to be executed
	// before the caller received the outcome.
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
	s := &simulation{t: t, next: next, now: epoch, state: NewState(call), provedNotExecuted: map[int]bool{}}
	for i := range s.gates {
		s.restart(i)
	}
	return s
}

func (s *simulation) restart(agent int) {
	s.incarnation[agent]++
	s.gates[agent] = newTestGate(s.incarnation[agent])
}

// handle passes an event to the state machine and carries out sends.
func (s *simulation) handle(ev Event) {
	if s.final.Final() {
		return
	}
	ev.RetryAllowed = rapid.Bool().Draw(s.t, "retry")
	s.state, s.step = s.next(s.state, ev, s.now)
	switch {
	case s.step.Kind == StepSend:
		agent := rapid.IntRange(0, 1).Draw(s.t, "agent")
		s.sent = append(s.sent, sentAttempt{testID(s.now, len(s.sent)), agent, s.incarnation[agent], false})
	case s.step.Final():
		s.final = s.step
	}
}

func (s *simulation) current() int { return len(s.sent) - 1 }

// randomAction performs one random action at an agent or on the network.
func (s *simulation) randomAction() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(s.t, "ms")) * time.Millisecond)
	n := rapid.IntRange(0, s.current()).Draw(s.t, "attempt")
	a := &s.sent[n]
	switch rapid.SampledFrom([]string{"submit", "submit", "start", "start", "finish", "fail", "refuse", "restart", "break", "timeout", "withdraw", "cancel", "not sent"}).Draw(s.t, "act") {
	case "submit":
		a.reached = true
		s.gates[a.agent].Apply(GateEvent{Kind: GateSubmit, AttemptID: a.id, Deadline: s.state.Call.Deadline, Incarnation: a.incarnation}, s.now)
	case "start":
		if s.gates[a.agent].Apply(GateEvent{Kind: GateStart, AttemptID: a.id}, s.now).Accepted {
			s.executions++
			s.forward(n, Event{Kind: EventStarted})
		}
	case "finish":
		s.finish(n, Event{Kind: EventComplete})
	case "fail":
		s.finish(n, Event{Kind: EventFailed, Ran: peerv1.Ran_RAN_YES})
	case "refuse":
		s.refuse(n)
	case "restart":
		s.restart(a.agent)
	case "break":
		s.forward(n, Event{Kind: EventStreamLost})
	case "timeout":
		s.handle(Event{Kind: EventTimeout})
	case "cancel":
		s.handle(Event{Kind: EventCancel})
	case "withdraw":
		s.withdraw()
	case "not sent":
		if !a.reached && n == s.current() {
			a.incarnation = 1 << 40
			s.recordProof(n, true)
			s.handle(Event{Kind: EventNotSent})
		}
	}
}

// recordProof records whether an attempt is proved not to be executed, unless
// the caller has already received the outcome.
func (s *simulation) recordProof(n int, never bool) {
	if !s.final.Final() {
		s.provedNotExecuted[n] = never
	}
}

// forward passes on an event of the current attempt, or loses it.
func (s *simulation) forward(n int, ev Event) {
	if n == s.current() && rapid.IntRange(0, 3).Draw(s.t, "lost") > 0 {
		s.handle(ev)
	}
}

// finish ends a running attempt.
func (s *simulation) finish(n int, ev Event) {
	a := s.sent[n]
	gate := s.gates[a.agent]
	if gate.Apply(GateEvent{Kind: GateWithdraw, AttemptID: a.id, Incarnation: a.incarnation}, s.now).State != GateStarted {
		return
	}
	gate.Apply(GateEvent{Kind: GateFinish, AttemptID: a.id}, s.now)
	s.forward(n, ev)
}

// refuse lets the agent refuse a queued attempt.
func (s *simulation) refuse(n int) {
	a := s.sent[n]
	out := s.gates[a.agent].Apply(GateEvent{Kind: GateWithdraw, AttemptID: a.id, Incarnation: a.incarnation}, s.now)
	if a.reached && out.State == GateWithdrawn && n == s.current() {
		s.recordProof(n, true)
		s.handle(Event{Kind: EventFailed, Ran: peerv1.Ran_RAN_NO, Migrated: rapid.Bool().Draw(s.t, "moved")})
	}
}

// withdraw delivers a withdrawal to the gate, or loses the message or its
// reply.
func (s *simulation) withdraw() {
	if s.step.Kind != StepWithdraw {
		return
	}
	a := s.sent[s.current()]
	if rapid.Bool().Draw(s.t, "unreachable") {
		s.handle(Event{Kind: EventGateUnreachable})
		return
	}
	ev := GateEvent{Kind: GateWithdraw, AttemptID: a.id, Incarnation: a.incarnation, Cancel: s.step.Cancel}
	out := s.gates[a.agent].Apply(ev, s.now)
	if rapid.Bool().Draw(s.t, "reply lost") {
		s.handle(Event{Kind: EventGateUnreachable})
		return
	}
	s.recordProof(s.current(), out.State == GateWithdrawn)
	s.handle(Event{Kind: EventWithdrawReply, WithdrawState: WithdrawState(out.State)})
}

// run simulates one request to its outcome and beyond, and returns the errors
// in what was reported to the caller.
func (s *simulation) run() []string {
	s.handle(Event{Kind: EventBegin})
	for range rapid.IntRange(0, 60).Draw(s.t, "acts") {
		s.randomAction()
	}
	s.now = s.state.Call.Deadline
	s.handle(Event{Kind: EventTimeout})
	for range 3 {
		s.handle(Event{Kind: EventGateUnreachable})
	}
	for range 10 {
		s.randomAction()
	}
	return s.violations()
}

func (s *simulation) violations() []string {
	var violations []string
	if !s.final.Final() {
		violations = append(violations, "no outcome")
	}
	if s.final.Kind == StepRefuse && s.executions > 0 {
		violations = append(violations, "reported as not executed, but was executed")
	}
	if !s.state.Call.Idempotent && s.executions > 1 {
		violations = append(violations, "executed more than once")
	}
	proved := 0
	for _, notExecuted := range s.provedNotExecuted {
		if notExecuted {
			proved++
		}
	}
	if s.final.Kind == StepUnknown && proved == len(s.sent) {
		violations = append(violations, "reported as unknown, but is known not to be executed")
	}
	return violations
}

func drawCall(t *rapid.T) Call {
	return Call{
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Resumable:  rapid.Bool().Draw(t, "resumable"),
		Deadline:   epoch.Add(10 * time.Second),
	}
}

// TestNextReportsExecutionCorrectly checks that it is never reported to the caller that
// an executed request was not executed, that calls that are not idempotent are
// executed at most once, and that a request proved not to be executed is not
// reported as unknown.
func TestNextReportsExecutionCorrectly(t *testing.T) {
	outcomes := map[StepKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, drawCall(t), Next)
		require.Empty(t, s.run())
		outcomes[s.final.Kind]++
	})
	t.Logf("complete %d, refused %d, unknown %d", outcomes[StepComplete], outcomes[StepRefuse], outcomes[StepUnknown])
}

// TestSimulationDetectsFaultyNext checks that the simulation finds the errors
// of a state machine that trusts timeouts.
func TestSimulationDetectsFaultyNext(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		for _, violation := range newSimulation(t, drawCall(t), faultyNext).run() {
			seen[violation]++
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
	streamLost := Event{Kind: EventStreamLost, RetryAllowed: true}
	streamLostNoBudget := Event{Kind: EventStreamLost}
	migrated := Event{Kind: EventFailed, Ran: peerv1.Ran_RAN_YES, Migrated: true}
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
		{"non-idempotent call with unreachable gate", nonIdempotent, []Event{begin, streamLost, unreachable}, Step{Kind: StepUnknown, Ran: peerv1.Ran_RAN_UNKNOWN, Reason: outcomeUnknown}},
		{"idempotent call with unreachable gate", idempotent, []Event{begin, timeout, unreachable}, Step{Kind: StepSend, Retry: true, Cancel: true}},
		{"idempotent call loses its stream", idempotent, []Event{begin, started, streamLost}, Step{Kind: StepSend, Retry: true, Cancel: true}},
		{"idempotent call loses its stream, retry budget spent", idempotent, []Event{begin, streamLostNoBudget}, Step{Kind: StepWithdraw, Cancel: true}},
		{"non-idempotent call loses its stream", nonIdempotent, []Event{begin, streamLost}, Step{Kind: StepWithdraw}},
		{"started non-idempotent call loses its stream", nonIdempotent, []Event{begin, started, streamLost}, Step{Kind: StepUnknown, Ran: peerv1.Ran_RAN_UNKNOWN, Reason: outcomeUnknown}},
		{"resumable stream is resumed", stream, []Event{begin, delivered, streamLost}, Step{Kind: StepSend, Retry: true, Resume: true, Cancel: true}},
		{"only the end of a resumable stream is lost", Call{Idempotent: true, Resumable: true, MaxTokens: 1}, []Event{begin, delivered, streamLost}, Step{Kind: StepComplete, Ran: peerv1.Ran_RAN_YES, Cancel: true}},
		{"migration does not count as a retry", stream, []Event{begin, delivered, migrated}, Step{Kind: StepSend, Resume: true}},
		{"cancelled before its start", idempotent, []Event{begin, cancel, withdrawn}, Step{Kind: StepRefuse, Reason: cancelled, Ran: peerv1.Ran_RAN_NO}},
		{"cancelled non-idempotent call continues", nonIdempotent, []Event{begin, started, cancel}, Step{Kind: StepWithdraw}},
		{"cancelled idempotent call is stopped", idempotent, []Event{begin, started, cancel}, Step{Kind: StepWithdraw, Cancel: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.call.Deadline = epoch.Add(time.Minute)
			state := NewState(test.call)
			var step Step
			for _, ev := range test.events {
				state, step = Next(state, ev, epoch)
			}
			require.Equal(t, test.want, step)
		})
	}
}

// TestExecutionOutsideAttemptsIsReported checks that a prefill counts as
// execution when the attempt itself was not executed.
func TestExecutionOutsideAttemptsIsReported(t *testing.T) {
	state := NewState(Call{Idempotent: true, Deadline: epoch.Add(time.Minute)})
	state, _ = Next(state, Event{Kind: EventBegin}, epoch)
	state.RecordExecution(peerv1.Ran_RAN_YES)
	_, step := Next(state, Event{Kind: EventFailed, Ran: peerv1.Ran_RAN_NO}, epoch)
	require.Equal(t, StepUnknown, step.Kind)
	require.Equal(t, peerv1.Ran_RAN_YES, step.Ran)
}
