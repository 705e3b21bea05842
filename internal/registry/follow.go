package registry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

const (
	// waitShare is the part of a bound for which the store may hold a watch: a
	// watch may hear nothing of a change, and a list must follow in time.
	waitShare = 0.6
	// togetherShare is the part for each gateway where several tell each
	// other: some watch of theirs ends well within the bound.
	togetherShare = 0.1
	// longestWait keeps watches from outliving the memory of connections on
	// the way, and waitSpread keeps them from ending together.
	longestWait = 10 * time.Second
	waitSpread  = 0.2
	// minPause and maxPause bound the time between calls to a store that does
	// not answer. A process that is out of touch must hear of leaving servers
	// within the time in which it counts as reconnected, less
	// fleet.MissingGrace.
	minPause = 50 * time.Millisecond
	maxPause = 300 * time.Millisecond
	// eventPause lets changes that follow each other come with one call.
	eventPause = 150 * time.Millisecond
	// expireInterval is how often missing servers are looked at.
	expireInterval = 100 * time.Millisecond
)

// Bounds are the times within which news must take effect.
type Bounds struct {
	// Config is for a configuration, Leaving for a leaving backend server.
	Config, Leaving time.Duration
}

// Follower keeps the configuration and the servers in force up to date.
type Follower struct {
	source Source
	log    logevent.Log
	origin time.Time
	// changed is told of each new state.
	changed func(*fleet.Config, []fleet.Server)

	// companions is the number of gateways that tell each other of news.
	companions func() int
	// news is called after each change.
	news func()
	// relist ends a watch, so that a list follows at once.
	relist map[string]chan struct{}

	mu     sync.Mutex
	bounds Bounds
	view   *fleet.View
	config *fleet.Config
	listed bool
	// known is the revision up to which the registrations are known, changedAt
	// the one of the newest change among them.
	known, changedAt uint64
	// toldVersion and toldChange are what other gateways know.
	toldVersion int64
	toldChange  uint64

	storeCalls   atomic.Int64
	storeFailed  atomic.Int64
	lastAnswered atomic.Int64
}

// NewFollower returns a follower that tells changed of every new state. The
// calls of changed do not overlap.
func NewFollower(source Source, bounds Bounds, log logevent.Log, changed func(*fleet.Config, []fleet.Server)) *Follower {
	return &Follower{
		source: source, bounds: bounds, log: log, origin: time.Now(), changed: changed, view: fleet.NewView(),
		companions: func() int { return 1 },
		news:       func() {},
		relist:     map[string]chan struct{}{kindConfig: make(chan struct{}, 1), kindServers: make(chan struct{}, 1)},
	}
}

// What is followed.
const (
	kindConfig  = "config"
	kindServers = "servers"
)

// SetBounds replaces the times within which news must take effect, from the
// next watch on.
func (f *Follower) SetBounds(b Bounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bounds = b
}

// boundsNow returns the bounds in force.
func (f *Follower) boundsNow() Bounds {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bounds
}

// Ready reports whether a configuration and the servers are known.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config != nil && f.listed
}

// StoreCalls returns the calls made to the store, and how many of them failed.
func (f *Follower) StoreCalls() (made, failed int64) {
	return f.storeCalls.Load(), f.storeFailed.Load()
}

// StoreResponseAge returns the time since the store last answered.
func (f *Follower) StoreResponseAge() time.Duration {
	return f.now() - time.Duration(f.lastAnswered.Load())
}

func (f *Follower) now() time.Duration { return time.Since(f.origin) }

// answered notes that the store has answered; f.mu is held.
func (f *Follower) answered() {
	now := f.now()
	f.lastAnswered.Store(int64(now))
	f.view.StoreResponded(now)
}

func (f *Follower) listConfig(ctx context.Context) (uint64, error) {
	config, revision, err := f.source.Config(ctx)
	if err != nil {
		return 0, err
	}
	f.putConfig(config, revision)
	return revision, nil
}

func (f *Follower) watchConfig(ctx context.Context, since uint64) (uint64, error) {
	config, revision, err := f.source.ConfigChanges(ctx, since, f.wait(f.boundsNow().Config))
	if err != nil {
		return 0, err
	}
	f.putConfig(config, revision)
	return revision, nil
}

// putConfig puts a configuration in force if it is newer.
func (f *Follower) putConfig(config *fleet.Config, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered()
	if config == nil {
		return
	}
	next := fleet.Newer(f.config, config)
	if next == f.config {
		return
	}
	f.config = next
	f.log.Write(logevent.ConfigApplied(next.Version, revision))
	f.publish()
}

func (f *Follower) listServers(ctx context.Context) (uint64, error) {
	changes, revision, err := f.source.Servers(ctx)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered()
	servers := make([]fleet.Server, 0, len(changes))
	for _, c := range changes {
		if c.Unreadable || c.Removed {
			f.log.Write(logevent.RegistrationIgnored(c.Server.ID, c.Removed, revision))
			continue
		}
		servers = append(servers, c.Server)
	}
	f.view.ApplyList(f.now(), servers)
	f.listed = true
	f.noteChanges(changes, revision)
	f.publish()
	return revision, nil
}

func (f *Follower) watchServers(ctx context.Context, since uint64) (uint64, error) {
	changes, revision, err := f.source.ServerChanges(ctx, since, f.wait(f.boundsNow().Leaving))
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered()
	for _, c := range changes {
		f.view.ApplyChange(f.now(), c)
		f.log.Write(logevent.RegistrationChanged(registration(c), revision))
	}
	f.noteChanges(changes, revision)
	if len(changes) > 0 {
		f.publish()
	}
	return revision, nil
}

// registration returns what a change says, for the log.
func registration(c fleet.Change) logevent.Registration {
	return logevent.Registration{
		Server: c.Server.ID, Address: c.Server.Address, Stage: c.Server.Stage.String(),
		Removed: c.Removed, Unreadable: c.Unreadable, Leaving: c.Server.Leaving,
	}
}

// noteChanges follows the revisions of the registrations; f.mu is held.
func (f *Follower) noteChanges(changes []fleet.Change, asOf uint64) {
	f.known = max(f.known, asOf)
	for _, c := range changes {
		f.changedAt = max(f.changedAt, c.Revision)
	}
}

// publish tells of the state; f.mu is held.
func (f *Follower) publish() {
	f.changed(f.config, f.view.Servers())
	f.news()
}

// expire drops missing servers when their grace is over.
func (f *Follower) expire(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, expireInterval)
		f.mu.Lock()
		if f.view.Expire(f.now()) {
			f.log.Write(logevent.UnlistedRegistrationsRemoved())
			f.publish()
		}
		f.mu.Unlock()
	}
}
