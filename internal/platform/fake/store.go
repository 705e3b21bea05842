// Package fake provides an in-memory implementation of platform.Store with
// injectable faults.
//
// Tests use it directly, also with the virtual time of testing/synctest, and
// the stand-in platform serves it over HTTP.
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

// DefaultWatchTimeout is the default of Options.WatchTimeout.
const DefaultWatchTimeout = 30 * time.Second

// Options are the settings of a Store.
type Options struct {
	// ReadsPerSecond and WritesPerSecond are the rate limits; 0 means
	// unlimited.
	ReadsPerSecond  int
	WritesPerSecond int
	// WatchTimeout is the time after which a watch without changes returns;
	// 0 means DefaultWatchTimeout.
	WatchTimeout time.Duration
}

// Faults are the faults that a Store can inject.
type Faults struct {
	// Down makes every call fail with platform.ErrUnavailable.
	Down bool
	// Delay is added to every call before it takes effect.
	Delay time.Duration
	// LoseResponses is the number of subsequent writes that take effect but
	// fail with platform.ErrOutcomeUnknown.
	LoseResponses int
	// LoseRequests is the number of subsequent writes that take no effect and
	// fail with platform.ErrOutcomeUnknown.
	LoseRequests int
	// ServeSnapshot makes reads return the content saved by TakeSnapshot.
	ServeSnapshot bool
	// InstanceLag is the time until a change of an object of
	// platform.KindInstance becomes visible to reads.
	InstanceLag time.Duration
}

// Counts are the numbers of calls that a Store has received. Watches are also
// counted as reads. Limited is the number of calls rejected by a rate limit.
type Counts struct {
	Reads, Watches, Writes, Limited int
}

// Store is an in-memory object store. It is safe for concurrent use.
type Store struct {
	reads, writes *rate.Limiter
	watchTimeout  time.Duration

	mu      sync.Mutex
	faults  Faults
	counts  Counts
	current view
	// snapshot is the content saved by TakeSnapshot.
	snapshot view
	// visibleInstances is the content that reads of platform.KindInstance observe,
	// without the changes in pendingInstances.
	visibleInstances view
	// pendingInstances holds the changes of instances that are not visible yet.
	pendingInstances []pendingEvent
	// changed is closed and replaced on every change, to wake up watches.
	changed chan struct{}
}

// pendingEvent is a change of an instance that becomes visible to reads after
// Faults.InstanceLag.
type pendingEvent struct {
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
		reads:            limiter(opts.ReadsPerSecond),
		writes:           limiter(opts.WritesPerSecond),
		watchTimeout:     opts.WatchTimeout,
		current:          newView(),
		snapshot:         newView(),
		visibleInstances: newView(),
		changed:          make(chan struct{}),
	}
}

// limiter returns a rate limiter with a burst of one second's worth of calls.
func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetFaults replaces the injected faults and wakes up waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Faults returns the injected faults. Counters such as LoseResponses show what
// is left of them.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// TakeSnapshot saves the current content for Faults.ServeSnapshot and Restore.
func (s *Store) TakeSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = s.current.clone()
}

// Restore reverts the content and the version counter to the snapshot, as if the
// store had been restored from a backup.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = s.snapshot.clone()
	s.visibleInstances = s.snapshot.clone()
	s.pendingInstances = nil
	s.wakeWatches()
}

// wakeWatches makes all waiting watches check for events. The caller must hold
// s.mu.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Generation implements platform.Store. This store is never restored.
func (s *Store) Generation() uint64 { return 0 }

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if err := s.admitRead(ctx); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.visibleView(key.Kind).objects[key]
	if !ok {
		return platform.Object{}, fmt.Errorf("%w: %s", platform.ErrNotFound, key)
	}
	return copyObject(obj), nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, kind string) ([]platform.Object, error) {
	if err := s.admitRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []platform.Object
	for key, obj := range s.visibleView(kind).objects {
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

// Watch implements platform.Store. If since is higher than the store's version
// counter, it returns immediately with all objects of the kind and the store's
// counter, which shows the caller that the store has been reverted to an older
// state than the caller knows.
func (s *Store) Watch(ctx context.Context, kind string, since uint64) (platform.WatchResult, error) {
	if err := s.admitWatch(ctx); err != nil {
		return platform.WatchResult{}, err
	}
	timeout := time.NewTimer(s.watchTimeout)
	defer timeout.Stop()
	for {
		result, changed, visibleIn, err := s.poll(kind, since)
		if err != nil || len(result.Events) > 0 || result.NextVersion < since {
			return result, err
		}
		if !waitForChange(ctx, changed, timeout.C, visibleIn) {
			return result, nil
		}
	}
}
