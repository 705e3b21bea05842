package registry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/revision"
)

const (
	// watchTimeoutShare is the fraction of a propagation bound used as the
	// watch timeout. A watch may silently miss a change; the rest of the bound
	// leaves time for the list that finds it.
	watchTimeoutShare = 0.6
	// perGatewayShare is the fraction of the bound that each gateway adds to
	// the watch timeout if several gateways notify each other: with more
	// gateways, some watch ends within the bound although each one takes
	// longer.
	perGatewayShare = 0.1
	// maxWatchTimeout bounds the watch timeout, since network devices on the
	// path drop connections that are idle for longer. watchTimeoutJitter is the
	// fraction by which it is at least randomly shortened, so that watches do not
	// end simultaneously.
	maxWatchTimeout    = 10 * time.Second
	watchTimeoutJitter = 0.2
	// minBackoff and maxBackoff bound the backoff between calls to a store that
	// does not respond. After an outage a gateway must learn of leaving servers
	// within the time allowed for reconnecting, less fleet.MissingGrace, so
	// maxBackoff is short.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// relayedMaxBackoff takes the place of maxBackoff at gateways that are no relays. They
	// learn from relays that the store is back, and many of them calling as often as
	// relays would multiply the calls of an outage.
	relayedMaxBackoff = 1200 * time.Millisecond
	// minCoalesceDelay delays the next watch after a change at least, so that
	// changes in quick succession arrive in one response.
	minCoalesceDelay = 150 * time.Millisecond
	// expireInterval is how often servers missing from the registry are checked
	// for the end of their grace period.
	expireInterval = 100 * time.Millisecond
)

// Bounds are the times within which changes in the store must take effect.
type Bounds struct {
	// Config is the bound for a configuration, Leaving that for a backend
	// server that starts to leave.
	Config, Leaving time.Duration
}

// Follower keeps the configuration and the registered servers up to date. It is
// safe for concurrent use.
type Follower struct {
	source Source
	log    logevent.Log
	origin time.Time
	// onState is called with each new state.
	onState func(*fleet.Config, []fleet.Server)

	// relay and clock are those of SetRelay.
	relay func() (gateways int, isRelay bool)
	clock func() time.Duration
	// gatewayCount returns the number of gateways that notify each other, this
	// one included.
	gatewayCount func() int
	// onChange is called after each change.
	onChange func()
	// relist signals, by kind of object, that another gateway knows of a newer
	// change. If the own watch does not deliver it, the watch is ended and
	// replaced by a list.
	relist map[string]chan struct{}

	mu     sync.Mutex
	bounds Bounds
	view   *fleet.View
	config *fleet.Config
	listed bool
	// knownRevision is the revision up to which registrations have been read,
	// changeRevision the revision of the newest change among them.
	knownRevision, changeRevision revision.Revision
	// peerConfigVersion and peerChangeRevision are the highest configuration
	// version and the newest registration change that other gateways reported.
	peerConfigVersion  int64
	peerChangeRevision revision.Revision
	// confirmedAt holds, by kind of object, the latest moment on clock at which the
	// state was the newest one; reads whether this gateway reads for itself.
	confirmedAt map[string]time.Duration
	reads       map[string]bool
	// confirmationWanted is the latest moment on clock at which ConfirmServers was called.
	confirmationWanted time.Duration

	// storeCallCount and storeFailureCount count calls to the store,
	// lastResponse is the time of its last response since origin.
	storeCallCount    atomic.Int64
	storeFailureCount atomic.Int64
	// staleCallCount counts those of the calls that may miss changes.
	staleCallCount atomic.Int64
	lastResponse   atomic.Int64
	// storeRestoreCount counts the restores of the store that were observed.
	storeRestoreCount atomic.Int64
}

// NewFollower returns a Follower that calls onState with every new state, one
// call at a time. Run starts it.
func NewFollower(source Source, bounds Bounds, log logevent.Log, onState func(*fleet.Config, []fleet.Server)) *Follower {
	origin := time.Now()
	return &Follower{
		source: source, bounds: bounds, log: log, origin: origin, onState: onState, view: fleet.NewView(),
		relay:        func() (int, bool) { return 1, true },
		clock:        func() time.Duration { return time.Since(origin) },
		gatewayCount: func() int { return 1 },
		onChange:     func() {},
		relist:       map[string]chan struct{}{kindConfig: make(chan struct{}, 1), kindServers: make(chan struct{}, 1)},
		confirmedAt:  make(map[string]time.Duration),
		reads:        make(map[string]bool),
	}
}

// Kinds of objects followed.
const (
	kindConfig  = "config"
	kindServers = "servers"
)

// SetBounds replaces the propagation bounds. They apply from the next watch.
func (f *Follower) SetBounds(b Bounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bounds = b
}

// Ready reports whether both the configuration and the servers have been read.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config != nil && f.listed
}

// StoreCalls returns the number of calls made to the store and how many of them
// failed.
func (f *Follower) StoreCalls() (made, failed int64) {
	return f.storeCallCount.Load(), f.storeFailureCount.Load()
}

