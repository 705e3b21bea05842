package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// objectKind is a kind of object that is listed and watched. Both functions
// process what they read and return the revision to continue from.
type objectKind struct {
	name  string
	list  func(ctx context.Context) (revision.Revision, error)
	watch func(ctx context.Context, w Watch) (revision.Revision, error)
}

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	kinds := []objectKind{
		{kindConfig, f.listConfig, f.watchConfig},
		{kindServers, f.listServers, f.watchServers},
	}
	var loops sync.WaitGroup
	for _, kind := range kinds {
		loops.Go(func() { f.follow(ctx, kind) })
	}
	loops.Go(func() { f.expireLoop(ctx) })
	loops.Wait()
}

// follow lists once and then watches. It lists again if the revision to watch
// from has been compacted, if the store was restored, if a call fails or is cut off, if
// another gateway knows of a change that the watch has missed, or if nothing confirms the
// state any more.
func (f *Follower) follow(ctx context.Context, kind objectKind) {
	var since revision.Revision
	backoff := minBackoff
	storeLost := false
	for ctx.Err() == nil {
		next, err := f.step(ctx, kind, since)
		switch {
		case err == nil:
			if storeLost {
				f.log.Write(logevent.StoreRecovered(kind.name, next))
			}
			if since != 0 && next != since {
				sleep(ctx, f.coalesceDelay(kind.name))
			}
			since, backoff, storeLost = next, minBackoff, false
			continue
		case errors.Is(err, errPeerNewer):
			f.log.Write(logevent.PeerHasNewerRevision(kind.name, since))
			since = 0
			continue
		case errors.Is(err, errUnconfirmed):
			f.log.Write(logevent.StateUnconfirmed(kind.name, since))
			since = 0
			continue
		case errors.Is(err, ErrRestored):
			f.log.Write(logevent.StoreRestored(kind.name, since, f.source.Generation()))
			since = 0
			sleep(ctx, rand.N(listSpread))
			continue
		case errors.Is(err, ErrWatchCut):
			f.recordCutWatch(err, kind.name, since)
			since = 0
			sleep(ctx, rand.N(listSpread))
			continue
		case errors.Is(err, ErrCompacted):
			f.log.Write(logevent.WatchHistoryCompacted(kind.name, since))
			since = 0
			continue
		case ctx.Err() != nil:
			return
		}
		f.recordFailure(err, kind.name, since, &storeLost)
		since = 0
		f.sleepBackoff(ctx, kind.name, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, f.longestBackoff())
	}
}

// longestBackoff returns the longest time between two calls to a store that does not respond.
func (f *Follower) longestBackoff() time.Duration {
	if f.hasRelays() && !f.readsForItself() {
		return relayedMaxBackoff
	}
	return maxBackoff
}

// sleepBackoff waits for d, until another gateway knows of a newer change, or until ctx is
// done. A wait of up to maxBackoff is never shortened, since the store may stay out of reach
// for this gateway while others learn of changes.
func (f *Follower) sleepBackoff(ctx context.Context, kind string, d time.Duration) {
	sleep(ctx, min(d, maxBackoff))
	if d <= maxBackoff {
		return
	}
	timer := time.NewTimer(d - maxBackoff)
	defer timer.Stop()
	select {
	case <-f.relist[kind]:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// errPeerNewer is the cause of a watch that was ended because another gateway
// knows of a newer change.
var errPeerNewer = errors.New("another gateway knows of a newer change")

// listSpread is the time over which the gateways of a fleet list again after the
// store was restored, or has cut off their watches.
const listSpread = 300 * time.Millisecond

// peerNewerDelay is how long the own watch may take to deliver a change that
// another gateway has reported, before it is replaced by a list.
const peerNewerDelay = 150 * time.Millisecond

// step makes one call: a list if there is no revision to continue from, else a
// watch.
func (f *Follower) step(ctx context.Context, kind objectKind, since revision.Revision) (revision.Revision, error) {
	f.storeCallCount.Add(1)
	begun := f.clock()
	if since == 0 {
		next, err := kind.list(ctx)
		f.confirmRead(kind.name, begun, err)
		return next, err
	}
	reads := f.readsForItself()
	f.logRelay(kind.name, reads)
	w := Watch{Since: since, Wait: f.watchTimeout(kind.name, reads), AllowStale: !reads}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.endIfPeerNewer(ctx, cancel, kind.name)
	if w.AllowStale {
		f.staleCallCount.Add(1)
		go f.endIfUnconfirmed(ctx, cancel, kind.name)
	}
	next, err := kind.watch(ctx, w)
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errPeerNewer) || errors.Is(cause, errUnconfirmed)) {
		return 0, cause
	}
	if w.AllowStale {
		return sameOrNewer(next, since), err
	}
	if next == since {
		// The store has held the call until nothing had changed for so long.
		begun += w.Wait
	}
	f.confirmRead(kind.name, min(begun, f.clock()), err)
	return next, err
}

