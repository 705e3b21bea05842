// Package engine is the client for the API of one model engine: generation,
// load, cache events, KV cache transfer and orders. An order instructs the
// engine to change its role or its model version.
package engine

import (
	"context"
	"errors"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
)

var (
	// ErrUnreachable means that the call was not sent, so it had no effect.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrInterrupted means that the call failed after it may have been sent, so
	// it may have had an effect. It also covers malformed responses.
	ErrInterrupted = errors.New("engine: interrupted")
	// ErrRefused means that the engine rejected the call, which had no effect.
	ErrRefused = errors.New("engine: refused")
)

// Stream yields the events of one sequence in order.
type Stream interface {
	// Next returns the next event. After an event with Done set it returns
	// io.EOF. If the stream ends in any other way, it returns an error that
	// wraps ErrInterrupted.
	Next() (*enginev1.GenerateEvent, error)
	// Close stops reading. It does not cancel the sequence.
	Close() error
}

// Engine is one model engine as seen by its agent. Errors wrap ErrUnreachable,
// ErrInterrupted or ErrRefused.
type Engine interface {
	// Generate starts or resumes a sequence and returns its event stream.
	Generate(ctx context.Context, req *enginev1.GenerateRequest) (Stream, error)
	// Cancel stops a sequence and frees its memory. It is idempotent.
	Cancel(ctx context.Context, id string) error
	// Load returns the engine's latest load report, which is older than the
	// call by the age that it states.
	Load(ctx context.Context) (*enginev1.LoadReport, error)
	// State returns the role, the model and the condition of the engine.
	State(ctx context.Context) (*enginev1.State, error)
	// CacheEvents returns the prefix cache events from sequence number since
	// on.
	CacheEvents(ctx context.Context, since uint64) (*enginev1.CacheEvents, error)
	// ExportKV stops a sequence at its current token and returns a handle with
	// which another engine can import its KV cache.
	ExportKV(ctx context.Context, id string) (handle string, err error)
	// ImportKV transfers an exported KV cache from the engine at sourceURL.
	ImportKV(ctx context.Context, sourceURL, handle string) error
	// Order instructs the engine to change its role or its model version. It
	// returns once the order has been carried out or rejected. After
	// ErrInterrupted the outcome is unknown, and the caller must read the
	// engine's state before it makes another decision.
	Order(ctx context.Context, order *enginev1.Order) (*enginev1.OrderReply, error)
}
