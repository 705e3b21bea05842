package dissemination

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// controlBudget is the limit of a process's control traffic in bytes per
// second.
const controlBudget = 3000

// memberBudget is the part of controlBudget available to dissemination at a
// process that is not a relay.
const memberBudget = 1100

// Dimensions of the target deployment.
const (
	targetProcesses    = 350
	targetDomains      = 7
	targetEngines      = 940
	targetServices     = 27
	servicesPerProcess = 3
	configInterval     = 24 * time.Hour / 3000
	planInterval       = 2 * time.Minute
)

func service(i int) string { return fmt.Sprintf("guide-lm-%02d", i%targetServices) }

// targetPlan returns a plan of a service with its share of the target's
// engines.
func targetPlan(i int) *peerv1.Plan {
	p := &peerv1.Plan{Service: service(i), Version: 123_456_789, Term: 12, Planner: "entry-cradock-03", WrittenUnixMs: 1_800_000_000_000, ConfigRevision: 1_000_000}
	for e := range targetEngines / targetServices {
		p.Assignments = append(p.Assignments, &peerv1.Assignment{
			BackendServer: fmt.Sprintf("engine-cradock-%04d", e), Role: configv1.Role_ROLE_DECODE,
			Model: p.GetService(), ModelVersion: "2026.11", ChangedVersion: 123_456_000,
		})
	}
	return p
}

// targetDelta returns the delta of a change to one engine.
func targetDelta(revision uint64) *configv1.DeploymentDelta {
	engine := &configv1.BackendServer{
		Name: "engine-cradock-0001", Service: service(1), FailureDomain: "cradock", Agent: "10.101.102.103:7311",
		Address: "http://10.101.102.103:7401", ChecksFencing: true, Role: configv1.Role_ROLE_DECODE, Drain: true,
		PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 1600, MaxBatch: 32,
	}
	return &configv1.DeploymentDelta{
		BaseRevision: revision - 1, Revision: revision, ApplyId: "0b0a1c2d-3e4f-5061-7283-94a5b6c7d8e9", Author: "operator",
		AcceptedUnixMs: 1_800_000_000_000, Checksum: 1 << 63,
		Changed: &configv1.Deployment{Name: "target", BackendServers: []*configv1.BackendServer{engine}},
	}
}

func targetModel() TrafficModel {
	head := &configv1.AcceptedDeployment{Revision: 1_000_000, ApplyId: targetDelta(1).GetApplyId(), Author: "operator", AcceptedUnixMs: 1_800_000_000_000}
	for i := range 32 {
		head.Recent = append(head.Recent, &configv1.ApplyRecord{Revision: 1_000_000 + uint64(i), ApplyId: head.GetApplyId()})
	}
	for range 16 {
		head.Deltas = append(head.Deltas, targetDelta(1_000_000))
	}
	return TrafficModel{
		Processes: targetProcesses, Domains: targetDomains, Services: targetServices, ServicesPerProcess: servicesPerProcess,
		HeartbeatInterval: time.Second, ConfigInterval: configInterval, PlanInterval: planInterval,
		Heartbeat: &peerv1.Heartbeat{
			Sender: "agent-cradock-001", FailureDomain: "cradock", Address: "10.101.102.103:7311", Incarnation: 1 << 40,
			ConfigRevision: 1_000_000, StoreAgeMs: 2500,
			Plans: []*peerv1.PlanVersion{{Service: service(1), Version: 123_456_789}, {Service: service(2), Version: 123_456_789}},
		},
		Delta: targetDelta(1_000_000), StoredConfig: head, Plan: targetPlan(1),
		PlanServers: []string{targetPlan(1).GetAssignments()[7].GetBackendServer()},
	}
}

// TestControlTrafficAtTargetSize checks the estimated control traffic of the
// target deployment against its budget.
func TestControlTrafficAtTargetSize(t *testing.T) {
	member, relay := targetModel().Estimate()
	for _, l := range member {
		t.Log("member:", l)
	}
	for _, l := range relay {
		t.Log("relay: ", l)
	}
	t.Logf("member %.0f B/s, relay %.0f B/s", TotalBytesPerSecond(member), TotalBytesPerSecond(relay))
	// An entry needs the rest of the budget for heartbeats from agents.
	require.LessOrEqual(t, TotalBytesPerSecond(member), float64(memberBudget))
	require.LessOrEqual(t, TotalBytesPerSecond(relay), float64(controlBudget))
}

