// Package membership decides which backend servers may receive new work.
//
// A process routes on evidence that an agent runs: heartbeats received from the
// agent, or received by a peer and relayed. The platform's list of
// instances, which lags behind, and the deployment file can only exclude a
// backend server, never include one. Suspicions are not shared: an agent
// suspected by one process stays usable for all processes that receive its
// heartbeats.
//
// Apply, Evaluate and Admit are pure functions; Table holds the evidence of a
// process.
package membership

import (
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// DefaultSuspectAfter is the time without a heartbeat after which an agent is
// suspected to have failed: three intervals of one second.
const DefaultSuspectAfter = 3 * time.Second

// Reason is the reason why a backend server may not receive new work, or
// Routable if it may.
type Reason uint8

// Reasons in the order in which they are checked.
const (
	// Routable: the backend server may receive new work.
	Routable Reason = iota
	// NotConfigured: the configuration in force does not contain the backend
	// server.
	NotConfigured
	// DrainConfigured: the deployment file asks to drain it.
	DrainConfigured
	// Leaving: its agent announced that it is shutting down.
	Leaving
	// ListedLeaving: the platform lists its instance as leaving.
	ListedLeaving
	// HeartbeatMissing: its agent has sent no heartbeat for too long, or none
	// that reports the backend server.
	HeartbeatMissing
	// Unreachable: a send to its agent failed recently, and no heartbeat has
	// arrived directly since.
	Unreachable
	// Draining, Changing and Down are states reported by its agent.
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

// ProcessEvidence is the evidence about one agent process. Times are monotonic.
type ProcessEvidence struct {
	// Incarnation is the highest incarnation seen; 0 means none.
	Incarnation uint64
	// LastSeen is the latest time at which the agent is known to have run, from
	// direct or relayed evidence.
	LastSeen time.Duration
	// LastDirect is when its last direct heartbeat was received.
	LastDirect time.Duration
	// Leaving is set once the agent announced its shutdown. It holds for the
	// rest of the incarnation.
	Leaving bool
	// LastSendFailure is when a send to the agent last failed; valid if
	// HasSendFailure is set.
	LastSendFailure time.Duration
	HasSendFailure  bool
}

// Event is one piece of evidence about an agent process.
type Event struct {
	Kind        EventKind
	Incarnation uint64
	Leaving     bool
	// Age is the age of relayed evidence; 0 otherwise.
	Age time.Duration
}

// EventKind is the source of evidence.
type EventKind uint8

// Kinds of evidence.
const (
	// Heartbeat: a heartbeat, or a load report with a response, received from
	// the agent itself.
	Heartbeat EventKind = iota
	// Relayed: received by a peer, Event.Age ago. No process relays evidence at
	// present.
	Relayed
	// SendFailed: a connection to the agent failed.
	SendFailed
)

// Apply returns the evidence after an event at now. Events of an earlier
// incarnation have no effect.
func (p ProcessEvidence) Apply(ev Event, now time.Duration) ProcessEvidence {
	if ev.Kind == SendFailed {
		p.LastSendFailure, p.HasSendFailure = now, true
		return p
	}
	if ev.Incarnation < p.Incarnation {
		return p
	}
	if ev.Incarnation > p.Incarnation {
		p = ProcessEvidence{Incarnation: ev.Incarnation, LastSeen: now - ev.Age}
	}
	p.Leaving = p.Leaving || ev.Leaving
	p.LastSeen = max(p.LastSeen, now-ev.Age)
	if ev.Kind == Heartbeat {
		p.LastDirect = now
	}
	return p
}

// failing reports whether a send failed within the hold time and no direct
// heartbeat has arrived since. Relayed heartbeats do not clear the failure,
// because this process may be cut off from an agent that the relay can reach; a
// new send is attempted only after the hold time.
func (p ProcessEvidence) failing(hold, now time.Duration) bool {
	return p.HasSendFailure && p.LastSendFailure >= p.LastDirect && now-p.LastSendFailure < hold
}

// ServerEvidence is the latest load report about one backend server.
type ServerEvidence struct {
	Incarnation uint64
	Seq         uint64
	State       peerv1.ServerState
}

// Apply returns the evidence after a load report sent by an incarnation of its
// agent. Older and repeated reports have no effect.
func (s ServerEvidence) Apply(incarnation uint64, load *peerv1.Load) ServerEvidence {
	older := incarnation < s.Incarnation
	repeated := incarnation == s.Incarnation && load.GetSeq() <= s.Seq
	if older || repeated {
		return s
	}
	return ServerEvidence{Incarnation: incarnation, Seq: load.GetSeq(), State: load.GetState()}
}

// Evidence is all that determines whether one backend server may receive new
// work.
type Evidence struct {
	Configured bool
	Drain      bool
	// ListedLeaving is set if the platform's list shows the instance as
	// leaving.
	ListedLeaving bool
	Process       ProcessEvidence
	Server        ServerEvidence
}

// Evaluate returns Routable if a backend server may receive new work at now, and
// otherwise the first reason against it. An agent is suspected after
// suspectAfter without evidence that it runs.
func Evaluate(e Evidence, suspectAfter, now time.Duration) Reason {
	switch {
	case !e.Configured:
		return NotConfigured
	case e.Drain:
		return DrainConfigured
	case e.Process.Leaving:
		return Leaving
	case e.ListedLeaving:
		return ListedLeaving
	case e.Process.Incarnation == 0 || now-e.Process.LastSeen >= suspectAfter:
		return HeartbeatMissing
	case e.Server.Incarnation == 0:
		// The agent runs, but has not reported on the backend server yet.
		return HeartbeatMissing
	case e.Process.failing(suspectAfter, now):
		return Unreachable
	}
	switch e.Server.State {
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

// AdmissionState is what an agent knows about the shutdown of its own backend
// server.
type AdmissionState struct {
	// Stopping is set once the agent itself was asked to stop.
	Stopping bool
	// LeaveNotice is set once the backend server announced that it is leaving.
	LeaveNotice bool
	Drain       bool
	// ListedLeaving is set if the platform's list, read directly or by a peer,
	// shows the agent's own instance as leaving.
	ListedLeaving bool
}

// Admit returns Routable if an agent admits new work to its backend server, and
// otherwise the first reason against it. The agent is the only path to the
// backend server and stops admission before it announces that the server is
// leaving. An entry with outdated evidence then gets a refusal, but cannot get
// new work to the server. Agents apply these rules by closing their gates (see
// internal/agent); only the tests of this package call Admit.
func Admit(s AdmissionState) Reason {
	switch {
	case s.Drain:
		return DrainConfigured
	case s.Stopping, s.LeaveNotice:
		return Leaving
	case s.ListedLeaving:
		return ListedLeaving
	default:
		return Routable
	}
}
