// Package registry follows the registrations of backend servers and the
// operator's configuration in the platform's store, by list and watch, and
// reports each new state.
package registry

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/revision"
)

var (
	// ErrUnavailable: the call had no effect, because the store is down,
	// rate-limited it or rejected it.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome: the call got no response of the store and may have had an effect.
	ErrUnknownOutcome = errors.New("no response to store call")
	// ErrWatchCut: a watch ended without a response. A store that is well may cut off
	// watches that are waiting; the outcome of the next call shows whether it is.
	ErrWatchCut = errors.New("watch was cut off")
	// ErrCompacted: the revision to watch from is no longer available; the
	// watch must restart from a list.
	ErrCompacted = errors.New("revision is no longer in the store's history")
	// ErrRestored: the store has been restored from an older copy since the
	// revision to watch from, or during the call, so that nothing read before is
	// a basis for a watch.
	ErrRestored = errors.New("store was restored from an older copy")
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object's revision differs from that required by a
	// conditional write.
	ErrConflict = errors.New("object has a different revision")
	// ErrNoConfig: no configuration has been written yet.
	ErrNoConfig = errors.New("no configuration has been written")
)

// IsOutage reports whether the error of a call shows that the store was out of reach: that
// the call did not reach it, had no answer, or had an answer that says so.
func IsOutage(err error) bool {
	unreached := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknownOutcome)
	return unreached && !errors.Is(err, ErrWatchCut)
}

// Watch is a call that waits for changes.
type Watch struct {
	// Since is the revision after which changes are reported.
	Since revision.Revision
	// Wait is the longest time for which the store may hold the call.
	Wait time.Duration
	// AllowStale permits a response that lacks the changes of the last seconds. It
	// costs the store less.
	AllowStale bool
}

// Source reads the store. Each call returns the revision to continue watching
// from.
type Source interface {
	// Servers lists all registrations.
	Servers(ctx context.Context) ([]fleet.Change, revision.Revision, error)
	// ServerChanges watches for registration changes.
	ServerChanges(ctx context.Context, w Watch) ([]fleet.Change, revision.Revision, error)
	// Config reads the newest configuration. If there is none it returns
	// ErrNoConfig and a revision to watch from.
	Config(ctx context.Context) (*fleet.Config, revision.Revision, error)
	// ConfigChanges watches for a configuration. It returns nil if there was none.
	ConfigChanges(ctx context.Context, w Watch) (*fleet.Config, revision.Revision, error)
	// Generation returns the newest generation of the store that any of its
	// answers reported; 0 if none did.
	Generation() uint64
	// Reconnect closes the connections, because they may be broken without
	// notice.
	Reconnect()
}
