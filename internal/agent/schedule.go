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
	// queueLimit is the maximum number of calls waiting at a plain service's
	// gate.
	queueLimit = 4096
	// plainCallTime is the assumed duration of a plain service's call.
	plainCallTime = 10 * time.Millisecond
)

// schedule starts the attempts at one backend server in the order decided by
// the admission gate, and computes the backlog. Because the agent is the only
// path to the server, these values are current where the engine's own reports
// lag.
type schedule struct {
	origin time.Time

	mu     sync.Mutex
	closed bool
	gate   *admission.Gate
	slots  map[string]*slot
	seq    uint64
	timer  *time.Timer
	// Totals since the start of the agent.
	requests, promptTokens, outputTokens uint64
}

// slot is one attempt's place in the schedule.
type slot struct {
	schedule *schedule
	id       string
	started  bool
	// decided is closed when the attempt may start or has been given up.
	decided chan struct{}
	// refusal is the reason if the attempt was given up.
	refusal failure
	// priority at the engine, set when the attempt starts.
	priority int
}

func newSchedule(b *configv1.BackendServer, kind configv1.ServiceKind) *schedule {
	return &schedule{
		origin: time.Now(),
		gate:   admission.NewGate(gateOptions(b, kind)),
		slots:  make(map[string]*slot),
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

// now returns the time on the admission gate's clock.
func (s *schedule) now() time.Duration { return time.Since(s.origin) }

// enqueue admits an attempt, or returns why not. The slot of an admitted
// attempt must be released with end.
func (s *schedule) enqueue(submit *peerv1.Submit, deadline time.Time) (*slot, failure) {
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
	sl := &slot{schedule: s, id: item.ID, decided: make(chan struct{}), refusal: expiredInQueue}
	s.slots[item.ID] = sl
	s.requests++
	s.promptTokens += uint64(submit.GetPromptTokens())
	s.outputTokens += uint64(submit.GetOutputTokens())
	s.dispatch()
	return sl, failure{}
}

// Refusals of attempts that did not start.
var (
	gateClosed     = notExecuted(peerv1.RefusalReason_REFUSAL_REASON_LEAVING, "gate closed")
	expiredInQueue = notExecuted(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED, "withdrawn or out of time in the queue")
)

func overloaded(out admission.Decision) failure {
	f := notExecuted(peerv1.RefusalReason_REFUSAL_REASON_OVERLOADED, "not expected to finish before the deadline")
	if out.Reason == admission.ReasonExpired {
		f = expiredInQueue
	}
	f.retryAfterMS = out.RetryAfter.Milliseconds()
	return f
}

// setClosed opens or closes the schedule. A closed schedule refuses all waiting
// and new attempts; started ones continue.
func (s *schedule) setClosed(closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = closed
	if !closed {
		return
	}
	for _, item := range s.gate.WithdrawAll() {
		if sl := s.slots[item.ID]; sl != nil {
			sl.refusal = gateClosed
		}
		s.signal(item.ID)
	}
}

// scheduleItem returns an attempt as seen by the admission gate.
func scheduleItem(submit *peerv1.Submit, deadline time.Duration) admission.Attempt {
	item := admission.Attempt{
		ID:             submit.GetAttemptId(),
		Priority:       int(submit.GetPriority()),
		Deadline:       deadline,
		MinServiceTime: plainCallTime,
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

// dispatch starts the attempts that may start and gives up those whose deadline
// cannot be met. The caller holds s.mu.
func (s *schedule) dispatch() {
	now := s.now()
	for _, item := range s.gate.Expire(now) {
		s.signal(item.ID)
	}
	for {
		item, ok := s.gate.StartNext(now)
		if !ok {
			break
		}
		if sl := s.slots[item.ID]; sl != nil {
			sl.started = true
			sl.priority = admission.EnginePriority(item.Priority, item.Deadline-now)
		}
		s.signal(item.ID)
	}
	s.setTimer(now)
}

func (s *schedule) signal(id string) {
	if sl := s.slots[id]; sl != nil {
		close(sl.decided)
	}
}

// setTimer schedules dispatch for the time at which the next waiting attempt
// expires.
func (s *schedule) setTimer(now time.Duration) {
	if s.timer != nil {
		s.timer.Stop()
	}
	at, ok := s.gate.NextExpiry()
	if !ok {
		return
	}
	// Expire returns an attempt only after its expiry time, not at it; hence the
	// extra millisecond.
	s.timer = time.AfterFunc(max(at-now, 0)+time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatch()
	})
}

// wait returns true once the attempt may start, or the reason if it was given
// up or ctx ended first.
func (sl *slot) wait(ctx context.Context) (failure, bool) {
	select {
	case <-sl.decided:
	case <-ctx.Done():
	}
	s := sl.schedule
	s.mu.Lock()
	defer s.mu.Unlock()
	return sl.refusal, sl.started
}

// recordTokens records output tokens. The first ones mark the end of the
// prefill.
func (sl *slot) recordTokens(tokens int) {
	s := sl.schedule
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.RecordPrefilled(sl.id)
	s.gate.RecordTokens(sl.id, tokens)
	s.dispatch()
}

// end removes the attempt from the schedule, regardless of its result.
func (sl *slot) end() {
	s := sl.schedule
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.slots, sl.id)
	if !s.gate.Withdraw(sl.id) {
		s.gate.RecordEnd(sl.id)
	}
	s.dispatch()
}

// running returns the IDs of the attempts that have started.
func (s *schedule) running() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Collect(maps.Keys(s.slots))
	return slices.DeleteFunc(ids, func(id string) bool { return !s.slots[id].started })
}

// fillLoad writes the backlog into a load report.
func (s *schedule) fillLoad(load *peerv1.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	backlog := s.gate.Load(s.now())
	s.seq++
	load.Seq = s.seq
	load.QueuedPromptTokens = int64(backlog.PromptTokens)
	load.ExpectedOutputTokens = int64(backlog.OutputTokens)
	load.Running = int32(backlog.Running)
	load.Waiting = int32(backlog.Waiting)
	load.TotalRequests = s.requests
	load.TotalPromptTokens = s.promptTokens
	load.TotalOutputTokens = s.outputTokens
	if backlog.PromptTokens == 0 {
		return
	}
	for _, tokens := range backlog.PromptTokensByUrgency {
		load.QueuedPromptTokensByUrgency = append(load.QueuedPromptTokensByUrgency, int64(tokens))
	}
}
