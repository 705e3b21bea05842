package enginemodel

import (
	"errors"
	"time"
)

var (
	// ErrDown says that the engine is down or starting.
	ErrDown = errors.New("enginemodel: engine is down")
	// ErrChanging says that the engine is carrying out an order.
	ErrChanging = errors.New("enginemodel: engine is changing")
	// ErrDraining says that the engine takes no new sequences.
	ErrDraining = errors.New("enginemodel: engine is draining")
	// ErrWrongRole says that the engine's role does not take such a sequence.
	ErrWrongRole = errors.New("enginemodel: role does not take this sequence")
	// ErrTooLarge says that the sequence can never fit the KV memory.
	ErrTooLarge = errors.New("enginemodel: sequence exceeds the KV memory")
	// ErrDuplicate says that a sequence with the same ID runs or waits.
	ErrDuplicate = errors.New("enginemodel: sequence ID is in use")
	// ErrInvalid says that the sequence has nothing to do.
	ErrInvalid = errors.New("enginemodel: sequence has nothing to generate")
	// ErrNotFound says that no sequence has the ID.
	ErrNotFound = errors.New("enginemodel: no such sequence")
	// ErrBusy says that an order needs the engine to be empty.
	ErrBusy = errors.New("enginemodel: engine is not empty")
)

// EventKind tells events apart.
type EventKind int

const (
	// Prefilled: the prompt is in the KV cache; Cached tells how many of its
	// tokens came from the prefix cache.
	EventPrefilled EventKind = iota + 1
	// Tokens: output tokens from Index on, one for each step of Step.
	EventTokens
	// Done: the sequence ended, for Reason.
	EventDone
	// Failed: the sequence was lost in a crash.
	EventFailed
	// Changed: an order was carried out, or a restart is complete.
	EventReady
)

// FinishReason is why a sequence is done.
type FinishReason int

const (
	// FinishedLength: all output tokens were generated.
	FinishedLength FinishReason = iota + 1
	// FinishedMoved: the KV cache was exported before the end.
	FinishedMoved
	// FinishedPrefill: a prefill-only sequence's KV cache can be imported.
	FinishedPrefill
)

// Event is one change that the model reports.
type Event struct {
	At   time.Duration
	Kind EventKind
	// ID of the sequence.
	ID string
	// TokenIndex of the first token and number of tokens.
	TokenIndex, Tokens int
	// TokenInterval is the time between the tokens of this event.
	TokenInterval time.Duration
	// CachedTokens prompt tokens.
	CachedTokens int
	Reason       FinishReason
}

// Sequence is one request to the engine.
type Sequence struct {
	ID           string
	PromptTokens int
	// PrefixHashes holds one hash for each leading block of the prompt, the
	// longest prefix last.
	PrefixHashes []uint64
	// OutputTokens counts the whole output, the first ResumeFrom included.
	OutputTokens int
	// ResumeFrom is the number of output tokens that exist already.
	ResumeFrom int
	// Imported says that the KV cache comes from another engine; without it
	// a resumed sequence prefills its prompt and output again.
	Imported bool
	// PrefillOnly ends the sequence with an export after its prefill.
	PrefillOnly bool
	// Priority orders sequences, highest first, before arrival does.
	Priority int
}

// LoadReport is the engine's view of its load at a time that is past.
type LoadReport struct {
	// QueuedPromptTokens counts tokens accepted and not yet prefilled.
	QueuedPromptTokens int64
	Running            int
	Waiting            int
	// KVUsed is the share of the KV memory in use, 0 to 1.
	KVUsed float64
	// Age of the figures.
	Age time.Duration
}
