package logevent

import (
	"log/slog"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// ConfigApplied reports that a gateway now serves requests with a
// configuration. revision is the store's revision.
func ConfigApplied(version int64, revision revision.Revision) Event {
	return info("configuration applied", slog.Int64(keyVersion, version), slog.Any(keyRevision, revision))
}

// PeerConfigApplied reports that a gateway now serves requests with a configuration that
// another gateway has sent.
func PeerConfigApplied(version int64, peer string) Event {
	return info("configuration of another gateway applied", slog.Int64(keyVersion, version), slog.String(keyPeer, peer))
}

// PeerConfigNotFetched reports that another gateway has not sent its newer configuration.
func PeerConfigNotFetched(peer string, version uint64, err error) Event {
	return info("configuration of another gateway could not be fetched", slog.String(keyPeer, peer), slog.Uint64(keyVersion, version), errorText(err))
}

// DutyAcquired reports that this gateway now makes the calls of a duty.
func DutyAcquired(duty string, fencingToken uint64) Event {
	return info("duty acquired", slog.String(keyDuty, duty), slog.Uint64(keyFencingToken, fencingToken))
}

// DutySurrendered reports that the platform has rejected the fencing token of this gateway,
// which therefore gives the duty up.
func DutySurrendered(duty string, fencingToken uint64) Event {
	return info("duty surrendered, the platform has seen a higher token", slog.String(keyDuty, duty), slog.Uint64(keyFencingToken, fencingToken))
}

// DutyUnknown reports a duty in the settings that does not exist.
func DutyUnknown(duty string) Event {
	return failure("duty in the settings is unknown, not performed", slog.String(keyDuty, duty))
}

// UsageReport describes a call that reports the usage of a window.
type UsageReport struct {
	Window int64
	// Fence is the fencing token with which the call was made.
	Fence uint64
	// Accounts is the number of client accounts in the report, and Runs the sum of their
	// counts.
	Accounts int
	Runs     int64
	// SinceEnd is the time since the end of the window.
	SinceEnd time.Duration
	// Err is why the report was not accepted; nil if it was.
	Err error
}

// UsageReported reports a call that reports the usage of a window.
func UsageReported(r UsageReport) Event {
	e := info("usage of a window reported", slog.Int64("window", r.Window), slog.Uint64(keyFencingToken, r.Fence), slog.Int("clients", r.Accounts),
		slog.Int64("runs", r.Runs), milliseconds("since_end_ms", r.SinceEnd), slog.Bool("accepted", r.Err == nil))
	if r.Err != nil {
		e.with(errorText(r.Err))
	}
	return e
}

// ServersOrdered reports a call that orders the number of servers of a service in a failure
// domain. err is why it was not accepted; nil if it was.
func ServersOrdered(service, failureDomain string, desired, registered, requests int, fencingToken uint64, err error) Event {
	e := info("number of servers ordered", slog.String(keyService, service), slog.String("failure_domain", failureDomain),
		slog.Int("desired", desired), slog.Int("registered", registered), slog.Int("requests", requests),
		slog.Uint64(keyFencingToken, fencingToken), slog.Bool("accepted", err == nil))
	if err != nil {
		e.with(errorText(err))
	}
	return e
}

// UsageLedgerUnavailable reports that the usage ledger could not be read, decoded, encoded or
// written, which is tried again.
func UsageLedgerUnavailable(action string, err error) Event {
	return info("usage ledger is not available", slog.String("action", action), errorText(err))
}

// UsageNotCollected reports that a gateway did not answer the question for its counts.
func UsageNotCollected(peer string, err error) Event {
	return detail("usage of a gateway could not be collected", slog.String(keyPeer, peer), errorText(err))
}

// AccountIgnored reports that a part of a client account's entry in a configuration is not
// used.
func AccountIgnored(account, reason string, version int64) Event {
	return failure("entry of a client account is not used as written", slog.String(keyClient, account), slog.String(keyReason, reason),
		slog.Int64(keyVersion, version))
}

// ServerLoadMalformed reports that a server states its load in a way that can't be read.
func ServerLoadMalformed(server, service string) Event {
	return info("load stated by a server is malformed", slog.String(keyServer, server), slog.String(keyService, service))
}

// ConfigRevisionApplied reports that an entry or agent now uses a
// configuration.
func ConfigRevisionApplied(revision uint64) Event {
	return info("configuration revision applied", slog.Uint64(keyRevision, revision))
}

// Registration describes a backend server's registration in the store.
type Registration struct {
	Server, Address, Stage, Version string
	// Servers that are removed, unreadable or leaving receive no requests.
	Removed, Unreadable, Leaving bool
}

// RegistrationChanged reports a change of a server's registration.
func RegistrationChanged(r Registration, revision revision.Revision) Event {
	return info("registration changed", slog.String(keyServer, r.Server), slog.Any(keyRevision, revision),
		slog.Bool(keyRemoved, r.Removed), slog.Bool("unreadable", r.Unreadable), slog.Bool(keyLeaving, r.Leaving),
		slog.String(keyStage, r.Stage), slog.String(keyAddress, r.Address), slog.String("server_version", r.Version))
}

// RegistrationIgnored reports that a listed registration describes no usable
// server.
func RegistrationIgnored(server string, removed bool, revision revision.Revision) Event {
	return info("registration describes no usable server", slog.String(keyServer, server),
		slog.Any(keyRevision, revision), slog.Bool(keyRemoved, removed))
}

// UnlistedRegistrationsRemoved reports that servers whose registrations are
// missing from a new list are no longer used.
func UnlistedRegistrationsRemoved() Event {
	return info("registrations missing from the list were removed")
}

// StoreUnavailable reports that a kind of objects can no longer be read from
// the store. The last known state stays in effect.
func StoreUnavailable(kind string, revision revision.Revision, err error) Event {
	return info("store does not answer, last known state stays in effect",
		slog.String(keyKind, kind), slog.Any(keyRevision, revision), errorText(err))
}

// WatchCut reports that a watch ended without a response, so that a kind of objects is
// listed again.
func WatchCut(kind string, revision revision.Revision, err error) Event {
	return detail("watch was cut off, listing again", slog.String(keyKind, kind), slog.Any(keyRevision, revision), errorText(err))
}

// StoreRecovered reports that a kind of objects can be read from the store
// again.
func StoreRecovered(kind string, revision revision.Revision) Event {
	return info("store answers again", slog.String(keyKind, kind), slog.Any(keyRevision, revision))
}

// WatchHistoryCompacted reports that a watch must be replaced by a new list,
// because changes may have been missed.
func WatchHistoryCompacted(kind string, revision revision.Revision) Event {
	return info("watch history was compacted, listing again", slog.String(keyKind, kind), slog.Any(keyRevision, revision))
}

// StoreRestored reports that the store has been restored from an older copy, so
// that a kind of objects is listed again. revision is the last known one, and
// generation the store's present one.
func StoreRestored(kind string, revision revision.Revision, generation uint64) Event {
	return info("store was restored from an older copy, listing again",
		slog.String(keyKind, kind), slog.Any(keyRevision, revision), slog.Uint64(keyGeneration, generation))
}

// RegistrationHeldBack reports that a listed registration is older than what was
// known of the server before the store was restored, so that the server receives
// no requests until its registration is written again.
func RegistrationHeldBack(server string, revision revision.Revision) Event {
	return info("registration is older than a known departure, not used", slog.String(keyServer, server), slog.Any(keyRevision, revision))
}

// PeerHasNewerRevision reports that another gateway knows a revision that this
// one's watch has not delivered.
func PeerHasNewerRevision(kind string, revision revision.Revision) Event {
	return info("another gateway has a newer revision, listing again", slog.String(keyKind, kind), slog.Any(keyRevision, revision))
}

// LiveGatewaysChanged reports the number of live gateways, this one included.
func LiveGatewaysChanged(count, before int64) Event {
	return info("number of live gateways changed", slog.Int64(keyCount, count), slog.Int64(keyCountBefore, before))
}

// GatewayRegistersAgain reports that this gateway registers once more, because
// the store was restored from a copy that may lack its registration.
func GatewayRegistersAgain(generation uint64) Event {
	return info("store was restored, registering this gateway again", slog.Uint64(keyGeneration, generation))
}

// GatewayDiscoveryFailed reports that this gateway does not know the other
// gateways yet. registered is true if it has registered itself, so that they can
// find it.
func GatewayDiscoveryFailed(registered bool, err error) Event {
	return info("registering this gateway or listing the others failed, will retry", slog.Bool("entered", registered), errorText(err))
}

// GatewayRegistrationMalformed reports that a gateway's registration in the
// store cannot be decoded, so that the gateway cannot be found through the
// store.
func GatewayRegistrationMalformed(name string, version uint64, err error) Event {
	return info("stored entry of a gateway is malformed", slog.String(keyPeer, name), slog.Uint64(keyVersion, version), errorText(err))
}

// PeerHeartbeatFailed reports that a heartbeat got no answer.
func PeerHeartbeatFailed(name string, err error) Event {
	return detail("peer did not answer a heartbeat", slog.String(keyPeer, name), errorText(err))
}

// AttemptMisdirected reports that a process sent this gateway an attempt as if
// it were an agent.
func AttemptMisdirected(attemptID string) Event {
	return info("ignored an attempt sent to a gateway", slog.String(keyAttemptID, attemptID))
}

// CoordinatorUnreachable reports that the coordinator of long prompts did not
// answer, so that this gateway places them by its own state.
func CoordinatorUnreachable(name string, err error) Event {
	return info("coordinator of long prompts does not answer, placing prompts locally", slog.String(keyPeer, name), errorText(err))
}

// PlaceEndedNotSent reports that the coordinator could not be notified of the
// end of a prompt's prefill and counts the prompt until its placement expires.
func PlaceEndedNotSent(address string, err error) Event {
	return detail("notifying the coordinator of a prompt's end failed, its placement will expire", slog.String(keyAddress, address), errorText(err))
}

// CoordinatorRecovered reports that the coordinator places this gateway's long
// prompts again.
func CoordinatorRecovered(name string) Event {
	return info("coordinator of long prompts answers again", slog.String(keyPeer, name))
}

// StageLeaseAcquired reports that this gateway acquired the lease to change the
// stages of a service's engines. The term of the lease serves as the fencing
// token of its orders.
func StageLeaseAcquired(service string, term uint64) Event {
	return info("lease for stage orders acquired", slog.String(keyService, service), slog.Uint64(keyFencingToken, term))
}

// LeaseSuspendedByRestore reports that this process gives up a lease and all
// claims to it, because the store was restored from an older copy.
func LeaseSuspendedByRestore(name string, generation uint64, wait time.Duration) Event {
	return info("store was restored, no authority until earlier holders have stopped",
		slog.String(keyService, name), slog.Uint64(keyGeneration, generation), slog.Int64("wait_ms", wait.Milliseconds()))
}

// StageLeaseLost reports that this gateway lost the lease to change the stages
// of a service's engines.
func StageLeaseLost(service string, term uint64) Event {
	return info("lease for stage orders lost", slog.String(keyService, service), slog.Uint64(keyFencingToken, term))
}

// StageOrder describes a stage order sent to an engine and the values that led
// to it.
type StageOrder struct {
	Server, Service, Stage string
	FencingToken           uint64
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before.
	ExpectedOrders int64
	// PrefillQueue is the smoothed number of requests waiting per prefill engine,
	// DecodeUtilization the part of the decode engines' slots in use.
	PrefillQueue, DecodeUtilization float64
	Outcome                         string
}

// StageOrderSent reports an order sent to an engine and its result.
func StageOrderSent(o StageOrder) Event {
	return info("stage order sent", slog.String(keyServer, o.Server), slog.String(keyService, o.Service),
		slog.String(keyStage, o.Stage), slog.Uint64(keyFencingToken, o.FencingToken), slog.Int64("expected_orders", o.ExpectedOrders),
		slog.Float64("prefill_queue", o.PrefillQueue), slog.Float64("decode_use", o.DecodeUtilization), slog.String(keyOutcome, o.Outcome))
}

// EngineReportFailed reports that an engine's report could not be read.
func EngineReportFailed(server string, err error) Event {
	return detail("reading an engine's report failed", slog.String(keyServer, server), errorText(err))
}

// SoftwareVersionsNotStored reports that the software versions at which streams may have
// begun could not be read, decoded or written.
func SoftwareVersionsNotStored(action string, err error) Event {
	return info("stored software versions are not available", slog.String("action", action), errorText(err))
}

// StoreReadChanged reports whether this gateway reads the newest state of the store for
// itself and others, or depends on the gateways that do.
func StoreReadChanged(kind string, reads bool, gateways int) Event {
	return info("role in reading the store changed", slog.String(keyKind, kind), slog.Bool("reads", reads), slog.Int("gateways", gateways))
}

// StateUnconfirmed reports that no other gateway has confirmed the state for too long, so
// that this gateway lists it from the store.
func StateUnconfirmed(kind string, revision any) Event {
	return detail("state not confirmed by other gateways, listing", slog.String(keyKind, kind), slog.Any(keyRevision, revision))
}

// PlannerLeaseChanged reports that this entry acquired or lost the lease to plan for
// a service.
func PlannerLeaseChanged(service string, term uint64, acquired bool) Event {
	return info("lease for planning changed", slog.String(keyService, service), slog.Uint64("term", term), slog.Bool("acquired", acquired))
}

// PlanningFailed reports that no plan was made for a service.
func PlanningFailed(service string, err error) Event {
	return detail("planning failed", slog.String(keyService, service), errorText(err))
}

// PlanMalformed reports that a stored plan cannot be decoded.
func PlanMalformed(service string, err error) Event {
	return failure("stored plan is malformed", slog.String(keyService, service), errorText(err))
}

// ReconcileStep reports a step by which an agent moves its engine towards the
// plan.
func ReconcileStep(server, step, role string, version uint64) Event {
	return info("reconciliation step", slog.String(keyServer, server), slog.String("step", step),
		slog.Uint64(keyVersion, version), slog.String("role", role))
}

// DeploymentApplied reports the accepted deployment that a process now uses.
// source is where it was received from: the store or a peer.
func DeploymentApplied(revision uint64, applyID, source string) Event {
	return info("deployment applied", slog.Uint64(keyRevision, revision), slog.String("apply_id", applyID), slog.String("source", source))
}

// ConfigAlarm reports that the configuration read from the store contradicts
// what is already known. Kind "none" clears the alarm.
func ConfigAlarm(kind, reason string) Event {
	return info("configuration alarm", slog.String(keyKind, kind), slog.String(keyReason, reason))
}

// InitialConfigReadFailed reports that the store did not answer a starting
// process.
func InitialConfigReadFailed(err error) Event {
	return info("reading the configuration at start failed", errorText(err))
}

// PeerNotifyFailed reports that a peer could not be notified of a change.
func PeerNotifyFailed(name string, err error) Event {
	return detail("notifying a peer failed", slog.String(keyPeer, name), errorText(err))
}

// InitialPeerSyncFailed reports that not all peers answered a starting process.
func InitialPeerSyncFailed(err error) Event {
	return detail("reaching all peers at start failed", errorText(err))
}

// EntryNotifyFailed reports that an entry could not be notified of an agent's
// state and will learn of it later.
func EntryNotifyFailed(address string, err error) Event {
	return detail("notifying an entry failed", slog.String(keyAddress, address), errorText(err))
}

// StoredObjectRejected reports that an object read from the store cannot be
// used.
func StoredObjectRejected(key string, err error) Event {
	return failure("stored object rejected", slog.String("key", key), errorText(err))
}

// PeerFetchFailed reports that a configuration, or the plan of a service, could
// not be fetched from a peer. service is empty for a configuration.
func PeerFetchFailed(address, service string, err error) Event {
	return detail("fetch from a peer failed", slog.String(keyAddress, address), slog.String(keyService, service), errorText(err))
}

// NextStartAsked reports that the next start of a backend server whose earlier start had
// stated its departure was asked whether it leaves too. answered is false if it gave no
// answer, so that it is used as any other.
func NextStartAsked(server, service string, startedUnixMs int64, answered, leaving bool) Event {
	return info("next start of a leaving server was asked", slog.String(keyServer, server), slog.Int64(keyStarted, startedUnixMs),
		slog.String(keyService, service), slog.Bool("answered", answered), slog.Bool(keyLeaving, leaving))
}

// ServerLimit describes a change of the request rate that a backend server takes
// from all gateways together.
type ServerLimit struct {
	Server, Service string
	// Source is how this gateway learned of the change.
	Source string
	// Limited is whether there is a limit now. Rate and RateBefore are in requests
	// per second.
	Limited          bool
	Rate, RateBefore float64
	// Age is the time since the server's answer.
	Age time.Duration
	// Share is the rate that this gateway uses, in requests per second, and
	// Gateways the number of gateways known, this one included.
	Share    float64
	Gateways int
}

// ServerLimitChanged reports that a backend server has stated, changed or
// withdrawn its limit.
func ServerLimitChanged(l ServerLimit) Event {
	return info("limit of a backend server changed", slog.String(keyServer, l.Server), slog.String(keyService, l.Service),
		slog.Bool("limited", l.Limited), slog.Float64("rate", rounded(l.Rate)), slog.Float64("rate_before", rounded(l.RateBefore)),
		slog.Float64("share", rounded(l.Share)), slog.Int("gateways", l.Gateways),
		slog.String("source", l.Source), milliseconds("age_ms", l.Age))
}

// ServerLimitMalformed reports that the limit in an answer of a backend server
// cannot be read, so that the last known one stays in effect.
func ServerLimitMalformed(server, service string) Event {
	return info("limit of a backend server cannot be read", slog.String(keyServer, server), slog.String(keyService, service))
}

// Departure describes how a gateway learned that a backend server leaves.
type Departure struct {
	Server, Service string
	// StartedUnixMs is the server's start in Unix milliseconds; 0 if unknown.
	StartedUnixMs int64
	// Source is "own", or the gateway that reported the departure.
	Source string
	// Age is the time since the server's first such answer, 0 for an own one.
	Age time.Duration
	// AnswerTo is what the server answered when it stated that it leaves; empty if
	// another gateway reported it.
	AnswerTo string
	// RequestID is the caller's request that the server answered; empty if it was a
	// call of the gateway's own.
	RequestID string
	// RegisteredLeaving is whether the registration already said so when the answered
	// request was sent.
	RegisteredLeaving bool
}

// ServerLeaves reports that a backend server has stated that it leaves.
func ServerLeaves(d Departure) Event {
	e := info("backend server states that it leaves", slog.String(keyServer, d.Server), slog.Int64(keyStarted, d.StartedUnixMs),
		slog.String(keyService, d.Service), slog.String("source", d.Source), milliseconds("age_ms", d.Age),
		slog.Bool("registered_leaving", d.RegisteredLeaving))
	e.withText("answer_to", d.AnswerTo)
	e.withText(KeyRequestID, d.RequestID)
	return e
}

// Pause describes a backend server's request for a pause.
type Pause struct {
	Server, Service string
	// StartedUnixMs is the server's start in Unix milliseconds; 0 if unknown.
	StartedUnixMs int64
	// AnswerTo is what the server refused, and RequestID the caller's request, empty if
	// it was a call of the gateway's own.
	AnswerTo, RequestID string
	// Asked is how long the server wants nothing from this gateway, and Left how long this
	// gateway now keeps requests from it.
	Asked, Left time.Duration
}

// ServerPauses reports that a backend server that refused a request has asked for a pause.
func ServerPauses(p Pause) Event {
	e := info("backend server asks for a pause", slog.String(keyServer, p.Server), slog.Int64(keyStarted, p.StartedUnixMs),
		slog.String(keyService, p.Service), slog.String("answer_to", p.AnswerTo), milliseconds("pause_ms", p.Asked), milliseconds("left_ms", p.Left))
	e.withText(KeyRequestID, p.RequestID)
	return e
}

// ServerPauseMalformed reports that the pause that a backend server asks for cannot be
// read, so that it is avoided like any other that refuses a request.
func ServerPauseMalformed(server, service string) Event {
	return info("pause of a backend server cannot be read", slog.String(keyServer, server), slog.String(keyService, service))
}

// ServerPauseOver reports that a backend server has accepted a request after its pause, so
// that it is used without restriction again.
func ServerPauseOver(server, service, requestID string) Event {
	return info("backend server accepts requests after its pause", slog.String(keyServer, server), slog.String(keyService, service),
		slog.String(KeyRequestID, requestID))
}
