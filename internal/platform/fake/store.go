// Package fake keeps an object store in memory that satisfies platform.Store.
//
// Tests use it directly, also in virtual time, and the stand-in platform
// serves it over HTTP. Its faults can be switched on and off at any time.
package fake

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// DefaultWatchTimeout is the longest that a watch waits for a change.
const DefaultWatchTimeout = 30 * time.Second

// Options of a Store.
type Options struct {
	// ReadsPerSecond and WritesPerSecond limit calls; 0 means no limit.
	ReadsPerSecond  int
	WritesPerSecond int
	// WatchTimeout is the longest that a watch waits; 0 means DefaultWatchTimeout.
	WatchTimeout time.Duration
}

// Faults are the ways in which the store can misbehave.
type Faults struct {
	// Down makes each call fail with platform.ErrUnavailable.
	Down bool
	// Delay is added to each call before it takes effect.
	Delay time.Duration
	// LoseResponses is the number of further writes whose answer is lost after
	// they have taken effect.
	LoseResponses int
	// LoseRequests is the number of further writes that are lost before they
	// take effect, with the same error as a lost answer.
	LoseRequests int
	// ServeSnapshot answers reads from the snapshot taken by TakeSnapshot.
	ServeSnapshot bool
	// InstanceLag delays what reads of platform.KindInstance show.
	InstanceLag time.Duration
}

// Counts tells how many calls of each sort the store has had.
type Counts struct {
	Reads, Watches, Writes, Limited int
}

// Store is an object store in memory. It is safe for concurrent use.
type Store struct {
	reads, writes *rate.Limiter
	watchWait     time.Duration

	mu        sync.Mutex
	faults    Faults
	counts    Counts
	now       view
	snapshot  view
	instances view
	late      []lateEvent
	changed   chan struct{}
}

// lateEvent is a change of an instance that reads may not show yet.
type lateEvent struct {
	at      time.Time
	version uint64
	event   platform.Event
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New(opts Options) *Store {
	if opts.WatchTimeout == 0 {
		opts.WatchTimeout = DefaultWatchTimeout
	}
	return &Store{
		reads:     limiter(opts.ReadsPerSecond),
		writes:    limiter(opts.WritesPerSecond),
		watchWait: opts.WatchTimeout,
		now:       newView(),
		snapshot:  newView(),
		instances: newView(),
		changed:   make(chan struct{}),
	}
}

// limiter returns a limiter whose burst is one second's worth of calls.
func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetFaults replaces the faults and wakes waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Faults returns the faults as they stand.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns how many calls the store has had.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// TakeSnapshot keeps the present content for ServeSnapshot and Restore.
func (s *Store) TakeSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = s.now.clone()
}

// Restore sets content and version counter back to the snapshot, as when a
// store is restored from a backup.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.snapshot.clone()
	s.instances = s.snapshot.clone()
	s.late = nil
	s.wake()
}

// wake lets all waiting watches look again. The caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if err := s.beginRead(ctx); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.view(key.Kind).objects[key]
	if !ok {
		return platform.Object{}, fmt.Errorf("%w: %s", platform.ErrNotFound, key)
	}
	return copyObject(obj), nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, kind string) ([]platform.Object, error) {
	if err := s.beginRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []platform.Object
	for key, obj := range s.view(kind).objects {
		if key.Kind == kind {
			list = append(list, copyObject(obj))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key.Name < list[j].Key.Name })
	return list, nil
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, fmt.Errorf("fake: value of %s has %d bytes, at most %d are allowed", key, len(value), platform.MaxValueBytes)
	}
	obj := platform.Object{Key: key, Value: append([]byte(nil), value...)}
	version, err := s.write(ctx, want, platform.Event{Object: obj})
	if err != nil {
		return platform.Object{}, err
	}
	obj.Version = version
	return obj, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key platform.Key, want uint64) error {
	_, err := s.write(ctx, want, platform.Event{Object: platform.Object{Key: key}, Deleted: true})
	return err
}

// Watch implements platform.Store. A version ahead of the store's counter
// returns at once with all objects of the kind and the store's own counter,
// so that a caller can see that the store is older than what it knows.
func (s *Store) Watch(ctx context.Context, kind string, since uint64) (platform.WatchResult, error) {
	if err := s.beginWatch(ctx); err != nil {
		return platform.WatchResult{}, err
	}
	limit := time.NewTimer(s.watchWait)
	defer limit.Stop()
	for {
		events, changed, lag, err := s.look(kind, since)
		if err != nil || len(events.Events) > 0 || events.NextVersion < since {
			return events, err
		}
		if !waitChange(ctx, changed, limit.C, lag) {
			return events, nil
		}
	}
}
