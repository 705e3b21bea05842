package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/drain"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// reasonStopping is the reason of requests that the stop of this gateway ends.
const reasonStopping = "gateway_stopping"

// stop is the stop of a gateway.
type stop struct {
	schedule drain.Schedule
	once     sync.Once
	// began is done once the stop has begun, at beganAt on the gateway's clock, and over
	// once requests at work must be answered.
	began, over context.Context
	begin, end  context.CancelFunc
	beganAt     time.Duration
}

func newStop(schedule drain.Schedule) *stop {
	s := &stop{schedule: schedule}
	s.began, s.begin = context.WithCancel(context.Background())
	s.over, s.end = context.WithCancel(context.Background())
	return s
}

// start begins the stop. Further calls have no effect.
func (s *stop) start(now time.Duration) {
	s.once.Do(func() {
		s.beganAt = now
		s.begin()
		time.AfterFunc(s.schedule.AnswerUntil, s.end)
	})
}

func (s *stop) hasBegun() bool { return s.began.Err() != nil }

func (s *stop) isOver() bool { return s.over.Err() != nil }

// endedByStop returns the outcome of an attempt that the stop has ended. A prefill alone
// is no execution.
func (q *request) endedByStop() outcome {
	if q.outstanding == stepPrefill {
		return outcome{result: notExecuted, reason: reasonStopping, serverUntried: true}
	}
	return outcome{result: q.incompleteResult(), reason: reasonStopping}
}

const (
	// usualShare is the share of the latest answers that were complete within what counts
	// as the usual duration for requests that may be repeated, and surelyShare that for
	// requests that may not, whose callers can't learn what came of a lost one.
	usualShare  = 0.5
	surelyShare = 0.95
	// defaultUsual is the usual duration while too few answers are known, for requests
	// without a latency objective.
	defaultUsual = time.Second
	// stoppingRetryAfter is when a caller whom the stop has refused may come back, to
	// another gateway.
	stoppingRetryAfter = 150 * time.Millisecond
)

// stopRequest describes the request to the drain package.
func (q *request) stopRequest() drain.Request {
	return drain.Request{
		Deadline:   q.deadline - q.g.stop.beganAt,
		Usual:      q.usualDuration(),
		MayHaveRun: q.possibleExecutions > 0 || q.headerSent,
	}
}

// usualDuration returns how long answers to such requests usually take.
func (q *request) usualDuration() time.Duration {
	share := surelyShare
	if q.route.Retryable() {
		share = usualShare
	}
	if q.service != nil {
		if usual, known := q.service.usualDuration(q.route.Kind, share); known {
			return usual
		}
	}
	return cmp.Or(q.route.LatencyObjective, defaultUsual)
}

// stopAction decides what becomes of the request, which is about to be sent.
func (q *request) stopAction() drain.Action {
	s := q.g.stop
	if !s.hasBegun() {
		return drain.Send
	}
	return s.schedule.Decide(q.g.now()-s.beganAt, q.stopRequest())
}

// sendUntil returns until when the request may be sent, on the gateway's clock. The stop
// must have begun.
func (q *request) sendUntil() time.Duration {
	return q.g.stop.beganAt + q.g.stop.schedule.SendUntil(q.stopRequest())
}

// endForStop ends a request that probably can't be answered before the end of the stop.
// last is the outcome of its latest attempt. It reports whether it has ended the request.
func (q *request) endForStop(last *outcome) bool {
	action := q.stopAction()
	if action == drain.Send {
		return false
	}
	if action == drain.Refuse || last == nil {
		q.refuseForStop()
		return true
	}
	q.logStopAction(action)
	q.fail(*last, stoppingRetryAfter)
	return true
}

// refuseForStop refuses a request that has not run, because of the stop.
func (q *request) refuseForStop() {
	q.logStopAction(drain.Refuse)
	q.fail(outcome{result: notExecuted, reason: reasonStopping}, stoppingRetryAfter)
}

func (q *request) logStopAction(action drain.Action) {
	since := q.g.now() - q.g.stop.beganAt
	q.g.log.Write(logevent.RequestEndedByStop(logevent.StopDecision{
		RequestID: q.meta.ID, Route: q.route.Name, Action: action.String(),
		SinceStop: since, Left: q.g.stop.schedule.AnswerUntil - since, Usual: q.usualDuration(), Remaining: q.remaining(),
	}))
}

// limitBodyRead ends the read of the body when the request can no longer be sent because
// of a stop. The returned function ends that limit.
func (q *request) limitBodyRead() func() {
	controller := http.NewResponseController(q.w)
	limited := make(chan struct{})
	cancel := context.AfterFunc(q.g.stop.began, func() {
		defer close(limited)
		// An error means that the connection is gone, which ends the read too.
		_ = controller.SetReadDeadline(time.Now().Add(q.sendUntil() - q.g.now()))
	})
	return func() {
		if cancel() {
			return
		}
		<-limited
		_ = controller.SetReadDeadline(time.Time{})
	}
}

// usualDuration returns the duration within which a share of the latest answers to
// requests of a kind were complete. It returns false if there were too few.
func (s *service) usualDuration(kind fleet.RequestKind, share float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.durations[kind]
	if d == nil {
		return 0, false
	}
	return d.Quantile(share)
}

// recordDuration records how long a complete answer has taken.
func (s *service) recordDuration(kind fleet.RequestKind, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.durations[kind] == nil {
		s.durations[kind] = &drain.Durations{}
	}
	s.durations[kind].Record(took)
}
