// Package routing chooses the engine, or the pair of engines, on which a
// request is predicted to finish first.
//
// A Table holds what one entry knows of the engines of one service. It is
// pure state: time and seeds are arguments, nothing blocks, and it is not safe
// for concurrent use, so that an entry keeps one Table per service and shard
// under the shard's lock. Times are durations since an origin that the caller
// fixes once, for example the start of the process.
//
// The caller's part:
//
//   - SetEngines with each configuration in force;
//   - Report with each peer load that arrives (heartbeats and answer frames);
//   - SetState when membership or an agent tells a new state;
//   - Choose for each attempt, then Sent with the choice once the attempt is
//     on its way, then Finished when it ended in whatever way;
//   - RecordCacheEvent with each cache event of an engine.
package routing

import (
	"errors"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

var (
	// ErrNoEngine says that no engine can take the request now.
	ErrNoEngine = errors.New("routing: no engine can take the request")
	// ErrUnknownEngine says that the named engine is not in the table.
	ErrUnknownEngine = errors.New("routing: unknown engine")
)

// Engine is one engine as configured.
type Engine struct {
	Name string
	// Distance from the entry: 0 for its own failure domain, 1 for its region,
	// 2 beyond.
	Distance int
	// PrefillRate in prompt tokens per second.
	PrefillRate float64
	// DecodeRate in output tokens per second over a full batch.
	DecodeRate float64
	// MaxBatch is the largest number of sequences decoded together.
	MaxBatch int
	// Role until the first report tells another.
	Role configv1.Role
}

// Options set how a Table chooses. The zero value of a field takes the
// mechanism out; DefaultOptions gives the usual values.
type Options struct {
	// EntryCount is the number of entries that route to the service, taken to send
	// as much as this one; 0 leaves out requests that are still to arrive.
	EntryCount int
	// OwnSendScale is by how much an own send raises the load seen at its engine,
	// above 1 to stand for entries that act on the same report.
	OwnSendScale float64
	// RandomCandidates is the number of engines sampled for each choice.
	RandomCandidates int
	// AffinityCandidates is the number of engines added because they hold, or
	// are the home of, the request's prefix.
	AffinityCandidates int
	// BoundedLoadFactor is the largest work at a prefix's home, as a multiple of the
	// sampled mean, at which the home is still preferred.
	BoundedLoadFactor float64
	// TieTolerance is the difference between scores that still count as equal.
	TieTolerance time.Duration
	// EngineTimeWeight is the seconds of later finish accepted to save one second of
	// engine time, which other requests then get.
	EngineTimeWeight float64
	// BlockTokens is the number of prompt tokens in one hashed prefix block.
	BlockTokens int
	// MaxPrefixBlocks is the number of prefix blocks remembered.
	MaxPrefixBlocks int
	// TransferRate of KV caches in prompt tokens per second; 0 forbids pairs.
	TransferRate float64
	// TransferLatency is added to each KV transfer.
	TransferLatency time.Duration
}

// DefaultOptions returns the options for a service that this many entries
// route to.
func DefaultOptions(entries int) Options {
	return Options{
		EntryCount:         entries,
		OwnSendScale:       max(1, float64(entries)/2),
		RandomCandidates:   defaultRandomCandidates,
		AffinityCandidates: defaultAffinityCandidates,
		BoundedLoadFactor:  defaultBoundedLoad,
		TieTolerance:       defaultTieTolerance,
		EngineTimeWeight:   defaultWorkPrice,
		BlockTokens:        defaultBlockTokens,
		MaxPrefixBlocks:    defaultHintLimit,
		TransferRate:       defaultTransferTokensPerSecond,
		TransferLatency:    defaultTransferDelay,
	}
}

const (
	defaultRandomCandidates        = 6
	defaultAffinityCandidates      = 2
	defaultBoundedLoad             = 1.25
	defaultTieTolerance            = 20 * time.Millisecond
	defaultWorkPrice               = 1.0
	defaultBlockTokens             = 64
	defaultHintLimit               = 1 << 15
	defaultTransferTokensPerSecond = 50_000
	defaultTransferDelay           = 20 * time.Millisecond
)

// LoadReport is the load of one engine as its agent saw it.
type LoadReport struct {
	Engine string
	// AsOf is the time that the figures describe: arrival less their age.
	AsOf time.Duration
	// PromptTokensAhead accepted and not yet prefilled.
	PromptTokens int64
	// PromptTokensByUrgency has the same prompt tokens by level; all zero if not known.
	PromptTokensByUrgency [UrgencyLevels]int64
	// OutputTokens still expected.
	OutputTokens int64
	// Sequences being decoded or waiting.
	Sequences int
	Role      configv1.Role
	State     peerv1.ServerState
}

// NewLoadReport turns a peer load that arrived at a time into a Report.
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

// work returns the work that the report tells of. Prompt tokens of which the
// urgency is not known count as the most urgent.
func (r LoadReport) work() Backlog {
	w := Backlog{OutputTokens: float64(r.OutputTokens), Sequences: float64(r.Sequences)}
	known := int64(0)
	for i, n := range r.PromptTokensByUrgency {
		w.PromptByUrgency[i] = float64(n)
		known += n
	}
	w.PromptByUrgency[0] += max(0, float64(r.PromptTokens-known))
	return w
}

// Request is what a choice depends on.
type Request struct {
	PromptTokens int
	// OutputTokens expected.
	OutputTokens int
	// Remaining time until the deadline; 0 if there is none.
	Remaining time.Duration
	// PrefixHashes of the prompt's leading blocks, longest prefix last.
	PrefixHashes []uint64
	// Exclude names engines not to choose, for example those already tried.
	Exclude []string
	// Seed makes the choice reproducible; it must differ between requests and
	// entries.
	Seed uint64
}

// Choice is where a request goes and when it is predicted to finish.
type Choice struct {
	// PrefillEngine and Decode name the engines; they are equal unless the KV cache
	// is to be transferred.
	PrefillEngine, DecodeEngine string
	// CachedTokens of the prompt expected at the prefill engine.
	CachedTokens int
	// TimeToFirstToken and Finish are predicted from now.
	TimeToFirstToken, TimeToFinish time.Duration
}

// Split reports whether prefill and decode run on two engines.
func (c Choice) Split() bool { return c.PrefillEngine != c.DecodeEngine }

// Attempt is an attempt that the entry has put on its way.
type Attempt struct {
	// ID of the attempt.
	ID           string
	Engine       string
	PromptTokens int
	OutputTokens int
	// Remaining time until the deadline; 0 if there is none.
	Remaining    time.Duration
	PrefixHashes []uint64
}
