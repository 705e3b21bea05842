// Package registry follows the registrations of backend servers and the
// operator's configuration in the platform's store, by list and watch, and
// reports each new state.
package registry

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

var (
	// ErrUnavailable: the call had no effect, because the store is down,
	// rate-limited it or rejected it.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome: the call got no response and may have had an effect.
	ErrUnknownOutcome = errors.New("no response to store call")
	// ErrCompacted: the revision to watch from is no longer available; the
	// watch must restart from a list.
	ErrCompacted = errors.New("revision is no longer in the store's history")
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object's revision differs from that required by a
	// conditional write.
	ErrConflict = errors.New("object has a different revision")
	// ErrNoConfig: no configuration has been written yet.
	ErrNoConfig = errors.New("no configuration has been written")
)

// Source reads the store. Each call returns the revision to continue watching
// from.
type Source interface {
	// Servers lists all registrations.
	Servers(ctx context.Context) ([]fleet.Change, uint64, error)
	// ServerChanges watches for registration changes after a revision, for at
	// most wait.
	ServerChanges(ctx context.Context, since uint64, wait time.Duration) ([]fleet.Change, uint64, error)
	// Config reads the newest configuration. If there is none it returns
	// ErrNoConfig and a revision to watch from.
	Config(ctx context.Context) (*fleet.Config, uint64, error)
	// ConfigChanges watches for a configuration written after a revision, for
	// at most wait. It returns nil if there was none.
	ConfigChanges(ctx context.Context, since uint64, wait time.Duration) (*fleet.Config, uint64, error)
	// Reconnect closes the connections, because they may be broken without
	// notice.
	Reconnect()
}
