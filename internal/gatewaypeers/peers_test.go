package gatewaypeers

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

func TestPeersLiveAsLongAsTheyAreHeard(t *testing.T) {
	table := NewTable("a")
	table.AddPeer(0, "b", "10.0.0.2:1")
	require.Equal(t, 1, table.LiveCount(0))
	require.True(t, table.ObserveHeartbeat(time.Second, "b", "10.0.0.2:1", 5, false))
	require.Equal(t, 2, table.LiveCount(time.Second))
	require.False(t, table.ObserveHeartbeat(time.Second, "b", "10.0.0.9:1", 4, false), "an earlier incarnation")
	require.False(t, table.ObserveHeartbeat(time.Second, "a", "10.0.0.1:1", 9, false), "itself")
	require.Equal(t, 1, table.LiveCount(time.Second+leastLiveFor))
	table.ObserveHeartbeat(2*time.Second, "b", "10.0.0.2:1", 5, true)
	require.Equal(t, 1, table.LiveCount(2*time.Second), "a gateway that leaves")
}

func TestSilentPeersAreTriedAndThenForgotten(t *testing.T) {
	table := NewTable("a")
	table.AddPeer(0, "b", "10.0.0.2:1")
	require.Len(t, table.HeartbeatPeers(time.Second), 1)
	forgotten := forgetTimes*leastLiveFor + time.Second
	require.Empty(t, table.HeartbeatPeers(forgotten))
	table.AddPeer(forgotten, "b", "10.0.0.2:1")
	require.Len(t, table.HeartbeatPeers(forgotten), 1)
}

// What one gateway sends does not grow with the fleet, and every peer has its
// turn before it would count as lost, at the target's size too.
func TestRoundsReachEveryone(t *testing.T) {
	for _, gateways := range []int{3, 24, 350} {
		table := NewTable("a")
		for i := range gateways {
			table.ObserveHeartbeat(0, fmt.Sprintf("front-zone-%d", i), "10.0.0.2:1", 1, false)
		}
		last := map[string]int{}
		longest := 0
		for round := range 400 {
			partners := table.HeartbeatPeers(0)
			require.LessOrEqual(t, len(partners), partnersPerRound+silentPerRound)
			for _, p := range partners {
				longest = max(longest, round-last[p.Name])
				last[p.Name] = round
			}
		}
		require.Len(t, last, gateways)
		require.Less(t, time.Duration(longest)*HeartbeatInterval, table.liveFor())
	}
}

// node is one gateway's exchange on loopback.
type node struct {
	*Heartbeater
	mu    sync.Mutex
	heard map[string]uint64
}

func (n *node) version(peer string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heard[peer]
}

func start(t *testing.T, name string, store Store, version uint64) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	metrics := peerrpc.NewMetrics(prometheus.NewRegistry())
	client := peerrpc.NewClient(peerrpc.ClientOptions{Metrics: metrics})
	n := &node{heard: make(map[string]uint64)}
	n.Heartbeater = NewHeartbeater(Options{
		Name: name, Address: address, Incarnation: uint64(time.Now().UnixNano()), Store: store, Client: client,
		FillHeartbeat: func(h *peerv1.Heartbeat) { h.ConfigRevision = version },
		OnHeartbeat: func(h *peerv1.Heartbeat) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.heard[h.GetSender()] = h.GetConfigRevision()
		},
	})
	server := peerrpc.NewServer(address, n.Heartbeater, metrics, logevent.Log{})
	require.NoError(t, server.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Start(ctx) })
	running.Go(func() { n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = server.Stop(ctx)
		client.Close()
		running.Wait()
	})
	return n
}

func TestGatewaysFindEachOtherThroughTheStore(t *testing.T) {
	store := fake.New(fake.Options{})
	nodes := []*node{start(t, "a", store, 1), start(t, "b", store, 2), start(t, "c", store, 3)}
	// A predecessor's entry is replaced.
	nodes = append(nodes, start(t, "d", store, 4))
	for _, n := range nodes {
		require.Eventually(t, func() bool { return n.LiveCount() == len(nodes) }, 20*time.Second, 5*time.Millisecond)
	}
	require.Eventually(t, func() bool { return nodes[0].version("d") == 4 }, 20*time.Second, 5*time.Millisecond)
}

// Gateways that know the same others name the same owner, and a thing moves
// only when its owner is gone.
func TestOwnersAreAgreedOnAndMoveOnlyWhenGone(t *testing.T) {
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
		thing := fmt.Sprint("service-", i)
		owner, _ := tables["a"].Owner(0, thing)
		for _, self := range names {
			name, address := tables[self].Owner(0, thing)
			require.Equal(t, owner, name)
			require.Equal(t, self == owner, address == "")
		}
		without := NewTable("a")
		for _, other := range names[:4] {
			without.ObserveHeartbeat(0, other, "10.0.0.2:"+other, 1, false)
		}
		next, _ := without.Owner(0, thing)
		if owner != "e" {
			require.Equal(t, owner, next)
			continue
		}
		moved++
	}
	require.Positive(t, moved)
	require.Less(t, moved, 40)
}
