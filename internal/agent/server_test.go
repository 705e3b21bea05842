package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// TestUnresponsiveEngineIsDown checks that an engine is reported as down after
// maxFailedReads failed reads, even while its gate is closed for an order, and
// that each change is reported once.
func TestUnresponsiveEngineIsDown(t *testing.T) {
	kind := configv1.ServiceKind_SERVICE_KIND_MODEL
	s := newServer(&configv1.BackendServer{Name: "e1"}, kind, newGate(newAttemptTable(1)), nil)
	changes := 0
	s.onChange = func() { changes++ }
	s.recordState(&enginev1.State{})
	for range maxFailedReads - 1 {
		s.recordReadFailure()
	}
	require.Equal(t, peerv1.ServerState_SERVER_STATE_SERVING, s.load().GetState())
	s.recordReadFailure()
	s.closeGate(closedByOrder) // the reconciler closes the gate as well
	require.Equal(t, peerv1.ServerState_SERVER_STATE_DOWN, s.load().GetState())
	s.openGate(closedByOrder)
	s.recordState(&enginev1.State{})
	require.Equal(t, peerv1.ServerState_SERVER_STATE_SERVING, s.load().GetState())
	require.Equal(t, 4, changes, "expected changes: down, closed, opened, up")
}

// TestLeavingInstanceClosesGates checks that the agent closes its gates while
// the platform lists its address as leaving, with or without the port.
func TestLeavingInstanceClosesGates(t *testing.T) {
	a := &Agent{opts: Options{Address: "10.0.0.1:7001"}, servers: map[string]*server{}}
	s := newServer(&configv1.BackendServer{Name: "e1"}, 0, newGate(newAttemptTable(1)), nil)
	a.servers["e1"] = s
	for _, c := range []struct {
		addresses []string
		want      peerv1.ServerState
	}{
		{[]string{"10.0.0.2"}, peerv1.ServerState_SERVER_STATE_SERVING},
		{[]string{"10.0.0.1"}, peerv1.ServerState_SERVER_STATE_DRAINING},
		{nil, peerv1.ServerState_SERVER_STATE_SERVING},
		{[]string{"10.0.0.1:7001"}, peerv1.ServerState_SERVER_STATE_DRAINING},
	} {
		a.setLeaving(c.addresses)
		require.Equal(t, c.want, s.load().GetState(), "%v", c.addresses)
	}
}
