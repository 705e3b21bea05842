package logevent

import (
	"log/slog"
	"time"
)

// Starting says that a gateway begins to serve.
func Starting(failureDomain, address string) Event {
	return info("starting", slog.String("failure_domain", failureDomain), slog.String(keyAddress, address))
}

// Stopping says that a process takes no new work; its drain is bounded.
func Stopping(drainTimeout time.Duration) Event {
	return info("stopping", milliseconds("drain_timeout_ms", drainTimeout))
}

// Drained says whether all work in flight has ended within the drain.
func Drained(took time.Duration, whole bool) Event {
	return info("drained", milliseconds(keyElapsed, took), slog.Bool(keyWhole, whole))
}

// Stopped is the last line of a process.
func Stopped() Event { return info("stopped") }

// LoopsStillRunning says that background work did not end in time.
func LoopsStillRunning() Event { return info("loops still running at exit") }

// Settings are those that a running gateway takes in.
type Settings struct {
	RetryBudgetRatio, RetryBudgetReserve float64
	ConfigApply, DrainNotice             time.Duration
}

// SettingsReloaded says which settings are in force from now on.
func SettingsReloaded(cause string, s Settings) Event {
	return info("settings reloaded, addresses take effect at the next start", slog.String(keyCause, cause),
		slog.Float64("retry_budget_ratio", s.RetryBudgetRatio), slog.Float64("retry_budget_reserve", s.RetryBudgetReserve),
		milliseconds("config_apply_ms", s.ConfigApply), milliseconds("drain_notice_ms", s.DrainNotice))
}

// SettingsRejected says that settings that were to be reloaded are wrong.
func SettingsRejected(cause string, err error) Event {
	return failure("settings not reloaded, those in use stay", slog.String(keyCause, cause), errorText(err))
}

// PeerMessageMalformed says why a peer's connection was closed.
func PeerMessageMalformed(method string, err error) Event {
	return info("peer message closed its connection", slog.String("method", method), errorText(err))
}

// ExclusiveAddressHeld says that an agent's predecessor still holds the address
// that only one agent can hold.
func ExclusiveAddressHeld(address string, err error) Event {
	return info("waiting for the exclusive address", slog.String(keyAddress, address), errorText(err))
}

// LedgerStopped says that the calls of a server are not recorded any more.
func LedgerStopped(server string, err error) Event {
	return failure("ledger ended", slog.String(keyServer, server), errorText(err))
}

// LedgerTakeoverFailed says that a ledger can't be written yet.
func LedgerTakeoverFailed(server string, err error) Event {
	return info("ledger not taken over", slog.String(keyServer, server), errorText(err))
}

// LedgerSegmentDeleteFailed says that a part of a ledger stays in the store.
func LedgerSegmentDeleteFailed(segment uint64, err error) Event {
	return info("ledger segment not deleted", slog.Uint64("segment", segment), errorText(err))
}

// KeyHomesReadFailed says that the homes of a service's idempotency keys are as
// they were.
func KeyHomesReadFailed(service string, err error) Event {
	return info("homes of idempotency keys not read", slog.String(keyService, service), errorText(err))
}

// Failed says why a process exits with an error.
func Failed(err error) Event { return failure("failed", errorText(err)) }
