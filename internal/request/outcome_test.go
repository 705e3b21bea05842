package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// nextFunc is Next, or a naive one.
type nextFunc func(State, Event, time.Time) (State, Step)

// naiveNext takes a timeout for "not run" and sends everything again.
func naiveNext(h State, ev Event, now time.Time) (State, Step) {
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

// world is one request among two agents whose messages are lost, late and
// doubled and which die at any moment. It keeps the truth.
type world struct {
	t           *rapid.T
	next        nextFunc
	now         time.Time
	h           State
	step        Step
	gates       [2]*Gate
	incarnation [2]uint64
	// attempts, with the agent and incarnation each was sent to.
	sent []sentAttempt
	runs int
	// disproved counts attempts that provably never run.
	disproved map[int]bool
	told      Step
}

type sentAttempt struct {
	id          string
	agent       int
	incarnation uint64
	reached     bool
}

func newWorld(t *rapid.T, call Call, next nextFunc) *world {
	w := &world{t: t, next: next, now: epoch, h: NewState(call), disproved: map[int]bool{}}
	for i := range w.gates {
		w.restart(i)
	}
	return w
}

func (w *world) restart(agent int) {
	w.incarnation[agent]++
	w.gates[agent] = newTestGate(w.incarnation[agent])
}

// tell gives the entry an event and carries out sends.
func (w *world) tell(ev Event) {
	if w.told.Final() {
		return
	}
	ev.RetryAllowed = rapid.Bool().Draw(w.t, "retry")
	w.h, w.step = w.next(w.h, ev, w.now)
	switch {
	case w.step.Kind == StepSend:
		agent := rapid.IntRange(0, 1).Draw(w.t, "agent")
		w.sent = append(w.sent, sentAttempt{testID(w.now, len(w.sent)), agent, w.incarnation[agent], false})
	case w.step.Final():
		w.told = w.step
	}
}

func (w *world) current() int { return len(w.sent) - 1 }

// act lets one thing happen at an agent or on the way.
func (w *world) act() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(w.t, "ms")) * time.Millisecond)
	n := rapid.IntRange(0, w.current()).Draw(w.t, "attempt")
	a := &w.sent[n]
	switch rapid.SampledFrom([]string{"submit", "submit", "start", "start", "finish", "fail", "refuse", "restart", "break", "timeout", "withdraw", "cancel", "not sent"}).Draw(w.t, "act") {
	case "submit":
		a.reached = true
		w.gates[a.agent].Apply(GateEvent{Kind: GateSubmit, AttemptID: a.id, Deadline: w.h.Call.Deadline, Incarnation: a.incarnation}, w.now)
	case "start":
		if w.gates[a.agent].Apply(GateEvent{Kind: GateStart, AttemptID: a.id}, w.now).Accepted {
			w.runs++
			w.report(n, Event{Kind: EventStarted})
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
		w.report(n, Event{Kind: EventStreamLost})
	case "timeout":
		w.tell(Event{Kind: EventTimeout})
	case "cancel":
		w.tell(Event{Kind: EventCancel})
	case "withdraw":
		w.withdraw()
	case "not sent":
		if !a.reached && n == w.current() {
			a.incarnation = 1 << 40
			w.disprove(n, true)
			w.tell(Event{Kind: EventNotSent})
		}
	}
}

// disprove notes that an attempt provably never runs, if that was learned
// before the caller was told.
func (w *world) disprove(n int, never bool) {
	if !w.told.Final() {
		w.disproved[n] = never
	}
}

// report passes an event on if it is of the current attempt and not lost.
func (w *world) report(n int, ev Event) {
	if n == w.current() && rapid.IntRange(0, 3).Draw(w.t, "lost") > 0 {
		w.tell(ev)
	}
}

// finish ends a running attempt.
func (w *world) finish(n int, ev Event) {
	a := w.sent[n]
	gate := w.gates[a.agent]
	if gate.Apply(GateEvent{Kind: GateWithdraw, AttemptID: a.id, Incarnation: a.incarnation}, w.now).State != GateStarted {
		return
	}
	gate.Apply(GateEvent{Kind: GateFinish, AttemptID: a.id}, w.now)
	w.report(n, ev)
}

// refuse has the agent turn a queued attempt away.
func (w *world) refuse(n int) {
	a := w.sent[n]
	out := w.gates[a.agent].Apply(GateEvent{Kind: GateWithdraw, AttemptID: a.id, Incarnation: a.incarnation}, w.now)
	if a.reached && out.State == GateWithdrawn && n == w.current() {
		w.disprove(n, true)
		w.tell(Event{Kind: EventFailed, Ran: peerv1.Ran_RAN_NO, Migrated: rapid.Bool().Draw(w.t, "moved")})
	}
}

// withdraw carries a withdrawal to the gate, or loses it or its answer.
func (w *world) withdraw() {
	if w.step.Kind != StepWithdraw {
		return
	}
	a := w.sent[w.current()]
	if rapid.Bool().Draw(w.t, "unreachable") {
		w.tell(Event{Kind: EventGateUnreachable})
		return
	}
	ev := GateEvent{Kind: GateWithdraw, AttemptID: a.id, Incarnation: a.incarnation, Cancel: w.step.Cancel}
	out := w.gates[a.agent].Apply(ev, w.now)
	if rapid.Bool().Draw(w.t, "reply lost") {
		w.tell(Event{Kind: EventGateUnreachable})
		return
	}
	w.disprove(w.current(), out.State == GateWithdrawn)
	w.tell(Event{Kind: EventWithdrawReply, WithdrawState: WithdrawState(out.State)})
}

