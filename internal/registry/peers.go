package registry

import (
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// SetGatewayCount sets the function that returns the number of gateways that
// notify each other, which allows for longer watches. It must be called before
// Run.
func (f *Follower) SetGatewayCount(count func() int) { f.gatewayCount = count }

// SetOnChange sets a function that is called after each change, to notify other
// gateways. It must be called before Run.
func (f *Follower) SetOnChange(onChange func()) { f.onChange = onChange }

// Versions returns the version of the configuration in force, 0 if there is
// none, and the revision of the newest known change of the registrations.
func (f *Follower) Versions() (configVersion int64, changeRevision revision.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configVersion(), f.changeRevision
}

// configVersion returns the version of the configuration in force, 0 if there is none.
// The caller holds f.mu.
func (f *Follower) configVersion() int64 {
	if f.config == nil {
		return 0
	}
	return f.config.Version
}

// Config returns the configuration in force; nil if there is none.
func (f *Follower) Config() *fleet.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// ApplyPeerConfig puts a configuration that another gateway has in force into force if it
// is newer. It says nothing about the store.
func (f *Follower) ApplyPeerConfig(config *fleet.Config, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.putIntoForce(config) {
		f.log.Write(logevent.PeerConfigApplied(config.Version, peer))
	}
}

// ObservePeerVersions processes the versions that another gateway reported in a
// heartbeat. A newer version that does not arrive through the own watch is read
// from the store by a list.
func (f *Follower) ObservePeerVersions(configVersion int64, changeRevision revision.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerConfigVersion = max(f.peerConfigVersion, configVersion)
	f.peerChangeRevision = max(f.peerChangeRevision, changeRevision)
	if f.behind(kindConfig) {
		signal(f.relist[kindConfig])
	}
	if f.behind(kindServers) {
		signal(f.relist[kindServers])
	}
}

// behind reports whether another gateway knows of a newer version, or a confirmation
// of the registrations is wanted. The caller holds f.mu.
func (f *Follower) behind(kind string) bool {
	if kind == kindConfig {
		return f.peerConfigVersion > f.configVersion()
	}
	return f.peerChangeRevision > f.knownRevision || f.confirmationWanted > f.confirmedAt[kindServers]
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
