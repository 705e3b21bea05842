package entry

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/congestion"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// processorPollInterval is how often the time that goroutines wait for the processor is
// measured.
const processorPollInterval = 50 * time.Millisecond

// line holds requests back while the process is behind with those in progress.
type line struct {
	started time.Time
	log     logevent.Log

	mu      sync.Mutex
	limiter *congestion.Limiter
	// waiting holds the channels that are closed when a waiting request may start.
	waiting map[uint64]chan struct{}
}

func newLine(log logevent.Log) *line {
	return &line{
		started: time.Now(),
		log:     log,
		limiter: congestion.New(congestion.DefaultOptions()),
		waiting: make(map[uint64]chan struct{}),
	}
}

// enter waits until a request may be worked on. It returns a refusal if the request would
// not be reached before its deadline, or if ctx has ended. Without a refusal, leave must
// be called when the request has ended.
func (l *line) enter(ctx context.Context, deadline time.Time) *refusal {
	arrival, start := l.arrive(deadline)
	switch arrival.Verdict {
	case congestion.Started:
		return nil
	case congestion.Refused:
		ref := refuse(peerv1.RefusalReason_REFUSAL_REASON_OVERLOADED, "the requests ahead take longer than the deadline")
		ref.retryAfter = arrival.RetryAfter
		return ref
	}
	select {
	case <-start:
		return nil
	case <-ctx.Done():
	}
	if !l.abandon(arrival.ID) {
		return nil
	}
	return refuse(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED, "the requests ahead took longer than the deadline")
}

// arrive lets a request start or join the line. start is closed when it may start.
func (l *line) arrive(deadline time.Time) (arrival congestion.Arrival, start <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrival = l.limiter.Arrive(time.Since(l.started), deadline.Sub(l.started))
	if arrival.Verdict != congestion.Waiting {
		return arrival, nil
	}
	channel := make(chan struct{})
	l.waiting[arrival.ID] = channel
	return arrival, channel
}

// abandon removes a request from the line. It reports false if the request may start.
func (l *line) abandon(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limiter.Abandon(id) {
		return false
	}
	delete(l.waiting, id)
	return true
}

// leave records the end of a request that was worked on.
func (l *line) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Finish(time.Since(l.started))
	l.startNext()
}

// startNext lets waiting requests start. The caller holds l.mu.
func (l *line) startNext() {
	for id, ok := l.limiter.StartNext(); ok; id, ok = l.limiter.StartNext() {
		close(l.waiting[id])
		delete(l.waiting, id)
	}
}

// watchProcessor measures until ctx ends how much later than due a sleeping goroutine
// runs, which is the time that others wait for the processor, too.
func (l *line) watchProcessor(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(processorPollInterval)
		time.Sleep(processorPollInterval)
		l.observe(max(0, time.Since(due)))
	}
}

func (l *line) observe(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter.Observe(delay) {
		counts := l.limiter.Counts()
		l.log.Write(logevent.RequestsHeldBack(l.limiter.Limited(), delay, counts.Limit, counts.InProgress, counts.Waiting))
	}
	l.startNext()
}

func (l *line) counts() congestion.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Counts()
}

// registerMetrics registers the numbers of requests in progress and waiting.
func (l *line) registerMetrics(reg prometheus.Registerer) {
	gauge := func(name, help string, value func(congestion.Counts) int) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			return float64(value(l.counts()))
		}))
	}
	gauge("marigold_requests_in_progress", "Requests that the entry works on.", func(c congestion.Counts) int { return c.InProgress })
	gauge("marigold_requests_held_back", "Requests that wait until the entry works on fewer.", func(c congestion.Counts) int { return c.Waiting })
	gauge("marigold_requests_limit", "Requests that the entry works on at the same time at most.", func(c congestion.Counts) int { return c.Limit })
}
