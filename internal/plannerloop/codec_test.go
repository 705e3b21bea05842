package plannerloop

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/planner"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/reconcile"
)

func planWithAssignments(n int) *peerv1.Plan {
	plan := &peerv1.Plan{Service: service, Term: 3, Planner: "entry-1/1"}
	for i := range n {
		plan.Assignments = append(plan.Assignments, &peerv1.Assignment{
			BackendServer: fmt.Sprintf("engine-%04d", i), Role: mixed, Model: service,
			ModelVersion: "2026-02", ChangedVersion: uint64(i + 1), ChangedUnixMs: 1e12, PreviousRole: decode,
		})
	}
	return plan
}

func TestPlanRoundTrip(t *testing.T) {
	changed := time.UnixMilli(1_700_000_000_000)
	first := nextPlan(planWithAssignments(0), planner.Decision{
		Assignments: []planner.Assignment{{Engine: "e1", Role: decode, RoleChangedAt: changed, PreviousRole: mixed}},
		Changes:     []planner.Change{{Engine: "e1"}},
		Explanation: &peerv1.Explanation{Decision: "x"},
	})
	value, err := encode(first)
	require.NoError(t, err)
	stored, err := DecodePlan(platform.Object{Version: 42, Value: value})
	require.NoError(t, err)
	require.Equal(t, uint64(42), stored.GetVersion())
	require.Equal(t, uint64(42), stored.GetAssignments()[0].GetChangedVersion())
	engines := []planner.Engine{{Name: "e1"}, {Name: "e2"}}
	fillDesired(engines, stored)
	require.Equal(t, planner.Assignment{Engine: "e1", Role: decode, RoleChangedAt: changed, PreviousRole: mixed}, engines[0].Desired)
	require.Equal(t, configv1.Role_ROLE_UNSPECIFIED, engines[1].Desired.Role)

	again := nextPlan(stored, planner.Decision{Assignments: []planner.Assignment{engines[0].Desired}})
	require.True(t, sameAssignments(stored, again))
	require.Equal(t, uint64(42), again.GetAssignments()[0].GetChangedVersion())
}

func TestExplanationsAreBounded(t *testing.T) {
	plan := planWithAssignments(1)
	for range 3 * maxExplanations {
		plan = nextPlan(plan, planner.Decision{
			Changes: []planner.Change{{}}, Explanation: &peerv1.Explanation{},
		})
	}
	require.Len(t, plan.GetExplanations(), maxExplanations)
}

// BenchmarkReadPlan measures what an agent with three engines does with a new
// plan.
func BenchmarkReadPlan(b *testing.B) {
	for _, n := range []int{94, 470, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			value, err := encode(planWithAssignments(n))
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				plan, err := DecodePlan(platform.Object{Version: 42, Value: value})
				if err != nil {
					b.Fatal(err)
				}
				for i := range 3 {
					name := plan.GetAssignments()[n-1-i].GetBackendServer()
					if reconcile.DesiredFromPlan(plan, name).Version != 42 {
						b.Fatal("not found")
					}
				}
			}
			b.ReportMetric(float64(len(value)), "plan-B")
		})
	}
}
