package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPeerBackoffIsPerGateway checks that the failure of one gateway does not
// put the others into backoff: services have different coordinators.
func TestPeerBackoffIsPerGateway(t *testing.T) {
	var backoff peerBackoff
	require.True(t, backoff.elapsed(0, "gw-1"))
	require.False(t, backoff.reset("gw-1"))
	require.True(t, backoff.start(time.Second, "gw-1"))
	require.False(t, backoff.elapsed(time.Second, "gw-1"))
	require.True(t, backoff.elapsed(time.Second, "gw-2"))
	require.True(t, backoff.elapsed(time.Second+coordinatorBackoff, "gw-1"), "may be called again")
	require.False(t, backoff.start(2*time.Second, "gw-1"), "reported once per failure")
	require.True(t, backoff.reset("gw-1"))
	require.True(t, backoff.elapsed(2*time.Second, "gw-1"))
	require.True(t, backoff.start(3*time.Second, "gw-1"))
}
