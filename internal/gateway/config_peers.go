package gateway

import (
	"context"
	"sync/atomic"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

const (
	// configFetchDelay is how long a gateway that is behind another one may take to read
	// the newer configuration from the store before it asks the other one.
	configFetchDelay = 400 * time.Millisecond
	// configFetchTimeout bounds the transfer of a configuration, which may have a size of
	// several megabytes and cross a slow link.
	configFetchTimeout = 5 * time.Second
)

// ConfigClient asks other gateways for their configuration.
type ConfigClient interface {
	FetchConfig(ctx context.Context, address string, fetch *peerv1.FetchConfig) (*peerv1.FetchConfigReply, error)
}

// configFollower puts configurations into force.
type configFollower interface {
	// Config returns the configuration in force; nil if there is none.
	Config() *fleet.Config
	// ApplyPeerConfig puts a configuration of another gateway into force if it is newer.
	ApplyPeerConfig(config *fleet.Config, peer string)
}

// configFetcher gets the configuration from other gateways while the store does not serve
// this one.
type configFetcher struct {
	log      logevent.Log
	client   ConfigClient
	follower configFollower
	// busy is set while a fetch is due or in progress.
	busy atomic.Bool
}

// observe processes the configuration version that another gateway states. It does not
// wait.
func (f *configFetcher) observe(ctx context.Context, h *peerv1.Heartbeat) {
	if !f.isBehind(h.GetConfigRevision()) || !f.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.busy.Store(false)
		f.fetch(ctx, h.GetSender(), h.GetAddress(), h.GetConfigRevision())
	}()
}

// isBehind reports whether a version is newer than that in force.
func (f *configFetcher) isBehind(version uint64) bool { return version > f.version() }

// version returns the version of the configuration in force, 0 if there is none.
func (f *configFetcher) version() uint64 {
	if config := f.follower.Config(); config != nil {
		return uint64(config.Version)
	}
	return 0
}

// fetch gets a configuration from another gateway unless the store has served it meanwhile.
func (f *configFetcher) fetch(ctx context.Context, peer, address string, version uint64) {
	select {
	case <-time.After(configFetchDelay):
	case <-ctx.Done():
		return
	}
	if !f.isBehind(version) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	reply, err := f.client.FetchConfig(ctx, address, &peerv1.FetchConfig{HaveRevision: f.version()})
	if err == nil {
		var config *fleet.Config
		if config, err = configFromProto(reply.GetGatewayConfig()); err == nil {
			f.follower.ApplyPeerConfig(config, peer)
			return
		}
	}
	f.log.Write(logevent.PeerConfigNotFetched(peer, version, err))
}

// serve answers another gateway that asks for a newer configuration than it has.
func (f *configFetcher) serve(fetch *peerv1.FetchConfig) *peerv1.FetchConfigReply {
	if fetch.GetHaveRevision() >= f.version() {
		return &peerv1.FetchConfigReply{}
	}
	return &peerv1.FetchConfigReply{GatewayConfig: configToProto(f.follower.Config())}
}
