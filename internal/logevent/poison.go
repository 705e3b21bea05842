package logevent

import (
	"log/slog"
	"strings"
	"time"
)

// EngineCrashed reports that an engine has ended with requests in progress. engine
// names the start of the engine, parts is the number of different shared parts of
// their prompts, and source is own or the gateway that reported it.
func EngineCrashed(service, engine, source string, parts int, age time.Duration) Event {
	return info("engine crashed", slog.String(keyService, service), slog.String("engine", engine),
		slog.String("source", source), slog.Int("parts", parts), milliseconds("age_ms", age))
}

// BlockedTrait describes a part of prompts, or a request, that is kept from the
// servers of a service.
type BlockedTrait struct {
	Service string
	// Trait is the hash of the part's ID or of the request, in hexadecimal.
	Trait string
	// IsRequest is set for a request.
	IsRequest bool
	// Blocked is false if the trait is no longer blocked.
	Blocked bool
	// Source is how this gateway learned of it: own, store, or another gateway.
	Source string
	// Engines are the engines that crashed, as far as this gateway knows them.
	Engines []string
	// Crashes and Answered are the numbers of crashes, and of prompts that were
	// answered meanwhile.
	Crashes, Answered int
	LastCrashAge      time.Duration
	FailedTrials      int
	// Until is the time until the trait may be tried again.
	Until time.Duration
}

// TraitBlocked reports that a part of prompts, or a request, is now kept from servers,
// or no longer so.
func TraitBlocked(b BlockedTrait) Event {
	message, key := "prompt part blocked", "part"
	if b.IsRequest {
		message, key = "repeated request blocked", "request"
	}
	e := info(message, slog.String(keyService, b.Service), slog.String(key, b.Trait),
		slog.Bool("blocked", b.Blocked), slog.String("source", b.Source), slog.Int("crashes", b.Crashes),
		slog.Int("answered", b.Answered), milliseconds("last_crash_age_ms", b.LastCrashAge),
		slog.Int("failed_trials", b.FailedTrials), milliseconds("until_trial_ms", b.Until))
	e.withText("engines", strings.Join(b.Engines, ","))
	return e
}

// TraitTrialBegun reports that a request tries a blocked part, or a blocked request,
// again.
func TraitTrialBegun(requestID, service, trait string, isRequest bool, failedTrials int) Event {
	message, key := "blocked prompt part is tried", "part"
	if isRequest {
		message, key = "blocked request is tried", "request"
	}
	return info(message, slog.String(KeyRequestID, requestID), slog.String(keyService, service), slog.String(key, trait),
		slog.Int("failed_trials", failedTrials))
}

// TrialMessageFailed reports that the gateway that decides on a trial could not be
// asked, or not be notified of its end.
func TrialMessageFailed(address string, err error) Event {
	return info("message about a trial failed", slog.String(keyAddress, address), errorText(err))
}

// BlockNotStored reports that a block could not be written to the store or
// read from it, which is tried again.
func BlockNotStored(action string, err error) Event {
	return info("stored blocks are not available", slog.String("action", action), errorText(err))
}
