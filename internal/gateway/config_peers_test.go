package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/accounts"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/limits"
)

// keyedConfig returns a configuration in which one account has a key.
func keyedConfig(version int64, key string) *fleet.Config {
	config := fleet.NewConfig(version, 4096, []fleet.Route{
		{Name: "r", Host: "h", Prefix: "/r/", Kind: fleet.Streaming, Resumable: true, Timeout: time.Second, LatencyObjective: 250 * time.Millisecond,
			MaxEventGap: 2 * time.Second, MaxAttempts: 2, Priority: 3, Targets: []fleet.Target{{Service: "lm", Weight: 9}, {Service: "app", Weight: 1}}},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: fleet.Idempotent, MaxAttempts: 1, Public: true, Targets: []fleet.Target{{Service: "app", Weight: 1}}},
	}, []fleet.Service{
		{Name: "app", HealthPath: "/health", Scaling: &fleet.Scaling{Min: 1, Max: 4, StartTime: 2 * time.Second}},
		{Name: "lm", Engine: &fleet.EngineSpec{Slots: 8, KVCapacityTokens: 1000, KVBytesPerToken: 16, LinkMbps: 100, StageChangeTime: 3 * time.Second}},
	})
	config.Accounts = accounts.New([]accounts.Entry{
		{Account: accounts.Account{Client: limits.Client{Name: "a"}, Priority: 1, HasPriority: true}, Keys: []accounts.Digest{accounts.DigestOf(key), accounts.DigestOf("other")}},
		{Account: accounts.Account{Client: limits.Client{Name: "b"}}},
	})
	return config
}

// TestConfigSurvivesTransfer guards against a part of a configuration that another gateway
// does not get, and against a key that leaves the process.
func TestConfigSurvivesTransfer(t *testing.T) {
	sent := keyedConfig(7, "secret-key")
	message := configToProto(sent)
	data, err := proto.Marshal(message)
	require.NoError(t, err)
	require.NotContains(t, string(data), "secret-key")
	received := &peerv1.GatewayConfig{}
	require.NoError(t, proto.Unmarshal(data, received))
	config, err := configFromProto(received)
	require.NoError(t, err)
	require.Equal(t, sent, config)
}

// TestOddTransferIsRejected guards against a configuration of another gateway that is used
// though a part of it is missing.
func TestOddTransferIsRejected(t *testing.T) {
	cut := configToProto(keyedConfig(7, "k"))
	cut.Accounts[0].KeyDigests = cut.Accounts[0].KeyDigests[1:]
	for _, message := range []*peerv1.GatewayConfig{nil, {Version: 9}, cut} {
		_, err := configFromProto(message)
		require.Error(t, err)
	}
}

// fakeConfigFollower holds a configuration.
type fakeConfigFollower struct {
	mu     sync.Mutex
	config *fleet.Config
}

func (f *fakeConfigFollower) Config() *fleet.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *fakeConfigFollower) ApplyPeerConfig(config *fleet.Config, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = fleet.Newer(f.config, config)
}

// servingPeer answers like another gateway, or fails.
type servingPeer struct {
	fetcher *configFetcher
	err     error
	mu      sync.Mutex
	fetches int
}

func (p *servingPeer) FetchConfig(_ context.Context, _ string, fetch *peerv1.FetchConfig) (*peerv1.FetchConfigReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetches++
	if p.err != nil {
		return nil, p.err
	}
	return p.fetcher.serve(fetch), nil
}

// TestGatewayWithoutStoreGetsConfigFromPeer guards against a withdrawn key that is served
// for as long as the store rejects the calls of a gateway, though other gateways have the newer
// configuration.
func TestGatewayWithoutStoreGetsConfigFromPeer(t *testing.T) {
	for name, own := range map[string]*fleet.Config{"just started": nil, "behind": keyedConfig(6, "withdrawn")} {
		peer := &servingPeer{fetcher: &configFetcher{follower: &fakeConfigFollower{config: keyedConfig(7, "new")}}}
		follower := &fakeConfigFollower{config: own}
		f := &configFetcher{client: peer, follower: follower}
		begun := time.Now()
		f.observe(t.Context(), &peerv1.Heartbeat{Sender: "gw-2", Address: "10.0.0.2:1", ConfigRevision: 7})
		require.Eventually(t, func() bool { return follower.Config() != nil && follower.Config().Version == 7 }, 2*time.Second, 5*time.Millisecond, name)
		require.GreaterOrEqual(t, time.Since(begun), configFetchDelay, "the store comes first")
		_, ok := follower.Config().Accounts.Authenticate("withdrawn")
		require.False(t, ok)
	}
}

// TestNewerConfigOfStoreIsNotFetchedAgain guards against a transfer of each configuration
// from gateway to gateway while the store serves all of them.
func TestNewerConfigOfStoreIsNotFetchedAgain(t *testing.T) {
	peer := &servingPeer{err: errors.New("not to be called")}
	follower := &fakeConfigFollower{config: keyedConfig(6, "k")}
	f := &configFetcher{client: peer, follower: follower}
	f.observe(t.Context(), &peerv1.Heartbeat{Sender: "gw-2", ConfigRevision: 7})
	follower.ApplyPeerConfig(keyedConfig(7, "k"), "")
	require.Eventually(t, func() bool { return !f.busy.Load() }, 2*time.Second, 5*time.Millisecond)
	f.observe(t.Context(), &peerv1.Heartbeat{Sender: "gw-2", ConfigRevision: 6})
	require.False(t, f.busy.Load())
	require.Zero(t, peer.fetches)
}
