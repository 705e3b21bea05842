// Package routing chooses the engine, or the pair of prefill and decode
// engines, on which a request is predicted to finish first.
//
// A Table holds what one entry knows of the engines of one service. The package
// does no I/O, never blocks and takes times and random seeds as arguments. A
// Table is not safe for concurrent use: an entry keeps one Table per service
// and shard under the shard's lock. Times are durations since an origin that
// the caller fixes once, for example the start of the process.
//
// The caller must call:
//
//   - SetEngines for each new configuration;
//   - RecordReport for each load report received from a peer, in heartbeats and
//     response frames;
//   - SetState when membership or an agent reports a new state of an engine;
//   - Choose for each attempt, then RecordSend once the attempt has been sent,
//     then RecordEnd when it has ended, regardless of its outcome;
//   - RecordCacheEvent for each cache event of an engine.
package routing

import (
	"errors"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

var (
	// ErrNoEngine is returned when no engine can take the request.
	ErrNoEngine = errors.New("routing: no engine can take the request")
	// ErrUnknownEngine is returned for an engine that is not in the table.
	ErrUnknownEngine = errors.New("routing: unknown engine")
)

// Engine is the configuration of an engine.
type Engine struct {
	Name string
	// Distance is the distance from the entry: 0 within its failure domain, 1
	// within its region, 2 beyond.
	Distance int
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// DecodeRate is in output tokens per second with a full batch.
	DecodeRate float64
	// MaxBatch is the largest number of sequences that are decoded together.
	MaxBatch int
	// Role is the role of the engine until its first load report.
	Role configv1.Role
}

// Options configure how a Table chooses. The zero value of a field disables its
// mechanism. DefaultOptions returns the default values.
type Options struct {
	// EntryCount is the number of entries that route to the service. Each is
	// assumed to send as much as this one. Zero disables the prediction of
	// future arrivals.
	EntryCount int
	// OwnSendScale multiplies the load that an attempt sent by this entry adds
	// to an engine until a report covers it. Values above 1 account for other
	// entries that act on the same report.
	OwnSendScale float64
	// RandomCandidates is the number of engines sampled at random for each
	// choice.
	RandomCandidates int
	// AffinityCandidates is the number of engines considered because they have
	// the request's prefix cached. Zero disables prefix affinity, including the
	// home engine.
	AffinityCandidates int
	// BoundedLoadFactor is the largest backlog of a prefix's home engine, as a
	// multiple of the mean of the candidates, at which the home engine is still
	// preferred.
	BoundedLoadFactor float64
	// TieTolerance is the difference between scores up to which they count as
	// equal.
	TieTolerance time.Duration
	// EngineTimeWeight is the delay of this request, in seconds, accepted to
	// save one second of engine time for other requests.
	EngineTimeWeight float64
	// BlockTokens is the number of prompt tokens in one hashed prefix block.
	BlockTokens int
	// MaxPrefixBlocks is the number of prefix blocks whose locations are
	// remembered.
	MaxPrefixBlocks int
	// TransferRate is the rate of KV cache transfers in prompt tokens per
	// second. Zero disables separate prefill and decode engines.
	TransferRate float64
	// TransferLatency is added to the duration of each KV cache transfer.
	TransferLatency time.Duration
}

// DefaultOptions returns the default options for a service with the given
// number of entries.
func DefaultOptions(entries int) Options {
	return Options{
		EntryCount:         entries,
		OwnSendScale:       max(1, float64(entries)/2),
		RandomCandidates:   defaultRandomCandidates,
		AffinityCandidates: defaultAffinityCandidates,
		BoundedLoadFactor:  defaultBoundedLoadFactor,
		TieTolerance:       defaultTieTolerance,
		EngineTimeWeight:   defaultEngineTimeWeight,
		BlockTokens:        defaultBlockTokens,
		MaxPrefixBlocks:    defaultMaxPrefixBlocks,
		TransferRate:       defaultTransferRate,
		TransferLatency:    defaultTransferLatency,
	}
}

const (
	defaultRandomCandidates   = 6
	defaultAffinityCandidates = 2
	defaultBoundedLoadFactor  = 1.25
	defaultTieTolerance       = 20 * time.Millisecond
	defaultEngineTimeWeight   = 1.0
	defaultBlockTokens        = 64
	defaultMaxPrefixBlocks    = 1 << 15
	defaultTransferRate       = 50_000
	defaultTransferLatency    = 20 * time.Millisecond
)

// LoadReport is the load of one engine as reported by its agent.
type LoadReport struct {
	Engine string
	// AsOf is the time that the figures describe: the time of receipt minus
	// their age.
	AsOf time.Duration
	// PromptTokens is the number of prompt tokens accepted and not prefilled
	// yet.
	PromptTokens int64
	// PromptTokensByUrgency splits PromptTokens by urgency level. It is all
	// zero if unknown.
	PromptTokensByUrgency [UrgencyLevels]int64
	// OutputTokens is the number of output tokens expected and not generated
	// yet.
	OutputTokens int64
	// Sequences is the number of running and waiting sequences.
	Sequences int
	Role      configv1.Role
	State     peerv1.ServerState
}

// NewLoadReport converts a load message received at now.
func NewLoadReport(l *peerv1.Load, now time.Duration) LoadReport {
	r := LoadReport{
		Engine:       l.GetBackendServer(),
		AsOf:         now - time.Duration(l.GetAgeMs())*time.Millisecond,
		PromptTokens: l.GetQueuedPromptTokens(),
		OutputTokens: l.GetExpectedOutputTokens(),
		Sequences:    int(l.GetRunning() + l.GetWaiting()),
		Role:         l.GetRole(),
		State:        l.GetState(),
	}
	copy(r.PromptTokensByUrgency[:], l.GetQueuedPromptTokensByUrgency())
	return r
}

// backlog returns the reported backlog. Prompt tokens of unknown urgency count
// as the most urgent.
func (r LoadReport) backlog() Backlog {
	b := Backlog{OutputTokens: float64(r.OutputTokens), Sequences: float64(r.Sequences)}
	withUrgency := int64(0)
	for i, n := range r.PromptTokensByUrgency {
		b.PromptByUrgency[i] = float64(n)
		withUrgency += n
	}
	b.PromptByUrgency[0] += max(0, float64(r.PromptTokens-withUrgency))
	return b
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	PromptTokens int
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
	// Remaining is the time until the deadline. Zero means no deadline.
	Remaining time.Duration
	// PrefixHashes are the hashes of the prompt's leading blocks, the one of
	// the longest prefix last.
	PrefixHashes []uint64
	// Exclude lists engines that must not be chosen, for example because they
	// have already been tried.
	Exclude []string
	// Seed makes the choice reproducible. It must differ between requests and
	// between entries.
	Seed uint64
}

// Choice is the result of routing a request.
type Choice struct {
	// PrefillEngine and DecodeEngine are names of engines. They are equal unless
	// the KV cache has to be transferred.
	PrefillEngine, DecodeEngine string
	// CachedTokens is the number of prompt tokens expected in the cache of the
	// prefill engine.
	CachedTokens int
	// TimeToFirstToken and TimeToFinish are predictions relative to now.
	TimeToFirstToken, TimeToFinish time.Duration
}

// Split reports whether prefill and decode run on different engines.
func (c Choice) Split() bool { return c.PrefillEngine != c.DecodeEngine }

// Attempt is an attempt sent to an engine by this entry.
type Attempt struct {
	// ID identifies the attempt.
	ID           string
	Engine       string
	PromptTokens int
	OutputTokens int
	// Remaining is the time until the deadline. Zero means no deadline.
	Remaining    time.Duration
	PrefixHashes []uint64
}
