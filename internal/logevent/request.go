package logevent

import (
	"log/slog"
	"math"
	"strings"
	"time"
)

// Attempt describes one attempt: where the request was sent, the inputs of that
// decision, and the result.
type Attempt struct {
	RequestID, Route, Service string
	// Client is the name of the client account; empty if there is none.
	Client string
	// ConfigVersion is the version of the configuration that the request is
	// served with.
	ConfigVersion int64
	// Number of the attempt, from 1.
	Number int
	// Server is the server that was to execute the request.
	Server string
	// Predicted is the predicted time from the send to the first event.
	Predicted time.Duration
	// LoadAge is the age of the load report used for the choice; negative if the
	// server has reported none.
	LoadAge time.Duration
	// PromptTokens is the length of the prompt; NewTokens is the part of it that
	// was not expected in the engine's prefix cache.
	PromptTokens, NewTokens int
	// Deferred is set if the request is predicted to miss its objective and
	// yields to others.
	Deferred bool
	// PlacedBy is the gateway that placed a long prompt; empty for other
	// requests.
	PlacedBy string
	// Prefill describes a prefill at a separate engine; nil if there was none.
	Prefill *Prefill
	// FetchFrom is the address of the engine from which cached parts of the
	// prompt were fetched.
	FetchFrom string
	// StreamEnd describes the end of the stream; nil if there was none.
	StreamEnd *StreamEnd
	// ServerVersion is the version of the server's software. Resumes is the ID of the
	// request whose stream this one takes up, and LastEventID the event after which the
	// attempt resumes it.
	ServerVersion, Resumes, LastEventID string
	// LostParts are the parts of the prompt that other prompts may share, for an
	// attempt whose connection was lost.
	LostParts []string
	// LostRequest identifies the request among others with other IDs, for an attempt
	// whose connection was lost.
	LostRequest string
	Result      string
	Reason      string
	// CallerLeft is the time from the arrival of the request until the close of the
	// caller's connection was seen, and Outstanding the step that a server was working on
	// then, which ended by Elapsed; empty if none was. CallerLeft is 0 if the caller has
	// not left.
	CallerLeft  time.Duration
	Outstanding string
	// Sent is the time from the arrival of the request to the latest send to a server
	// that is to run it, and Elapsed that to the end of the attempt.
	Sent, Elapsed time.Duration
}

// StreamEnd describes how a server ended a stream.
type StreamEnd struct {
	// Framing is how the response delimited its body: length, chunked or close.
	Framing string
	// Position is where the stream ended: between_events, inside_event, out_of_order or
	// error.
	Position string
	// TailBytes is the number of bytes after the last complete event.
	TailBytes int
	// Events is the number of complete events that came, and FirstID and LastID are the
	// first and the latest of their IDs; empty if none had one.
	Events          int
	FirstID, LastID string
	// Weights is the version of the model's weights that the response states; empty if
	// none.
	Weights string
}

// Prefill describes the prefill of a split attempt.
type Prefill struct {
	Server string
	// Predicted and Elapsed are the predicted and the actual duration.
	Predicted, Elapsed time.Duration
}

// attemptFields is the largest number of fields of an Attempt line. It sizes
// the field slice so that one allocation suffices.
const attemptFields = 32

// Event returns the log line.
func (a Attempt) Event() Event {
	e := Event{level: slog.LevelInfo, message: "attempt", fields: make([]slog.Attr, 0, attemptFields)}
	e.with(slog.String(KeyRequestID, a.RequestID))
	e.with(slog.String(keyRoute, a.Route))
	e.with(slog.String(keyService, a.Service))
	e.withText(keyClient, a.Client)
	e.with(slog.Int64(keyConfigVersion, a.ConfigVersion))
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
	if a.StreamEnd != nil {
		e.with(slog.String("framing", a.StreamEnd.Framing))
		e.with(slog.String("stream_end", a.StreamEnd.Position))
		e.with(slog.Int("tail_bytes", a.StreamEnd.TailBytes))
		e.with(slog.Int("events", a.StreamEnd.Events))
		e.withText("first_id", a.StreamEnd.FirstID)
		e.withText("last_id", a.StreamEnd.LastID)
		e.withText("weights", a.StreamEnd.Weights)
	}
	e.withText("server_version", a.ServerVersion)
	e.withText("resumes", a.Resumes)
	e.withText("last_event_id", a.LastEventID)
	e.withText("lost_parts", strings.Join(a.LostParts, ","))
	e.withText("lost_request", a.LostRequest)
	e.with(slog.String(keyResult, a.Result))
	e.withText(keyReason, a.Reason)
	if a.CallerLeft > 0 {
		e.with(milliseconds("caller_left_ms", a.CallerLeft))
		e.withText("outstanding", a.Outstanding)
	}
	e.with(milliseconds("sent_ms", a.Sent))
	e.with(milliseconds(keyElapsed, a.Elapsed))
	return e
}

