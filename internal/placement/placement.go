// Package placement chooses the backend server, or the pair of prefill and
// decode engines, that a request is sent to.
//
// It is meant for a fleet shared by two kinds of requests: long prompts that
// share most of their tokens with other prompts, and short prompts that need a
// low time to first event. A Table holds what one gateway knows of the servers
// of one service: its own requests in flight, the load that servers report with
// their responses, the load reported by other gateways, and the prompt parts
// that the servers have cached.
//
// The package does no I/O, never blocks and takes all times as arguments. They
// are durations since an origin that the caller fixes once. A Table is not safe
// for concurrent use.
package placement

import (
	"errors"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// ErrNoServer is returned when no backend server can take the request.
var ErrNoServer = errors.New("no backend server can take the request")

// PromptPart is a part of a prompt that requests can share. Parts with the same
// ID have the same content.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	// Parts are the parts of the prompt in order. The last one belongs to this
	// request or session alone.
	Parts []PromptPart
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// BodyBytes is the size of the body sent to the chosen server.
	BodyBytes int
	// Exclude lists the IDs of servers that have refused or failed this request.
	Exclude []string
	// Priority is the priority of the request's route; 0 is the most urgent.
	Priority int
	// Objective is the route's objective for the time to the first event. Zero
	// means none.
	Objective time.Duration
	// FirstEventBudget is the time left until the first event is late. Zero
	// means no limit.
	FirstEventBudget time.Duration
	// NoSplit disallows a separate prefill engine.
	NoSplit bool
	// Version is the software version that the servers must have if VersionPinned is set.
	VersionPinned bool
	Version       string
	// Weights is the version of the weights that the servers should have; empty if any
	// will do.
	Weights string
	// OriginDomain is the failure domain of the gateway that received the
	// request. Empty means this gateway's own.
	OriginDomain string
}

// Choice is the result of a placement.
type Choice struct {
	// Server is the server that runs the request, or decodes it if Split.
	Server fleet.Server
	// PrefillServer is the engine that prefills the prompt first, if Split.
	PrefillServer fleet.Server
	Split         bool
	// FetchFrom is the address of an engine from which the prefilling engine
	// fetches cached parts of the prompt. Empty means none.
	FetchFrom string
	// UncachedTokens is the number of prompt tokens that are not in the cache
	// of the prefilling engine.
	UncachedTokens int
	// TimeToFirstEvent is the predicted time from now to the first event.
	// TimeToPrefilled is the predicted time until the prefill engine is done,
	// if Split.
	TimeToFirstEvent, TimeToPrefilled time.Duration
	// Priority is the priority of the prefill at the engine that does it. A decode
	// engine gets the route's priority, since it is also that of the stream.
	Priority int
	// Deferred is set if the first event is predicted to be late. The prompt then
	// yields to others of its size.
	Deferred bool
	// LoadAge is the age of the oldest load report that the choice is based on.
	// It is negative if no chosen server has reported its load.
	LoadAge time.Duration
}

// Load is the load that a server reports with a response.
type Load struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the server's instance at present, in percent
	// of what is usual; 0 if the server does not state it.
	WorkPercent float64
}

// Options configure the scoring of a Table. Penalties are in seconds of
// additional time to first event.
type Options struct {
	FailureDomain string
	// Gateway is the name of this gateway. It determines when the gateway begins to use
	// a server that has started anew, and how it weighs other requests at each server.
	Gateway string
	// NonHomePenalty applies to an engine that is not the home of the prompt,
	// which rendezvous hashing of the prompt's first part determines. It keeps
	// gateways that know little of each other's requests in agreement on where a
	// prompt is cached.
	NonHomePenalty float64
	// CrossDomainPenalty applies to a server in another failure domain, plus
	// CrossDomainPenaltyPerByte for each byte of the body.
	CrossDomainPenalty, CrossDomainPenaltyPerByte float64
	// RecomputePenaltyPerToken applies to each shared token that is prefilled
	// again.
	RecomputePenaltyPerToken float64
	// TransferPenaltyPerToken applies to each token of KV cache transferred to
	// a decode engine.
	TransferPenaltyPerToken float64
	// FetchPenaltyPerToken applies to each shared token that is fetched,
	// because the copy displaces other parts from the cache.
	FetchPenaltyPerToken float64
	// OvertakingWeight weighs the prefill time of the less urgent prompts that
	// wait at an engine: the request delays them, and until it is prefilled
	// itself, others that are as urgent arrive.
	OvertakingWeight float64
	// InterferenceWeight weighs the time that a prefill on a decode engine
	// delays each of the streams there.
	InterferenceWeight float64
	// LongInterferenceFactor is an additional weight for the portion of such a
	// prefill that causes noticeable pauses in the streams.
	LongInterferenceFactor float64
}

// DefaultOptions returns the default options for an unnamed gateway in the given
// failure domain.
func DefaultOptions(failureDomain string) Options {
	return Options{
		FailureDomain:             failureDomain,
		NonHomePenalty:            0.06,
		CrossDomainPenalty:        0.04,
		CrossDomainPenaltyPerByte: 3e-6,
		RecomputePenaltyPerToken:  30e-6,
		TransferPenaltyPerToken:   2e-6,
		FetchPenaltyPerToken:      30e-6,
		OvertakingWeight:          0.5,
		InterferenceWeight:        1.0,
		LongInterferenceFactor:    3,
	}
}

// minFetchTokens is the number of cached tokens from which fetching them is
// faster than prefilling them.
const minFetchTokens = 512

const (
	// initialPrefillRate is the prefill rate, in prompt tokens per second,
	// assumed until it has been observed.
	initialPrefillRate = 60_000
	// decodePrefillShare is the prefill rate of decode engines as a share of
	// that of prefill engines.
	decodePrefillShare = 0.5
	// plainServiceSeconds is the assumed service time of a plain server.
	plainServiceSeconds = 0.015
	// loadHalfLife is the age at which the load reported by a server counts
	// half.
	loadHalfLife = 500 * time.Millisecond
	// partTTL is how long after its last use a part is assumed to stay in an
	// engine's cache.
	partTTL = 60 * time.Second
)
