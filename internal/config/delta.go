package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// ErrDeltaMismatch is returned if a delta does not start at the given
// configuration, or does not result in the one it describes. The full
// configuration is needed then.
var ErrDeltaMismatch = errors.New("config: delta does not apply")

// Checksum returns the xxhash64 of a deployment's deterministic protobuf
// encoding. Program versions whose encodings differ reject each other's deltas
// and fall back to the full configuration.
func Checksum(d *configv1.Deployment) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		// Every parsed deployment can be encoded.
		panic(fmt.Sprintf("config: encode deployment: %v", err))
	}
	return xxhash.Sum64(data)
}

// NewDelta returns the delta that leads from one accepted configuration to
// another.
func NewDelta(from, to *configv1.AcceptedDeployment) *configv1.DeploymentDelta {
	a, b := from.GetDeployment(), to.GetDeployment()
	delta := &configv1.DeploymentDelta{
		BaseRevision:   from.GetRevision(),
		Revision:       to.GetRevision(),
		ApplyId:        to.GetApplyId(),
		Author:         to.GetAuthor(),
		AcceptedUnixMs: to.GetAcceptedUnixMs(),
		Changed:        &configv1.Deployment{Name: b.GetName()},
		Checksum:       Checksum(b),
		KeyHomes:       to.GetKeyHomes(),
	}
	if !proto.Equal(a.GetDefaults(), b.GetDefaults()) {
		delta.Changed.Defaults = b.GetDefaults()
	}
	d := delta.Changed
	d.FailureDomains = changedItems(delta, failureDomainSection.Name, a.GetFailureDomains(), b.GetFailureDomains())
	d.Models = changedItems(delta, modelSection.Name, a.GetModels(), b.GetModels())
	d.Services = changedItems(delta, serviceSection.Name, a.GetServices(), b.GetServices())
	d.BackendServers = changedItems(delta, backendServerSection.Name, a.GetBackendServers(), b.GetBackendServers())
	d.Clients = changedItems(delta, clientSection.Name, a.GetClients(), b.GetClients())
	return delta
}

// namedMessage is a protobuf message of a section with a name.
type namedMessage interface {
	proto.Message
	named
}

// changedItems returns the items of b that are not in a or differ from it, and
// adds those that are only in a to delta.Removed.
func changedItems[M namedMessage](delta *configv1.DeploymentDelta, section string, a, b []M) []M {
	old := byName(a)
	var changed []M
	for _, item := range b {
		before, ok := old[item.GetName()]
		if !ok || !proto.Equal(before, item) {
			changed = append(changed, item)
		}
		delete(old, item.GetName())
	}
	for _, item := range a {
		if _, gone := old[item.GetName()]; gone {
			delta.Removed = append(delta.Removed, &configv1.SectionRef{Section: section, Name: item.GetName()})
		}
	}
	return changed
}

func byName[M named](list []M) map[string]M {
	m := make(map[string]M, len(list))
	for _, item := range list {
		m[item.GetName()] = item
	}
	return m
}

// ApplyDelta returns the configuration that delta leads to, or an error that
// wraps ErrDeltaMismatch. It does not modify from.
func ApplyDelta(from *configv1.AcceptedDeployment, delta *configv1.DeploymentDelta) (*configv1.AcceptedDeployment, error) {
	if from.GetRevision() != delta.GetBaseRevision() || delta.GetRevision() <= delta.GetBaseRevision() {
		return nil, fmt.Errorf("%w: have revision %d, delta leads from %d to %d", ErrDeltaMismatch, from.GetRevision(), delta.GetBaseRevision(), delta.GetRevision())
	}
	a, c := from.GetDeployment(), delta.GetChanged()
	removed := make(map[sectionRef]bool, len(delta.GetRemoved()))
	for _, ref := range delta.GetRemoved() {
		removed[sectionRef{ref.GetSection(), ref.GetName()}] = true
	}
	d := &configv1.Deployment{
		Name:           c.GetName(),
		Defaults:       a.GetDefaults(),
		FailureDomains: merge(removed, failureDomainSection.Name, a.GetFailureDomains(), c.GetFailureDomains()),
		Models:         merge(removed, modelSection.Name, a.GetModels(), c.GetModels()),
		Services:       merge(removed, serviceSection.Name, a.GetServices(), c.GetServices()),
		BackendServers: merge(removed, backendServerSection.Name, a.GetBackendServers(), c.GetBackendServers()),
		Clients:        merge(removed, clientSection.Name, a.GetClients(), c.GetClients()),
	}
	if c.GetDefaults() != nil {
		d.Defaults = c.GetDefaults()
	}
	if Checksum(d) != delta.GetChecksum() {
		return nil, fmt.Errorf("%w: checksum differs at revision %d", ErrDeltaMismatch, delta.GetRevision())
	}
	return &configv1.AcceptedDeployment{
		Revision:       delta.GetRevision(),
		ApplyId:        delta.GetApplyId(),
		Author:         delta.GetAuthor(),
		AcceptedUnixMs: delta.GetAcceptedUnixMs(),
		Deployment:     d,
		Recent:         appendRecent(from.GetRecent(), delta.GetRevision(), delta.GetApplyId()),
		KeyHomes:       delta.GetKeyHomes(),
	}, nil
}

// sectionRef is a comparable configv1.SectionRef.
type sectionRef struct{ section, name string }

// merge returns the items of a with the removed ones left out and the changed
// ones replaced or added, ordered by name.
func merge[M named](removed map[sectionRef]bool, section string, a, changed []M) []M {
	newer := byName(changed)
	var list []M
	for _, item := range a {
		_, replaced := newer[item.GetName()]
		if !replaced && !removed[sectionRef{section, item.GetName()}] {
			list = append(list, item)
		}
	}
	list = append(list, changed...)
	slices.SortStableFunc(list, func(x, y M) int { return cmp.Compare(x.GetName(), y.GetName()) })
	return list
}