// TestTrafficEstimateMatchesMeasurement compares the bytes that a simulated
// fleet sends with the estimate for a fleet of its size.
func TestTrafficEstimateMatchesMeasurement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perDomain = 16
		f := newFleet(t, targetDomains, perDomain, newPropagator)
		f.start(f.members...)
		time.Sleep(5 * time.Second)
		first := f.apply(f.members[0])
		time.Sleep(propagationBound)
		require.Empty(t, f.behind(first))
		before := f.traffic()
		reads := f.store.Counts().Reads
		const period = 60 * time.Second
		var slowest time.Duration
		for range 2 {
			revision := f.apply(f.members[0])
			accepted := time.Now()
			for len(f.behind(revision)) > 0 {
				time.Sleep(10 * time.Millisecond)
			}
			slowest = max(slowest, time.Since(accepted))
			time.Sleep(period/2 - time.Since(accepted))
		}
		perSecond := float64(f.store.Counts().Reads-reads) / period.Seconds()
		after := f.traffic()
		var members, relays []float64
		for _, m := range f.members {
			bytes := float64(after[m.Name]-before[m.Name]) / period.Seconds()
			if NewView(m, f.members).IsRelay() {
				relays = append(relays, bytes)
				continue
			}
			members = append(members, bytes)
		}
		t.Logf("members: mean %.0f, most %.0f B/s; relays: mean %.0f, most %.0f B/s", mean(members), slices.Max(members), mean(relays), slices.Max(relays))
		t.Logf("in force everywhere after at most %s; store reads %.1f a second", slowest, perSecond)
		model := targetModel()
		model.Processes = targetDomains * perDomain
		model.Heartbeat = f.procs[f.members[9].Name].follower.(*Propagator).Heartbeat()
		model.Delta = config.NewDelta(&configv1.AcceptedDeployment{Deployment: deployment(1)}, &configv1.AcceptedDeployment{Deployment: deployment(2)})
		model.ConfigInterval = period / 2
		member, relay := model.Estimate()
		require.InEpsilon(t, peerBytes(member), mean(members), 0.15)
		require.InEpsilon(t, peerBytes(relay), mean(relays), 0.15)
	})
}

// peerBytes sums the items without plans and store calls, which the simulated
// fleet does not have or does not count.
func peerBytes(items []TrafficItem) float64 {
	sum := 0.0
	for _, item := range items {
		switch item.Label {
		case "heartbeats with members and relays", "configuration notifications received", "configuration fetches",
			"configuration notifications", "configuration fetches served":
			sum += item.BytesPerSecond
		}
	}
	return sum
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// traffic returns the bytes that each process has sent and received so far.
func (f *fleet) traffic() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[string]int, len(f.trafficBytes))
	for name, n := range f.trafficBytes {
		copied[name] = n
	}
	return copied
}

// TestPlansReachMembersThatNeedThem checks that relays get plans from the store
// and notify the members that need them, also in a failure domain that is cut
// off from the store, and that a member fetches the missing assignments of a
// plan when its backend servers change.
func TestPlansReachMembersThatNeedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reader Member
		var servers atomic.Pointer[[]string]
		servers.Store(&[]string{"e-2"})
		needs := func(m Member, service string) bool { return m == reader && service == "a" }
		f := newFleet(t, 2, 8, func(f *fleet, m Member) follower {
			pr := newPropagator(f, m).(*Propagator)
			pr.opts.SelfNeedsPlan = func(service string) bool { return needs(m, service) }
			pr.opts.NeededBackendServers = func(string) []string { return *servers.Load() }
			pr.opts.MemberNeedsPlan = needs
			return pr
		})
		for _, m := range f.members[:8] {
			if !NewView(m, f.members).IsRelay() {
				reader = m
			}
		}
		startWithConfig(f)
		f.isolate(true, false, f.members[:8]...)
		data, err := proto.Marshal(&peerv1.Plan{Planner: "p", Assignments: []*peerv1.Assignment{{BackendServer: "e-1"}, {BackendServer: "e-2"}}})
		require.NoError(t, err)
		obj, err := f.store.Put(t.Context(), platform.Key{Kind: platform.KindPlan, Name: "a"}, data, 0)
		require.NoError(t, err)
		time.Sleep(propagationBound)
		got := f.procs[reader.Name].follower.(*Propagator).Plan("a")
		require.Equal(t, obj.Version, got.GetVersion())
		require.Equal(t, "p", got.GetPlanner())
		require.True(t, got.GetPartial())
		require.Len(t, got.GetAssignments(), 1)
		servers.Store(&[]string{"e-1", "e-2"})
		time.Sleep(time.Minute)
		got = f.procs[reader.Name].follower.(*Propagator).Plan("a")
		require.Len(t, got.GetAssignments(), 2, "a backend server was added to the agent")
		have := 0
		for _, m := range f.members {
			if f.procs[m.Name].follower.(*Propagator).Plan("a") != nil {
				have++
			}
		}
		require.LessOrEqual(t, have, 2*RelaysPerDomain+1, "members that don't need the plan must not fetch it")
	})
}

// TestMetrics checks the metrics after the store was restored from a backup
// that is older than the configuration in force.
func TestMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, newPropagator)
		f.start(f.members...)
		time.Sleep(5 * time.Second)
		f.store.TakeSnapshot()
		f.apply(f.members[0])
		time.Sleep(propagationBound)
		f.store.Restore()
		time.Sleep(propagationBound)
		registry := prometheus.NewRegistry()
		registry.MustRegister(f.procs[f.members[0].Name].follower.(*Propagator))
		want := `
# HELP marigold_config_alarm 1 while the alarm stands.
# TYPE marigold_config_alarm gauge
marigold_config_alarm{alarm="Invalid"} 0
marigold_config_alarm{alarm="StoreOlder"} 1
marigold_config_alarm{alarm="TwoApplies"} 0
# HELP marigold_config_revision Revision of the configuration in force; 0 before the first.
# TYPE marigold_config_revision gauge
marigold_config_revision 1
`
		require.NoError(t, testutil.GatherAndCompare(registry, strings.NewReader(want), "marigold_config_alarm", "marigold_config_revision"))
	})
}
