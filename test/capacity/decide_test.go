package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
	"github.com/marigoldwing/marigoldwing/internal/limits"
	"github.com/marigoldwing/marigoldwing/internal/planner"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// Benchmark sizes. The last of each is the size that the system is designed
// for.
var (
	engineSizes  = []int{100, 300, 940}
	accountSizes = []int{1200, 4000, 12000}
	loadSizes    = []int{1, 3, 9}
)

const (
	domainCount     = 7
	modelCount      = 27
	enginesPerAgent = 3
	// heldUnit is the unit of memory that remains in use.
	heldUnit = "B-held"
)

// runSizes runs a benchmark at each size.
func runSizes(b *testing.B, dimension string, sizes []int, run func(b *testing.B, size int)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%s=%d", dimension, size), func(b *testing.B) {
			b.ReportAllocs()
			run(b, size)
		})
	}
}

// reportHeld reports the heap memory that the result of build occupies.
func reportHeld(b *testing.B, build func() any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), heldUnit)
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domainCount) }

// newTable returns a routing table with the given number of serving engines.
func newTable(size int) *routing.Table {
	table := routing.NewTable(routing.DefaultOptions(10))
	engines := make([]routing.Engine, size)
	for i := range engines {
		engines[i] = routing.Engine{Name: engineName(i), Distance: i % 3, PrefillRate: 8000, DecodeRate: 1600, MaxBatch: 32, Role: configv1.Role_ROLE_MIXED}
	}
	table.SetEngines(engines)
	for i := range engines {
		if err := table.SetState(engineName(i), configv1.Role_ROLE_MIXED, peerv1.ServerState_SERVER_STATE_SERVING); err != nil {
			panic(err)
		}
	}
	return table
}

// BenchmarkChoose measures one routing decision, including the records of the
// start and the end of the attempt.
func BenchmarkChoose(b *testing.B) {
	runSizes(b, "engines", engineSizes, func(b *testing.B, size int) {
		table := newTable(size)
		now := time.Duration(0)
		seed := uint64(0)
		for b.Loop() {
			now += time.Millisecond
			seed++
			prefix := []uint64{seed % 50, seed%50 + 1000, seed}
			choice, err := table.Choose(now, routing.Request{PromptTokens: 800, OutputTokens: 100, PrefixHashes: prefix, Seed: seed})
			require.NoError(b, err)
			require.NoError(b, table.RecordSend(now, routing.Attempt{ID: "a", Engine: choice.DecodeEngine, PromptTokens: 800, OutputTokens: 100, PrefixHashes: prefix}))
			require.NoError(b, table.RecordEnd(now, choice.DecodeEngine, "a"))
		}
		reportHeld(b, func() any { return newTable(size) })
	})
}

// newLimiter returns a limiter that has admitted one request of each client
// account.
func newLimiter(size int) *limits.Limiter {
	limiter := limits.New(limits.Options{AllowUnlisted: true, MaxUnlisted: 4096})
	limiter.SetClients(func(name string) (limits.Client, bool) {
		return limits.Client{Name: name, Weight: 1, RequestsPerSecond: 100, Burst: 100}, true
	})
	limiter.SetShare(0.1)
	limiter.SetCapacity(1000)
	for i := range size {
		if _, err := limiter.Admit(0, limits.Request{Client: fmt.Sprintf("client-%d", i)}); err != nil {
			panic(err)
		}
	}
	return limiter
}

// BenchmarkAdmit measures the admission of a request, cycling through all
// client accounts.
func BenchmarkAdmit(b *testing.B) {
	runSizes(b, "accounts", accountSizes, func(b *testing.B, size int) {
		limiter := newLimiter(size)
		names := make([]string, size)
		for i := range names {
			names[i] = fmt.Sprintf("client-%d", i)
		}
		now := time.Duration(0)
		i := 0
		for b.Loop() {
			now += time.Millisecond
			i++
			_, err := limiter.Admit(now, limits.Request{Client: names[i%size], Cost: 0.1, Seed: uint64(i)})
			require.NoError(b, err)
		}
		reportHeld(b, func() any { return newLimiter(size) })
	})
}

