package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
	"github.com/marigoldwing/marigoldwing/internal/operatorapi"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	client "github.com/marigoldwing/marigoldwing/platform"
)

// Ports of the processes. Each process has its own loopback IP address.
const (
	httpPort      = 7000
	peerPort      = 7001
	exclusivePort = 7002
	backendPort   = 7003
)

// Names in the fleet's deployment.
const (
	modelName    = "guide-lm"
	modelService = "guide"
	plainService = "passport-app"
)

// fleet is a small deployment of real processes with stand-ins of the platform
// and of backend servers.
type fleet struct {
	t           *testing.T
	platformURL string
	platform    *proc
	store       platform.Store
	entries     []*member
	agents      []*member
	backends    []*backend
	// revision is the revision of the configuration that apply wrote last,
	// and version the version of its object in the store.
	revision uint64
	version  uint64
	accepted *configv1.AcceptedDeployment
	// nonIdempotent are the rules ("METHOD /path-prefix") for non-idempotent
	// calls of the plain service.
	nonIdempotent []string
}

// member is an entry or agent, which can be restarted on the same IP address.
type member struct {
	*proc
	name string
	host string
}

// url returns the base URL of the HTTP listener.
func (m *member) url() string { return fmt.Sprintf("http://%s:%d", m.host, httpPort) }

// peer returns the address (IP:port) of the peer listener.
func (m *member) peer() string { return fmt.Sprintf("%s:%d", m.host, peerPort) }

// backend is a stand-in backend server behind an agent.
type backend struct {
	*proc
	config *configv1.BackendServer
}

// url returns the base URL of the backend server.
func (b *backend) url() string { return b.config.GetAddress() }

// newFleet starts the stand-in platform and returns a fleet without any other
// processes.
func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, nonIdempotent: []string{"POST /stamps"}}
	host := newHost()
	address := fmt.Sprintf("%s:%d", host, httpPort)
	f.platformURL = "http://" + address
	f.platform = start(t, "platform", "marigold-standin", "platform", "-address", address)
	waitListening(t, address)
	f.store = client.NewStore(f.platformURL)
	return f
}

