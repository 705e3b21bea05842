package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/drain"
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