// AttemptInProgress reports an attempt that has had no response for a while, so
// that the request leaves a trace even if the process is lost. prefillServer is
// empty if the server prefills the prompt itself.
func AttemptInProgress(requestID, service, server, prefillServer, placedBy string, predicted time.Duration) Event {
	e := info("attempt under way", slog.String(KeyRequestID, requestID), slog.String(keyService, service),
		slog.String(keyServer, server), milliseconds("predicted_ms", predicted))
	e.withText("prefill_server", prefillServer)
	e.withText("placed_by", placedBy)
	return e
}

// Retry describes a decision whether to retry an attempt that did not complete,
// with the retry budget that it rests on.
type Retry struct {
	RequestID, Service string
	// Step is what would be repeated: run, or prefill at a separate engine.
	Step string
	// Attempts is the number of attempts made so far.
	Attempts int
	// Denial is why there is no retry, or none.
	Denial string
	// Tokens is the number of retries that the budget permitted at the time, and
	// Reserve the largest number that it can hold.
	Tokens, Reserve float64
	// Gateways is the number of gateways that share the budget, this one included.
	Gateways int
}

// RetryDecided reports a decision whether to repeat a step of a request.
func RetryDecided(r Retry) Event {
	return info("retry decided", slog.String(KeyRequestID, r.RequestID), slog.String(keyService, r.Service),
		slog.String("step", r.Step), slog.Int(keyAttempts, r.Attempts), slog.String("denial", r.Denial),
		slog.Float64("budget_tokens", rounded(r.Tokens)), slog.Float64("budget_reserve", rounded(r.Reserve)),
		slog.Int("gateways", r.Gateways))
}

// rounded returns a number with two decimals.
func rounded(x float64) float64 { return math.Round(x*100) / 100 }

// RequestEnded describes the end of a request and what its caller received.
type RequestEnded struct {
	RequestID, Route string
	// Client is the name of the client account; empty if there is none.
	Client string
	// Outcome is answered, refused, failed, unknown, broken or caller_left.
	Outcome, Reason string
	// Status is the HTTP status sent to the caller; 0 if it received no complete
	// response.
	Status   int
	Attempts int
	// Elapsed and TimeToFirstEvent are measured from the arrival of the request.
	// TimeToFirstEvent is 0 if there was no event.
	Elapsed, TimeToFirstEvent time.Duration
	// Objective is the route's objective for the first event, or for the response
	// if it is no stream; 0 means none.
	Objective time.Duration
	// Server is the server that the last attempt was sent to; empty if there was
	// none.
	Server string
	// Remaining is the time until the deadline, logged for refused requests
	// only.
	Remaining time.Duration
	// BlockedPart is the part of the prompt for which the request was refused; empty
	// for other requests.
	BlockedPart string
	// BlockedRequest is the hash of a request that was refused as a whole.
	BlockedRequest string
}

// OutcomeRefused is the outcome of requests that were not executed and will not
// be.
const OutcomeRefused = "refused"

// requestEndedFields is the largest number of fields of a RequestEnded line.
const requestEndedFields = 13

// Event returns the log line.
func (r RequestEnded) Event() Event {
	e := Event{level: slog.LevelInfo, message: "request ended", fields: make([]slog.Attr, 0, requestEndedFields)}
	e.with(slog.String(KeyRequestID, r.RequestID))
	e.with(slog.String(keyRoute, r.Route))
	e.withText(keyClient, r.Client)
	e.with(slog.String(keyOutcome, r.Outcome))
	e.with(slog.Int(keyStatus, r.Status))
	e.with(slog.Int(keyAttempts, r.Attempts))
	e.with(milliseconds(keyElapsed, r.Elapsed))
	e.withText(keyReason, r.Reason)
	if r.TimeToFirstEvent > 0 {
		e.with(milliseconds("first_event_ms", r.TimeToFirstEvent))
	}
	if r.Objective > 0 {
		e.with(milliseconds("objective_ms", r.Objective))
	}
	e.withText(keyServer, r.Server)
	e.withText("blocked_part", r.BlockedPart)
	e.withText("blocked_request", r.BlockedRequest)
	if r.Outcome == OutcomeRefused {
		e.with(milliseconds("left_ms", max(0, r.Remaining)))
	}
	return e
}