// run plays one request to its outcome and past it, and returns what was
// wrong with what the caller was told.
func (w *world) run() []string {
	w.tell(Event{Kind: EventBegin})
	for range rapid.IntRange(0, 60).Draw(w.t, "acts") {
		w.act()
	}
	w.now = w.h.Call.Deadline
	w.tell(Event{Kind: EventTimeout})
	for range 3 {
		w.tell(Event{Kind: EventGateUnreachable})
	}
	for range 10 {
		w.act()
	}
	return w.faults()
}

func (w *world) faults() []string {
	var faults []string
	if !w.told.Final() {
		faults = append(faults, "no outcome")
	}
	if w.told.Kind == StepRefuse && w.runs > 0 {
		faults = append(faults, "told not run, but it ran")
	}
	if !w.h.Call.Idempotent && w.runs > 1 {
		faults = append(faults, "ran more than once")
	}
	proved := 0
	for _, no := range w.disproved {
		if no {
			proved++
		}
	}
	if w.told.Kind == StepUnknown && proved == len(w.sent) {
		faults = append(faults, "told unknown, but it is known not to have run")
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

func TestNextTellsTheTruth(t *testing.T) {
	told := map[StepKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, drawCall(t), Next)
		require.Empty(t, w.run())
		told[w.told.Kind]++
	})
	t.Logf("complete %d, refused %d, unknown %d", told[StepComplete], told[StepRefuse], told[StepUnknown])
}

func TestNextNaiveIsSeenToLie(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		for _, fault := range newWorld(t, drawCall(t), naiveNext).run() {
			seen[fault]++
		}
	})
	require.Positive(t, seen["told not run, but it ran"])
	require.Positive(t, seen["ran more than once"])
}

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
	ended := Event{Kind: EventWithdrawReply, RetryAllowed: true, WithdrawState: peerv1.WithdrawState_WITHDRAW_STATE_FINISHED}
	unreachable := Event{Kind: EventGateUnreachable, RetryAllowed: true}
	cancel := Event{Kind: EventCancel, RetryAllowed: true}
	read := Call{Idempotent: true}
	stamp := Call{}
	stream := Call{Idempotent: true, Resumable: true}
	cancelled := peerv1.RefusalReason_REFUSAL_REASON_CANCELLED
	outcomeUnknown := peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN
	tests := []struct {
		name   string
		call   Call
		events []Event
		want   Step
	}{
		{"withdrawn permits a retry", stamp, []Event{begin, timeout, withdrawn}, Step{Kind: StepSend, Retry: true}},
		{"started is waited for", stamp, []Event{begin, timeout, running}, Step{Kind: StepWait}},
		{"end may be on its way", read, []Event{begin, timeout, ended}, Step{Kind: StepWait}},
		{"end is lost", read, []Event{begin, timeout, ended, timeout, ended}, Step{Kind: StepSend, Retry: true}},
		{"stamp with a lost gate", stamp, []Event{begin, broken, unreachable}, Step{Kind: StepUnknown, Ran: peerv1.Ran_RAN_UNKNOWN, Reason: outcomeUnknown}},
		{"read with a lost gate", read, []Event{begin, timeout, unreachable}, Step{Kind: StepSend, Retry: true, Cancel: true}},
		{"broken read", read, []Event{begin, started, broken}, Step{Kind: StepSend, Retry: true, Cancel: true}},
		{"broken read, budget spent", read, []Event{begin, brokenNoBudget}, Step{Kind: StepWithdraw, Cancel: true}},
		{"broken stamp", stamp, []Event{begin, broken}, Step{Kind: StepWithdraw}},
		{"broken started stamp", stamp, []Event{begin, started, broken}, Step{Kind: StepUnknown, Ran: peerv1.Ran_RAN_UNKNOWN, Reason: outcomeUnknown}},
		{"stream resumes", stream, []Event{begin, delivered, broken}, Step{Kind: StepSend, Retry: true, Resume: true, Cancel: true}},
		{"only the end is lost", Call{Idempotent: true, Resumable: true, MaxTokens: 1}, []Event{begin, delivered, broken}, Step{Kind: StepComplete, Ran: peerv1.Ran_RAN_YES, Cancel: true}},
		{"planned move is free", stream, []Event{begin, delivered, moved}, Step{Kind: StepSend, Resume: true}},
		{"cancelled before start", read, []Event{begin, cancel, withdrawn}, Step{Kind: StepRefuse, Reason: cancelled, Ran: peerv1.Ran_RAN_NO}},
		{"cancelled stamp runs on", stamp, []Event{begin, started, cancel}, Step{Kind: StepWithdraw}},
		{"cancelled read is stopped", read, []Event{begin, started, cancel}, Step{Kind: StepWithdraw, Cancel: true}},
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

func TestNextCountsWorkOutsideAttempts(t *testing.T) {
	h := NewState(Call{Idempotent: true, Deadline: epoch.Add(time.Minute)})
	h, _ = Next(h, Event{Kind: EventBegin}, epoch)
	h.RecordExecution(peerv1.Ran_RAN_YES)
	_, step := Next(h, Event{Kind: EventFailed, Ran: peerv1.Ran_RAN_NO}, epoch)
	require.Equal(t, StepUnknown, step.Kind)
	require.Equal(t, peerv1.Ran_RAN_YES, step.Ran)
}
