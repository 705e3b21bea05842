package membership

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protojson"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// shards is the number of independently locked partitions of a table.
const shards = 32

// ConfiguredServer is the entry of a backend server in the configuration in
// force.
type ConfiguredServer struct {
	Name string
	// Agent is the address (IP:port) of its agent.
	Agent string
	Drain bool
}

// Table holds the evidence of one process about all backend servers. It is safe
// for concurrent use. Times are monotonic, measured from the start of the
// process.
type Table struct {
	suspectAfter atomic.Int64
	servers      [shards]serverShard
	processes    [shards]processShard
	leaving      atomic.Pointer[map[string]bool]
}

type serverShard struct {
	mu   sync.RWMutex
	rows map[string]serverRow
}

type serverRow struct {
	configured ConfiguredServer
	evidence   ServerEvidence
}

type processShard struct {
	mu   sync.RWMutex
	rows map[string]ProcessEvidence
}

// NewTable returns an empty table. A suspectAfter of 0 means
// DefaultSuspectAfter.
func NewTable(suspectAfter time.Duration) *Table {
	if suspectAfter == 0 {
		suspectAfter = DefaultSuspectAfter
	}
	t := &Table{}
	t.SetSuspectAfter(suspectAfter)
	for i := range shards {
		t.servers[i].rows = make(map[string]serverRow)
		t.processes[i].rows = make(map[string]ProcessEvidence)
	}
	t.leaving.Store(&map[string]bool{})
	return t
}

// SetSuspectAfter sets the time without evidence after which an agent is
// suspected. It has to be adapted to the interval at which this process
// receives heartbeats.
func (t *Table) SetSuspectAfter(d time.Duration) { t.suspectAfter.Store(int64(d)) }

func shardOf(key string) uint64 { return xxhash.Sum64String(key) % shards }

// SetConfigured replaces the set of configured backend servers. Evidence about
// those that keep their agent is retained.
func (t *Table) SetConfigured(all []ConfiguredServer) {
	var parts [shards]map[string]ConfiguredServer
	for i := range parts {
		parts[i] = make(map[string]ConfiguredServer)
	}
	for _, c := range all {
		parts[shardOf(c.Name)][c.Name] = c
	}
	for i := range parts {
		t.servers[i].replace(parts[i])
	}
}

func (s *serverShard) replace(configured map[string]ConfiguredServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make(map[string]serverRow, len(configured))
	for name, c := range configured {
		row := serverRow{configured: c}
		if old, ok := s.rows[name]; ok && old.configured.Agent == c.Agent {
			row.evidence = old.evidence
		}
		rows[name] = row
	}
	s.rows = rows
}

// SetListedLeaving replaces the addresses (IP, or IP:port) that the platform's
// list shows as leaving. While the list cannot be read the last one remains in
// effect.
func (t *Table) SetListedLeaving(addresses []string) {
	set := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		set[a] = true
	}
	t.leaving.Store(&set)
}

// ListedLeaving reports whether the platform's list shows the instance of an
// address (IP:port) as leaving.
func (t *Table) ListedLeaving(address string) bool {
	set := *t.leaving.Load()
	if len(set) == 0 {
		return false
	}
	return set[address] || set[hostOf(address)]
}

// hostOf returns the IP of an address, with or without port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// ObserveHeartbeat processes a heartbeat received from the agent itself,
// including its load reports.
func (t *Table) ObserveHeartbeat(hb *peerv1.Heartbeat, now time.Duration) {
	t.Observe(hb.GetAddress(), Event{
		Kind:        Heartbeat,
		Incarnation: hb.GetIncarnation(),
		Leaving:     hb.GetLeaving(),
	}, now)
	for _, load := range hb.GetLoads() {
		t.ObserveLoad(hb.GetIncarnation(), load)
	}
}

// Observe processes one piece of evidence about the agent at an address
// (IP:port).
func (t *Table) Observe(address string, ev Event, now time.Duration) {
	s := &t.processes[shardOf(address)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[address] = s.rows[address].Apply(ev, now)
}

// ObserveLoad processes a load report sent by an incarnation of an agent.
// Reports about backend servers that are not configured are dropped.
func (t *Table) ObserveLoad(incarnation uint64, load *peerv1.Load) {
	name := load.GetBackendServer()
	s := &t.servers[shardOf(name)]
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[name]
	if !ok {
		return
	}
	row.evidence = row.evidence.Apply(incarnation, load)
	s.rows[name] = row
}

// Reason returns Routable if a backend server may receive new work at now, and
// otherwise the first reason against it.
func (t *Table) Reason(server string, now time.Duration) Reason {
	return Evaluate(t.Evidence(server), time.Duration(t.suspectAfter.Load()), now)
}

// Evidence returns the evidence about a backend server.
func (t *Table) Evidence(server string) Evidence {
	s := &t.servers[shardOf(server)]
	s.mu.RLock()
	row, ok := s.rows[server]
	s.mu.RUnlock()
	if !ok {
		return Evidence{}
	}
	agent := row.configured.Agent
	p := &t.processes[shardOf(agent)]
	p.mu.RLock()
	process := p.rows[agent]
	p.mu.RUnlock()
	return Evidence{
		Configured:    true,
		Drain:         row.configured.Drain,
		ListedLeaving: t.ListedLeaving(agent),
		Process:       process,
		Server:        row.evidence,
	}
}

// EvictSilent drops the evidence about agents that no configured backend server
// uses and that were last seen at least the given time ago.
func (t *Table) EvictSilent(silence, now time.Duration) {
	agents := make(map[string]bool)
	for i := range t.servers {
		s := &t.servers[i]
		s.mu.RLock()
		for _, row := range s.rows {
			agents[row.configured.Agent] = true
		}
		s.mu.RUnlock()
	}
	for i := range t.processes {
		p := &t.processes[i]
		p.mu.Lock()
		for address, row := range p.rows {
			if !agents[address] && now-row.LastSeen >= silence {
				delete(p.rows, address)
			}
		}
		p.mu.Unlock()
	}
}

// LeavingAddresses returns the addresses of the instances that the platform's
// list shows as leaving. Entries that cannot be decoded are skipped.
func LeavingAddresses(list []platform.Object) []string {
	var addresses []string
	for _, obj := range list {
		var in peerv1.Instance
		unmarshal := protojson.UnmarshalOptions{DiscardUnknown: true}
		if obj.Err == nil && unmarshal.Unmarshal(obj.Value, &in) == nil && in.GetLeaving() {
			addresses = append(addresses, in.GetAddress())
		}
	}
	return addresses
}
