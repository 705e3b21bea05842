package engine

import (
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
)

// Outcome is what became of a sequence.
type Outcome string

// Outcomes of sequences.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeDone      Outcome = "done"
	OutcomeMoved     Outcome = "moved"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeFailed    Outcome = "failed"
)

// Record is what the stand-in has done, as GET /record returns it.
type Record struct {
	Sequences []SequenceRecord `json:"sequences"`
	Orders    []OrderRecord    `json:"orders"`
}

// SequenceRecord tells of one sequence that was started.
type SequenceRecord struct {
	ID           string  `json:"id"`
	RequestID    string  `json:"request_id"`
	PromptTokens int     `json:"prompt_tokens"`
	MaxTokens    int     `json:"max_tokens"`
	ResumeFrom   int     `json:"resume_from"`
	PrefillOnly  bool    `json:"prefill_only,omitempty"`
	Tokens       int     `json:"tokens"` // index after the last token made
	Outcome      Outcome `json:"outcome"`
}

// OrderRecord tells of one order that reached the engine.
type OrderRecord struct {
	Fencing      uint64 `json:"fencing"`
	Role         string `json:"role"`
	ModelVersion string `json:"model_version"`
	Accepted     bool   `json:"accepted"`
	Reason       string `json:"reason,omitempty"`
	// RunningSequences is the number of sequences that ran when the order came.
	RunningSequences int `json:"busy"`
	// Changing says that another order was being carried out.
	Changing bool `json:"changing,omitempty"`
}

// noteStart adds a sequence. The caller holds the lock.
func (e *Engine) noteStart(req *enginev1.GenerateRequest, promptTokens int) {
	e.bySeq[req.GetId()] = len(e.record.Sequences)
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

func (e *Engine) noteTokens(id string, tokens int) {
	if i, ok := e.bySeq[id]; ok {
		e.record.Sequences[i].Tokens = tokens
	}
}

func (e *Engine) noteOutcome(id string, outcome Outcome) {
	if i, ok := e.bySeq[id]; ok {
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