// settings writes a settings file with an additional section for the type of the
// process, and returns its path.
func (f *fleet) settings(m *member, section string, extra ...string) string {
	lines := []string{
		"[process]",
		"name = " + m.name,
		"failure_domain = fd-1",
		"region = r-1",
		fmt.Sprintf("http_address = %s:%d", m.host, httpPort),
		fmt.Sprintf("peer_address = %s:%d", m.host, peerPort),
		"platform_url = " + f.platformURL,
		"heartbeat_interval_ms = 200",
		"drain_timeout_ms = 8000",
		"log_verbosity = 1",
		"[" + section + "]",
	}
	lines = append(lines, extra...)
	path := filepath.Join(f.t.TempDir(), m.name+".ini")
	require.NoError(f.t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	return path
}

// addEntry starts an entry.
func (f *fleet) addEntry() *member {
	m := &member{name: fmt.Sprintf("entry-%d", len(f.entries)), host: newHost()}
	f.startEntry(m)
	f.entries = append(f.entries, m)
	return m
}

// startEntry starts the process of an entry and waits until it is listening.
func (f *fleet) startEntry(m *member) {
	m.proc = start(f.t, m.name, "marigold-entry", "-config", f.settings(m, "entry"))
	waitListening(f.t, m.peer())
}

// addAgent starts an agent.
func (f *fleet) addAgent() *member {
	m := &member{name: fmt.Sprintf("agent-%d", len(f.agents)), host: newHost()}
	f.startAgent(m)
	f.agents = append(f.agents, m)
	return m
}

// startAgent starts the process of an agent and waits until it is listening.
func (f *fleet) startAgent(m *member) {
	f.spawnAgent(m)
	waitListening(f.t, m.peer())
}

// spawnAgent starts the process of an agent without waiting until it is
// listening.
func (f *fleet) spawnAgent(m *member) {
	exclusive := fmt.Sprintf("exclusive_address = %s:%d", m.host, exclusivePort)
	m.proc = start(f.t, m.name, "marigold-agent", "-config", f.settings(m, "agent", exclusive))
}

// addService starts a plain service behind an agent.
func (f *fleet) addService(agent *member) *backend {
	return f.addBackend(agent, "service", plainService)
}

// addEngine starts an engine behind an agent, with additional command line
// arguments.
func (f *fleet) addEngine(agent *member, args ...string) *backend {
	b := f.addBackend(agent, "engine", modelService, args...)
	b.config.Role = configv1.Role_ROLE_MIXED
	b.config.PrefillTokensPerSecond = 8000
	b.config.DecodeTokensPerSecond = 2000
	b.config.MaxBatch = 32
	b.config.ChecksFencing = true
	return b
}

// addBackend starts a stand-in of the given kind ("service" or "engine") behind
// an agent.
func (f *fleet) addBackend(agent *member, kind, service string, args ...string) *backend {
	address := fmt.Sprintf("%s:%d", newHost(), backendPort)
	b := &backend{config: &configv1.BackendServer{
		Name:          fmt.Sprintf("%s-%d", kind, len(f.backends)),
		Service:       service,
		FailureDomain: "fd-1",
		Agent:         agent.peer(),
		Address:       "http://" + address,
	}}
	b.proc = start(f.t, b.config.GetName(), "marigold-standin", append([]string{kind, "-address", address}, args...)...)
	waitListening(f.t, address)
	f.backends = append(f.backends, b)
	return b
}

// deployment returns a configuration with the fleet's backend servers.
func (f *fleet) deployment() *configv1.Deployment {
	d := &configv1.Deployment{
		Name:           "e2e",
		FailureDomains: []*configv1.FailureDomain{{Name: "fd-1", Region: "r-1"}},
		Models:         []*configv1.Model{{Name: modelName, Version: "v1"}},
		Services: []*configv1.Service{
			{Name: modelService, Kind: configv1.ServiceKind_SERVICE_KIND_MODEL, Model: modelName, DeadlineMs: 60_000, MaxChanges: 1, GoodputPrice: 1, RoleChangePrice: 20, RetryBudget: 0.2},
			{Name: plainService, Kind: configv1.ServiceKind_SERVICE_KIND_PLAIN, DeadlineMs: 20_000, NonIdempotent: f.nonIdempotent, RetryBudget: 0.2},
		},
		Clients:  []*configv1.Client{{Name: "hostel", Weight: 1}},
		Defaults: &configv1.Defaults{AllowUnlistedClients: true, ClientWeight: 1, MaxDeadlineMs: 120_000},
	}
	for _, b := range f.backends {
		d.BackendServers = append(d.BackendServers, b.config)
	}
	return d
}

// apply writes the fleet's configuration directly to the store, and waits until
// all entries and agents have applied it.
func (f *fleet) apply() {
	f.t.Helper()
	f.revision++
	d := f.deployment()
	now := time.Now()
	f.accepted = &configv1.AcceptedDeployment{
		Revision:       f.revision,
		ApplyId:        uuid.NewString(),
		Author:         "e2e",
		AcceptedUnixMs: now.UnixMilli(),
		Deployment:     d,
		KeyHomes:       ledger.NextKeyHomes(f.accepted, d, now),
	}
	value, err := proto.Marshal(f.accepted)
	require.NoError(f.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	key := platform.Key{Kind: platform.KindDeployment, Name: platform.NameCurrent}
	object, err := f.store.Put(ctx, key, value, f.version)
	require.NoError(f.t, err)
	f.version = object.Version
	for _, m := range append(f.entries, f.agents...) {
		f.waitRevision(m)
	}
}

// waitServing waits until all backend servers are routable from an entry.
func (f *fleet) waitServing(m *member) {
	f.t.Helper()
	client, err := operatorapi.NewClient(m.url())
	require.NoError(f.t, err)
	require.Eventually(f.t, func() bool {
		status, err := client.Status(context.Background())
		if err != nil || len(status.GetBackendServers()) != len(f.backends) {
			return false
		}
		for _, s := range status.GetBackendServers() {
			if !s.GetRoutable() {
				return false
			}
		}
		return true
	}, startTimeout, 50*time.Millisecond, "not all backend servers are routable from %s", m.name)
}
