// Package registry follows the platform's registrations of backend servers and
// the operator's configuration, and publishes what is in force.
package registry

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

var (
	// ErrUnavailable says that the call had no effect: the store is away, over
	// its rate, or refused it.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome says that the call got no answer and may have had an
	// effect.
	ErrUnknownOutcome = errors.New("store call without an answer")
	// ErrCompacted says that a watch must begin anew from a list.
	ErrCompacted = errors.New("history of the store is gone")
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that a conditional write met another revision.
	ErrConflict = errors.New("object has another revision")
	// ErrNoConfig says that no configuration has been written yet.
	ErrNoConfig = errors.New("no configuration has been written")
)

// Source reads the store. Each call returns the revision to go on from.
type Source interface {
	// Servers lists all registrations.
	Servers(ctx context.Context) ([]fleet.Change, uint64, error)
	// ServerChanges waits for changes after a revision.
	ServerChanges(ctx context.Context, since uint64, wait time.Duration) ([]fleet.Change, uint64, error)
	// Config reads the newest configuration; it returns ErrNoConfig with a
	// revision to watch from when there is none.
	Config(ctx context.Context) (*fleet.Config, uint64, error)
	// ConfigChanges waits for a configuration written after a revision, and
	// returns nil when there was none.
	ConfigChanges(ctx context.Context, since uint64, wait time.Duration) (*fleet.Config, uint64, error)
	// Reconnect drops connections, which may have gone silent.
	Reconnect()
}
