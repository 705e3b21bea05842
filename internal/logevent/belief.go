package logevent

import "log/slog"

// ConfigApplied says that requests follow a configuration from now on. The
// revision is the store's.
func ConfigApplied(version int64, revision uint64) Event {
	return info("configuration in force", slog.Int64(keyVersion, version), slog.Uint64(keyRevision, revision))
}

// ConfigRevisionApplied says that an entry or an agent follows a configuration.
func ConfigRevisionApplied(revision uint64) Event {
	return info("configuration taken in", slog.Uint64(keyRevision, revision))
}

// Registration is what the store says of one backend server.
type Registration struct {
	Server, Address, Stage string
	// Removed, Unreadable and Leaving servers get no requests.
	Removed, Unreadable, Leaving bool
}

// RegistrationChanged says what the store has told of a server.
func RegistrationChanged(r Registration, revision uint64) Event {
	return info("registration changed", slog.String(keyServer, r.Server), slog.Uint64(keyRevision, revision),
		slog.Bool(keyRemoved, r.Removed), slog.Bool("unreadable", r.Unreadable), slog.Bool("leaving", r.Leaving),
		slog.String(keyStage, r.Stage), slog.String(keyAddress, r.Address))
}

// RegistrationIgnored says that a listed registration names no server.
func RegistrationIgnored(server string, removed bool, revision uint64) Event {
	return info("registration names no server to use", slog.String(keyServer, server),
		slog.Uint64(keyRevision, revision), slog.Bool(keyRemoved, removed))
}

// UnlistedRegistrationsRemoved says that registrations that a list did not name any
// more are used no longer.
func UnlistedRegistrationsRemoved() Event { return info("missing registrations dropped") }

// StoreUnavailable says that what is known of a kind of objects stands still.
func StoreUnavailable(kind string, revision uint64, err error) Event {
	return info("store does not answer, what is known stays in force",
		slog.String(keyKind, kind), slog.Uint64(keyRevision, revision), errorText(err))
}

// StoreRecovered says that a kind of objects is followed again.
func StoreRecovered(kind string, revision uint64) Event {
	return info("store answers again", slog.String(keyKind, kind), slog.Uint64(keyRevision, revision))
}

// WatchHistoryCompacted says that changes may have been missed.
func WatchHistoryCompacted(kind string, revision uint64) Event {
	return info("history of the store is gone, listing anew", slog.String(keyKind, kind), slog.Uint64(keyRevision, revision))
}

// PeerHasNewerRevision says that a watch has not told what another gateway knows.
func PeerHasNewerRevision(kind string, revision uint64) Event {
	return info("another gateway knows news, listing anew", slog.String(keyKind, kind), slog.Uint64(keyRevision, revision))
}

// LiveGatewaysChanged says how many gateways live, this one included.
func LiveGatewaysChanged(count, before int64) Event {
	return info("gateways that live", slog.Int64(keyCount, count), slog.Int64(keyCountPrior, before))
}

// ListGatewaysFailed says that this gateway does not know the others yet.
// entered tells whether they can find it.
func ListGatewaysFailed(entered bool, err error) Event {
	return info("gateways not listed yet", slog.Bool("entered", entered), errorText(err))
}

// GatewayEntryMalformed says that a gateway can't be found by the store.
func GatewayEntryMalformed(name string, version uint64, err error) Event {
	return info("entry of a gateway can't be read", slog.String(keyPeer, name), slog.Uint64(keyVersion, version), errorText(err))
}

// PeerHeartbeatFailed says that a heartbeat had no answer.
func PeerHeartbeatFailed(name string, err error) Event {
	return detail("peer did not answer", slog.String(keyPeer, name), errorText(err))
}

// AttemptMisdirected says that a process of another kind takes this one for an
// agent.
func AttemptMisdirected(attemptID string) Event {
	return info("attempt sent to a gateway ignored", slog.String(keyAttemptID, attemptID))
}

// CoordinatorUnreachable says that the gateway that places long prompts did not
// answer, and that this one chooses by what it knows itself.
func CoordinatorUnreachable(name string, err error) Event {
	return info("coordinator of long prompts does not answer, choosing alone", slog.String(keyPeer, name), errorText(err))
}

// PlaceEndedNotSent says that the gateway that placed a prompt counts it longer
// than it is there.
func PlaceEndedNotSent(address string, err error) Event {
	return detail("end of a placed prompt not told, it expires", slog.String(keyAddress, address), errorText(err))
}

