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
	// knowsAll is set while all long prompts of the service have been placed
	// by this table for a while.
	knowsAll bool
	placed   map[placedKey]*placedSend
}

// server is one backend server with what the gateway knows of it.
type server struct {
	fleet.Server
	// hash of the ID, for rendezvous.
	hash uint64
	// own sends under way, and the work of their prompts that are not
	// prefilled yet; coordinated is the part of it that a coordinator placed.
	own                  int
	ownWork, coordinated queue
	// workingSince is when the server began with the first of that work.
	workingSince time.Duration
	// told is the load of the newest answer, with the own sends at that time.
	told    int
	toldOwn int
	toldAt  time.Duration
	hasTold bool
	// peers has the sends of other gateways under way, by gateway.
	peers map[string]peerLoad
	// slowdown is the ratio of observed to usual times at observedAt.
	slowdown   float64
	observedAt time.Duration
	// weight is the share of its usual work that the server is to get.
	weight float64
	// refusedUntil keeps requests away from a server that refuses; refusals
	// counts those in a row.
	refusedUntil time.Duration
	refusals     int
	cache        *cache
}

// NewTable returns a table without servers. The engine is nil for plain
// services.
func NewTable(opts Options, engine *fleet.EngineSpec) *Table {
	return &Table{
		opts: opts, engine: engine, rate: rateEstimate{perSecond: initialPrefillRate},
		placed: make(map[placedKey]*placedSend),
	}
}

// SetServers makes these the servers of the service. Those that remain keep
// what is known of them, unless they are of a later incarnation.
func (t *Table) SetServers(engine *fleet.EngineSpec, servers []fleet.Server) {
	t.engine = engine
	old := t.servers
	t.servers = make([]*server, 0, len(servers))
	for _, server := range servers {
		s := keep(old, server)
		if engine != nil {
			s.cache.setMemory(engine.KVCapacityTokens)
		}
		t.servers = append(t.servers, s)
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
		cache: newCache(), peers: make(map[string]peerLoad),
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

// InFlightSend is a send under way. It is ended once by Table.Ended.
type InFlightSend struct {
	server *server
	// work of the prompt, and whether others had to go before it.
	work   float64
	waited bool

	deferred, coordinated bool
	sentAt                time.Duration
	// predicted time of the first event, in seconds.
	predicted float64
	started   bool
	// fresh are the keys of the parts that the server is to read.
	fresh []uint64
}

// Send is a request on its way to a server.
type Send struct {
	ServerID string
	// UncachedTokens of the PromptTokens are to be prefilled there.
	UncachedTokens, PromptTokens int
	// Parts of the prompt that the server will have read then.
	Parts []PromptPart
	// Deferred requests go behind those that can still be in time.
	Deferred bool
	// TimeToFirstEvent is when the first event is predicted.
	TimeToFirstEvent time.Duration
	// FetchFrom is the address of the engine that shared parts are fetched
	// from; empty for none.
	FetchFrom string
	// Coordinated sends were placed by a coordinator, which tells of them.
	Coordinated bool
}

// RecordSend takes in that a request is on its way.
func (t *Table) RecordSend(now time.Duration, send Send) *InFlightSend {
	s := t.find(send.ServerID)
	if s == nil {
		return nil
	}
	k := &InFlightSend{
		server: s, work: prefillWork(float64(send.UncachedTokens), float64(send.PromptTokens)), deferred: send.Deferred,
		coordinated: send.Coordinated, sentAt: now, predicted: send.TimeToFirstEvent.Seconds(),
		waited: s.queued(now, t.rateOf(s), send.Deferred) > 0,
	}
	s.own++
	s.addWork(now, k, k.work)
	keys := chain(send.Parts)
	k.fresh = s.cache.use(now, now+send.TimeToFirstEvent+takeTime, send.Parts, keys)
	t.fetched(now, send, keys)
	return k
}

// RecordPrefilled takes in that the prompt of a send has been prefilled.
func (t *Table) RecordPrefilled(now time.Duration, k *InFlightSend) {
	if k == nil || k.started || k.server == nil {
		return
	}
	k.started = true
	k.server.addWork(now, k, -k.work)
	k.server.cache.wasRead(now+takeTime, k.fresh)
	took := (now - k.sentAt).Seconds()
	k.server.observe(now, took, k.predicted)
	if k.server.Stage == fleet.StagePrefill && !k.waited {
		t.rate.observe(k.work, took-firstStep)
	}
}

// addWork counts a send's work in, or out if negative. The server goes on with
// the next work then.
func (s *server) addWork(now time.Duration, k *InFlightSend, work float64) {
	if work < 0 || s.ownWork.before(true) == 0 {
		s.workingSince = now
	}
	s.ownWork.add(work, k.deferred)
	if k.coordinated {
		s.coordinated.add(work, k.deferred)
	}
}

// fetched takes in that the source of a fetch has used the shared parts.
func (t *Table) fetched(now time.Duration, send Send, keys []uint64) {
	if send.FetchFrom == "" || len(keys) == 0 {
		return
	}
	shared := len(keys) - 1
	for _, s := range t.servers {
		if s.Address == send.FetchFrom {
			s.cache.use(now, now, send.Parts[:shared], keys[:shared])
		}
	}
}

// rateOf returns the rate at which a server prefills, in work per second.
func (t *Table) rateOf(s *server) float64 {
	if s.Stage == fleet.StageDecode {
		return t.rate.perSecond * decodePrefillShare
	}
	return t.rate.perSecond
}

// RecordEnd takes in that a send has ended in whatever way.
func (t *Table) RecordEnd(k *InFlightSend) {
	if k == nil || k.server == nil {
		return
	}
	if !k.started {
		k.server.cache.forget(k.fresh)
		k.server.ownWork.add(-k.work, k.deferred)
		if k.coordinated {
			k.server.coordinated.add(-k.work, k.deferred)
		}
	}
	k.server.own--
	k.server = nil
}

// RecordLoad takes in the load that a server told with an answer.
func (t *Table) RecordLoad(now time.Duration, id string, l Load) {
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

// RecordRefusal takes in that a server has refused a request for want of room or
// while it carries out an order.
func (t *Table) RecordRefusal(now time.Duration, id string) {
	s := t.find(id)
	if s == nil || now < s.refusedUntil {
		return
	}
	pause := min(leastRefusedPause<<min(s.refusals, 8), mostRefusedPause)
	s.refusals++
	s.refusedUntil = now + pause
}

// RecordAcceptance takes in that a server has taken a request.
func (t *Table) RecordAcceptance(id string) {
	if s := t.find(id); s != nil {
		s.refusals = 0
	}
}

// sweepInterval is the time between looks for parts that are not used any more.
const sweepInterval = time.Second

// sweep drops parts that have not been used for long.
func (t *Table) sweep(now time.Duration) {
	if now-t.swept < sweepInterval {
		return
	}
	t.swept = now
	for _, s := range t.servers {
		s.cache.expire(now - partLife)
	}
}

// Usable tells whether a server may take a request.
func (t *Table) Usable(now time.Duration, id string) bool {
	s := t.find(id)
	return s != nil && s.usable(now)
}

func (s *server) usable(now time.Duration) bool {
	return !s.Leaving && s.weight > 0 && now >= s.refusedUntil
}

// usable returns the servers of a stage that may take a request.
func (t *Table) usable(now time.Duration, stage fleet.Stage) []*server {
	list := make([]*server, 0, len(t.servers))
	for _, s := range t.servers {
		if s.Stage == stage && s.usable(now) {
			list = append(list, s)
		}
	}
	return list
}
