// Package enginemodel models one model engine in virtual time: continuous
// batching with chunked prefill, a prefix cache, lagged load reports, cache
// events with gaps, role changes and crashes.
//
// The package is pure: time is an argument, counted from a start that the
// caller chooses, and chance comes from a seed. A Model is not safe for use
// by several goroutines, and time must not go back between its calls.
package enginemodel

import (
	"errors"
	"fmt"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// Settings describe one engine.
type Settings struct {
	// PrefillRate is in prompt tokens per second with nothing else running.
	PrefillRate float64
	// DecodeStep is the time of a step that decodes one sequence, and
	// DecodeStepPerSequence what each further sequence adds.
	DecodeStep            time.Duration
	DecodeStepPerSequence time.Duration
	// StepTokenBudget is the number of tokens of prefill and decode in a step.
	StepTokenBudget int
	// MaxBatch is the largest number of sequences prefilled and decoded
	// together.
	MaxBatch int
	// KVTokens is the KV cache memory, in tokens.
	KVTokens int
	// BlockTokens is the number of tokens of one KV cache block.
	BlockTokens int
	// PrefixCacheBlocks is the number of blocks in the prefix cache.
	PrefixCacheBlocks int
	// ImportTimePerToken is the transfer time of one token's KV cache.
	ImportTimePerToken time.Duration
	// ExportTTL is how long an exported KV cache stays in memory unless it
	// is released.
	ExportTTL time.Duration
	// ReportLag is the least age of a load report.
	ReportLag time.Duration
	// CacheEventLag is the age at which cache events are published, and
	// CacheEventLoss the share, 0 to 1, that never is.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// RoleChangeTime is how long a change of role takes the engine away, and
	// ModelLoadTime how long loading a model version does.
	RoleChangeTime time.Duration
	ModelLoadTime  time.Duration
	// Role, Model and ModelVersion are what the engine serves at first.
	Role         configv1.Role
	Model        string
	ModelVersion string
	// SingleStep has NextEvent stop at each step, for callers that pass
	// tokens on as they come; otherwise equal steps are taken together.
	SingleStep bool
}

// DefaultSettings returns the settings of a middling engine: 8,000 prompt
// tokens per second, 12 ms between tokens alone and 31 ms in a full batch.
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

// Validate returns every fault of the settings joined into one error.
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
	check(s.Role != configv1.Role_ROLE_UNSPECIFIED, "Role", "a role")
	return errors.Join(errs...)
}