// BenchmarkPlan measures one planner decision for a service that uses all
// engines, and the size of the encoded plan.
func BenchmarkPlan(b *testing.B) {
	began := time.Unix(1_800_000_000, 0)
	runSizes(b, "engines", engineSizes, func(b *testing.B, size int) {
		in := planner.Input{
			Now: began, Service: "s", Model: planner.Model{Name: "m", Version: "v1"},
			Prices: planner.Prices{Goodput: 10, RoleChange: 5}, Limits: planner.Limits{MaxConcurrentChanges: 3, MinDecodePerDomain: 1},
			Demand:     []planner.Demand{{Duration: 10 * time.Second, Requests: 1000, PromptTokens: 3_000_000, OutputTokens: 300_000}},
			ChangeTime: 8 * time.Second,
		}
		for i := range size {
			in.Engines = append(in.Engines, planner.Engine{
				Name: engineName(i), FailureDomain: domainName(i), State: planner.StateServing, Role: configv1.Role_ROLE_MIXED,
				Model: in.Model, PrefillRate: 8000, DecodeRate: 1600,
				Desired: planner.Assignment{Engine: engineName(i), Role: configv1.Role_ROLE_MIXED, Model: in.Model},
			})
		}
		for b.Loop() {
			in.Seed++
			decision := planner.Plan(in)
			require.Len(b, decision.Assignments, size)
		}
		plan := &peerv1.Plan{Service: "s"}
		for _, a := range planner.Plan(in).Assignments {
			plan.Assignments = append(plan.Assignments, &peerv1.Assignment{BackendServer: a.Engine, Role: a.Role, Model: a.Model.Name, ModelVersion: a.Model.Version, ChangedVersion: 1})
		}
		b.ReportMetric(float64(proto.Size(plan)), "B-plan")
	})
}

// agentAddress returns a loopback address on which nothing listens.
func agentAddress(i int) string { return fmt.Sprintf("127.9.%d.%d:7001", i/200, 1+i%200) }

// deployment returns a deployment with the given numbers of engines and client
// accounts, and with the number of models that the system is designed for.
func deployment(engines, accounts int) *configv1.Deployment {
	return deploymentOf(modelCount, engines, accounts)
}

// deploymentOf is like deployment, but with a given number of models.
func deploymentOf(models, engines, accounts int) *configv1.Deployment {
	d := &configv1.Deployment{Name: "target", Defaults: &configv1.Defaults{MaxDeadlineMs: 60_000, ClientWeight: 1, AllowUnlistedClients: true}}
	for i := range domainCount {
		d.FailureDomains = append(d.FailureDomains, &configv1.FailureDomain{Name: domainName(i), Region: fmt.Sprintf("region-%d", i%2)})
	}
	for i := range models {
		name := fmt.Sprintf("model-%d", i)
		d.Models = append(d.Models, &configv1.Model{Name: name, Version: "v1"})
		d.Services = append(d.Services, &configv1.Service{Name: name, Kind: configv1.ServiceKind_SERVICE_KIND_MODEL, Model: name, DeadlineMs: 20_000, GoodputPrice: 10, RoleChangePrice: 5, MaxChanges: 3, MaxBodyBytes: 1 << 20, DefaultOutputTokens: 128})
	}
	for i := range engines {
		d.BackendServers = append(d.BackendServers, &configv1.BackendServer{
			Name: engineName(i), Service: fmt.Sprintf("model-%d", i%models), FailureDomain: domainName(i / enginesPerAgent),
			Agent: agentAddress(i / enginesPerAgent), Address: fmt.Sprintf("http://10.0.0.1:%d", 8000+i),
			ChecksFencing: true, Role: configv1.Role_ROLE_MIXED, PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 1600, MaxBatch: 32,
		})
	}
	for i := range accounts {
		d.Clients = append(d.Clients, &configv1.Client{Name: fmt.Sprintf("client-%d", i), Token: fmt.Sprintf("token-%016d", i), Weight: 1, RequestsPerSecond: 10, Burst: 20})
	}
	return d
}