// CoordinatorRecovered says that long prompts are placed for this gateway again.
func CoordinatorRecovered(name string) Event {
	return info("coordinator of long prompts answers again", slog.String(keyPeer, name))
}

// StageLeaseAcquired says that this gateway may have engines change their
// stages. The fence is the term of its lease.
func StageLeaseAcquired(service string, fence uint64) Event {
	return info("right to give orders taken", slog.String(keyService, service), slog.Uint64(keyFence, fence))
}

// StageLeaseLost says that this gateway may not any more.
func StageLeaseLost(service string, fence uint64) Event {
	return info("right to give orders lost", slog.String(keyService, service), slog.Uint64(keyFence, fence))
}

// StageOrder is an order to an engine with the figures that led to it.
type StageOrder struct {
	Server, Service, Stage string
	FencingToken           uint64
	// ExpectedOrders is the number of orders that the engine must have taken before.
	ExpectedOrders int64
	// PrefillQueue is the number of requests that wait at a prefill engine,
	// DecodeUtilization the used part of the decode engines' slots.
	PrefillQueue, DecodeUtilization float64
	Outcome                         string
}

// StageOrderSent says what an engine was ordered.
func StageOrderSent(o StageOrder) Event {
	return info("order given", slog.String(keyServer, o.Server), slog.String(keyService, o.Service),
		slog.String(keyStage, o.Stage), slog.Uint64(keyFence, o.FencingToken), slog.Int64("expected_orders", o.ExpectedOrders),
		slog.Float64("prefill_queue", o.PrefillQueue), slog.Float64("decode_use", o.DecodeUtilization), slog.String(keyOutcome, o.Outcome))
}

// EngineReportFailed says that an engine did not tell its state.
func EngineReportFailed(server string, err error) Event {
	return detail("engine gave no report", slog.String(keyServer, server), errorText(err))
}

// PlanningFailed says that no plan was made for a service.
func PlanningFailed(service string, err error) Event {
	return detail("plan not made", slog.String(keyService, service), errorText(err))
}

// PlanMalformed says that a stored plan can't be read.
func PlanMalformed(service string, err error) Event {
	return failure("stored plan is malformed", slog.String(keyService, service), errorText(err))
}

// ReconcileStep says what an agent does to make its engine follow the plan.
func ReconcileStep(server, step, role string, version uint64) Event {
	return info("order step", slog.String(keyServer, server), slog.String("step", step),
		slog.Uint64(keyVersion, version), slog.String("role", role))
}

// DeploymentApplied says which accepted deployment file a process follows, and
// whether it came from the store or from a peer.
func DeploymentApplied(revision uint64, applyID, source string) Event {
	return info("deployment in force", slog.Uint64(keyRevision, revision), slog.String("apply_id", applyID), slog.String("source", source))
}

// ConfigAlarm says that what the store tells of the configuration contradicts
// what is known; kind "none" ends an alarm.
func ConfigAlarm(kind, reason string) Event {
	return info("configuration alarm", slog.String(keyKind, kind), slog.String(keyReason, reason))
}

// InitialConfigReadFailed says that the store did not answer a process that starts.
func InitialConfigReadFailed(err error) Event {
	return info("configuration not read at start", errorText(err))
}

// PeerNotifyFailed says that a peer was not told of news.
func PeerNotifyFailed(name string, err error) Event {
	return detail("peer not reached", slog.String(keyPeer, name), errorText(err))
}

// InitialPeerSyncFailed says that not all peers answered a process that starts.
func InitialPeerSyncFailed(err error) Event {
	return detail("peer not reached at start", errorText(err))
}

// EntryNotifyFailed says that an entry learns of an agent's state later.
func EntryNotifyFailed(address string, err error) Event {
	return detail("entry not told", slog.String(keyAddress, address), errorText(err))
}

// StoredObjectRejected says that an object of the store can't be used.
func StoredObjectRejected(key string, err error) Event {
	return failure("stored object not taken", slog.String("key", key), errorText(err))
}

// PeerFetchFailed says that a peer did not hand over a configuration, or the plan
// of a service.
func PeerFetchFailed(address, service string, err error) Event {
	return detail("fetch failed", slog.String(keyAddress, address), slog.String(keyService, service), errorText(err))
}
