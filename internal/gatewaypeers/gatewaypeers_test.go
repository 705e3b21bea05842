package gatewaypeers

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// TestPeerLiveness checks that a peer counts as live from its first heartbeat
// until the liveness timeout or its announced shutdown, and that heartbeats of
// an earlier incarnation are ignored.
func TestPeerLiveness(t *testing.T) {
	table := NewTable("a")
	table.AddPeer(0, "b", "10.0.0.2:1")
	require.Equal(t, 1, table.LiveCount(0))
	require.True(t, table.ObserveHeartbeat(time.Second, "b", "10.0.0.2:1", 5, false))
	require.Equal(t, 2, table.LiveCount(time.Second))
	require.False(t, table.ObserveHeartbeat(time.Second, "b", "10.0.0.9:1", 4, false), "heartbeat of an earlier incarnation")
	require.False(t, table.ObserveHeartbeat(time.Second, "a", "10.0.0.1:1", 9, false), "own heartbeat")
	require.Equal(t, 1, table.LiveCount(time.Second+minLiveness))
	table.ObserveHeartbeat(2*time.Second, "b", "10.0.0.2:1", 5, true)
	require.Equal(t, 1, table.LiveCount(2*time.Second), "a leaving gateway is not live")
}

// A gateway that is cut off from its peers must not take their shares of the
// fleet's limits, since they go on serving.
func TestCutOffGatewayKeepsItsShareOfFleetLimits(t *testing.T) {
	table := NewTable("a")
	for i := range 19 {
		table.AddPeer(0, fmt.Sprint("listed", i), "10.0.0.2:1")
	}
	require.Len(t, table.SharingNames(0), 20, "peers that the store lists count before their first heartbeat")
	for i := range 19 {
		table.ObserveHeartbeat(time.Second, fmt.Sprint("listed", i), "10.0.0.2:1", 1, i == 0)
	}
	silent := 2*time.Second + minLiveness
	table.HeartbeatPeers(silent)
	require.Equal(t, 1, table.LiveCount(silent))
	require.Len(t, table.SharingNames(silent), 19, "all but the one that has left")
	evicted := time.Second + evictAfterTimeouts*table.livenessTimeout() + time.Second
	table.HeartbeatPeers(evicted)
	table.HeartbeatPeers(evicted)
	require.Len(t, table.SharingNames(evicted), 1)
}

// TestSilentPeersAreContactedThenEvicted checks that a peer known only from the
// store is contacted, evicted after a while, and contacted again if it is
// listed again.
func TestSilentPeersAreContactedThenEvicted(t *testing.T) {
	table := NewTable("a")
	table.AddPeer(0, "b", "10.0.0.2:1")
	require.Len(t, table.HeartbeatPeers(time.Second), 1)
	evicted := evictAfterTimeouts*minLiveness + time.Second
	require.Empty(t, table.HeartbeatPeers(evicted))
	table.AddPeer(evicted, "b", "10.0.0.2:1")
	require.Len(t, table.HeartbeatPeers(evicted), 1)
}

// TestRoundsReachAllPeersInTime checks that the number of heartbeats per round
// does not grow with the fleet, up to the design target of 350 gateways, and
// that each peer is contacted before it would no longer count as live.
func TestRoundsReachAllPeersInTime(t *testing.T) {
	for _, gateways := range []int{3, 24, 350} {
		table := NewTable("a")
		for i := range gateways {
			table.ObserveHeartbeat(0, fmt.Sprintf("front-zone-%d", i), "10.0.0.2:1", 1, false)
		}
		last := map[string]int{}
		longest := 0
		for round := range 400 {
			peers := table.HeartbeatPeers(0)
			require.LessOrEqual(t, len(peers), livePeersPerRound+silentPeersPerRound)
			for _, p := range peers {
				longest = max(longest, round-last[p.Name])
				last[p.Name] = round
			}
		}
		require.Len(t, last, gateways)
		require.Less(t, time.Duration(longest)*HeartbeatInterval, table.livenessTimeout())
	}
}

// testGateway is the Heartbeater of one gateway, listening on loopback.
type testGateway struct {
	*Heartbeater
	mu        sync.Mutex
	revisions map[string]uint64
}

func (g *testGateway) revision(peer string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.revisions[peer]
}

