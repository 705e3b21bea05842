// Package platform gives access to the platform's object API, which keeps
// configuration, plans, leases, ledger segments and status.
//
// The package holds the narrow interface that the rest of the system uses,
// an HTTP client for it, and nothing that decides.
package platform

import (
	"context"
	"errors"
	"fmt"
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Kinds of objects that the system keeps.
const (
	// KindDeployment holds the accepted configuration under NameCurrent.
	KindDeployment = "deployment"
	// KindSnapshot holds whole deployments that are too large for the object
	// of KindDeployment, which is watched.
	KindSnapshot = "deployment_snapshot"
	// KindPlan holds one plan for each service.
	KindPlan = "plan"
	// KindLease holds one planner's lease for each service.
	KindLease = "lease"
	// KindLedger holds the ledger segments of the agents.
	KindLedger = "ledger"
	// KindStatus holds what processes report for operators.
	KindStatus = "status"
	// KindInstance is written by the platform: live and leaving instances.
	KindInstance = "instance"
)

// NameCurrent is the name of the one accepted configuration.
const NameCurrent = "current"

var (
	// ErrNotFound says that no object has the key.
	ErrNotFound = errors.New("platform: object not found")
	// ErrUnavailable says that the call had no effect because the platform
	// is down or over its rate.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown says that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("platform: outcome of the write is unknown")
)

// ConflictError says that a conditional write met another version.
type ConflictError struct {
	// Key of the object.
	Key Key
	// Want is the version the writer expected, Have the stored one; 0 means
	// that the object does not exist.
	Want, Have uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict on %s: want version %d, have %d", e.Key, e.Want, e.Have)
}

// Key names one object.
type Key struct {
	Kind string
	Name string
}

// String returns "kind/name".
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Object is one stored value with its version.
type Object struct {
	Key Key
	// Version comes from one counter of the whole store, so that it rises
	// with each write to any object.
	Version uint64
	Value   []byte
}

// Event is one change that a watch reports.
type Event struct {
	Object Object
	// Deleted is set when the object is gone; its value is then empty.
	Deleted bool
}

// WatchResult is the answer to one watch call.
type WatchResult struct {
	Events []Event
	// NextVersion is the version to watch from in the following call.
	NextVersion uint64
}

// Store is the object API as the system uses it. Each method is one call
// against the platform's rates, a waiting watch included. Errors wrap
// ErrNotFound, ErrUnavailable, ErrOutcomeUnknown or *ConflictError.
type Store interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns all objects of a kind, ordered by name.
	List(ctx context.Context, kind string) ([]Object, error)
	// Put writes value if the stored version equals want; want 0 creates the
	// object. It returns the object as written. On ErrOutcomeUnknown the
	// caller must read back before it decides.
	Put(ctx context.Context, key Key, value []byte, want uint64) (Object, error)
	// Delete removes the object if the stored version equals want.
	Delete(ctx context.Context, key Key, want uint64) error
	// Watch waits for changes of a kind after version since, and returns
	// with no events when ctx's deadline or the server's own limit is near.
	Watch(ctx context.Context, kind string, since uint64) (WatchResult, error)
}
