// Package configstore persists the accepted configuration in the store: as one
// object that is written by conditional update and watched by the relays. A
// large deployment is kept in a separate snapshot object, so that a change
// sends only its delta to the watchers.
package configstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// Key is the key of the accepted configuration.
var Key = platform.Key{Kind: platform.KindDeployment, Name: platform.NameCurrent}

// Stored is the accepted configuration as read from the store. The zero value
// means that there is none.
type Stored struct {
	// Accepted is the full configuration, or nil.
	Accepted *configv1.AcceptedDeployment
	// Version of the object in the store; 0 if there is none.
	Version uint64
	// head is the stored form; see config.Pack.
	head *configv1.AcceptedDeployment
}

// Read returns the stored configuration. Have is a configuration that the
// process already has, or nil; with it the snapshot often need not be read.
func Read(ctx context.Context, store platform.Store, have *configv1.AcceptedDeployment) (Stored, error) {
	obj, err := store.Get(ctx, Key)
	if errors.Is(err, platform.ErrNotFound) {
		return Stored{}, nil
	}
	if err != nil {
		return Stored{}, err
	}
	head, err := config.Unmarshal(obj.Value)
	if err != nil {
		return Stored{}, err
	}
	accepted, err := Resolve(ctx, store, head, have)
	if err != nil {
		return Stored{}, err
	}
	return Stored{Accepted: accepted, Version: obj.Version, head: head}, nil
}

// Resolve returns the configuration that a stored form represents. It reads the
// snapshot if the stored deltas do not lead on from have. A snapshot that is
// gone counts as platform.ErrUnavailable, because a retry finds a newer stored
// form.
func Resolve(ctx context.Context, store platform.Store, head, have *configv1.AcceptedDeployment) (*configv1.AcceptedDeployment, error) {
	accepted, err := config.Unpack(head, have)
	if !errors.Is(err, config.ErrNeedsSnapshot) {
		return accepted, err
	}
	snapshot := head.GetSnapshot()
	obj, err := store.Get(ctx, snapshotKey(snapshot.GetName()))
	if errors.Is(err, platform.ErrNotFound) {
		// The snapshot was deleted after newer ones had been written.
		return nil, fmt.Errorf("%w: snapshot %s is gone", platform.ErrUnavailable, snapshot.GetName())
	}
	if err != nil {
		return nil, err
	}
	d := &configv1.Deployment{}
	if err := proto.Unmarshal(obj.Value, d); err != nil {
		// Operators receive this text, which therefore keeps the former name of
		// this package. The same holds for writeSnapshot.
		return nil, fmt.Errorf("deployments: decode snapshot %s: %w", snapshot.GetName(), err)
	}
	base := &configv1.AcceptedDeployment{Revision: snapshot.GetRevision(), Deployment: d}
	if snapshot.GetRevision() == head.GetRevision() {
		full := proto.CloneOf(head)
		full.Deployment, full.Deltas, full.Snapshot = d, nil, nil
		return full, nil
	}
	return config.Unpack(head, base)
}

// Write stores the next configuration on condition that the one read before is
// still stored. On platform.ErrOutcomeUnknown the caller must read back.
func Write(ctx context.Context, store platform.Store, before Stored, next *configv1.AcceptedDeployment) error {
	head, needsSnapshot := config.Pack(before.head, before.Accepted, next)
	if needsSnapshot {
		snapshot, err := writeSnapshot(ctx, store, before.head.GetSnapshot(), next)
		if err != nil {
			return err
		}
		head.Snapshot = snapshot
	}
	data, err := config.Marshal(head)
	if err != nil {
		return err
	}
	if _, err := store.Put(ctx, Key, data, before.Version); err != nil {
		return err
	}
	if old := before.head.GetSnapshot(); needsSnapshot && old.GetPreviousName() != "" {
		// A snapshot that fails to be deleted only takes up space.
		_ = store.Delete(ctx, snapshotKey(old.GetPreviousName()), old.GetPreviousVersion())
	}
	return nil
}

// writeSnapshot stores the deployment of next in full. The name of the snapshot
// is unique to the apply, its revision and its content, so that a retry finds
// the object of the first attempt. Failures are reported as
// platform.ErrUnavailable, since the apply itself has had no effect yet.
func writeSnapshot(ctx context.Context, store platform.Store, before *configv1.Snapshot, next *configv1.AcceptedDeployment) (*configv1.Snapshot, error) {
	data, err := proto.Marshal(next.GetDeployment())
	if err != nil {
		return nil, fmt.Errorf("deployments: encode snapshot: %w", err)
	}
	snapshot := &configv1.Snapshot{
		Revision:        next.GetRevision(),
		Name:            fmt.Sprintf("%d-%016x-%016x", next.GetRevision(), xxhash.Sum64String(next.GetApplyId()), xxhash.Sum64(data)),
		PreviousName:    before.GetName(),
		PreviousVersion: before.GetVersion(),
	}
	obj, err := store.Put(ctx, snapshotKey(snapshot.GetName()), data, 0)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		snapshot.Version = conflict.Have
	case err != nil:
		return nil, fmt.Errorf("%w: snapshot not stored: %v", platform.ErrUnavailable, err)
	default:
		snapshot.Version = obj.Version
	}
	return snapshot, nil
}

func snapshotKey(name string) platform.Key {
	return platform.Key{Kind: platform.KindSnapshot, Name: name}
}
