package dissemination

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Heartbeat schedule, in rounds of one heartbeat interval.
const (
	// relayEvery is the number of rounds between two heartbeats from a process
	// to a relay of its failure domain.
	relayEvery = 32
	// crossDomainEvery is the number of rounds between two heartbeats from a
	// process to another failure domain, and relayCrossDomainEvery the number
	// between two heartbeats from a relay to a relay of another failure domain.
	crossDomainEvery      = 64
	relayCrossDomainEvery = 8
	// rotatedPlans is the number of plan versions that each heartbeat
	// advertises in rotation, in addition to those that changed within the last
	// recentPlanRounds rounds.
	rotatedPlans     = 2
	recentPlanRounds = 4
)

// Timeouts and backoff of store calls.
const (
	// configWatchTimeout is the timeout of a relay's watch of the
	// configuration. Each response, even an empty one, confirms that the
	// configuration is up to date.
	configWatchTimeout = 4 * time.Second
	// planWatchTimeout is the timeout of a relay's watch of the plans.
	planWatchTimeout = 20 * time.Second
	// pollTimeout is the timeout of a poll by a process that is not a relay.
	pollTimeout = time.Second
	// maxStoreTimeout bounds the timeouts that StoreTimeout extends for a slow
	// store.
	maxStoreTimeout = 8 * time.Second
	// staleAfter is the age of the newest known store response, received
	// directly or reported by a peer, from which a process polls the store
	// itself. Each process adds a fixed jitter below staleJitter so that they
	// do not all poll at once.
	staleAfter  = 9 * time.Second
	staleJitter = 2 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// HeartbeatPeers returns the members to exchange heartbeats with in a round.
// Over successive rounds a process reaches every member of its failure domain,
// its relays more often, and some members of other failure domains. Relays also
// reach the relays of all other failure domains.
func (v View) HeartbeatPeers(round uint64) []Member {
	turn := round + xxhash.Sum64String(v.self.Name)
	if v.IsRelay() {
		return v.relayHeartbeatPeers(turn)
	}
	others := without(v.ownDomain, v.self)
	switch {
	case turn%crossDomainEvery == 1:
		if remote := v.otherDomainMember(turn / crossDomainEvery); len(remote) > 0 {
			return remote
		}
	case turn%relayEvery == 0:
		return pick(v.relays, turn/relayEvery)
	}
	// The rounds used by the cases above are not counted, so that no member is
	// skipped.
	return pick(others, turn-turn/relayEvery-(turn+crossDomainEvery-2)/crossDomainEvery)
}

// relayHeartbeatPeers returns the heartbeat peers of a relay. A relay sends few
// heartbeats within its failure domain because the other members already
// contact it.
func (v View) relayHeartbeatPeers(turn uint64) []Member {
	if turn%relayCrossDomainEvery == 0 {
		var remote []Member
		for _, domain := range v.otherDomains {
			remote = append(remote, Relays(domain)...)
		}
		return pick(remote, turn/relayCrossDomainEvery)
	}
	if turn%relayCrossDomainEvery == relayCrossDomainEvery/2 {
		return pick(without(v.ownDomain, v.self), turn/relayCrossDomainEvery)
	}
	return nil
}

// otherDomainMember returns one member of another failure domain, or nil if
// there is none.
func (v View) otherDomainMember(turn uint64) []Member {
	if len(v.otherDomains) == 0 {
		return nil
	}
	domain := v.otherDomains[turn%uint64(len(v.otherDomains))]
	return pick(domain, turn/uint64(len(v.otherDomains)))
}

// NotifyTargets lists the members to notify at once of a newer version.
type NotifyTargets struct {
	// All members are notified.
	All []Member
	// AnyOf holds groups of members; within each group the first reachable
	// member is notified.
	AnyOf [][]Member
}

// NotifyTargets returns the members to notify of a newer configuration. A relay
// notifies the other relays and its share of the failure domain. A process that
// is not a relay notifies others only if firstHand is set, that is, if it
// accepted the configuration or polled it from the store: then it notifies its
// relays and one relay in each other failure domain.
func (v View) NotifyTargets(firstHand bool) NotifyTargets {
	relays := v.relays
	if v.IsRelay() {
		return NotifyTargets{All: append(without(relays, v.self), v.assignedMembers(relays)...)}
	}
	if !firstHand {
		return NotifyTargets{}
	}
	targets := NotifyTargets{All: slices.Clone(relays)}
	for _, domain := range v.otherDomains {
		targets.AnyOf = append(targets.AnyOf, rotate(Relays(domain), rendezvousWeight(v.self)))
	}
	return targets
}

// assignedMembers returns the members of the own failure domain that this relay
// notifies. Each member that is not a relay is assigned to exactly one relay by
// hash.
func (v View) assignedMembers(relays []Member) []Member {
	var list []Member
	for _, m := range v.ownDomain {
		if containsMember(relays, m) {
			continue
		}
		if relays[rendezvousWeight(m)%uint64(len(relays))] == v.self {
			list = append(list, m)
		}
	}
	return list
}

// containsMember reports whether the list contains a member with m's name.
func containsMember(list []Member, m Member) bool {
	for _, other := range list {
		if other.Name == m.Name {
			return true
		}
	}
	return false
}

// rotate returns a copy of the list that starts at index i modulo its length.
// The list must not be empty.
func rotate(list []Member, i uint64) []Member {
	n := i % uint64(len(list))
	return append(append([]Member{}, list[n:]...), list[:n]...)
}

// StoreMode is how a process gets updates from the store.
type StoreMode int

// Store modes.
const (
	// Passive: the process makes no store calls and relies on its peers.
	Passive StoreMode = iota
	// Poll: the process polls the store because no peer has reported a recent
	// store response.
	Poll
	// Watch: the process is a relay and keeps a watch open.
	Watch
)

// StoreMode returns the store mode of the process, given the age of the newest
// store response that it knows of.
func (v View) StoreMode(age time.Duration) StoreMode {
	limit := staleAfter + time.Duration(rendezvousWeight(v.self)%uint64(staleJitter))
	switch {
	case v.IsRelay():
		return Watch
	case age >= limit:
		return Poll
	default:
		return Passive
	}
}

// Backoff returns the wait after the given number of consecutive failed calls:
// between half and all of a bound that doubles from minBackoff to maxBackoff.
// The jitter is a function of seed and failures, so that processes with
// different seeds spread out.
func Backoff(failures int, seed uint64) time.Duration {
	if failures <= 0 {
		return 0
	}
	bound := minBackoff << min(failures-1, 10)
	bound = min(bound, maxBackoff)
	var key [16]byte
	for i := range 8 {
		key[i] = byte(seed >> (8 * i))
		key[8+i] = byte(failures >> (8 * i))
	}
	half := uint64(bound / 2)
	return bound/2 + time.Duration(xxhash.Sum64(key[:])%half)
}

// StoreTimeout returns the timeout of a store call whose normal timeout is
// wait. It doubles with each consecutive failed call, up to maxStoreTimeout, so
// that calls to a slow store can complete, but is never less than wait.
func StoreTimeout(wait time.Duration, failures int) time.Duration {
	return max(wait, min(wait<<min(failures, 10), maxStoreTimeout))
}

// PlanState is the newest plan version of a service that a process holds.
type PlanState struct {
	Service string
	Version uint64
	// Round is the heartbeat round in which the version was received.
	Round uint64
}

// AdvertisedPlans returns the plan versions that a heartbeat carries: those
// received within the last recentPlanRounds rounds, and rotatedPlans others in
// rotation. The given plans must be ordered by service.
func AdvertisedPlans(plans []PlanState, round uint64) []*peerv1.PlanVersion {
	var versions []*peerv1.PlanVersion
	for i, p := range plans {
		recent := p.Round+recentPlanRounds > round
		if recent || inRotation(uint64(i), uint64(len(plans)), round) {
			versions = append(versions, &peerv1.PlanVersion{Service: p.Service, Version: p.Version})
		}
	}
	return versions
}

// inRotation reports whether the i-th of n plans is in the rotation window of a
// round.
func inRotation(i, n, round uint64) bool {
	start := round * rotatedPlans % n
	return (i+n-start)%n < rotatedPlans
}

// Fetch is a version to fetch from the peer that advertised it.
type Fetch struct {
	// Service is the service of the plan; empty means the configuration.
	Service string
	// Version is the configuration revision or plan version that the peer
	// holds.
	Version uint64
}

// LocalVersions holds the versions that a process has.
type LocalVersions struct {
	Revision uint64
	Plans    []PlanState
}

// NeededFetches returns what the sender of a heartbeat holds that is newer than
// the local versions. Plans of services for which needsPlan returns false are
// skipped.
func NeededFetches(local LocalVersions, hb *peerv1.Heartbeat, needsPlan func(service string) bool) []Fetch {
	var list []Fetch
	if hb.GetConfigRevision() > local.Revision {
		list = append(list, Fetch{Version: hb.GetConfigRevision()})
	}
	for _, p := range hb.GetPlans() {
		if needsPlan(p.GetService()) && p.GetVersion() > local.planVersion(p.GetService()) {
			list = append(list, Fetch{Service: p.GetService(), Version: p.GetVersion()})
		}
	}
	return list
}

// planVersion returns the local plan version of a service, or 0.
func (v LocalVersions) planVersion(service string) uint64 {
	for _, p := range v.Plans {
		if p.Service == service {
			return p.Version
		}
	}
	return 0
}
