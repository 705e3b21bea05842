// Package placement chooses the backend server, or the pair of engines, that a
// request goes to.
//
// It answers a load of two kinds that share one fleet: long prompts of which
// most is the same as that of others, and short ones that wait for a quick
// first event. A Table holds what one gateway knows of the servers of one
// service: its own sends, the load that servers tell with their answers, and
// which prompt parts they have read. It is pure state: times are arguments,
// nothing blocks, and it is not safe for concurrent use.
package placement

import (
	"errors"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// ErrNoServer says that no backend server can take the request now.
var ErrNoServer = errors.New("no backend server can take the request")

// PromptPart is one part of a prompt; requests share parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	// Parts of the prompt in order; the last is the request's or session's own.
	Parts []PromptPart
	// PromptTokens in all.
	PromptTokens int
	// BodyBytes that are sent to the chosen server.
	BodyBytes int
	// Exclude names servers that have failed this request.
	Exclude []string
	// FirstEventBudget is the time left in which the first event is in time; 0 if
	// there is none.
	FirstEventBudget time.Duration
	// NoSplit keeps the request from engines that only prefill.
	NoSplit bool
	// OriginDomain is the failure domain that the request comes from; empty for the
	// gateway's own.
	OriginDomain string
}

// Choice is where a request goes.
type Choice struct {
	// Server runs the request.
	Server fleet.Server
	// PrefillServer is the engine that prefills the prompt first, if Split.
	PrefillServer fleet.Server
	Split         bool
	// FetchFrom is the address of an engine that has read more of the prompt
	// than the one that prefills it; empty if there is none.
	FetchFrom string
	// UncachedTokens of the prompt are not in the cache of the engine that
	// prefills.
	UncachedTokens int
	// TimeToFirstEvent is predicted from now, and Prefilled when the prefill engine
	// is done, if Split.
	TimeToFirstEvent, TimeToPrefilled time.Duration
	// Deferred is set when the first event can't be in time: the request is to
	// go behind those that can.
	Deferred bool
	// LoadAge is the age of the newest load that the choice rests on, negative
	// if the server has told none.
	LoadAge time.Duration
}

// Load is what a server tells of itself with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Options are the gateway's place and the price of what a choice costs others,
// in seconds of a later first event.
type Options struct {
	FailureDomain string
	// NonHomePenalty is added for an engine that is not the prompt's home, so
	// that gateways which know little of each other agree.
	NonHomePenalty float64
	// CrossDomainPenalty is added for a server in another failure domain, and
	// CrossDomainPenaltyPerByte for each byte of the body besides.
	CrossDomainPenalty, CrossDomainPenaltyPerByte float64
	// RecomputePenaltyPerToken is added for each shared token that is prefilled again.
	RecomputePenaltyPerToken float64
	// TransferPenaltyPerToken is added for each token of KV cache that is transferred to a
	// decode engine.
	TransferPenaltyPerToken float64
	// FetchPenaltyPerToken is added for each shared token that is fetched: the copy
	// takes the place of others' parts.
	FetchPenaltyPerToken float64
	// InterferenceWeight weighs the time for which a prefill at a decode engine holds
	// up each of the streams there.
	InterferenceWeight float64
	// LongInterferenceFactor is how many times more the part of it counts that makes
	// pauses which callers notice.
	LongInterferenceFactor float64
}

// DefaultOptions returns the usual options.
func DefaultOptions(failureDomain string) Options {
	return Options{
		FailureDomain:             failureDomain,
		NonHomePenalty:            0.06,
		CrossDomainPenalty:        0.04,
		CrossDomainPenaltyPerByte: 3e-6,
		RecomputePenaltyPerToken:  30e-6,
		TransferPenaltyPerToken:   2e-6,
		FetchPenaltyPerToken:      30e-6,
		InterferenceWeight:        1.0,
		LongInterferenceFactor:    3,
	}
}

// leastFetch is the number of cached tokens from which a transfer is faster
// than a prefill of the same tokens.
const leastFetch = 512

const (
	// initialPrefillRate is assumed until answers tell the rate, in prompt
	// tokens per second.
	initialPrefillRate = 60_000
	// decodePrefillShare is the rate at which decode engines prefill, as a
	// share of that of prefill engines.
	decodePrefillShare = 0.5
	// firstStep is the time of a request without any prefill before it, in
	// seconds.
	firstStep = 0.09
	// plainService is the time that a plain server takes, in seconds.
	plainService = 0.015
	// loadHalfLife is the age at which the load that a server has told counts
	// half.
	loadHalfLife = 500 * time.Millisecond
	// partLife is how long a part is taken to stay in an engine's cache after
	// its last use at most.
	partLife = 60 * time.Second
)
