package logevent

import (
	"log/slog"
	"time"
)

// Attempt says where a request was sent, by which inputs, and what became of
// that.
type Attempt struct {
	RequestID, Route, Service string
	// ConfigVersion of the configuration that the request is served by.
	ConfigVersion int64
	// Number of the send, from 1.
	Number int
	// Server that was to run the request.
	Server string
	// Predicted time to the first event, from the send.
	Predicted time.Duration
	// LoadAge is the age of the load that the choice rests on; negative if the
	// server has told none.
	LoadAge time.Duration
	// PromptTokens in all, and NewTokens of them that the engine was expected
	// to prefill.
	PromptTokens, NewTokens int
	// Deferred requests can't be in time and yield to others.
	Deferred bool
	// PlacedBy is the gateway that chose for a long prompt; empty for others.
	PlacedBy string
	// Prefill tells of the engine that prefilled the prompt; nil for none.
	Prefill *Prefill
	// FetchFrom is the address of the engine that shared parts came from.
	FetchFrom string
	Result    string
	Reason    string
	// Elapsed since the request arrived.
	Elapsed time.Duration
}

// Prefill is the first part of an attempt in two parts.
type Prefill struct {
	Server string
	// Predicted and Elapsed are the times that it was expected to take, and
	// took.
	Predicted, Elapsed time.Duration
}

// attemptFields is the most that an Attempt has.
const attemptFields = 20

// Event returns the line.
func (a Attempt) Event() Event {
	e := Event{level: slog.LevelInfo, message: "attempt", fields: make([]slog.Attr, 0, attemptFields)}
	e.with(slog.String(KeyRequestID, a.RequestID))
	e.with(slog.String(keyRoute, a.Route))
	e.with(slog.String(keyService, a.Service))
	e.with(slog.Int64(keyConfig, a.ConfigVersion))
	e.with(slog.Int(keyAttempt, a.Number))
	e.with(slog.String(keyServer, a.Server))
	e.with(milliseconds("predicted_ms", a.Predicted))
	e.with(milliseconds("load_age_ms", a.LoadAge))
	if a.PromptTokens > 0 {
		e.with(slog.Int("prompt_tokens", a.PromptTokens))
		e.with(slog.Int("new_tokens", a.NewTokens))
		e.with(slog.Bool("deferred", a.Deferred))
	}
	if a.Prefill != nil {
		e.with(slog.String("prefill_server", a.Prefill.Server))
		e.with(milliseconds("prefill_predicted_ms", a.Prefill.Predicted))
		e.with(milliseconds("prefill_elapsed_ms", a.Prefill.Elapsed))
	}
	e.withText("placed_by", a.PlacedBy)
	e.withText("fetch_from", a.FetchFrom)
	e.with(slog.String(keyResult, a.Result))
	e.withText(keyReason, a.Reason)
	e.with(milliseconds(keyElapsed, a.Elapsed))
	return e
}

// AttemptInProgress says where a request is that has had no answer for a while,
// so that it leaves a trace also if the process is lost. The prefill server is
// empty if the server prefills the prompt itself.
func AttemptInProgress(requestID, service, server, prefillServer, placedBy string, predicted time.Duration) Event {
	e := info("attempt under way", slog.String(KeyRequestID, requestID), slog.String(keyService, service),
		slog.String(keyServer, server), milliseconds("predicted_ms", predicted))
	e.withText("prefill_server", prefillServer)
	e.withText("placed_by", placedBy)
	return e
}

// RequestEnded says what a request's caller got.
type RequestEnded struct {
	RequestID, Route string
	// Outcome: answered, refused, failed, unknown, broken or caller_left.
	Outcome, Reason string
	// Status that the caller got; 0 for no whole answer.
	Status   int
	Attempts int
	// Elapsed since the request arrived, and TimeToFirstEvent until its first event;
	// 0 if there was none.
	Elapsed, TimeToFirstEvent time.Duration
	// Server that the last attempt went to; empty if none was made.
	Server string
	// Remaining is the time until the deadline, told of refusals.
	Remaining time.Duration
}

// OutcomeRefused is the outcome of requests that have not run and will not.
const OutcomeRefused = "refused"

// requestEndedFields is the most that a RequestEnded has.
const requestEndedFields = 10

// Event returns the line.
func (r RequestEnded) Event() Event {
	e := Event{level: slog.LevelInfo, message: "request ended", fields: make([]slog.Attr, 0, requestEndedFields)}
	e.with(slog.String(KeyRequestID, r.RequestID))
	e.with(slog.String(keyRoute, r.Route))
	e.with(slog.String(keyOutcome, r.Outcome))
	e.with(slog.Int(keyStatus, r.Status))
	e.with(slog.Int(keyAttempts, r.Attempts))
	e.with(milliseconds(keyElapsed, r.Elapsed))
	e.withText(keyReason, r.Reason)
	if r.TimeToFirstEvent > 0 {
		e.with(milliseconds("first_event_ms", r.TimeToFirstEvent))
	}
	e.withText(keyServer, r.Server)
	if r.Outcome == OutcomeRefused {
		e.with(milliseconds("left_ms", max(0, r.Remaining)))
	}
	return e
}

// ServerEjected says that a server's failures have taken it out for a while;
// the request is the one that failed last.
func ServerEjected(requestID, service, server, reason string) Event {
	return info("backend server ejected",
		slog.String(KeyRequestID, requestID), slog.String(keyService, service),
		slog.String(keyServer, server), slog.String(keyReason, reason))
}

// HandleReleaseFailed says that an engine keeps a prefilled prompt that will not
// be used, until it expires.
func HandleReleaseFailed(server string, err error) Event {
	return detail("handle was not released, it expires", slog.String(keyServer, server), errorText(err))
}

// EntryRequest is what the lines of an entry's requests say of the request.
type EntryRequest struct {
	RequestID string
	// AttemptID of the newest attempt; empty if there was none.
	AttemptID, Service, Client string
	Elapsed                    time.Duration
}

func (r EntryRequest) event(message string) Event {
	e := info(message, slog.String(KeyRequestID, r.RequestID))
	e.withText(keyAttemptID, r.AttemptID)
	e.withText(keyService, r.Service)
	e.withText(keyClient, r.Client)
	e.with(milliseconds(keyElapsed, r.Elapsed))
	return e
}

// RequestAnswered says that a caller of an entry has its whole answer.
func RequestAnswered(r EntryRequest) Event { return r.event("request answered") }

// RequestRefused says that an entry had no answer for a request. notRun tells
// "true" if the request has surely not run, as callers are told; explanation is
// for operators.
func RequestRefused(r EntryRequest, reason, notRun, explanation string) Event {
	e := r.event("request refused")
	e.with(slog.String(keyReason, reason))
	e.with(slog.String("not_run", notRun))
	e.withText("detail", explanation)
	return e
}

// AttemptEnded says that an entry's attempt at a backend server is over.
func AttemptEnded(requestID, attemptID, server string, whole bool) Event {
	return info("attempt ended", slog.String(KeyRequestID, requestID), slog.String(keyAttemptID, attemptID),
		slog.String(keyServer, server), slog.Bool(keyWhole, whole))
}
