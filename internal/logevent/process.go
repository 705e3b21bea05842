package logevent

import (
	"log/slog"
	"time"
)

// Starting reports that a process is about to serve.
func Starting(failureDomain, address string) Event {
	return info("starting", slog.String("failure_domain", failureDomain), slog.String(keyAddress, address))
}

// Stopping reports that a process accepts no new work and drains, for at most
// drainTimeout.
func Stopping(drainTimeout time.Duration) Event {
	return info("stopping", milliseconds("drain_timeout_ms", drainTimeout))
}

// Drained reports the duration of the drain and whether all work in flight
// ended in time.
func Drained(took time.Duration, complete bool) Event {
	return info("drained", milliseconds(keyElapsed, took), slog.Bool(keyWhole, complete))
}

// EntryRefuses reports that a leaving entry, which still gets requests, refuses them from
// now on. inFlight is the number of requests in flight.
func EntryRefuses(inFlight int) Event {
	return info("requests keep arriving, they are refused", slog.Int("in_flight", inFlight))
}

// ConnectionsClosed reports that a process closes connections that are still open at the
// end of its stop.
func ConnectionsClosed() Event { return info("connections closed at the end of the stop") }

// Stopped is the last line of a process.
func Stopped() Event { return info("stopped") }

// LoopsStillRunning reports that background loops did not end in time.
func LoopsStillRunning() Event { return info("background loops still running at exit") }

// Settings are the settings that a running gateway can reload.
type Settings struct {
	RetryBudgetRatio, RetryBudgetReserve float64
	RetryBudgetWindow                    time.Duration
	ConfigApply, DrainNotice             time.Duration
}

// SettingsReloaded reports the settings now in effect.
func SettingsReloaded(cause string, s Settings) Event {
	return info("settings reloaded, addresses take effect at the next start", slog.String(keyCause, cause),
		slog.Float64("retry_budget_ratio", s.RetryBudgetRatio), slog.Float64("retry_budget_reserve", s.RetryBudgetReserve),
		milliseconds("retry_budget_window_ms", s.RetryBudgetWindow),
		milliseconds("config_apply_ms", s.ConfigApply), milliseconds("drain_notice_ms", s.DrainNotice))
}

// SettingsRejected reports that settings to be reloaded are invalid.
func SettingsRejected(cause string, err error) Event {
	return failure("settings not reloaded, current settings stay in effect", slog.String(keyCause, cause), errorText(err))
}

// PeerMessageMalformed reports why a peer's connection was closed.
func PeerMessageMalformed(method string, err error) Event {
	return info("connection closed after a malformed peer message", slog.String("method", method), errorText(err))
}

// ExclusiveAddressHeld reports that another process, usually the agent's
// predecessor, still holds the address that only one agent of an instance may
// hold.
func ExclusiveAddressHeld(address string, err error) Event {
	return info("waiting for the exclusive address", slog.String(keyAddress, address), errorText(err))
}

// LedgerStopped reports that the calls of a server are no longer recorded.
func LedgerStopped(server string, err error) Event {
	return failure("ledger stopped, calls are no longer recorded", slog.String(keyServer, server), errorText(err))
}

// LedgerTakeoverFailed reports a failed attempt to take over a server's ledger.
// The takeover is retried.
func LedgerTakeoverFailed(server string, err error) Event {
	return info("ledger takeover failed, will retry", slog.String(keyServer, server), errorText(err))
}

// LedgerSegmentDeleteFailed reports that an obsolete segment of a ledger
// remains in the store.
func LedgerSegmentDeleteFailed(segment uint64, err error) Event {
	return info("deleting a ledger segment failed", slog.Uint64("segment", segment), errorText(err))
}

// KeyHomesReadFailed reports that the homes of a service's idempotency keys
// could not be read. The last known homes stay in effect.
func KeyHomesReadFailed(service string, err error) Event {
	return info("reading the homes of idempotency keys failed", slog.String(keyService, service), errorText(err))
}

// Failed reports the error with which a process exits.
func Failed(err error) Event { return failure("failed", errorText(err)) }
