// Package membership decides which backend servers may be given new work.
//
// A process routes on direct evidence: what it heard from an agent itself, or
// what a peer heard and relayed. The platform's list, which lags, and the
// deployment file only remove. That another process suspects an agent has no
// effect on one that hears it. Apply, Verdict and Admit are pure; Table holds
// the evidence of a process.
package membership

import (
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// DefaultSuspectAfter is the silence after which an agent is suspected: three
// heartbeats of a second.
const DefaultSuspectAfter = 3 * time.Second

// Reason tells why a backend server is given work or not.
type Reason uint8

// Reasons in the order in which they are looked for.
const (
	// Routable: nothing speaks against it.
	Routable Reason = iota
	// NotConfigured: the configuration in force does not name it.
	NotConfigured
	// Drained: the deployment file wants it emptied.
	DrainConfigured
	// Leaving: its agent says that it leaves.
	Leaving
	// ListedLeaving: the platform lists its instance as leaving.
	ListedLeaving
	// HeartbeatMissing: its agent has been silent for too long.
	HeartbeatMissing
	// Unreachable: a send failed since its agent was last heard directly.
	Unreachable
	// Draining, Changing and Down are states that its agent reports.
	Draining
	Changing
	Down
)

var reasonNames = [...]string{
	"routable", "not configured", "drained by the deployment file", "leaving",
	"listed as leaving", "not heard", "unreachable", "draining", "changing", "down",
}

// String returns the reason as shown to operators.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Process is the evidence about one agent process.
type Process struct {
	// Incarnation is the newest one heard of; 0 means none.
	Incarnation uint64
	// LastSeen is when it was last known to run, directly or by a relay.
	LastSeen time.Duration
	// LastDirect is when it was last heard directly.
	LastDirect time.Duration
	// Leaving is its own notice, which holds for the incarnation.
	Leaving bool
	// Failed is when a send to it last failed; HasSendFailure tells if one did.
	LastSendFailure time.Duration
	HasSendFailure  bool
}

// Event is one piece of evidence about an agent process.
type Event struct {
	Kind        EventKind
	Incarnation uint64
	Leaving     bool
	// Age is how old relayed evidence is.
	Age time.Duration
}

// EventKind is the sort of evidence.
type EventKind uint8

// Kinds of evidence.
const (
	// Heartbeat was heard from the agent itself.
	Heartbeat EventKind = iota
	// Relayed was heard by a peer, Age ago.
	Relayed
	// SendFailed: a connection to the agent failed.
	SendFailed
)

// Apply takes in one piece of evidence at now. What comes from an earlier
// incarnation has no effect.
func (p Process) Apply(ev Event, now time.Duration) Process {
	if ev.Kind == SendFailed {
		p.LastSendFailure, p.HasSendFailure = now, true
		return p
	}
	if ev.Incarnation < p.Incarnation {
		return p
	}
	if ev.Incarnation > p.Incarnation {
		p = Process{Incarnation: ev.Incarnation, LastSeen: now - ev.Age}
	}
	p.Leaving = p.Leaving || ev.Leaving
	p.LastSeen = max(p.LastSeen, now-ev.Age)
	if ev.Kind == Heartbeat {
		p.LastDirect = now
	}
	return p
}

// failing reports whether a send failed of late and the agent was not heard
// directly since. A relay hears what this process may be cut off from, so
// that relayed evidence has it try again only after a time.
func (p Process) failing(hold, now time.Duration) bool {
	return p.HasSendFailure && p.LastSendFailure >= p.LastDirect && now-p.LastSendFailure < hold
}

// Server is the evidence about one backend server.
type Server struct {
	Incarnation uint64
	Seq         uint64
	State       peerv1.ServerState
}

// Apply takes in a report of an incarnation of its agent. An older report
// has no effect.
func (s Server) Apply(incarnation uint64, load *peerv1.Load) Server {
	older := incarnation < s.Incarnation
	repeated := incarnation == s.Incarnation && load.GetSeq() <= s.Seq
	if older || repeated {
		return s
	}
	return Server{Incarnation: incarnation, Seq: load.GetSeq(), State: load.GetState()}
}

// Evidence is all that bears on one backend server.
type Evidence struct {
	Configured bool
	Drain      bool
	// ListedLeaving is what the platform's list says of the instance.
	ListedLeaving bool
	Process       Process
	Server        Server
}

// Evaluate tells whether a backend server may be given new work at now.
func Evaluate(v Evidence, suspectAfter, now time.Duration) Reason {
	switch {
	case !v.Configured:
		return NotConfigured
	case v.Drain:
		return DrainConfigured
	case v.Process.Leaving:
		return Leaving
	case v.ListedLeaving:
		return ListedLeaving
	case v.Process.Incarnation == 0 || now-v.Process.LastSeen >= suspectAfter:
		return HeartbeatMissing
	case v.Server.Incarnation == 0:
		// The agent runs, but has not told of the backend server.
		return HeartbeatMissing
	case v.Process.failing(suspectAfter, now):
		return Unreachable
	}
	switch v.Server.State {
	case peerv1.ServerState_SERVER_STATE_DRAINING:
		return Draining
	case peerv1.ServerState_SERVER_STATE_CHANGING:
		return Changing
	case peerv1.ServerState_SERVER_STATE_DOWN:
		return Down
	default:
		return Routable
	}
}

// AdmissionState is what an agent knows about the future of its backend server.
type AdmissionState struct {
	// Stopping: the agent itself was told to stop.
	Stopping bool
	// Notice: the backend server says that it is leaving.
	LeaveNotice bool
	Drain       bool
	// ListedLeaving is what the platform's list, or a peer that has it, says
	// of the agent's own instance.
	ListedLeaving bool
}

// Admit tells whether an agent lets new work pass to its backend server. The
// agent closes its gate on this before it tells anyone, as it is the only
// path: what an entry knows then only saves refusals.
func Admit(o AdmissionState) Reason {
	switch {
	case o.Drain:
		return DrainConfigured
	case o.Stopping, o.LeaveNotice:
		return Leaving
	case o.ListedLeaving:
		return ListedLeaving
	default:
		return Routable
	}
}
