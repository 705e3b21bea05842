package fleet

import (
	"slices"
	"strings"
	"time"
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
	Revision uint64
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
	// reconnectedAt is when the store first responded after the last outage.
	reconnectedAt time.Duration
	connected     bool
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
func NewView() *View { return &View{servers: make(map[string]*registration)} }

// StoreLost records that the store does not respond. The known servers remain
// in use.
func (v *View) StoreLost() { v.connected = false }

// StoreResponded records a response of the store.
func (v *View) StoreResponded(now time.Duration) {
	if !v.connected {
		v.connected = true
		v.reconnectedAt = now
	}
}

// ApplyList replaces the registrations by a complete list.
func (v *View) ApplyList(now time.Duration, servers []Server) {
	v.StoreResponded(now)
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		v.put(now, s)
	}
	for id := range v.servers {
		if !listed[id] {
			v.remove(now, id)
		}
	}
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
	v.servers[s.ID] = &registration{server: s, reportedAt: now}
}

// remove drops a server. If the store has not reported its registration since
// the last outage, the registration may merely have expired during it, so the
// server is kept until the grace period ends. Servers known to be leaving are
// dropped at once.
func (v *View) remove(now time.Duration, id string) {
	r := v.servers[id]
	if r == nil || r.graceEndsAt > 0 {
		return
	}
	graceEnds := v.reconnectedAt + MissingGrace
	if r.reportedAt >= v.reconnectedAt || r.server.Leaving || graceEnds <= now {
		delete(v.servers, id)
		return
	}
	r.graceEndsAt = graceEnds
}

// Expire drops the servers whose grace period has ended and reports whether
// there were any.
func (v *View) Expire(now time.Duration) bool {
	dropped := false
	for id, r := range v.servers {
		if r.graceEndsAt > 0 && r.graceEndsAt <= now {
			delete(v.servers, id)
			dropped = true
		}
	}
	return dropped
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
