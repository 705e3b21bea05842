package fleet

import (
	"slices"
	"strings"
	"time"
)

// Stage is the part of a request that an engine does.
type Stage int

const (
	// StageWhole is that of backend servers without stages.
	StageWhole Stage = iota
	// StagePrefill engines prefill prompts and hand their KV cache on.
	StagePrefill
	// StageDecode engines generate; they prefill too, at a lower rate.
	StageDecode
)

// String returns the stage for logs.
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

// Server is one backend server as it registered itself.
type Server struct {
	// ID of the registration; a restart may keep it.
	ID string
	// StartedUnixMs is the Unix time of its start in milliseconds, 0 if not told.
	StartedUnixMs int64
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Leaving servers get no new work.
	Leaving bool
	Stage   Stage
}

// Key tells incarnations of a server apart.
func (s Server) Key() Key { return Key{ID: s.ID, Address: s.Address, StartedUnixMs: s.StartedUnixMs} }

// Key is one incarnation of a backend server at an address.
type Key struct {
	ID            string
	Address       string
	StartedUnixMs int64
}

// Change is a registration that was written or removed.
type Change struct {
	Server Server
	// Revision of the store at which the entry last changed.
	Revision uint64
	// Unreadable entries name no server to use.
	Unreadable bool
	Removed    bool
}

// MissingGrace is how long a registration that is missing when the store
// comes back is still used: servers that live are registered again within
// about two seconds.
const MissingGrace = 2200 * time.Millisecond

// View decides which backend servers may get new work, from lists and changes
// of the registrations. It is not safe for concurrent use. Times are
// monotonic, from an origin that the caller fixes once.
type View struct {
	servers map[string]*entry
	// backAt is when the store answered again after it had not.
	backAt    time.Duration
	connected bool
}

type entry struct {
	server Server
	// seenAt is when the store last told of the registration.
	seenAt time.Duration
	// dropAt is when a missing server stops to be used; 0 while registered.
	dropAt time.Duration
}

// NewView returns a view without servers, before the store has answered.
func NewView() *View { return &View{servers: make(map[string]*entry)} }

// StoreLost takes in that the store does not answer. What is known stays in use.
func (v *View) StoreLost() { v.connected = false }

// StoreResponded takes in that the store answers.
func (v *View) StoreResponded(now time.Duration) {
	if !v.connected {
		v.connected = true
		v.backAt = now
	}
}

// ApplyList takes in all registrations at a moment.
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

// ApplyChange takes in one change.
func (v *View) ApplyChange(now time.Duration, c Change) {
	if c.Removed || c.Unreadable {
		v.remove(now, c.Server.ID)
		return
	}
	v.put(now, c.Server)
}

func (v *View) put(now time.Duration, s Server) { v.servers[s.ID] = &entry{server: s, seenAt: now} }

// remove drops a server. One that the store has not told of since it came
// back may have lapsed meanwhile, and is kept for a grace.
func (v *View) remove(now time.Duration, id string) {
	e := v.servers[id]
	if e == nil || e.dropAt > 0 {
		return
	}
	graceEnds := v.backAt + MissingGrace
	if e.seenAt >= v.backAt || e.server.Leaving || graceEnds <= now {
		delete(v.servers, id)
		return
	}
	e.dropAt = graceEnds
}

// Expire drops the servers whose grace is over and reports whether there were
// any.
func (v *View) Expire(now time.Duration) bool {
	dropped := false
	for id, e := range v.servers {
		if e.dropAt > 0 && e.dropAt <= now {
			delete(v.servers, id)
			dropped = true
		}
	}
	return dropped
}

// Servers returns all known servers, ordered by ID.
func (v *View) Servers() []Server {
	servers := make([]Server, 0, len(v.servers))
	for _, e := range v.servers {
		servers = append(servers, e.server)
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return servers
}
