// Package enginemodel is a discrete-event simulation of one model engine:
// continuous batching with chunked prefill, a prefix cache, delayed load
// reports, cache events of which some are lost, role and model changes, and
// crashes. A request to change the role or the model is called an order.
//
// The package is pure: callers pass the current time, measured from a start of
// their choice, and randomness comes from a seed. A Model is not safe for
// concurrent use, and the time passed to its methods must never decrease.
package enginemodel

import (
	"errors"
	"fmt"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// Settings describes the performance, the limits and the initial role of an
// engine.
type Settings struct {
	// PrefillRate is the prefill speed of an otherwise idle engine, in prompt
	// tokens per second.
	PrefillRate float64
	// DecodeStep is the duration of a step that decodes a single sequence. Each
	// additional sequence adds DecodeStepPerSequence.
	DecodeStep            time.Duration
	DecodeStepPerSequence time.Duration
	// StepTokenBudget is the maximum number of tokens processed in one step,
	// prefill and decode together. It must exceed MaxBatch.
	StepTokenBudget int
	// MaxBatch is the maximum number of sequences in the batch, prefilling and
	// decoding together.
	MaxBatch int
	// KVTokens is the capacity of the KV cache memory, in tokens.
	KVTokens int
	// BlockTokens is the size of a KV cache block, in tokens.
	BlockTokens int
	// PrefixCacheBlocks is the capacity of the prefix cache, in blocks.
	PrefixCacheBlocks int
	// ImportTimePerToken is the time to transfer the KV cache of one token from
	// another engine.
	ImportTimePerToken time.Duration
	// ExportTTL is how long an exported KV cache occupies memory unless it is
	// released earlier.
	ExportTTL time.Duration
	// ReportLag is the minimum age of a load report.
	ReportLag time.Duration
	// CacheEventLag is the delay between a change of the prefix cache and the
	// publication of its event. CacheEventLoss is the probability, from 0 to 1,
	// that an event is never published.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// RoleChangeTime is how long the engine is unavailable during a role
	// change. ModelLoadTime is how long it takes to load a model version.
	RoleChangeTime time.Duration
	ModelLoadTime  time.Duration
	// Role, Model and ModelVersion are what the engine serves initially.
	Role         configv1.Role
	Model        string
	ModelVersion string
	// SingleStep makes NextEvent return the end of every single step, for
	// callers that stream tokens as they are generated. Otherwise consecutive
	// identical steps are processed as one event.
	SingleStep bool
}

// DefaultSettings returns the settings of a mid-range engine. It prefills 8,000
// prompt tokens per second, and generates a token every 12 ms for a single
// sequence or every 31 ms per sequence in a full batch.
func DefaultSettings() Settings {
	return Settings{
		PrefillRate:           8000,
		DecodeStep:            12 * time.Millisecond,
		DecodeStepPerSequence: 300 * time.Microsecond,
		StepTokenBudget:       256,
		MaxBatch:              64,
		KVTokens:              200_000,
		BlockTokens:           16,
		PrefixCacheBlocks:     4096,
		ImportTimePerToken:    5 * time.Microsecond,
		ExportTTL:             10 * time.Second,
		ReportLag:             time.Second,
		CacheEventLag:         2 * time.Second,
		CacheEventLoss:        0.05,
		RoleChangeTime:        8 * time.Second,
		ModelLoadTime:         20 * time.Second,
		Role:                  configv1.Role_ROLE_MIXED,
	}
}

// Validate returns one error that joins all invalid settings, or nil.
func (s Settings) Validate() error {
	var errs []error
	check := func(ok bool, name, want string) {
		if !ok {
			errs = append(errs, fmt.Errorf("enginemodel: %s must be %s", name, want))
		}
	}
	check(s.PrefillRate > 0, "PrefillRate", "above 0")
	check(s.DecodeStep > 0, "DecodeStep", "above 0")
	check(s.DecodeStepPerSequence >= 0, "DecodeStepPerSequence", "0 or above")
	check(s.MaxBatch > 0, "MaxBatch", "above 0")
	check(s.StepTokenBudget > s.MaxBatch, "StepTokenBudget", "above MaxBatch")
	check(s.KVTokens > 0, "KVTokens", "above 0")
	check(s.BlockTokens > 0, "BlockTokens", "above 0")
	check(s.PrefixCacheBlocks >= 0, "PrefixCacheBlocks", "0 or above")
	check(s.CacheEventLoss >= 0 && s.CacheEventLoss <= 1, "CacheEventLoss", "within 0 to 1")
	check(s.Role != configv1.Role_ROLE_UNSPECIFIED, "Role", "one of mixed, prefill or decode")
	return errors.Join(errs...)
}
