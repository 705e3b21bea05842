package dissemination

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Rounds are counted in heartbeat intervals.
const (
	// relayRounds is how often a process exchanges heartbeats with a relay
	// of its failure domain.
	relayRounds = 32
	// crossRounds is how often it does with a process elsewhere, and
	// relayCrossRounds how often a relay does with a relay elsewhere.
	crossRounds      = 64
	relayCrossRounds = 8
	// planWindow is how many plan versions a heartbeat carries in turn,
	// beside those that changed in the last planNewsRounds.
	planWindow     = 2
	planNewsRounds = 4
)

// Times of the store calls.
const (
	// watchWait bounds a relay's watch of the configuration; each answer says
	// that the configuration is up to date.
	watchWait = 4 * time.Second
	// planWatchWait bounds a relay's watch of the plans.
	planWatchWait = 20 * time.Second
	// pollWait bounds the poll of a process that is no relay.
	pollWait = time.Second
	// maxPatience bounds a call to a store that is slow.
	maxPatience = 8 * time.Second
	// staleAfter is the age of the newest answer of the store, its own or
	// one that it heard of, from which on a process asks the store itself;
	// staleSpread is added for some, so that not all ask at once.
	staleAfter  = 9 * time.Second
	staleSpread = 2 * time.Second
	// firstBackoff and maxBackoff bound the wait after a failed call.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// HeartbeatPeers returns with whom to exchange heartbeats in a round. Over the
// rounds a process meets all others of its failure domain, its relays more
// often, and some of the other failure domains; the relays of all failure
// domains meet each other.
func (v View) HeartbeatPeers(round uint64) []Member {
	turn := round + xxhash.Sum64String(v.self.Name)
	if v.IsRelay() {
		return v.relayPartners(turn)
	}
	others := without(v.own, v.self)
	switch {
	case turn%crossRounds == 1:
		if far := v.elsewhere(turn / crossRounds); len(far) > 0 {
			return far
		}
	case turn%relayRounds == 0:
		return pick(v.relays, turn/relayRounds)
	}
	// The turns above are left out of the count, so that nobody is missed.
	return pick(others, turn-turn/relayRounds-(turn+crossRounds-2)/crossRounds)
}

// relayPartners are the partners of a relay, whom the others of its failure
// domain call anyway.
func (v View) relayPartners(turn uint64) []Member {
	if turn%relayCrossRounds == 0 {
		var far []Member
		for _, domain := range v.others {
			far = append(far, Relays(domain)...)
		}
		return pick(far, turn/relayCrossRounds)
	}
	if turn%relayCrossRounds == relayCrossRounds/2 {
		return pick(without(v.own, v.self), turn/relayCrossRounds)
	}
	return nil
}

// elsewhere returns one process of another failure domain.
func (v View) elsewhere(turn uint64) []Member {
	if len(v.others) == 0 {
		return nil
	}
	domain := v.others[turn%uint64(len(v.others))]
	return pick(domain, turn/uint64(len(v.others)))
}

// NotifyTargets says whom to tell at once that there is a newer version.
type NotifyTargets struct {
	// All are each told.
	All []Member
	// AnyOf holds groups of which the first that can be reached is told.
	AnyOf [][]Member
}

// NotifyTargets returns whom to tell of a newer configuration. A relay tells the
// other relays and its share of its own failure domain. A process that is no
// relay and has it first-hand, as it accepted it or polled, tells the relays
// and one in each other failure domain.
func (v View) NotifyTargets(firstHand bool) NotifyTargets {
	relays := v.relays
	if v.IsRelay() {
		return NotifyTargets{All: append(without(relays, v.self), v.share(relays)...)}
	}
	if !firstHand {
		return NotifyTargets{}
	}
	news := NotifyTargets{All: slices.Clone(relays)}
	for _, domain := range v.others {
		news.AnyOf = append(news.AnyOf, rotate(Relays(domain), weight(v.self)))
	}
	return news
}

// share returns those of the own failure domain that this relay tells.
func (v View) share(relays []Member) []Member {
	var list []Member
	for _, m := range v.own {
		if isIn(relays, m) {
			continue
		}
		if relays[weight(m)%uint64(len(relays))] == v.self {
			list = append(list, m)
		}
	}
	return list
}

func isIn(list []Member, m Member) bool {
	for _, other := range list {
		if other.Name == m.Name {
			return true
		}
	}
	return false
}

// rotate returns the list beginning at its i-th element.
func rotate(list []Member, i uint64) []Member {
	n := i % uint64(len(list))
	return append(append([]Member{}, list[n:]...), list[:n]...)
}

// StoreMode is what a process owes to the store.
type StoreMode int

// Duties.
const (
	// Passive: others watch the store for it.
	Passive StoreMode = iota
	// Poll: ask the store once, as nobody else seems to.
	Poll
	// Watch: hold a watch.
	Watch
)

// StoreMode decides on the next call to the store. Age is that of the newest
// answer of the store that the process knows of.
func (v View) StoreMode(age time.Duration) StoreMode {
	limit := staleAfter + time.Duration(weight(v.self)%uint64(staleSpread))
	switch {
	case v.IsRelay():
		return Watch
	case age >= limit:
		return Poll
	default:
		return Passive
	}
}

// Backoff returns the wait after the given number of failed calls in a row,
// between half and the whole of a rising bound; seed makes processes differ.
func Backoff(failures int, seed uint64) time.Duration {
	if failures <= 0 {
		return 0
	}
	bound := firstBackoff << min(failures-1, 10)
	bound = min(bound, maxBackoff)
	var key [16]byte
	for i := range 8 {
		key[i] = byte(seed >> (8 * i))
		key[8+i] = byte(failures >> (8 * i))
	}
	half := uint64(bound / 2)
	return bound/2 + time.Duration(xxhash.Sum64(key[:])%half)
}

// StoreTimeout returns how long to wait for a call that usually has wait, after
// the given number of failed calls in a row: a slow store gets more time.
func StoreTimeout(wait time.Duration, failures int) time.Duration {
	return max(wait, min(wait<<min(failures, 10), maxPatience))
}

// PlanState is the newest plan version of a service that a process knows.
type PlanState struct {
	Service string
	Version uint64
	// Round in which the version became known.
	Round uint64
}

// AdvertisedPlans returns the plan versions that a heartbeat carries: those that
// changed lately, and some of the others in turn. Plans are ordered by
// service.
func AdvertisedPlans(plans []PlanState, round uint64) []*peerv1.PlanVersion {
	var news []*peerv1.PlanVersion
	for i, p := range plans {
		recent := p.Round+planNewsRounds > round
		if recent || inWindow(uint64(i), uint64(len(plans)), round) {
			news = append(news, &peerv1.PlanVersion{Service: p.Service, Version: p.Version})
		}
	}
	return news
}

// inWindow tells whether the i-th of n plans is in turn.
func inWindow(i, n, round uint64) bool {
	start := round * planWindow % n
	return (i+n-start)%n < planWindow
}

// Fetch is something newer that a peer has.
type Fetch struct {
	// Service is empty for the configuration.
	Service string
	// Version is the revision or plan version that the peer has.
	Version uint64
}

// LocalVersions is what a process has.
type LocalVersions struct {
	Revision uint64
	Plans    []PlanState
}

// NeededFetches returns what the sender of a heartbeat has that is newer. Wants
// tells which services' plans matter to the process.
func NeededFetches(known LocalVersions, hb *peerv1.Heartbeat, wants func(service string) bool) []Fetch {
	var list []Fetch
	if hb.GetConfigRevision() > known.Revision {
		list = append(list, Fetch{Version: hb.GetConfigRevision()})
	}
	for _, p := range hb.GetPlans() {
		if wants(p.GetService()) && p.GetVersion() > known.plan(p.GetService()) {
			list = append(list, Fetch{Service: p.GetService(), Version: p.GetVersion()})
		}
	}
	return list
}

func (k LocalVersions) plan(service string) uint64 {
	for _, p := range k.Plans {
		if p.Service == service {
			return p.Version
		}
	}
	return 0
}
