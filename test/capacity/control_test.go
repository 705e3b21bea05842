package capacity

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
	standinengine "github.com/marigoldwing/marigoldwing/internal/standin/engine"
	standinplatform "github.com/marigoldwing/marigoldwing/internal/standin/platform"
)

const (
	// settleTime is how long the programs run before the measurement starts.
	settleTime = 8 * time.Second
	// window is the duration of the measurement.
	window     = 20 * time.Second
	entryCount = 2
	bytesPerMB = 1 << 20
)

// binaries is the directory into which TestMain builds the programs. They are
// built only if benchmarks are run.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("test.bench").Value.String() == "" {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/marigold-entry", "../../cmd/marigold-agent")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// daemon is a running program of the system.
type daemon struct {
	url string
}

// cost is the resource usage of a daemon: CPU time and control traffic since
// its start, and its current memory in bytes.
type cost struct {
	cpuSeconds, memoryBytes, controlBytes float64
}

// start starts a program that is killed when the benchmark ends.
func start(b *testing.B, program, name, domain, peer, platformURL string, peers []string, extraArgs ...string) daemon {
	b.Helper()
	httpAddress := freeAddress(b)
	args := append([]string{"-name", name, "-failure-domain", domain, "-region", "region-0", "-http-address", httpAddress,
		"-peer-address", peer, "-platform-url", platformURL, "-peers", strings.Join(peers, ",")}, extraArgs...)
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	require.NoError(b, cmd.Start())
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return daemon{url: "http://" + httpAddress}
}

// nextHost numbers the loopback addresses, so that no two processes share one.
var nextHost int

// freeAddress returns a peer or HTTP address on a loopback IP of its own. The
// second byte of the IP depends on the process ID, to keep concurrent runs
// apart.
func freeAddress(b *testing.B) string {
	nextHost++
	host := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, nextHost/250, 1+nextHost%250)
	listener, err := net.Listen("tcp", host+":7000")
	require.NoError(b, err)
	require.NoError(b, listener.Close())
	return host + ":7000"
}

// readCost reads the daemon's metrics.
func (d daemon) readCost(b *testing.B) cost {
	b.Helper()
	var resp *http.Response
	isReachable := func() bool {
		var err error
		resp, err = http.Get(d.url + "/metrics")
		return err == nil
	}
	require.Eventually(b, isReachable, 20*time.Second, 50*time.Millisecond)
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	require.NoError(b, err)
	return cost{
		cpuSeconds:   total(families["process_cpu_seconds_total"]),
		memoryBytes:  total(families["process_resident_memory_bytes"]),
		controlBytes: total(families["marigold_control_bytes_total"]),
	}
}

// total sums all series of a counter or gauge.
func total(family *dto.MetricFamily) float64 {
	sum := 0.0
	for _, m := range family.GetMetric() {
		sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return sum
}

// startEngine starts a stand-in engine in the benchmark's own process and
// returns its URL.
func startEngine(b *testing.B, settings enginemodel.Settings) string {
	settings.Model, settings.ModelVersion = "model-0", "v1"
	e, err := standinengine.New(standinengine.Options{Settings: settings})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go e.Run(ctx)
	server := httptest.NewServer(e.Handler())
	b.Cleanup(server.CloseClientConnections)
	return server.URL
}

// newPlatform starts a stand-in platform that stores the deployment. It returns
// the store and the platform's URL.
func newPlatform(b *testing.B, d *configv1.Deployment) (*fake.Store, string) {
	store := fake.New(fake.Options{})
	server := httptest.NewServer(standinplatform.NewHandler(store))
	b.Cleanup(server.CloseClientConnections)
	value, err := config.Marshal(&configv1.AcceptedDeployment{Revision: 1, ApplyId: "1", Deployment: d})
	require.NoError(b, err)
	_, err = store.Put(context.Background(), platform.Key{Kind: platform.KindDeployment, Name: platform.NameCurrent}, value, 0)
	require.NoError(b, err)
	return store, server.URL
}

// BenchmarkControl runs two entries and a number of agents, each with three
// engines, without any requests. It reports the CPU time, memory and control
// traffic of each program.
func BenchmarkControl(b *testing.B) {
	for _, size := range []int{4, 12, 36} {
		b.Run(fmt.Sprintf("agents=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureControl(b, size)
			}
		})
	}
}

