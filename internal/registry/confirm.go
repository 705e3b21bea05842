package registry

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// In a large fleet only some gateways, the relays, read the newest state of the
// store. The others watch it with calls that may miss the changes of the last
// seconds, and learn from other gateways two things: the versions that these have
// in force, and how long ago the store has confirmed them. A gateway whose own
// versions are at least as new is confirmed as of the same moment. One that is
// behind, or has not been confirmed for too long, lists the newest state itself,
// so that it does not depend on any relay.

const (
	// minRelayedFleet is the number of gateways from which relays are used.
	minRelayedFleet = 24
	// confirmShare is the part of a propagation bound for which a confirmation
	// holds. The rest is for the list that follows and the response to it.
	confirmShare = 0.75
	// relayWatchShare is the part of a propagation bound used as the timeout of the
	// watches of relays. The response to a watch without changes is what confirms
	// the state of the others, who learn of it from each other.
	relayWatchShare = 0.35
	// relayWatchJitter is the fraction by which it is at most randomly shortened, so
	// that the relays do not confirm at the same moments.
	relayWatchJitter = 0.5
	// confirmInterval is the time between two checks of whether a watch is still
	// confirmed.
	confirmInterval = 100 * time.Millisecond
	// confirmPollInterval is the time between two checks of whether a confirmation that
	// is wanted has come.
	confirmPollInterval = 10 * time.Millisecond
	// relayCoalesceShare and relayedCoalesceShare are the parts of a propagation bound
	// by which changes may arrive later at relays and at the others so that they
	// arrive together.
	relayCoalesceShare   = 0.05
	relayedCoalesceShare = 0.15
)

// errUnconfirmed is the cause of a watch that was ended because nothing has confirmed
// the state for too long.
var errUnconfirmed = errors.New("state has not been confirmed for too long")

// Confirmation is what a gateway reports to others about what it has in force.
type Confirmation struct {
	ConfigVersion int64
	// ChangeRevision is the newest known change of the registrations.
	ChangeRevision revision.Revision
	// ConfigAge and ServersAge are the times since the store has confirmed them;
	// negative if it has not.
	ConfigAge, ServersAge time.Duration
}

// unconfirmed is the age of a state that was never confirmed.
const unconfirmed = -1

// SetRelay sets the function that returns the number of known gateways and whether this
// one is a relay, and the clock for confirmations, which must not stop while the instance
// is suspended. It must be called before Run. Without it a gateway always reads for itself.
func (f *Follower) SetRelay(relay func() (gateways int, isRelay bool), clock func() time.Duration) {
	f.relay, f.clock = relay, clock
}

// Confirmation returns what this gateway has in force and since when it is confirmed.
func (f *Follower) Confirmation() Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Confirmation{
		ConfigVersion: f.configVersion(), ConfigAge: f.confirmedAge(kindConfig),
		ChangeRevision: f.changeRevision, ServersAge: f.confirmedAge(kindServers),
	}
}

// confirmedAge returns the time since the state of a kind was confirmed. The caller
// holds f.mu.
func (f *Follower) confirmedAge(kind string) time.Duration {
	at, ok := f.confirmedAt[kind]
	if !ok {
		return unconfirmed
	}
	return max(0, f.clock()-at)
}

// confirm records that the state of a kind was the newest one at a moment. The caller
// holds f.mu.
func (f *Follower) confirm(kind string, at time.Duration) {
	if before, ok := f.confirmedAt[kind]; !ok || at > before {
		f.confirmedAt[kind] = at
	}
}

// confirmRead records that a read of the newest state which returned err began, or was
// answered, not before a moment.
func (f *Follower) confirmRead(kind string, at time.Duration, err error) {
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirm(kind, at)
}

// ObserveConfirmation processes a confirmation that another gateway gave at least as
// late as elapsed ago.
func (f *Follower) ObserveConfirmation(c Confirmation, elapsed time.Duration) {
	f.ObservePeerVersions(c.ConfigVersion, c.ChangeRevision)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	if c.ConfigAge >= 0 && f.config != nil && f.config.Version >= c.ConfigVersion {
		f.confirm(kindConfig, now-elapsed-c.ConfigAge)
	}
	if c.ServersAge >= 0 && f.listed && f.knownRevision >= c.ChangeRevision {
		f.confirm(kindServers, now-elapsed-c.ServersAge)
	}
}

// ConfirmServers waits until the registrations are confirmed as of now or later, for
// which it has them listed if nobody else confirms them. It reports false if ctx ends
// before.
func (f *Follower) ConfirmServers(ctx context.Context) bool {
	f.mu.Lock()
	wanted := f.clock()
	f.confirmationWanted = max(f.confirmationWanted, wanted)
	f.mu.Unlock()
	signal(f.relist[kindServers])
	for {
		f.mu.Lock()
		at, ok := f.confirmedAt[kindServers]
		f.mu.Unlock()
		if ok && at >= wanted {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, confirmPollInterval)
	}
}

// isConfirmed reports whether the state of a kind has been confirmed recently enough.
func (f *Follower) isConfirmed(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.confirmedAge(kind)
	return age >= 0 && age < time.Duration(confirmShare*float64(f.bound(kind)))
}

// bound returns the propagation bound of a kind. The caller holds f.mu.
func (f *Follower) bound(kind string) time.Duration {
	if kind == kindConfig {
		return f.bounds.Config
	}
	return f.bounds.Leaving
}

// hasRelays reports whether the fleet is so large that it has relays.
func (f *Follower) hasRelays() bool {
	gateways, _ := f.relay()
	return gateways >= minRelayedFleet
}

// readsForItself reports whether this gateway reads the newest state of the store.
func (f *Follower) readsForItself() bool {
	gateways, isRelay := f.relay()
	return isRelay || gateways < minRelayedFleet
}

// endIfUnconfirmed ends a watch that may miss changes once nothing confirms the state
// any more. It returns when ctx is done.
func (f *Follower) endIfUnconfirmed(ctx context.Context, end context.CancelCauseFunc, kind string) {
	for ctx.Err() == nil {
		if !f.isConfirmed(kind) {
			end(errUnconfirmed)
			return
		}
		sleep(ctx, confirmInterval)
	}
}

// coalesceDelay returns the time to wait after a change before the next watch, so
// that changes in quick succession arrive in one response.
func (f *Follower) coalesceDelay(kind string) time.Duration {
	share := 0.0
	switch {
	case !f.hasRelays():
	case f.readsForItself():
		share = relayCoalesceShare
	default:
		share = relayedCoalesceShare
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(minCoalesceDelay, time.Duration(share*float64(f.bound(kind))))
}

// logRelay logs that this gateway begins or ceases to read for itself, and keeps it
// for the metrics.
func (f *Follower) logRelay(kind string, reads bool) {
	f.mu.Lock()
	before, known := f.reads[kind]
	f.reads[kind] = reads
	f.mu.Unlock()
	if !known || before != reads {
		gateways, _ := f.relay()
		f.log.Write(logevent.StoreReadChanged(kind, reads, gateways))
	}
}

// Relays reports whether this gateway reads the newest state of the store for itself
// and others.
func (f *Follower) Relays() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads[kindServers]
}