// StaleStoreCalls returns how many of the calls to the store may have missed changes.
func (f *Follower) StaleStoreCalls() int64 { return f.staleCallCount.Load() }

// StoreRestores returns the number of restores of the store from an older copy
// that were observed.
func (f *Follower) StoreRestores() int64 { return f.storeRestoreCount.Load() }

// StoreGeneration returns the newest known generation of the store.
func (f *Follower) StoreGeneration() uint64 { return f.source.Generation() }

// StoreResponseAge returns the time since the last response of the store.
func (f *Follower) StoreResponseAge() time.Duration {
	return f.now() - time.Duration(f.lastResponse.Load())
}

func (f *Follower) now() time.Duration { return time.Since(f.origin) }

// recordResponse records a response of the store. The caller holds f.mu.
func (f *Follower) recordResponse() {
	now := f.now()
	f.lastResponse.Store(int64(now))
	f.view.StoreResponded(now)
}

func (f *Follower) listConfig(ctx context.Context) (revision.Revision, error) {
	config, asOf, err := f.source.Config(ctx)
	if err != nil && (!errors.Is(err, ErrNoConfig) || asOf == 0) {
		return 0, err
	}
	// Without a configuration the first one is awaited by a watch.
	f.updateConfig(config, asOf)
	return asOf, nil
}

func (f *Follower) watchConfig(ctx context.Context, w Watch) (revision.Revision, error) {
	config, asOf, err := f.source.ConfigChanges(ctx, w)
	if err != nil {
		return 0, err
	}
	f.updateConfig(config, asOf)
	return asOf, nil
}

// updateConfig puts a configuration into force if it is newer.
func (f *Follower) updateConfig(config *fleet.Config, asOf revision.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordResponse()
	if config == nil {
		return
	}
	if f.putIntoForce(config) {
		f.log.Write(logevent.ConfigApplied(config.Version, asOf))
	}
}

// putIntoForce puts a configuration into force and reports true if it is newer. The caller
// holds f.mu.
func (f *Follower) putIntoForce(config *fleet.Config) bool {
	next := fleet.Newer(f.config, config)
	if next == f.config {
		return false
	}
	f.config = next
	f.logAccountProblems(next)
	f.publish()
	return true
}

// logAccountProblems logs what is not used of the client accounts of a configuration.
func (f *Follower) logAccountProblems(config *fleet.Config) {
	if config.Accounts == nil {
		return
	}
	for _, p := range config.Accounts.Problems() {
		f.log.Write(logevent.AccountIgnored(p.Account, p.Reason, config.Version))
	}
}

func (f *Follower) listServers(ctx context.Context) (revision.Revision, error) {
	changes, asOf, err := f.source.Servers(ctx)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordResponse()
	usable := make([]fleet.Change, 0, len(changes))
	for _, c := range changes {
		if c.Unreadable || c.Removed {
			f.log.Write(logevent.RegistrationIgnored(c.Server.ID, c.Removed, asOf))
			continue
		}
		usable = append(usable, c)
	}
	if f.listed && asOf.Generation() != f.knownRevision.Generation() {
		f.view.StoreRestored(f.now())
		f.storeRestoreCount.Add(1)
	}
	for _, id := range f.view.ApplyList(f.now(), usable) {
		f.log.Write(logevent.RegistrationHeldBack(id, asOf))
	}
	f.listed = true
	f.recordChanges(changes, asOf)
	f.publish()
	return asOf, nil
}

func (f *Follower) watchServers(ctx context.Context, w Watch) (revision.Revision, error) {
	changes, asOf, err := f.source.ServerChanges(ctx, w)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordResponse()
	for _, c := range changes {
		f.view.ApplyChange(f.now(), c)
		f.log.Write(logevent.RegistrationChanged(registration(c), asOf))
	}
	f.recordChanges(changes, asOf)
	if len(changes) > 0 {
		f.publish()
	}
	return asOf, nil
}

// registration converts a change for the log.
func registration(c fleet.Change) logevent.Registration {
	return logevent.Registration{
		Server: c.Server.ID, Address: c.Server.Address, Version: c.Server.Version, Stage: c.Server.Stage.String(),
		Removed: c.Removed, Unreadable: c.Unreadable, Leaving: c.Server.Leaving,
	}
}

// recordChanges updates the known revisions of the registrations. The caller
// holds f.mu.
func (f *Follower) recordChanges(changes []fleet.Change, asOf revision.Revision) {
	f.knownRevision = max(f.knownRevision, asOf)
	for _, c := range changes {
		f.changeRevision = max(f.changeRevision, c.Revision)
	}
}

// publish reports the new state. The caller holds f.mu.
func (f *Follower) publish() {
	f.onState(f.config, f.view.Servers())
	f.onChange()
}

// expireLoop periodically drops missing servers whose grace period has ended,
// until ctx is done.
func (f *Follower) expireLoop(ctx context.Context) {
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
