package plannerloop

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/membership"
	"github.com/marigoldwing/marigoldwing/internal/planner"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

type members map[string]membership.Reason

func (m members) Reason(server string, _ time.Time) membership.Reason { return m[server] }

func deployment(version string, servers ...*configv1.BackendServer) *configv1.Deployment {
	return &configv1.Deployment{
		Models: []*configv1.Model{{Name: "tutor", Version: version}},
		Services: []*configv1.Service{{
			Name: service, Kind: configv1.ServiceKind_SERVICE_KIND_MODEL, Model: "tutor",
			GoodputPrice: 1, RoleChangePrice: 5, MaxChanges: 1,
		}},
		BackendServers: servers,
	}
}

func server(name string, role configv1.Role) *configv1.BackendServer {
	return &configv1.BackendServer{
		Name: name, Service: service, FailureDomain: "d1", Role: role,
		PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 1000,
	}
}

// TestTrackerObservation checks the planner input that results from load
// reports, demand and membership, and that a configuration change keeps the
// state of the engines that remain.
func TestTrackerObservation(t *testing.T) {
	m := members{"e2": membership.Changing, "e3": membership.HeartbeatMissing}
	tracker := NewTracker(TrackerOptions{Members: m})
	_, ok := tracker.Observe(service, time.Now())
	require.False(t, ok)
	tracker.SetDeployment(deployment("1", server("e1", decode), server("e2", mixed), server("e3", mixed)), 7)
	now := time.Unix(1000, 0)
	tracker.RecordLoad(&peerv1.Load{BackendServer: "e1", Role: prefill, ModelVersion: "1", QueuedPromptTokens: 30})
	tracker.RecordLoad(&peerv1.Load{BackendServer: "unknown"})
	for i := range 30 {
		at := now.Add(time.Duration(i) * time.Second)
		tracker.AddDemand(&peerv1.Demand{Service: service, Requests: 2, PromptTokens: 100, OutputTokens: 10}, at)
	}
	seen, ok := tracker.Observe(service, now.Add(30*time.Second))
	require.True(t, ok)
	require.Equal(t, uint64(7), seen.ConfigRevision)
	require.Len(t, seen.Input.Demand, 6)
	require.Equal(t, planner.Demand{Duration: 5 * time.Second, Requests: 10, PromptTokens: 500, OutputTokens: 50}, seen.Input.Demand[5])
	require.Equal(t, 30.0, seen.Input.Backlog.PromptTokens)
	states := []planner.EngineState{planner.StateServing, planner.StateChanging, planner.StateDown}
	for i, e := range seen.Input.Engines {
		require.Equal(t, states[i], e.State)
	}
	require.Equal(t, prefill, seen.Input.Engines[0].Role)
	require.Equal(t, planner.Model{Name: "tutor", Version: "1"}, seen.Input.Engines[0].Model)

	tracker.SetDeployment(deployment("2", server("e1", decode)), 8)
	seen, _ = tracker.Observe(service, now.Add(10*time.Minute))
	require.Equal(t, planner.Model{Name: "tutor", Version: "2"}, seen.Input.Model)
	require.Equal(t, prefill, seen.Input.Engines[0].Role, "an engine that remains keeps its state")
	require.Empty(t, seen.Input.Demand, "demand from before a long gap is dropped")
}

// TestLoopPlansFromTrackerInput runs the real planner on observations of a
// tracker. It must give a fleet of prefill engines one that can decode, and must
// not write a plan without changes.
func TestLoopPlansFromTrackerInput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker(TrackerOptions{Members: members{}})
		tracker.SetDeployment(deployment("1", server("e1", prefill), server("e2", prefill)), 1)
		plans := newPlanRelay()
		l := New(Config{
			Service: service, Self: identity("a"), Store: fake.New(fake.Options{}),
			Authority: permanentAuthority(1), Observer: tracker, Publisher: plans,
		})
		require.NoError(t, l.Step(t.Context()))
		plan := plans.Newest(service)
		require.Len(t, plan.GetAssignments(), 2)
		require.Contains(t, plan.GetExplanations()[0].GetDecision(), "repair")
		require.NotNil(t, l.LastExplanation())
		version := plan.GetVersion()
		require.NoError(t, l.Step(t.Context()))
		require.Equal(t, version, plans.Newest(service).GetVersion(), "a decision without changes must not write the plan")
	})
}
