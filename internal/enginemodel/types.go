package enginemodel

import (
	"errors"
	"time"
)

var (
	// ErrDown is returned while the engine is down or starting.
	ErrDown = errors.New("enginemodel: engine is down")
	// ErrChanging is returned while the engine carries out an order.
	ErrChanging = errors.New("enginemodel: engine is changing")
	// ErrDraining is returned while the engine accepts no new sequences.
	ErrDraining = errors.New("enginemodel: engine is draining")
	// ErrWrongRole is returned for a sequence that the engine's role does not
	// accept, for example a full request on a prefill engine.
	ErrWrongRole = errors.New("enginemodel: role does not take this sequence")
	// ErrTooLarge is returned for a sequence that needs more than the whole KV
	// cache memory.
	ErrTooLarge = errors.New("enginemodel: sequence exceeds the KV memory")
	// ErrDuplicate is returned when a running or waiting sequence has the same
	// ID.
	ErrDuplicate = errors.New("enginemodel: sequence ID is in use")
	// ErrInvalid is returned for a sequence that has no prompt or no output
	// tokens left to generate, and by Export for a sequence that is not
	// decoding yet.
	ErrInvalid = errors.New("enginemodel: sequence has nothing to generate")
	// ErrNotFound is returned when no sequence has the given ID.
	ErrNotFound = errors.New("enginemodel: no such sequence")
	// ErrBusy is returned for an order to an engine that still has sequences.
	ErrBusy = errors.New("enginemodel: engine is not empty")
)

// EventKind is the type of an Event.
type EventKind int

const (
	// EventPrefilled means that the whole prompt is in the KV cache.
	// CachedTokens of its tokens were found in the prefix cache.
	EventPrefilled EventKind = iota + 1
	// EventTokens means that a sequence generated the output tokens from
	// TokenIndex on. They were generated one per step, TokenInterval apart; the
	// last one at At.
	EventTokens
	// EventDone means that the sequence ended normally, for Reason.
	EventDone
	// EventFailed means that the sequence was lost in a crash.
	EventFailed
	// EventReady means that an order has been carried out or that a restart is
	// complete. It belongs to no sequence.
	EventReady
)

// FinishReason says why a sequence ended.
type FinishReason int

const (
	// FinishedLength means that all output tokens were generated.
	FinishedLength FinishReason = iota + 1
	// FinishedMoved means that the KV cache was exported before all output
	// tokens were generated.
	FinishedMoved
	// FinishedPrefill means that the prefill of a prefill-only sequence is
	// complete and that its KV cache can be imported.
	FinishedPrefill
)

// Event reports the progress of a sequence, or of the engine itself.
type Event struct {
	At   time.Duration
	Kind EventKind
	// ID is the ID of the sequence; it is empty for EventReady.
	ID string
	// TokenIndex is the index of the first output token of the event and Tokens
	// the number of tokens. In EventDone and EventFailed, TokenIndex is the
	// number of output tokens generated so far.
	TokenIndex, Tokens int
	// TokenInterval is the time between the tokens of the event.
	TokenInterval time.Duration
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int
	// Reason is set in EventDone.
	Reason FinishReason
}

// Sequence is a request to the engine.
type Sequence struct {
	ID           string
	PromptTokens int
	// PrefixHashes holds one hash for each leading block of the prompt. Each
	// hash covers the prompt from its start to the end of the block.
	PrefixHashes []uint64
	// OutputTokens is the length of the whole output, including the first
	// ResumeFrom tokens.
	OutputTokens int
	// ResumeFrom is the number of output tokens that have already been
	// generated elsewhere.
	ResumeFrom int
	// Imported means that the KV cache is transferred from another engine.
	// Otherwise a resumed sequence prefills its prompt and its existing output
	// again.
	Imported bool
	// PrefillOnly ends the sequence after its prefill and exports its KV cache.
	PrefillOnly bool
	// Priority determines the order in which sequences are served: highest
	// first, and by arrival among equals.
	Priority int
}

// LoadReport is the load of the engine at a time in the past.
type LoadReport struct {
	// QueuedPromptTokens is the number of accepted prompt tokens that have not
	// been prefilled yet.
	QueuedPromptTokens int64
	Running            int
	Waiting            int
	// KVUsed is the fraction of the KV cache memory in use, from 0 to 1.
	KVUsed float64
	// Age is the time since the load was measured.
	Age time.Duration
}
