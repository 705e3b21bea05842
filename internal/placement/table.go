package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// Table is what a gateway knows of the servers of one service.
type Table struct {
	opts    Options
	engine  *fleet.EngineSpec
	servers []*server
	rate    rateEstimate
	swept   time.Duration
}

// server is one backend server with what the gateway knows of it.
type server struct {
	fleet.Server
	// hash of the ID, for rendezvous.
	hash uint64
	// own sends under way, and their prompt tokens not yet prefilled.
	own       int
	ownTokens queue
	// told is the load of the newest answer, with the own sends at that time.
	told    int
	toldOwn int
	toldAt  time.Duration
	hasTold bool
	// peers has the sends of other gateways under way, by gateway.
	peers map[string]peerLoad
	// slowdown is the mean ratio of observed to predicted times.
	slowdown float64
	// weight is the share of its usual work that the server is to get.
	weight float64
	// refusedUntil keeps requests away from a server that refuses; refusals
	// counts those in a row.
	refusedUntil time.Duration
	refusals     int
	// parts has the time of the last use of each prompt part.
	parts map[uint64]time.Duration
}

// NewTable returns a table without servers. The engine is nil for plain
// services.
func NewTable(opts Options, engine *fleet.EngineSpec) *Table {
	return &Table{opts: opts, engine: engine, rate: rateEstimate{perSecond: initialPrefillRate}}
}

// SetServers makes these the servers of the service. Those that remain keep
// what is known of them, unless they are of a later incarnation.
func (t *Table) SetServers(engine *fleet.EngineSpec, servers []fleet.Server) {
	t.engine = engine
	old := t.servers
	t.servers = make([]*server, 0, len(servers))
	for _, s := range servers {
		t.servers = append(t.servers, keep(old, s))
	}
}

// keep returns the state of a server as it is registered now.
func keep(old []*server, now fleet.Server) *server {
	for _, s := range old {
		if s.Key() == now.Key() {
			s.Server = now
			return s
		}
	}
	return &server{
		Server: now, hash: xxhash.Sum64String(now.ID), slowdown: 1, weight: 1,
		parts: make(map[uint64]time.Duration), peers: make(map[string]peerLoad),
	}
}

// SetWeight sets the share of its usual work that a server is to get; 0 keeps
// requests away from it.
func (t *Table) SetWeight(id string, weight float64) {
	if s := t.find(id); s != nil {
		s.weight = weight
	}
}

func (t *Table) find(id string) *server {
	for _, s := range t.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// Ticket is a send under way. It is ended once by Table.Ended.
type Ticket struct {
	server   *server
	tokens   float64
	deferred bool
	sentAt   time.Duration
	// predicted time of the first event, in seconds.
	predicted float64
	started   bool
}

// Send is a request on its way to a server.
type Send struct {
	Server string
	// NewTokens of the prompt are to be prefilled there.
	NewTokens int
	// Parts of the prompt that the server will have read then.
	Parts []Part
	// Deferred requests go behind those that can still be in time.
	Deferred bool
	// FirstEvent is when the first event is predicted.
	FirstEvent time.Duration
}

// Sent takes in that a request is on its way.
func (t *Table) Sent(now time.Duration, send Send) *Ticket {
	s := t.find(send.Server)
	if s == nil {
		return nil
	}
	k := &Ticket{
		server: s, tokens: float64(send.NewTokens), deferred: send.Deferred,
		sentAt: now, predicted: send.FirstEvent.Seconds(),
	}
	s.own++
	s.ownTokens.add(k.tokens, k.deferred)
	for _, key := range chain(send.Parts) {
		s.parts[key] = now
	}
	t.sweep(now)
	return k
}

// Started takes in that the prompt of a send has been prefilled.
func (t *Table) Started(now time.Duration, k *Ticket) {
	if k == nil || k.started || k.server == nil {
		return
	}
	k.started = true
	k.server.ownTokens.add(-k.tokens, k.deferred)
	took := (now - k.sentAt).Seconds()
	k.server.observe(took, k.predicted)
	if k.server.Stage == fleet.StagePrefill {
		t.rate.observe(k.tokens, took)
	}
}

// Ended takes in that a send has ended in whatever way.
func (t *Table) Ended(k *Ticket) {
	if k == nil || k.server == nil {
		return
	}
	if !k.started {
		k.server.ownTokens.add(-k.tokens, k.deferred)
	}
	k.server.own--
	k.server = nil
}

// Told takes in the load that a server told with an answer.
func (t *Table) Told(now time.Duration, id string, l Load) {
	s := t.find(id)
	if s == nil {
		return
	}
	s.told = l.Running + l.Waiting
	s.toldOwn = s.own
	s.toldAt = now
	s.hasTold = true
	if l.Slots > 0 {
		s.Slots = l.Slots
	}
}

const (
	// leastRefusedPause and mostRefusedPause bound how long a server that
	// refuses is left alone; engines refuse for seconds while they change.
	leastRefusedPause = 150 * time.Millisecond
	mostRefusedPause  = time.Second
)

// Refused takes in that a server has refused a request for want of room or
// while it carries out an order.
func (t *Table) Refused(now time.Duration, id string) {
	s := t.find(id)
	if s == nil || now < s.refusedUntil {
		return
	}
	pause := min(leastRefusedPause<<min(s.refusals, 8), mostRefusedPause)
	s.refusals++
	s.refusedUntil = now + pause
}

// Accepted takes in that a server has taken a request.
func (t *Table) Accepted(id string) {
	if s := t.find(id); s != nil {
		s.refusals = 0
	}
}

// sweep drops parts that have not been used for long.
func (t *Table) sweep(now time.Duration) {
	if now-t.swept < partLife {
		return
	}
	t.swept = now
	for _, s := range t.servers {
		for key, used := range s.parts {
			if now-used > partLife {
				delete(s.parts, key)
			}
		}
	}
}

// usable returns the servers of a stage that may take a request.
func (t *Table) usable(now time.Duration, stage fleet.Stage) []*server {
	list := make([]*server, 0, len(t.servers))
	for _, s := range t.servers {
		if s.Stage == stage && !s.Leaving && s.weight > 0 && now >= s.refusedUntil {
			list = append(list, s)
		}
	}
	return list
}
