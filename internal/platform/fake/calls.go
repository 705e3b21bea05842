package fake

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// admitRead counts a read and applies the injected delay, the injected outage
// and the read rate limit to it.
func (s *Store) admitRead(ctx context.Context) error {
	s.mu.Lock()
	s.counts.Reads++
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkAvailable(s.reads.Allow())
}

// admitWatch is admitRead for a watch, which also counts as a read.
func (s *Store) admitWatch(ctx context.Context) error {
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	return s.admitRead(ctx)
}

// checkAvailable returns the error of a call that is rejected because of an
// injected outage or the rate limit. The caller must hold s.mu.
func (s *Store) checkAvailable(allowed bool) error {
	if s.faults.Down {
		return fmt.Errorf("%w: down", platform.ErrUnavailable)
	}
	if !allowed {
		s.counts.Limited++
		return fmt.Errorf("%w: over its rate", platform.ErrUnavailable)
	}
	return nil
}

// write applies a conditional write, subject to the injected faults, and returns
// the new version.
func (s *Store) write(ctx context.Context, want uint64, ev platform.Event) (uint64, error) {
	s.mu.Lock()
	s.counts.Writes++
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return 0, fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(s.writes.Allow()); err != nil {
		return 0, err
	}
	if s.faults.LoseRequests > 0 {
		s.faults.LoseRequests--
		return 0, fmt.Errorf("%w: request lost", platform.ErrOutcomeUnknown)
	}
	version, err := s.commit(want, ev)
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return 0, fmt.Errorf("%w: response lost", platform.ErrOutcomeUnknown)
	}
	return version, err
}

// commit checks the condition of a write and applies it. The caller must hold
// s.mu.
func (s *Store) commit(want uint64, ev platform.Event) (uint64, error) {
	key := ev.Object.Key
	have := s.current.objects[key].Version
	if have != want {
		return 0, &platform.ConflictError{Key: key, Want: want, Have: have}
	}
	if ev.Deleted && have == 0 {
		return 0, fmt.Errorf("%w: %s", platform.ErrNotFound, key)
	}
	version := s.current.version + 1
	s.current.apply(version, ev)
	if key.Kind == platform.KindInstance {
		s.pendingInstances = append(s.pendingInstances, pendingEvent{at: time.Now(), version: version, event: ev})
	}
	s.wakeWatches()
	return version, nil
}

// visibleView returns the content that reads of a kind observe, which depends
// on the injected faults. The caller must hold s.mu.
func (s *Store) visibleView(kind string) *view {
	if s.faults.ServeSnapshot {
		return &s.snapshot
	}
	if kind != platform.KindInstance {
		return &s.current
	}
	visibleUntil := time.Now().Add(-s.faults.InstanceLag)
	for len(s.pendingInstances) > 0 && !s.pendingInstances[0].at.After(visibleUntil) {
		s.visibleInstances.apply(s.pendingInstances[0].version, s.pendingInstances[0].event)
		s.pendingInstances = s.pendingInstances[1:]
	}
	if len(s.pendingInstances) == 0 {
		s.visibleInstances.version = s.current.version
	}
	return &s.visibleInstances
}

// poll returns the events of a kind after version since, a channel that is
// closed at the next change, and the time until the next delayed change of an
// instance becomes visible (0 if there is none).
func (s *Store) poll(kind string, since uint64) (platform.WatchResult, <-chan struct{}, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return platform.WatchResult{}, nil, 0, fmt.Errorf("%w: down", platform.ErrUnavailable)
	}
	result := s.visibleView(kind).since(kind, since)
	var visibleIn time.Duration
	if kind == platform.KindInstance && len(s.pendingInstances) > 0 {
		visibleIn = time.Until(s.pendingInstances[0].at.Add(s.faults.InstanceLag))
	}
	return result, s.changed, visibleIn, nil
}

// waitForChange waits for a change, for visibleIn to pass, or for the end of
// the watch. It reports whether the watch must check for events again.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout <-chan time.Time, visibleIn time.Duration) bool {
	var visible <-chan time.Time
	if visibleIn > 0 {
		timer := time.NewTimer(visibleIn)
		defer timer.Stop()
		visible = timer.C
	}
	select {
	case <-changed:
		return true
	case <-visible:
		return true
	case <-timeout:
		return false
	case <-ctx.Done():
		return false
	}
}

// sleep waits for d. It returns ctx's error if ctx is done first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
