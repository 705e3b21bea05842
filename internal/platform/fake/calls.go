package fake

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// beginRead applies delay, outage and read rate to one call.
func (s *Store) beginRead(ctx context.Context) error {
	s.mu.Lock()
	s.counts.Reads++
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admit(s.reads.Allow())
}

// beginWatch is beginRead for a watch, which counts as a read as well.
func (s *Store) beginWatch(ctx context.Context) error {
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	return s.beginRead(ctx)
}

// admit returns the error of a call that is refused. The caller holds the
// lock.
func (s *Store) admit(allowed bool) error {
	if s.faults.Down {
		return fmt.Errorf("%w: down", platform.ErrUnavailable)
	}
	if !allowed {
		s.counts.Limited++
		return fmt.Errorf("%w: over its rate", platform.ErrUnavailable)
	}
	return nil
}

// write applies one conditional write and returns the new version.
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
	if err := s.admit(s.writes.Allow()); err != nil {
		return 0, err
	}
	if s.faults.LoseRequests > 0 {
		s.faults.LoseRequests--
		return 0, fmt.Errorf("%w: request lost", platform.ErrOutcomeUnknown)
	}
	version, err := s.commit(want, ev)
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return 0, fmt.Errorf("%w: answer lost", platform.ErrOutcomeUnknown)
	}
	return version, err
}

// commit changes the content. The caller holds the lock.
func (s *Store) commit(want uint64, ev platform.Event) (uint64, error) {
	key := ev.Object.Key
	have := s.now.objects[key].Version
	if have != want {
		return 0, &platform.ConflictError{Key: key, Want: want, Have: have}
	}
	if ev.Deleted && have == 0 {
		return 0, fmt.Errorf("%w: %s", platform.ErrNotFound, key)
	}
	version := s.now.version + 1
	s.now.apply(version, ev)
	if key.Kind == platform.KindInstance {
		s.late = append(s.late, lateEvent{at: time.Now(), version: version, event: ev})
	}
	s.wake()
	return version, nil
}

// view returns what reads of a kind see. The caller holds the lock.
func (s *Store) view(kind string) *view {
	if s.faults.ServeSnapshot {
		return &s.snapshot
	}
	if kind != platform.KindInstance {
		return &s.now
	}
	shown := time.Now().Add(-s.faults.InstanceLag)
	for len(s.late) > 0 && !s.late[0].at.After(shown) {
		s.instances.apply(s.late[0].version, s.late[0].event)
		s.late = s.late[1:]
	}
	if len(s.late) == 0 {
		s.instances.version = s.now.version
	}
	return &s.instances
}

// look returns the events of a kind after since, a channel that closes at
// the next change, and the time until a lagging instance shows (0: none).
func (s *Store) look(kind string, since uint64) (platform.WatchResult, <-chan struct{}, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return platform.WatchResult{}, nil, 0, fmt.Errorf("%w: down", platform.ErrUnavailable)
	}
	events := s.view(kind).since(kind, since)
	var lag time.Duration
	if kind == platform.KindInstance && len(s.late) > 0 {
		lag = time.Until(s.late[0].at.Add(s.faults.InstanceLag))
	}
	return events, s.changed, lag, nil
}

// waitChange waits for a change, for the lag to pass, or for the end of the
// watch, and tells whether to look again.
func waitChange(ctx context.Context, changed <-chan struct{}, limit <-chan time.Time, lag time.Duration) bool {
	var lagged <-chan time.Time
	if lag > 0 {
		timer := time.NewTimer(lag)
		defer timer.Stop()
		lagged = timer.C
	}
	select {
	case <-changed:
		return true
	case <-lagged:
		return true
	case <-limit:
		return false
	case <-ctx.Done():
		return false
	}
}

// sleep waits for d or until ctx is done.
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
