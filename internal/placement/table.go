package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// Table holds what one gateway knows of the servers of one service.
type Table struct {
	opts    Options
	engine  *fleet.EngineSpec
	servers []*server
	rate    rateEstimate
	swept   time.Duration
	// knowsAllCaches is set when this table has been the coordinator for at
	// least coordinatorWarmUp, so that it knows all long prompts that the
	// engines have cached.
	knowsAll bool
	placed   map[placedKey]*placedSend
}

// server is a backend server with the gateway's view of it.
type server struct {
	fleet.Server
	// hash is the hash of the ID for rendezvous hashing.
	hash uint64
	// ownRequests counts this gateway's requests in flight. ownBacklog is their
	// prefill work that is not done yet, of which a coordinator placed
	// coordinatedBacklog.
	own                  int
	ownWork, coordinated queue
	// backlogSince is when the server started on the first item of ownBacklog.
	workingSince time.Duration
	// reportedRequests is the load in the server's newest report, and
	// ownAtReport the own requests in flight when it arrived.
	told    int
	toldOwn int
	toldAt  time.Duration
	hasTold bool
	// peers holds the loads reported by other gateways, by gateway.
	peers map[string]peerLoad
	// slowdown is the smoothed ratio of observed to predicted times, as of
	// observedAt.
	slowdown   float64
	observedAt time.Duration
	// weight is the fraction of its usual load that the server should get.
	weight float64
	// refusedUntil is the end of the backoff after a refusal. refusals counts
	// consecutive refusals.
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

// SetServers replaces the servers of the service. Servers that remain keep
// their state unless their incarnation has changed.
func (t *Table) SetServers(engine *fleet.EngineSpec, servers []fleet.Server) {
	t.engine = engine
	old := t.servers
	t.servers = make([]*server, 0, len(servers))
	for _, server := range servers {
		s := keep(old, server)
		if engine != nil {
			s.cache.setMemory(engine.MemoryTokens)
		}
		t.servers = append(t.servers, s)
	}
}

// carryOver returns the state of a registered server, which is new if the
// server or its incarnation is not in old.
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

// SetWeight sets the fraction of its usual load that a server should get. Zero
// excludes the server.
func (t *Table) SetWeight(id string, weight float64) {
	if s := t.find(id); s != nil {
		s.weight = weight
	}
}

// find returns the server with the given ID, or nil.
func (t *Table) find(id string) *server {
	for _, s := range t.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// InFlightSend is a request in flight. The caller must end it with
// Table.RecordEnd. Further calls have no effect.
type Ticket struct {
	server *server
	// work is the prefill work of the prompt. queued is set if other work was
	// ahead of it.
	work   float64
	waited bool

	deferred, coordinated bool
	sentAt                time.Duration
	// predicted is the predicted time to first event in seconds.
	predicted float64
	started   bool
	// newParts are the keys of the parts that the server prefills for this
	// request.
	fresh []uint64
}

// Send describes a request that is being sent to a server.
type Send struct {
	Server string
	// UncachedTokens is how many of the PromptTokens the server has to prefill.
	NewTokens, PromptTokens int
	// Parts are the prompt parts that the server has cached after the prefill.
	Parts []Part
	// Deferred requests queue behind those that can still be in time.
	Deferred bool
	// TimeToFirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// FetchFrom is the address of the engine from which the server fetches
	// shared parts. Empty means none.
	FetchFrom string
	// Coordinated is set if a coordinator placed the request and reports its
	// work.
	Coordinated bool
}

// RecordSend records a request sent to a server. It returns nil if the server
// is not in the table.
func (t *Table) Sent(now time.Duration, send Send) *Ticket {
	s := t.find(send.Server)
	if s == nil {
		return nil
	}
	k := &Ticket{
		server: s, work: prefillWork(float64(send.NewTokens), float64(send.PromptTokens)), deferred: send.Deferred,
		coordinated: send.Coordinated, sentAt: now, predicted: send.FirstEvent.Seconds(),
		waited: s.queued(now, t.rateOf(s), send.Deferred) > 0,
	}
	s.own++
	s.addWork(now, k, k.work)
	keys := chain(send.Parts)
	k.fresh = s.cache.use(now, now+send.FirstEvent+takeTime, send.Parts, keys)
	t.fetched(now, send, keys)
	return k
}

// RecordPrefilled records that the prompt of a request has been prefilled.
func (t *Table) Started(now time.Duration, k *Ticket) {
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

// addWork adds the work of a request to the server's backlog, or removes it if
// negative. After a removal the server starts on the next item.
func (s *server) addWork(now time.Duration, k *Ticket, work float64) {
	if work < 0 || s.ownWork.before(true) == 0 {
		s.workingSince = now
	}
	s.ownWork.add(work, k.deferred)
	if k.coordinated {
		s.coordinated.add(work, k.deferred)
	}
}

// recordFetch records that a fetch has used the shared parts in the cache of
// its source.
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

// rateOf returns the server's prefill rate in work per second.
func (t *Table) rateOf(s *server) float64 {
	if s.Stage == fleet.StageDecode {
		return t.rate.perSecond * decodePrefillShare
	}
	return t.rate.perSecond
}

// RecordEnd records the end of a request, whatever its outcome.
func (t *Table) Ended(k *Ticket) {
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

// RecordLoad records the load that a server reported with a response.
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
	// minRefusalBackoff and maxRefusalBackoff bound how long a server gets no
	// requests after a refusal. Engines refuse requests for seconds while they
	// change their stage.
	leastRefusedPause = 150 * time.Millisecond
	mostRefusedPause  = time.Second
)

// RecordRefusal records that a server refused a request because it was full or
// was executing an order. The server is not usable until the end of an
// exponential backoff.
func (t *Table) Refused(now time.Duration, id string) {
	s := t.find(id)
	if s == nil || now < s.refusedUntil {
		return
	}
	pause := min(leastRefusedPause<<min(s.refusals, 8), mostRefusedPause)
	s.refusals++
	s.refusedUntil = now + pause
}

// RecordAcceptance records that a server accepted a request, which resets its
// refusal backoff.
func (t *Table) Accepted(id string) {
	if s := t.find(id); s != nil {
		s.refusals = 0
	}
}

// sweepInterval is the time between evictions of unused parts.
const sweepInterval = time.Second

// sweep evicts the parts that have not been used for partTTL.
func (t *Table) sweep(now time.Duration) {
	if now-t.swept < sweepInterval {
		return
	}
	t.swept = now
	for _, s := range t.servers {
		s.cache.expire(now - partLife)
	}
}

// Usable reports whether a server may get requests.
func (t *Table) Usable(now time.Duration, id string) bool {
	s := t.find(id)
	return s != nil && s.usable(now)
}

func (s *server) usable(now time.Duration) bool {
	return !s.Leaving && s.weight > 0 && now >= s.refusedUntil
}

// usable returns the servers of a stage that may get requests.
func (t *Table) usable(now time.Duration, stage fleet.Stage) []*server {
	list := make([]*server, 0, len(t.servers))
	for _, s := range t.servers {
		if s.Stage == stage && s.usable(now) {
			list = append(list, s)
		}
	}
	return list
}
