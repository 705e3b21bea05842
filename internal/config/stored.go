package config

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// Limits of the stored form, which each change sends to every relay.
const (
	// maxInlineBytes is the largest deployment that the stored object holds
	// whole; of a larger one it holds deltas and the name of a snapshot.
	maxInlineBytes = 32 << 10
	// maxStoredDeltas and maxDeltaBytes bound the deltas that are kept.
	maxStoredDeltas = 16
	maxDeltaBytes   = 16 << 10
)

// ErrNeedsSnapshot says that the stored form can only be read together with
// its snapshot.
var ErrNeedsSnapshot = errors.New("config: snapshot needed")

// Pack returns the stored form of next. Before is the stored form that it
// replaces, and from the configuration that before stands for, or nil. If it
// needs a snapshot, the caller has to store the deployment of next and to
// set the field.
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
		head.Deltas = keepLast(before.GetDeltas(), NewDelta(from, next))
	}
	snapshot := before.GetSnapshot()
	if snapshot == nil || DeltaChain(head.GetDeltas(), snapshot.GetRevision()) == nil {
		return head, true
	}
	head.Snapshot = snapshot
	return head, false
}

// keepLast returns the deltas with one more, without the oldest that exceed
// the limits.
func keepLast(deltas []*configv1.DeploymentDelta, last *configv1.DeploymentDelta) []*configv1.DeploymentDelta {
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

// DeltaChain returns the deltas that lead on from a revision, or nil when one is
// missing. The deltas are in order.
func DeltaChain(deltas []*configv1.DeploymentDelta, from uint64) []*configv1.DeploymentDelta {
	for i, delta := range deltas {
		if delta.GetBaseRevision() == from {
			return deltas[i:]
		}
	}
	return nil
}

// Unpack returns the configuration that a stored form stands for, given one
// that the process has, or nil. The error is ErrNeedsSnapshot if that does
// not lead there.
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

// Marshal returns the bytes of a stored form.
func Marshal(head *configv1.AcceptedDeployment) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("config: encode revision %d: %w", head.GetRevision(), err)
	}
	return data, nil
}

// Unmarshal reads the bytes of a stored form.
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
