package entry

import (
	"context"
	"sync"
	"time"
)

// inflight counts the requests in flight.
type inflight struct {
	mu sync.Mutex
	n  int
	// started counts all requests that have started.
	started uint64
	idle    chan struct{}
}

func (f *inflight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
	f.started++
}

func (f *inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

func (f *inflight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// wait returns when no request is in flight or ctx ends.
func (f *inflight) wait(ctx context.Context) {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// waitQuiet returns when no request has been in flight for the given time, or
// when ctx ends.
func (f *inflight) waitQuiet(ctx context.Context, quiet time.Duration) {
	for ctx.Err() == nil {
		f.wait(ctx)
		before := f.total()
		select {
		case <-time.After(quiet):
		case <-ctx.Done():
		}
		if f.count() == 0 && f.total() == before {
			return
		}
	}
}

func (f *inflight) total() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started
}
