package engine

import (
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
)

// Outcome is the state of a recorded sequence.
type Outcome string

// States of recorded sequences.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeDone      Outcome = "done"
	OutcomeMoved     Outcome = "moved"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeFailed    Outcome = "failed"
)

// Record lists the sequences that were started and the orders that were received.
// PathRecord returns it as JSON.
type Record struct {
	Sequences []SequenceRecord `json:"sequences"`
	Orders    []OrderRecord    `json:"orders"`
}

// SequenceRecord describes a sequence that was started.
type SequenceRecord struct {
	ID           string  `json:"id"`
	RequestID    string  `json:"request_id"`
	PromptTokens int     `json:"prompt_tokens"`
	MaxTokens    int     `json:"max_tokens"`
	ResumeFrom   int     `json:"resume_from"`
	PrefillOnly  bool    `json:"prefill_only,omitempty"`
	Tokens       int     `json:"tokens"` // index after the last generated token
	Outcome      Outcome `json:"outcome"`
}

// OrderRecord describes an order that reached the engine.
type OrderRecord struct {
	FencingToken uint64 `json:"fencing"`
	Role         string `json:"role"`
	ModelVersion string `json:"model_version"`
	Accepted     bool   `json:"accepted"`
	Reason       string `json:"reason,omitempty"`
	// RunningSequences is the number of unfinished sequences when the order
	// arrived.
	RunningSequences int `json:"busy"`
	// Changing means that the engine was still carrying out another order.
	Changing bool `json:"changing,omitempty"`
}

// recordStart adds a sequence to the record. The caller must hold mu.
func (e *Engine) recordStart(req *enginev1.GenerateRequest, promptTokens int) {
	e.recordIndex[req.GetId()] = len(e.record.Sequences)
	e.record.Sequences = append(e.record.Sequences, SequenceRecord{
		ID:           req.GetId(),
		RequestID:    req.GetRequestId(),
		PromptTokens: promptTokens,
		MaxTokens:    int(req.GetMaxTokens()),
		ResumeFrom:   int(req.GetResumeFromToken()),
		PrefillOnly:  req.GetPrefillOnly(),
		Outcome:      OutcomeRunning,
	})
}

func (e *Engine) recordTokens(id string, tokens int) {
	if i, ok := e.recordIndex[id]; ok {
		e.record.Sequences[i].Tokens = tokens
	}
}

func (e *Engine) recordOutcome(id string, outcome Outcome) {
	if i, ok := e.recordIndex[id]; ok {
		e.record.Sequences[i].Outcome = outcome
	}
}

// Snapshot returns a copy of the record.
func (e *Engine) Snapshot() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Record{
		Sequences: append([]SequenceRecord{}, e.record.Sequences...),
		Orders:    append([]OrderRecord{}, e.record.Orders...),
	}
}
