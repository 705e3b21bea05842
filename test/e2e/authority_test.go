package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/plannerloop"
	"github.com/marigoldwing/marigoldwing/internal/reconcile"
	"github.com/marigoldwing/marigoldwing/internal/standin/engine"
)

// quiet is how long a test watches that nothing happens.
const quiet = 2 * time.Second

// writePlan writes a plan for one engine in place of the stored one and
// returns its version.
func (f *fleet) writePlan(b *backend, role configv1.Role) uint64 {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	key := plannerloop.PlanKey(modelService)
	stored, err := f.store.Get(ctx, key)
	if err != nil {
		stored.Version = 0
	}
	value, err := proto.Marshal(&peerv1.Plan{
		Service: modelService,
		Assignments: []*peerv1.Assignment{
			{BackendServer: b.config.GetName(), Role: role},
		},
	})
	require.NoError(f.t, err)
	written, err := f.store.Put(ctx, key, value, stored.Version)
	require.NoError(f.t, err)
	return written.Version
}

// engineRecord returns what an engine has done.
func (b *backend) engineRecord(t *testing.T) engine.Record {
	t.Helper()
	resp, err := http.Get(b.url() + engine.PathRecord)
	require.NoError(t, err)
	defer resp.Body.Close()
	var record engine.Record
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&record))
	return record
}

// orders returns what orders reached an engine.
func (b *backend) orders(t *testing.T) []engine.OrderRecord {
	t.Helper()
	return b.engineRecord(t).Orders
}

// waitRole returns when the engine's newest order was for a role.
func (b *backend) waitRole(t *testing.T, role configv1.Role, timeout time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		orders := b.orders(t)
		n := len(orders)
		return n > 0 && orders[n-1].Accepted && orders[n-1].Role == role.String()
	}, timeout, 50*time.Millisecond, "no order for %s", role)
}

// TestFrozenAgentIsReplaced freezes an agent while the plan changes, starts
// its successor, and kills the frozen one. While it is frozen its successor
// sends nothing; the change that was taken back is never ordered; and no two
// orders meet at the engine, whether it checks the fencing number or not.
func TestFrozenAgentIsReplaced(t *testing.T) {
	t.Parallel()
	for name, checks := range map[string]bool{"engine checks": true, "engine ignores": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			agent := f.addAgent()
			b := f.addEngine(agent, "-role", "decode", "-role-change", "500ms", "-fencing="+map[bool]string{true: "true", false: "false"}[checks])
			b.config.ChecksFencing = checks
			f.apply()
			f.writePlan(b, configv1.Role_ROLE_DECODE)
			time.Sleep(quiet)

			frozen := agent.proc
			frozen.freeze()
			before := len(b.orders(t))
			f.writePlan(b, configv1.Role_ROLE_PREFILL)
			f.spawnAgent(agent)
			time.Sleep(quiet)
			require.Len(t, b.orders(t), before, "a successor waits for the frozen agent to go")

			newest := f.writePlan(b, configv1.Role_ROLE_MIXED)
			frozen.kill()
			b.waitRole(t, configv1.Role_ROLE_MIXED, reconcile.DefaultMaxOrderDuration+startTimeout)
			checkOrders(t, b.orders(t), newest)
		})
	}
}

// checkOrders checks that orders never met, and that none was for prefill.
func checkOrders(t *testing.T, orders []engine.OrderRecord, newest uint64) {
	t.Helper()
	var last uint64
	for _, o := range orders {
		require.True(t, o.Accepted, o.Reason)
		require.False(t, o.Changing, "an order met another")
		require.Zero(t, o.RunningSequences, "an order cut sequences off")
		require.GreaterOrEqual(t, o.Fencing, last)
		require.NotEqual(t, configv1.Role_ROLE_PREFILL.String(), o.Role)
		last = o.Fencing
	}
	require.Equal(t, newest, last)
}

// storedPlan returns the plan in the store, or an empty one.
func (f *fleet) storedPlan() *peerv1.Plan {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	obj, err := f.store.Get(ctx, plannerloop.PlanKey(modelService))
	if err != nil {
		return nil
	}
	plan, err := plannerloop.DecodePlan(obj)
	require.NoError(f.t, err)
	return plan
}

// planner returns the entry that wrote a plan.
func (f *fleet) planner(plan *peerv1.Plan) *member {
	for _, m := range f.entries {
		if strings.HasPrefix(plan.GetPlanner(), m.name+"/") {
			return m
		}
	}
	return nil
}

// TestWokenPlannerHasNoEffect freezes the entry that plans, in the middle of
// having engines load their model one after the other, until another has taken
// over, and wakes it while it has a change left to make: each plan from then
// on is the successor's, and each engine gets one order.
func TestWokenPlannerHasNoEffect(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	agent := f.addAgent()
	first := f.addEngine(agent, "-load-model", "2s")
	second := f.addEngine(agent, "-load-model", "2s")
	f.addEntry()
	f.addEntry()
	f.apply()
	require.Eventually(t, func() bool { return len(f.storedPlan().GetAssignments()) == 2 },
		startTimeout, 100*time.Millisecond, "nobody plans")

	holder := f.planner(f.storedPlan())
	require.NotNil(t, holder)
	holder.freeze()
	require.Eventually(t, func() bool {
		m := f.planner(f.storedPlan())
		return m != nil && m != holder
	}, 3*lease.DefaultTTL, 200*time.Millisecond, "nobody takes over")
	plan := f.storedPlan()

	holder.thaw()
	for end := time.Now().Add(2 * plannerloop.DefaultInterval); time.Now().Before(end); {
		now := f.storedPlan()
		require.Equal(t, plan.GetPlanner(), now.GetPlanner(), "the woken planner wrote the plan")
		require.GreaterOrEqual(t, now.GetVersion(), plan.GetVersion())
		plan = now
		time.Sleep(50 * time.Millisecond)
	}
	for _, b := range []*backend{first, second} {
		b.waitRole(t, configv1.Role_ROLE_MIXED, 3*startTimeout)
		require.Len(t, b.orders(t), 1, "one order, to load the model")
	}
}