// sameOrNewer returns next unless it is older than since in the same generation of the
// store, as the response to a call with AllowStale may be.
func sameOrNewer(next, since revision.Revision) revision.Revision {
	if next.Generation() == since.Generation() {
		return max(next, since)
	}
	return next
}

// endIfPeerNewer ends a watch if another gateway knows of a change that does
// not arrive through it within peerNewerDelay. It returns when ctx is done.
func (f *Follower) endIfPeerNewer(ctx context.Context, end context.CancelCauseFunc, kind string) {
	for {
		select {
		case <-f.relist[kind]:
		case <-ctx.Done():
			return
		}
		sleep(ctx, peerNewerDelay)
		f.mu.Lock()
		behind := f.behind(kind)
		f.mu.Unlock()
		// The signal may be of a change that has been listed meanwhile.
		if behind {
			end(errPeerNewer)
			return
		}
	}
}

// recordCutWatch records a watch that was cut off. The list that follows shows whether the
// store is out of reach.
func (f *Follower) recordCutWatch(err error, kind string, since revision.Revision) {
	f.storeFailureCount.Add(1)
	f.source.Reconnect()
	f.log.Write(logevent.WatchCut(kind, since, err))
}

// recordFailure records a failed call. The state known so far remains in force.
// A store without a configuration does not count as lost, nor does one whose answer
// cannot be used.
func (f *Follower) recordFailure(err error, kind string, since revision.Revision, storeLost *bool) {
	f.storeFailureCount.Add(1)
	f.source.Reconnect()
	if errors.Is(err, ErrNoConfig) {
		return
	}
	if IsOutage(err) {
		f.mu.Lock()
		f.view.StoreLost()
		f.mu.Unlock()
	}
	if !*storeLost {
		f.log.Write(logevent.StoreUnavailable(kind, since, err))
	}
	*storeLost = true
}

// watchTimeout returns the timeout of a watch for the propagation bound of a kind. It
// is longer if many gateways notify each other: a change that the watches of some
// gateways miss is found by another one whose watch has just ended, which then
// notifies the others. Since a change starts all watches anew at the same time,
// their timeouts are spread from that of a gateway without others on. Relays, on which
// others depend, do not depend on others.
func (f *Follower) watchTimeout(kind string, reads bool) time.Duration {
	f.mu.Lock()
	bound := float64(f.bound(kind))
	f.mu.Unlock()
	alone := watchTimeoutShare * bound
	longest := min(max(alone, perGatewayShare*bound*float64(f.gatewayCount())), float64(maxWatchTimeout))
	shortest := min(alone, (1-watchTimeoutJitter)*longest)
	if reads && f.hasRelays() {
		longest = relayWatchShare * bound
		shortest = (1 - relayWatchJitter) * longest
	}
	return time.Duration(longest - (longest-shortest)*rand.Float64())
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
