package gateway

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// newTestService returns a service with servers.
func newTestService(servers ...fleet.Server) (*Gateway, *service) {
	g := New(Options{Name: "gw", Registerer: prometheus.NewRegistry()})
	spec := fleet.Service{Name: "app"}
	s := g.newService(spec)
	s.setServers(0, spec, servers)
	return g, s
}

// TestRequestIsWithdrawnBeforeSend checks requests that were chosen before a statement.
func TestRequestIsWithdrawnBeforeSend(t *testing.T) {
	ready, leaving, paused := fleet.Server{ID: "i-1", StartedUnixMs: 1}, fleet.Server{ID: "i-2"}, fleet.Server{ID: "i-3"}
	_, s := newTestService(ready, leaving, paused)
	for _, server := range []fleet.Server{ready, leaving, paused} {
		require.True(t, s.mayReceive(time.Second, server.Key()), server.ID)
	}
	s.setLeaving(leaving.Key())
	s.pause(time.Second, paused, time.Second)
	require.True(t, s.mayReceive(time.Second, ready.Key()))
	require.False(t, s.mayReceive(time.Second, leaving.Key()))
	require.False(t, s.mayReceive(time.Second, paused.Key()))
	require.False(t, s.mayReceive(time.Second, fleet.Key{ID: "i-1", StartedUnixMs: 2}), "another start")
	require.False(t, s.mayReceive(time.Second, fleet.Key{ID: "i-4"}), "not registered any more")
	require.False(t, s.mayCall(time.Second, "i-3"))
	require.True(t, s.mayCall(3*time.Second, "i-3"))
}

// TestHoldNamesFirstServerToReturn checks versions, stages and servers that leave.
func TestHoldNamesFirstServerToReturn(t *testing.T) {
	a, b := fleet.Server{ID: "i-a", Stage: fleet.StageDecode, Version: "v1"}, fleet.Server{ID: "i-b", Stage: fleet.StageDecode, Version: "v2"}
	prefill, leaving := fleet.Server{ID: "i-p", Stage: fleet.StagePrefill}, fleet.Server{ID: "i-l", Stage: fleet.StageDecode, Leaving: true}
	_, s := newTestService(a, b, prefill, leaving)
	until := s.pause(time.Second, a, 10*time.Second)
	require.True(t, s.hold(time.Second, placement.Request{}).free, "i-b is free")
	h := s.hold(time.Second, placement.Request{VersionPinned: true, Version: "v1"})
	require.Equal(t, hold{held: true, paused: true, ends: true, wait: until - time.Second}, h)
	require.Equal(t, h.wait, h.retryAfter())
	first := s.pause(time.Second, b, 3*time.Second)
	require.Equal(t, first-time.Second, s.hold(time.Second, placement.Request{}).retryAfter())
	require.Equal(t, busyRetryAfter, hold{free: true, held: true}.retryAfter())
}
