package e2e

import (
	"context"
	"encoding/json"
	"errors"
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
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/reconcile"
	"github.com/marigoldwing/marigoldwing/internal/standin/engine"
)

// quietPeriod is the time for which a test waits to check that nothing happens.
const quietPeriod = 2 * time.Second

// writePlan replaces the stored plan by one with a single engine, and returns
// its version.
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

// engineRecord returns the orders and sequences that an engine has recorded.
func (b *backend) engineRecord(t *testing.T) engine.Record {
	t.Helper()
	resp, err := http.Get(b.url() + engine.PathRecord)
	require.NoError(t, err)
	defer resp.Body.Close()
	var record engine.Record
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&record))
	return record
}

// orders returns the orders that an engine has received.
func (b *backend) orders(t *testing.T) []engine.OrderRecord {
	t.Helper()
	return b.engineRecord(t).Orders
}

// waitRole waits until the engine's latest order is an accepted one for a role.
func (b *backend) waitRole(t *testing.T, role configv1.Role, timeout time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		orders := b.orders(t)
		n := len(orders)
		return n > 0 && orders[n-1].Accepted && orders[n-1].Role == role.String()
	}, timeout, 50*time.Millisecond, "no order for %s", role)
}

// TestPausedAgentIsReplaced pauses an agent, changes the plan, starts a second
// agent for the same engine, changes the plan again, and kills the paused agent.
// It checks that the second agent sends no orders before the first one has
// exited, that the change that was superseded meanwhile is never ordered, and
// that orders never overlap at the engine, whether or not it checks the fencing
// token.
func TestPausedAgentIsReplaced(t *testing.T) {
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
			time.Sleep(quietPeriod)

			paused := agent.proc
			paused.pause()
			before := len(b.orders(t))
			f.writePlan(b, configv1.Role_ROLE_PREFILL)
			f.spawnAgent(agent)
			time.Sleep(quietPeriod)
			require.Len(t, b.orders(t), before, "the second agent must wait until the paused one has exited")

			newest := f.writePlan(b, configv1.Role_ROLE_MIXED)
			paused.kill()
			b.waitRole(t, configv1.Role_ROLE_MIXED, reconcile.DefaultMaxOrderDuration+startTimeout)
			checkOrders(t, b.orders(t), newest)
		})
	}
}

// checkOrders checks that all orders were accepted with non-decreasing fencing
// tokens up to newest, that none overlapped with another order or interrupted
// sequences, and that none was for the superseded prefill role.
func checkOrders(t *testing.T, orders []engine.OrderRecord, newest uint64) {
	t.Helper()
	var last uint64
	for _, o := range orders {
		require.True(t, o.Accepted, o.Reason)
		require.False(t, o.Changing, "an order overlapped with another")
		require.Zero(t, o.RunningSequences, "an order interrupted sequences")
		require.GreaterOrEqual(t, o.FencingToken, last)
		require.NotEqual(t, configv1.Role_ROLE_PREFILL.String(), o.Role)
		last = o.FencingToken
	}
	require.Equal(t, newest, last)
}

// storedPlan returns the plan in the store, or nil if it cannot be read.
func (f *fleet) storedPlan() *peerv1.Plan {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	obj, err := f.store.Get(ctx, plannerloop.PlanKey(modelService))
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		f.t.Logf("%s: reading the plan: %v", time.Now().Format(time.StampMilli), err)
		return nil
	}
	plan, err := plannerloop.DecodePlan(obj)
	require.NoError(f.t, err)
	return plan
}

// planner returns the entry that wrote a plan, or nil if there is none.
func (f *fleet) planner(plan *peerv1.Plan) *member {
	for _, m := range f.entries {
		if strings.HasPrefix(plan.GetPlanner(), m.name+"/") {
			return m
		}
	}
	return nil
}

// TestResumedPlannerHasNoEffect pauses the entry that holds the planner's lease
// until another entry has taken over, and resumes it while it still has a change
// to make, because engines load their model one after the other. It checks that
// only the new leaseholder writes plans from then on, and that each engine gets
// exactly one order.
func TestResumedPlannerHasNoEffect(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	agent := f.addAgent()
	first := f.addEngine(agent, "-load-model", "2s")
	second := f.addEngine(agent, "-load-model", "2s")
	f.addEntry()
	f.addEntry()
	f.apply()
	require.Eventually(t, func() bool { return len(f.storedPlan().GetAssignments()) == 2 },
		startTimeout, 100*time.Millisecond, "no entry writes a plan")

	holder := f.planner(f.storedPlan())
	require.NotNil(t, holder)
	holder.pause()
	t.Logf("%s: %s is paused", time.Now().Format(time.StampMilli), holder.name)
	require.Eventually(t, func() bool {
		plan := f.storedPlan()
		m := f.planner(plan)
		if m == nil {
			t.Logf("%s: plan %d of %q", time.Now().Format(time.StampMilli), plan.GetVersion(), plan.GetPlanner())
		}
		return m != nil && m != holder
	}, 3*lease.DefaultTTL, 200*time.Millisecond, "no entry takes over the lease")
	plan := f.storedPlan()

	holder.resume()
	for end := time.Now().Add(2 * plannerloop.DefaultInterval); time.Now().Before(end); {
		now := f.storedPlan()
		require.Equal(t, plan.GetPlanner(), now.GetPlanner(), "the resumed planner wrote a plan")
		require.GreaterOrEqual(t, now.GetVersion(), plan.GetVersion())
		plan = now
		time.Sleep(50 * time.Millisecond)
	}
	for _, b := range []*backend{first, second} {
		b.waitRole(t, configv1.Role_ROLE_MIXED, 3*startTimeout)
		require.Len(t, b.orders(t), 1, "expected only the order to load the model")
	}
}
