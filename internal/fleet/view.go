package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// Stage is the part of a request's execution that an engine performs.
type Stage int

const (
	// StageWhole: all of it; for backend servers without separate stages.
	StageWhole Stage = iota
	// StagePrefill: prefill of prompts, whose KV cache is then transferred to a
	// decode engine.
	StagePrefill
	// StageDecode: decode. Decode engines can prefill too, at a lower rate.
	StageDecode
)

// String returns the stage as used in logs.
func (s Stage) String() string {
	switch s {
	case StagePrefill:
		return "prefill"
	case StageDecode:
		return "decode"
	default:
		return "whole"
	}
}

// Server is the registration of one backend server.
type Server struct {
	// ID of the registration. It may stay the same across restarts.
	ID string
	// StartedUnixMs is the start time in Unix milliseconds; 0 if unknown.
	StartedUnixMs int64
	Service       string
	// Version is the version of the server's software; empty if it states none.
	Version       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving servers receive no new work.
	Leaving bool
	Stage   Stage
}

// Key returns the key of the server's incarnation.
func (s Server) Key() Key { return Key{ID: s.ID, Address: s.Address, StartedUnixMs: s.StartedUnixMs} }

// Key identifies one incarnation of a backend server at an address.
type Key struct {
	ID            string
	Address       string
	StartedUnixMs int64
}

// Change is a registration that was written or removed.
type Change struct {
	Server Server
	// Revision of the store at which the registration last changed.
	Revision revision.Revision
	// Unreadable is set if the registration could not be decoded; its server
	// must not be used.
	Unreadable bool
	Removed    bool
}

// MissingGrace is how long a registration that is missing after an outage of
// the store remains in use. Registrations may expire during the outage; live
// servers register again within about two seconds of its end.
const MissingGrace = 2200 * time.Millisecond

// View maintains the set of backend servers that may receive new work, from
// lists and changes of the registrations. It is not safe for concurrent use.
// Times are monotonic, measured from an origin chosen by the caller.
type View struct {
	servers map[string]*registration
	// departed holds when incarnations were dropped or began to leave.
	departed map[Key]time.Duration
	// held are registrations in a restored store that are older than what is
	// known of their servers, by ID.
	held map[string]heldRegistration
	// restoring is set until the first list after a restore of the store.
	restoring bool
	// reconnectedAt is when the store first responded after the last outage.
	reconnectedAt time.Duration
	connected     bool
}

const (
	// departedMemory is how long the departure of an incarnation is remembered.
	// It exceeds the age of the copies from which the store is restored.
	departedMemory = time.Minute
	// heldDuration is how long a registration in a restored store is ignored
	// unless it is written again. It exceeds the time after which the store
	// removes the registration of a server that has ended.
	heldDuration = 10 * time.Second
)

// heldRegistration is a registration that is not used as it stands.
type heldRegistration struct {
	server   Server
	revision revision.Revision
	until    time.Duration
}

// registration is a server with the state of its registration.
type registration struct {
	server Server
	// reportedAt is when the store last reported the registration.
	reportedAt time.Duration
	// graceEndsAt is when the grace period of a missing server ends; 0 while it
	// is registered.
	graceEndsAt time.Duration
}

// NewView returns a view without servers, in the state before the store's first
// response.
func NewView() *View {
	return &View{
		servers:  make(map[string]*registration),
		departed: make(map[Key]time.Duration),
		held:     make(map[string]heldRegistration),
	}
}

// StoreLost records that the store is out of reach, so that registrations may expire
// unseen. The known servers remain in use.
func (v *View) StoreLost() { v.connected = false }

// StoreResponded records a response of the store.
func (v *View) StoreResponded(now time.Duration) {
	if !v.connected {
		v.connected = true
		v.reconnectedAt = now
	}
}

