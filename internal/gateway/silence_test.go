package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Services have owners of their own: one that is silent says nothing of the
// others.
func TestSilenceIsOfOneGateway(t *testing.T) {
	var s silence
	require.True(t, s.over(0, "gw-1"))
	require.False(t, s.ends("gw-1"))
	require.True(t, s.begins(time.Second, "gw-1"))
	require.False(t, s.over(time.Second, "gw-1"))
	require.True(t, s.over(time.Second, "gw-2"))
	require.True(t, s.over(time.Second+placePause, "gw-1"), "it is asked again")
	require.False(t, s.begins(2*time.Second, "gw-1"), "told once")
	require.True(t, s.ends("gw-1"))
	require.True(t, s.over(2*time.Second, "gw-1"))
	require.True(t, s.begins(3*time.Second, "gw-1"))
}
