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

// Bytes a second at the target's size: the budget of a process, and the part
// of it that the spread leaves to an entry (TestControlTrafficAtTheTarget in
// internal/dissemination holds the other part).
const (
	controlBudget = 3000
	spreadPart    = 1100
	targetAgents  = 320
)

// TestAskingAgentsStaysWithinTheBudget adds up what an idle entry spends on
// hearing from agents before three engines each.
func TestAskingAgentsStaysWithinTheBudget(t *testing.T) {
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
	t.Logf("%d bytes an exchange, %d B/s at one round in %s", exchange, perSecond, time.Second)
	require.LessOrEqual(t, perSecond, controlBudget-spreadPart)
}
