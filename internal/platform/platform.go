// Package platform defines the interface to the platform's object API, a
// versioned key-value store that holds the configuration, plans, leases, ledger
// segments and status.
//
// The package contains no implementation: the HTTP client is in the top-level
// package platform, and an in-memory store for tests in package fake.
package platform

import (
	"context"
	"errors"
	"fmt"
)

// MaxValueBytes is the maximum size of an object's value in bytes.
const MaxValueBytes = 1 << 20

// Kinds of objects.
const (
	// KindDeployment is the kind of the accepted configuration, which is
	// stored under NameCurrent.
	KindDeployment = "deployment"
	// KindSnapshot is the kind of complete deployments that are too large to
	// be stored in the object of KindDeployment. That object is watched by
	// all processes and therefore kept small.
	KindSnapshot = "deployment_snapshot"
	// KindPlan is the kind of plans. There is one for each service.
	KindPlan = "plan"
	// KindLease is the kind of the planners' leases. There is one for each
	// service.
	KindLease = "lease"
	// KindLedger is the kind of the heads and segments of the agents' ledgers.
	KindLedger = "ledger"
	// KindStatus is reserved for status reports of processes to operators.
	// Nothing is stored under it yet.
	KindStatus = "status"
	// KindInstance is the kind of the elements of the list of live and leaving
	// instances, which the platform writes. There is one for each instance.
	KindInstance = "instance"
)

// NameCurrent is the name of the only object of KindDeployment.
const NameCurrent = "current"

var (
	// ErrNotFound is returned when there is no object with the given key.
	ErrNotFound = errors.New("platform: object not found")
	// ErrUnavailable is returned when a call had no effect because the
	// platform is down or the call exceeded its rate limit.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown is returned when a write may or may not have taken
	// effect, for example because its response was lost.
	ErrOutcomeUnknown = errors.New("platform: outcome of the write is unknown")
)

// ConflictError is returned when the stored version of an object is not the one
// that a conditional write expects.
type ConflictError struct {
	Key Key
	// Want is the expected version and Have the stored one; 0 means that the
	// object does not exist.
	Want, Have uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict on %s: want version %d, have %d", e.Key, e.Want, e.Have)
}

// Key identifies an object.
type Key struct {
	Kind string
	Name string
}

// String returns "kind/name".
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Object is a stored value with its version.
type Object struct {
	Key Key
	// Version is the version of the object's last write. Versions are
	// assigned by a single counter of the store, so that they increase with
	// every write to any object.
	Version uint64
	Value   []byte
	// Err is why the object of a list or a watch can't be read, and has no value; nil if
	// it can. Another program may have written it.
	Err error
}

// Event is a change of one object.
type Event struct {
	Object Object
	// Deleted reports whether the object was deleted. Its value is then empty.
	Deleted bool
}

// WatchResult is the result of one watch call.
type WatchResult struct {
	// Events are the changes in the order of their versions.
	Events []Event
	// NextVersion is the version from which the next watch continues.
	NextVersion uint64
}

// Store is a client of the object API. Every method call counts as one call
// against the platform's rate limits, including a watch that is waiting. Errors
// wrap ErrNotFound, ErrUnavailable, ErrOutcomeUnknown or *ConflictError.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns all objects of a kind, ordered by name.
	List(ctx context.Context, kind string) ([]Object, error)
	// Put writes value if the stored version equals want, and returns the
	// written object. If want is 0, the object must not exist yet. After
	// ErrOutcomeUnknown the caller must read the object back to learn
	// whether the write took effect.
	Put(ctx context.Context, key Key, value []byte, want uint64) (Object, error)
	// Delete deletes the object if the stored version equals want.
	Delete(ctx context.Context, key Key, want uint64) error
	// Watch waits for changes of a kind after version since. It returns
	// without events shortly before ctx's deadline, or when the server's
	// limit for a watch is reached.
	Watch(ctx context.Context, kind string, since uint64) (WatchResult, error)
	// Generation returns the newest known generation of the store, which
	// increases by one each time that it is restored from an older copy; 0 if it
	// is not known. Versions of a later generation are higher than all earlier
	// ones.
	Generation() uint64
}