// StoreRestored records that the store has been restored from an older copy.
// Registrations that are missing from the copy are kept for MissingGrace, since
// live servers register again. The next list must be of the restored store.
func (v *View) StoreRestored(now time.Duration) {
	v.connected, v.reconnectedAt, v.restoring = true, now, true
	for _, r := range v.servers {
		if r.graceEndsAt > 0 {
			r.graceEndsAt = now + MissingGrace
		}
	}
	for id, h := range v.held {
		// Revisions of the earlier generation do not compare with new ones.
		v.departed[h.server.Key()] = now
		delete(v.held, id)
	}
	v.forgetDepartures(now)
}

// forgetDepartures forgets departures that no copy of the store can precede.
func (v *View) forgetDepartures(now time.Duration) {
	for key, at := range v.departed {
		if now-at > departedMemory {
			delete(v.departed, key)
		}
	}
}

// ApplyList replaces the registrations by a complete list. It returns the IDs of
// the servers whose registrations are not used, because their departure was
// known before the store was restored from an older copy.
func (v *View) ApplyList(now time.Duration, changes []Change) (heldBack []string) {
	v.StoreResponded(now)
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		id := c.Server.ID
		listed[id] = true
		if v.restoring && v.hasDeparted(c.Server) {
			v.held[id] = heldRegistration{server: c.Server, revision: c.Revision, until: now + heldDuration}
		}
		if v.isHeld(now, c) {
			heldBack = append(heldBack, id)
			delete(v.servers, id)
			continue
		}
		v.put(now, c.Server)
	}
	for id := range v.servers {
		if !listed[id] {
			v.remove(now, id)
		}
	}
	v.restoring = false
	return heldBack
}

// hasDeparted reports whether an incarnation that is registered as usable was
// known to be leaving or gone.
func (v *View) hasDeparted(s Server) bool {
	_, departed := v.departed[s.Key()]
	return departed && !s.Leaving
}

// isHeld reports whether a registration is still the one that is held back.
func (v *View) isHeld(now time.Duration, c Change) bool {
	h, ok := v.held[c.Server.ID]
	if !ok {
		return false
	}
	if h.server.Key() != c.Server.Key() || h.revision != c.Revision || now >= h.until {
		delete(v.held, c.Server.ID)
		return false
	}
	return true
}

// ApplyChange applies the change of one registration.
func (v *View) ApplyChange(now time.Duration, c Change) {
	if c.Removed || c.Unreadable {
		v.remove(now, c.Server.ID)
		return
	}
	v.put(now, c.Server)
}

func (v *View) put(now time.Duration, s Server) {
	delete(v.held, s.ID)
	if s.Leaving {
		v.departed[s.Key()] = now
	} else {
		delete(v.departed, s.Key())
	}
	v.servers[s.ID] = &registration{server: s, reportedAt: now}
}

// remove drops a server. If the store has not reported its registration since
// the last outage, the registration may merely have expired during it, so the
// server is kept until the grace period ends. Servers known to be leaving are
// dropped at once.
func (v *View) remove(now time.Duration, id string) {
	delete(v.held, id)
	r := v.servers[id]
	if r == nil || r.graceEndsAt > 0 {
		return
	}
	graceEnds := v.reconnectedAt + MissingGrace
	if r.reportedAt >= v.reconnectedAt || r.server.Leaving || graceEnds <= now {
		v.drop(now, id)
		return
	}
	r.graceEndsAt = graceEnds
}

// drop removes a server from use and remembers its departure.
func (v *View) drop(now time.Duration, id string) {
	v.forgetDepartures(now)
	v.departed[v.servers[id].server.Key()] = now
	delete(v.servers, id)
}

// Expire drops the servers whose grace period has ended, uses those that are no
// longer held back, and reports whether there were any.
func (v *View) Expire(now time.Duration) bool {
	changed := false
	for id, r := range v.servers {
		if r.graceEndsAt > 0 && r.graceEndsAt <= now {
			v.drop(now, id)
			changed = true
		}
	}
	for _, h := range v.held {
		if h.until <= now {
			v.put(now, h.server)
			changed = true
		}
	}
	return changed
}

// Servers returns all known servers, ordered by ID.
func (v *View) Servers() []Server {
	servers := make([]Server, 0, len(v.servers))
	for _, r := range v.servers {
		servers = append(servers, r.server)
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return servers
}