// measureControl starts the entries and size agents and reports what they use
// while idle.
func measureControl(b *testing.B, size int) {
	agentPeers := make([]string, size)
	d := deployment(0, 0)
	d.Services = d.Services[:1]
	for i := range agentPeers {
		agentPeers[i] = freeAddress(b)
		for range enginesPerAgent {
			d.BackendServers = append(d.BackendServers, &configv1.BackendServer{
				Name: engineName(len(d.BackendServers)), Service: "model-0", FailureDomain: domainName(i), Agent: agentPeers[i],
				Address: startEngine(b, enginemodel.DefaultSettings()), Role: configv1.Role_ROLE_MIXED, PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 1600, MaxBatch: 32,
			})
		}
	}
	store, platformURL := newPlatform(b, d)
	entryPeers := []string{freeAddress(b), freeAddress(b)}
	peers := append(entryPeers, agentPeers...)
	var entryDaemons, agentDaemons []daemon
	for i, peer := range agentPeers {
		agentDaemons = append(agentDaemons, start(b, "marigold-agent", fmt.Sprintf("agent-%d", i), domainName(i), peer, platformURL, peers, "-exclusive-address", freeAddress(b)))
	}
	for i := range entryCount {
		entryDaemons = append(entryDaemons, start(b, "marigold-entry", fmt.Sprintf("entry-%d", i), domainName(i), entryPeers[i], platformURL, peers))
	}
	time.Sleep(settleTime)
	before := store.Counts()
	entryBefore, agentBefore := readAll(b, entryDaemons), readAll(b, agentDaemons)
	time.Sleep(window)
	after := store.Counts()
	reportCosts(b, "entry", entryBefore, readAll(b, entryDaemons))
	reportCosts(b, "agent", agentBefore, readAll(b, agentDaemons))
	b.ReportMetric(float64(after.Reads-before.Reads)/window.Seconds(), "store-reads/s")
	b.ReportMetric(float64(after.Writes-before.Writes)/window.Seconds(), "store-writes/s")
}

func readAll(b *testing.B, daemons []daemon) []cost {
	costs := make([]cost, len(daemons))
	for i, d := range daemons {
		costs[i] = d.readCost(b)
	}
	return costs
}

// reportCosts reports the mean of each cost, and the maximum control traffic of
// any daemon.
func reportCosts(b *testing.B, role string, before, after []cost) {
	var cpu, memory, bytes, maxBytes float64
	n := float64(len(before))
	for i := range before {
		cpu += (after[i].cpuSeconds - before[i].cpuSeconds) / n
		memory += after[i].memoryBytes / n
		sent := after[i].controlBytes - before[i].controlBytes
		bytes += sent / n
		maxBytes = max(maxBytes, sent)
	}
	b.ReportMetric(cpu/window.Seconds()*100, role+"-cpu-%")
	b.ReportMetric(memory/bytesPerMB, role+"-MB")
	b.ReportMetric(bytes/window.Seconds(), role+"-B/s")
	b.ReportMetric(maxBytes/window.Seconds(), role+"-most-B/s")
}

// BenchmarkEntryMemory reports the memory of an entry by the size of its
// configuration, including a proportional number of client accounts. None of
// the agents is reachable.
func BenchmarkEntryMemory(b *testing.B) {
	const accountsPerEngine = 12000 / 940.0
	for _, size := range engineSizes {
		b.Run(fmt.Sprintf("engines=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureMemory(b, deployment(size, int(float64(size)*accountsPerEngine)))
			}
		})
	}
}

// BenchmarkEntryMemoryModels is like BenchmarkEntryMemory, but by the number of
// models, with all client accounts.
func BenchmarkEntryMemoryModels(b *testing.B) {
	for _, size := range []int{3, 9, modelCount} {
		b.Run(fmt.Sprintf("models=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureMemory(b, deploymentOf(size, 100, 12000))
			}
		})
	}
}

// measureMemory starts an entry with the deployment and reports what it uses
// while idle.
func measureMemory(b *testing.B, d *configv1.Deployment) {
	_, platformURL := newPlatform(b, d)
	peer := freeAddress(b)
	entry := start(b, "marigold-entry", "entry-0", domainName(0), peer, platformURL, []string{peer})
	time.Sleep(settleTime)
	before := entry.readCost(b)
	time.Sleep(window)
	reportCosts(b, "entry", []cost{before}, []cost{entry.readCost(b)})
}
