package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/dissemination"
)

// Control traffic in bytes per second at the target size of the fleet: the
// budget of a process, and the part of it reserved for dissemination at an
// entry (checked by TestControlTrafficAtTargetSize in internal/dissemination).
const (
	controlBudget       = 3000
	disseminationBudget = 1100
	targetAgents        = 320
)

// TestProbingStaysWithinTrafficBudget adds up the traffic that an idle entry
// spends on probing agents with three engines each.
func TestProbingStaysWithinTrafficBudget(t *testing.T) {
	own := &peerv1.Heartbeat{
		Sender: "entry-cradock-001", SenderRole: "entry", FailureDomain: "cradock", Address: "10.101.102.103:7211",
		Incarnation: 1 << 60, ConfigRevision: 1_000_000, StoreAgeMs: 2500,
		Plans: []*peerv1.PlanVersion{{Service: "guide-lm-01", Version: 123_456_789}, {Service: "guide-lm-02", Version: 123_456_789}},
	}
	reply := &peerv1.Heartbeat{
		Sender: "agent-cradock-001", SenderRole: "agent", FailureDomain: "cradock", Address: "10.101.102.103:7311",
		Incarnation: 1 << 60, ConfigRevision: 1_000_000, StoreAgeMs: 2500, Entries: 30, Plans: own.GetPlans(),
	}
	for i := range 3 {
		reply.Loads = append(reply.Loads, &peerv1.Load{
			BackendServer: fmt.Sprintf("engine-cradock-%04d", i), Seq: 1 << 30, Role: configv1.Role_ROLE_MIXED,
			ModelVersion: "2026.11", State: peerv1.ServerState_SERVER_STATE_SERVING, Incarnation: 1 << 60,
			TotalRequests: 1 << 30, TotalPromptTokens: 1 << 40, TotalOutputTokens: 1 << 40,
		})
	}
	exchange := dissemination.PeerMessageBytes(own) + dissemination.PeerMessageBytes(reply)
	perSecond := probesFor(targetAgents) * exchange
	t.Logf("%d bytes per exchange, %d B/s at one round per %s", exchange, perSecond, time.Second)
	require.LessOrEqual(t, perSecond, controlBudget-disseminationBudget)
}
