package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/admission"
)

const (
	// queueLimit is the number of calls that wait at a plain service's gate.
	queueLimit = 4096
	// plainService is the time assumed for a call of a plain service.
	plainService = 10 * time.Millisecond
)

// schedule starts the attempts at one backend server in the order that the
// admission gate decides, and knows the work ahead: the agent is the only
// path, so that these figures are fresh where the engine's own reports lag.
type schedule struct {
	origin time.Time

	mu     sync.Mutex
	closed bool
	gate   *admission.Gate
	turns  map[string]*turn
	seq    uint64
	timer  *time.Timer
	// Totals since the start of the agent.
	requests, promptTokens, outputTokens uint64
}

// turn is one attempt's place in the schedule.
type turn struct {
	schedule *schedule
	id       string
	started  bool
	// decided is closed when the attempt may start or was given up.
	decided chan struct{}
	// refusal is why it was given up.
	refusal failure
	// priority for the engine, once started.
	priority int
}

func newSchedule(b *configv1.BackendServer, kind configv1.ServiceKind) *schedule {
	return &schedule{
		origin: time.Now(),
		gate:   admission.NewGate(gateOptions(b, kind)),
		turns:  make(map[string]*turn),
	}
}

func gateOptions(b *configv1.BackendServer, kind configv1.ServiceKind) admission.GateOptions {
	if kind == configv1.ServiceKind_SERVICE_KIND_MODEL {
		batch := int(max(b.GetMaxBatch(), 1))
		return admission.DefaultGateOptions(b.GetPrefillTokensPerSecond(), b.GetDecodeTokensPerSecond(), batch)
	}
	return admission.GateOptions{
		MaxSequences: plainConcurrency,
		QueueLimit:   queueLimit,
		Admission:    admission.DefaultOptions(),
	}
}

// now is the time on the gate's clock.
func (s *schedule) now() time.Duration { return time.Since(s.origin) }

// arrive takes an attempt in, or says why not. An attempt that was taken in
// ends with turn.end.
func (s *schedule) arrive(submit *peerv1.Submit, deadline time.Time) (*turn, failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, gateClosed
	}
	item := scheduleItem(submit, deadline.Sub(s.origin))
	out := s.gate.Submit(s.now(), item, xxhash.Sum64String(item.ID))
	if !out.Admitted {
		return nil, overloaded(out)
	}
	t := &turn{schedule: s, id: item.ID, decided: make(chan struct{}), refusal: outOfTime}
	s.turns[item.ID] = t
	s.requests++
	s.promptTokens += uint64(submit.GetPromptTokens())
	s.outputTokens += uint64(submit.GetOutputTokens())
	s.pump()
	return t, failure{}
}

// Refusals of attempts that did not start.
var (
	gateClosed = notRun(peerv1.RefusalReason_REFUSAL_REASON_LEAVING, "gate closed")
	outOfTime  = notRun(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED, "withdrawn or out of time in the queue")
)

func overloaded(out admission.Decision) failure {
	f := notRun(peerv1.RefusalReason_REFUSAL_REASON_OVERLOADED, "not expected to finish before the deadline")
	if out.Reason == admission.ReasonExpired {
		f = outOfTime
	}
	f.retryAfterMS = out.RetryAfter.Milliseconds()
	return f
}

// setClosed has what waits, and what arrives from then on, refused. What has
// started goes on.
func (s *schedule) setClosed(closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = closed
	if !closed {
		return
	}
	for _, item := range s.gate.WithdrawAll() {
		if t := s.turns[item.ID]; t != nil {
			t.refusal = gateClosed
		}
		s.decide(item.ID)
	}
}

// scheduleItem returns what the gate needs to know of an attempt.
func scheduleItem(submit *peerv1.Submit, deadline time.Duration) admission.Attempt {
	item := admission.Attempt{
		ID:             submit.GetAttemptId(),
		Priority:       int(submit.GetPriority()),
		Deadline:       deadline,
		MinServiceTime: plainService,
		PromptTokens:   int(submit.GetPromptTokens() + submit.GetResumeFromToken() - submit.GetCachedTokens()),
		OutputTokens:   int(max(submit.GetOutputTokens()-submit.GetResumeFromToken(), 0)),
	}
	if submit.GetPrefillOnly() {
		item.OutputTokens = 0
	}
	if submit.GetKvHandle() != "" {
		item.PromptTokens = 0
	}
	return item
}

// pump starts what may start and gives up what has no time left. It is for
// callers that hold the lock.
func (s *schedule) pump() {
	now := s.now()
	for _, item := range s.gate.Expire(now) {
		s.decide(item.ID)
	}
	for {
		item, ok := s.gate.StartNext(now)
		if !ok {
			break
		}
		if t := s.turns[item.ID]; t != nil {
			t.started = true
			t.priority = admission.EnginePriority(item.Priority, item.Deadline-now)
		}
		s.decide(item.ID)
	}
	s.setTimer(now)
}

func (s *schedule) decide(id string) {
	if t := s.turns[id]; t != nil {
		close(t.decided)
	}
}

// setTimer has pump called when the next waiting attempt is to be given up.
func (s *schedule) setTimer(now time.Duration) {
	if s.timer != nil {
		s.timer.Stop()
	}
	at, ok := s.gate.NextExpiry()
	if !ok {
		return
	}
	s.timer = time.AfterFunc(max(at-now, 0)+time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pump()
	})
}

// wait returns once the attempt may start, or says why it may not: it was
// given up, or ctx ended first.
func (t *turn) wait(ctx context.Context) (failure, bool) {
	select {
	case <-t.decided:
	case <-ctx.Done():
	}
	s := t.schedule
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.refusal, t.started
}

// generated takes in output tokens; the first of them end the prefill.
func (t *turn) generated(tokens int) {
	s := t.schedule
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.RecordPrefilled(t.id)
	s.gate.RecordTokens(t.id, tokens)
	s.pump()
}

// end takes the attempt out, whatever became of it.
func (t *turn) end() {
	s := t.schedule
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.turns, t.id)
	if !s.gate.Withdraw(t.id) {
		s.gate.RecordEnd(t.id)
	}
	s.pump()
}

// running returns the IDs of the attempts that have started.
func (s *schedule) running() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Collect(maps.Keys(s.turns))
	return slices.DeleteFunc(ids, func(id string) bool { return !s.turns[id].started })
}

// fill writes the work ahead into a load report.
func (s *schedule) fill(load *peerv1.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := s.gate.Load(s.now())
	s.seq++
	load.Seq = s.seq
	load.QueuedPromptTokens = int64(ahead.PromptTokens)
	load.ExpectedOutputTokens = int64(ahead.OutputTokens)
	load.Running = int32(ahead.Running)
	load.Waiting = int32(ahead.Waiting)
	load.TotalRequests = s.requests
	load.TotalPromptTokens = s.promptTokens
	load.TotalOutputTokens = s.outputTokens
	if ahead.PromptTokens == 0 {
		return
	}
	for _, tokens := range ahead.PromptTokensByUrgency {
		load.QueuedPromptTokensByUrgency = append(load.QueuedPromptTokensByUrgency, int64(tokens))
	}
}