// startGateway runs a gateway that reports the given configuration revision in
// its heartbeats.
func startGateway(t *testing.T, name string, store Store, revision uint64) *testGateway {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	metrics := peerrpc.NewMetrics(prometheus.NewRegistry())
	client := peerrpc.NewClient(peerrpc.ClientOptions{Metrics: metrics})
	g := &testGateway{revisions: make(map[string]uint64)}
	g.Heartbeater = NewHeartbeater(Options{
		Name: name, Address: address, Incarnation: uint64(time.Now().UnixNano()), Store: store, Client: client,
		FillHeartbeat: func(h *peerv1.Heartbeat) { h.ConfigRevision = revision },
		OnHeartbeat: func(h *peerv1.Heartbeat) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.revisions[h.GetSender()] = h.GetConfigRevision()
		},
	})
	server := peerrpc.NewServer(address, g.Heartbeater, metrics, logevent.Log{})
	require.NoError(t, server.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Start(ctx) })
	running.Go(func() { g.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = server.Stop(ctx)
		client.Close()
		running.Wait()
	})
	return g
}

// TestGatewaysDiscoverEachOtherThroughStore checks that gateways that know no
// address at start discover each other and exchange their configuration
// revisions.
func TestGatewaysDiscoverEachOtherThroughStore(t *testing.T) {
	store := fake.New(fake.Options{})
	gateways := []*testGateway{startGateway(t, "a", store, 1), startGateway(t, "b", store, 2), startGateway(t, "c", store, 3)}
	// A gateway that joins later must be found as well.
	gateways = append(gateways, startGateway(t, "d", store, 4))
	for _, g := range gateways {
		require.Eventually(t, func() bool { return g.LiveCount() == len(gateways) }, 20*time.Second, 5*time.Millisecond)
	}
	require.Eventually(t, func() bool { return gateways[0].revision("d") == 4 }, 20*time.Second, 5*time.Millisecond)
}

// restoredStore is a store whose content is replaced by an empty copy when its
// generation increases.
type restoredStore struct {
	generation atomic.Uint64
	stores     [3]*fake.Store
}

func (s *restoredStore) current() *fake.Store { return s.stores[s.generation.Load()] }

func (s *restoredStore) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	return s.current().Get(ctx, key)
}

func (s *restoredStore) List(ctx context.Context, kind string) ([]platform.Object, error) {
	return s.current().List(ctx, kind)
}

func (s *restoredStore) Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error) {
	return s.current().Put(ctx, key, value, want)
}

func (s *restoredStore) Generation() uint64 { return s.generation.Load() }

// TestGatewayRegistersAgainAfterRestore checks that gateways whose registrations
// the store has forgotten register again, so that one that starts later finds
// them.
func TestGatewayRegistersAgainAfterRestore(t *testing.T) {
	store := &restoredStore{stores: [3]*fake.Store{fake.New(fake.Options{}), fake.New(fake.Options{}), fake.New(fake.Options{})}}
	store.generation.Store(1)
	gateways := []*testGateway{startGateway(t, "a", store, 1), startGateway(t, "b", store, 2)}
	require.Eventually(t, func() bool { return gateways[0].LiveCount() == 2 }, 20*time.Second, 5*time.Millisecond)
	store.generation.Store(2)
	registered := func() int {
		objects, err := store.List(t.Context(), KindGateway)
		require.NoError(t, err)
		return len(objects)
	}
	require.Eventually(t, func() bool { return registered() == 2 }, 20*time.Second, 5*time.Millisecond)
	late := startGateway(t, "c", store, 3)
	require.Eventually(t, func() bool { return late.LiveCount() == 3 }, 20*time.Second, 5*time.Millisecond)
}

// TestOwnersAgreeAndMoveOnlyWhenGone checks that gateways with the same live
// peers agree on the owner of each key, and that a key changes its owner only
// if the owner is gone.
func TestOwnersAgreeAndMoveOnlyWhenGone(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	tables := map[string]*Table{}
	for _, self := range names {
		tables[self] = NewTable(self)
		for _, other := range names {
			tables[self].ObserveHeartbeat(0, other, "10.0.0.2:"+other, 1, false)
		}
	}
	moved := 0
	for i := range 100 {
		key := fmt.Sprint("service-", i)
		owner, _ := tables["a"].Owner(0, key)
		for _, self := range names {
			name, address := tables[self].Owner(0, key)
			require.Equal(t, owner, name)
			require.Equal(t, self == owner, address == "")
		}
		without := NewTable("a")
		for _, other := range names[:4] {
			without.ObserveHeartbeat(0, other, "10.0.0.2:"+other, 1, false)
		}
		next, _ := without.Owner(0, key)
		if owner != "e" {
			require.Equal(t, owner, next)
			continue
		}
		moved++
	}
	require.Positive(t, moved)
	require.Less(t, moved, 40)
}