// benchmarkConfig measures what a configuration costs a process that loads it:
// the time to decode and index it, its encoded size and its memory.
func benchmarkConfig(b *testing.B, d *configv1.Deployment) {
	stored, err := config.Marshal(&configv1.AcceptedDeployment{Revision: 1, Deployment: d})
	require.NoError(b, err)
	load := func() any {
		accepted, err := config.Unmarshal(stored)
		require.NoError(b, err)
		return catalog.New(accepted)
	}
	for b.Loop() {
		load()
	}
	b.ReportMetric(float64(len(stored)), "B-stored")
	reportHeld(b, load)
}

// BenchmarkConfigEngines loads a configuration by its number of engines.
func BenchmarkConfigEngines(b *testing.B) {
	runSizes(b, "engines", engineSizes, func(b *testing.B, size int) { benchmarkConfig(b, deployment(size, 0)) })
}

// BenchmarkConfigAccounts loads a configuration by its number of client
// accounts.
func BenchmarkConfigAccounts(b *testing.B) {
	runSizes(b, "accounts", accountSizes, func(b *testing.B, size int) { benchmarkConfig(b, deployment(100, size)) })
}

// BenchmarkParseFile parses, validates and compares a deployment file, as
// marigoldctl does.
func BenchmarkParseFile(b *testing.B) {
	runSizes(b, "engines", engineSizes, func(b *testing.B, size int) {
		before := deployment(size, 0)
		file := config.Render(before)
		for b.Loop() {
			parsed, err := config.Parse(file)
			require.NoError(b, err)
			require.NotNil(b, parsed)
			config.Diff(before, parsed)
		}
		b.ReportMetric(float64(len(file)), "B-file")
	})
}

// BenchmarkHeartbeat encodes and decodes a heartbeat, by the number of engines
// of the sending agent.
func BenchmarkHeartbeat(b *testing.B) {
	runSizes(b, "loads", loadSizes, func(b *testing.B, size int) {
		heartbeat := &peerv1.Heartbeat{Sender: "agent-100", SenderRole: "agent", FailureDomain: domainName(1), Incarnation: 1_800_000_000_000, Address: "10.1.1.1:7001"}
		for i := range size {
			heartbeat.Loads = append(heartbeat.Loads, &peerv1.Load{BackendServer: engineName(i), Seq: 1 << 20, QueuedPromptTokens: 12_000, Running: 30, Waiting: 4, ExpectedOutputTokens: 4000, Role: configv1.Role_ROLE_MIXED, ModelVersion: "v1", State: peerv1.ServerState_SERVER_STATE_SERVING, KvUsed: 0.5, AgeMs: 1000})
		}
		for b.Loop() {
			data, err := proto.Marshal(heartbeat)
			require.NoError(b, err)
			require.NoError(b, proto.Unmarshal(data, &peerv1.Heartbeat{}))
		}
		b.ReportMetric(float64(proto.Size(heartbeat)), "B-message")
	})
}

// BenchmarkFrame encodes and decodes a frame, by the size of its data.
func BenchmarkFrame(b *testing.B) {
	runSizes(b, "bytes", []int{16, 256, 4096}, func(b *testing.B, size int) {
		frame := &peerv1.Frame{AttemptId: uuid.NewString(), Seq: 100, Kind: peerv1.FrameKind_FRAME_KIND_DATA, Data: make([]byte, size), Tokens: 1}
		for b.Loop() {
			data, err := proto.Marshal(frame)
			require.NoError(b, err)
			require.NoError(b, proto.Unmarshal(data, &peerv1.Frame{}))
		}
		b.ReportMetric(float64(proto.Size(frame)), "B-message")
	})
}

// BenchmarkLedgerWriters reports the interval between the writes of one ledger
// writer, by the number of writers that share the write budget.
func BenchmarkLedgerWriters(b *testing.B) {
	runSizes(b, "writers", []int{4, 40, 320}, func(b *testing.B, size int) {
		var interval time.Duration
		for b.Loop() {
			interval = ledger.MinWriteInterval(size, ledger.WriteBudget)
		}
		b.ReportMetric(float64(interval.Milliseconds()), "ms-interval")
		b.ReportMetric(float64(size)/interval.Seconds(), "writes/s")
	})
}
