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

// BlockedPart describes a part of prompts that is kept from the engines of a
// service.
type BlockedPart struct {
	Service string
	// Part is the hash of the part's ID, in hexadecimal.
	Part string
	// Blocked is false if the part is no longer blocked.
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
	// Until is the time until the part may be tried again.
	Until time.Duration
}

// PartBlocked reports that a part of prompts is now kept from engines, or no longer
// so.
func PartBlocked(b BlockedPart) Event {
	e := info("prompt part blocked", slog.String(keyService, b.Service), slog.String("part", b.Part),
		slog.Bool("blocked", b.Blocked), slog.String("source", b.Source), slog.Int("crashes", b.Crashes),
		slog.Int("answered", b.Answered), milliseconds("last_crash_age_ms", b.LastCrashAge),
		slog.Int("failed_trials", b.FailedTrials), milliseconds("until_trial_ms", b.Until))
	e.withText("engines", strings.Join(b.Engines, ","))
	return e
}

// PartTrialBegun reports that a request tries a blocked part again.
func PartTrialBegun(requestID, service, part string, failedTrials int) Event {
	return info("blocked prompt part is tried", slog.String(KeyRequestID, requestID), slog.String(keyService, service),
		slog.String("part", part), slog.Int("failed_trials", failedTrials))
}

// BlockNotStored reports that a blocked part could not be written to the store or
// read from it, which is tried again.
func BlockNotStored(action string, err error) Event {
	return info("stored prompt parts are not available", slog.String("action", action), errorText(err))
}
