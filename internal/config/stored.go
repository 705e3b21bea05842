package config

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// Limits of the stored form. Each configuration change sends it to every relay.
const (
	// maxInlineBytes is the size up to which a deployment is stored in full in
	// the watched object. For a larger one the object holds deltas and the name
	// of a snapshot.
	maxInlineBytes = 32 << 10
	// maxStoredDeltas and maxDeltaBytes bound the number and total size of the
	// stored deltas.
	maxStoredDeltas = 16
	maxDeltaBytes   = 16 << 10
)

// ErrNeedsSnapshot is returned if the stored form can only be resolved with its
// snapshot.
var ErrNeedsSnapshot = errors.New("config: snapshot needed")

// Pack returns the stored form of next. Before is the stored form that it
// replaces, and from the configuration that before represents; both may be nil.
// If needsSnapshot is true, the caller must store the deployment of next as a
// snapshot and set head.Snapshot.
func Pack(before, from, next *configv1.AcceptedDeployment) (head *configv1.AcceptedDeployment, needsSnapshot bool) {
	if proto.Size(next.GetDeployment()) <= maxInlineBytes {
		return next, false
	}
	head = &configv1.AcceptedDeployment{
		Revision:       next.GetRevision(),
		ApplyId:        next.GetApplyId(),
		Author:         next.GetAuthor(),
		AcceptedUnixMs: next.GetAcceptedUnixMs(),
		Recent:         next.GetRecent(),
		KeyHomes:       next.GetKeyHomes(),
	}
	if from.GetDeployment() != nil && from.GetRevision()+1 == next.GetRevision() {
		head.Deltas = appendDelta(before.GetDeltas(), NewDelta(from, next))
	}
	snapshot := before.GetSnapshot()
	if snapshot == nil || DeltaChain(head.GetDeltas(), snapshot.GetRevision()) == nil {
		return head, true
	}
	head.Snapshot = snapshot
	return head, false
}

// appendDelta returns the deltas with last appended, without the oldest ones if
// the limits are exceeded.
func appendDelta(deltas []*configv1.DeploymentDelta, last *configv1.DeploymentDelta) []*configv1.DeploymentDelta {
	all := append(append([]*configv1.DeploymentDelta(nil), deltas...), last)
	size := 0
	for i := len(all) - 1; i >= 0; i-- {
		size += proto.Size(all[i])
		if size > maxDeltaBytes || len(all)-i > maxStoredDeltas {
			return all[i+1:]
		}
	}
	return all
}

// DeltaChain returns the deltas, in order, that lead from the given revision to
// the newest, or nil if none starts there. Adjacent deltas must be contiguous.
func DeltaChain(deltas []*configv1.DeploymentDelta, from uint64) []*configv1.DeploymentDelta {
	for i, delta := range deltas {
		if delta.GetBaseRevision() == from {
			return deltas[i:]
		}
	}
	return nil
}

// Unpack returns the configuration that a stored form represents, using one
// that the process already has, which may be nil. It returns ErrNeedsSnapshot
// if the stored deltas do not lead from there to it.
func Unpack(head, have *configv1.AcceptedDeployment) (*configv1.AcceptedDeployment, error) {
	if head.GetDeployment() != nil {
		return head, nil
	}
	if have.GetRevision() == head.GetRevision() && have.GetApplyId() == head.GetApplyId() {
		return have, nil
	}
	chain := DeltaChain(head.GetDeltas(), have.GetRevision())
	if have == nil || len(chain) == 0 {
		return nil, ErrNeedsSnapshot
	}
	at := have
	for _, delta := range chain {
		next, err := ApplyDelta(at, delta)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNeedsSnapshot, err)
		}
		at = next
	}
	at.Recent = head.GetRecent()
	at.KeyHomes = head.GetKeyHomes()
	return at, nil
}

// Marshal encodes a stored form.
func Marshal(head *configv1.AcceptedDeployment) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("config: encode revision %d: %w", head.GetRevision(), err)
	}
	return data, nil
}

// Unmarshal decodes a stored form. A form without a revision, or with neither a
// deployment nor a snapshot, is an error.
func Unmarshal(data []byte) (*configv1.AcceptedDeployment, error) {
	head := &configv1.AcceptedDeployment{}
	if err := proto.Unmarshal(data, head); err != nil {
		return nil, fmt.Errorf("config: decode accepted deployment: %w", err)
	}
	if head.GetRevision() == 0 || head.GetDeployment() == nil && head.GetSnapshot() == nil {
		return nil, fmt.Errorf("config: accepted deployment has no revision or no content")
	}
	return head, nil
}