// StopDecision describes why the stop of a gateway ends a request that could be sent.
type StopDecision struct {
	RequestID, Route string
	// Action is "refuse" or "end".
	Action string
	// SinceStop is the time since the beginning of the stop, Left that until requests at
	// work are answered.
	SinceStop, Left time.Duration
	// Usual is how long answers to such requests usually take, and Remaining the time until
	// the request's deadline.
	Usual, Remaining time.Duration
}

// RequestEndedByStop reports that a request is not sent because its answer would probably
// come after the end of the gateway's stop.
func RequestEndedByStop(d StopDecision) Event {
	return info("request not sent because of the stop",
		slog.String(KeyRequestID, d.RequestID), slog.String(keyRoute, d.Route), slog.String("action", d.Action),
		milliseconds("since_stop_ms", d.SinceStop), milliseconds("stop_left_ms", d.Left),
		milliseconds("usual_ms", d.Usual), milliseconds("left_ms", d.Remaining))
}

// ServerEjected reports that a server was ejected for repeated failures or because it
// has ended, or is avoided because too many others are ejected. requestID is the request
// that failed last; empty if the server has ended.
func ServerEjected(requestID, service, server, reason string, avoided bool) Event {
	return info("backend server ejected",
		slog.String(KeyRequestID, requestID), slog.String(keyService, service),
		slog.String(keyServer, server), slog.String(keyReason, reason), slog.Bool("avoided", avoided))
}

// CapacityShortage reports that a service whose requests belong to client accounts has
// become short of capacity, or no longer is. The pressure is the average of its requests',
// completed the cost per second that it has completed at this gateway recently.
func CapacityShortage(service string, short bool, pressure, completed float64) Event {
	event := info("service is no longer short of capacity", slog.String(keyService, service))
	if short {
		event = info("service is short of capacity, accounts are held to their fair shares",
			slog.String(keyService, service), slog.Float64("pressure", pressure), slog.Float64("completed_per_s", completed))
	}
	return event
}

// HandleReleaseFailed reports that an engine keeps the KV cache of a prefilled
// prompt that will not be used, until the cache expires.
func HandleReleaseFailed(server string, err error) Event {
	return detail("releasing a KV cache failed, it will expire", slog.String(keyServer, server), errorText(err))
}

// EntryRequest holds the common fields of the lines about an entry's request.
type EntryRequest struct {
	RequestID string
	// AttemptID is the ID of the latest attempt; empty if there was none.
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

// RequestAnswered reports that a caller of an entry received a complete
// response.
func RequestAnswered(r EntryRequest) Event { return r.event("request answered") }

// RequestRefused reports that an entry returned a refusal. notRun is "true" if
// the request was certainly not executed, as stated to the caller; explanation
// is meant for operators.
func RequestRefused(r EntryRequest, reason, notRun, explanation string) Event {
	e := r.event("request refused")
	e.with(slog.String(keyReason, reason))
	e.with(slog.String("not_run", notRun))
	e.withText("detail", explanation)
	return e
}

// RequestsHeldBack reports that an entry has begun or ceased to work on fewer requests
// than arrive, because goroutines wait for the processor: delay is for how long.
func RequestsHeldBack(begun bool, delay time.Duration, limit, inProgress, waiting int) Event {
	return info("requests are held back", slog.Bool("begun", begun), slog.Int64("delay_ms", delay.Milliseconds()),
		slog.Int("limit", limit), slog.Int("in_progress", inProgress), slog.Int("waiting", waiting))
}

// AttemptEnded reports the end of an entry's attempt at a backend server, and
// whether the response was complete.
func AttemptEnded(requestID, attemptID, server string, complete bool) Event {
	return info("attempt ended", slog.String(KeyRequestID, requestID), slog.String(keyAttemptID, attemptID),
		slog.String(keyServer, server), slog.Bool(keyWhole, complete))
}
