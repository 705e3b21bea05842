package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/serverspeed"
)

// Table holds what one gateway knows of the servers of one service.
type Table struct {
	opts        Options
	engine      *fleet.EngineSpec
	servers     []*server
	prefillRate prefillRateEstimate
	firstSteps  [stepKindCount]firstStepEstimate
	// conditions is what is common to the servers of each stage, stageServers their
	// number.
	conditions   [stageCount]serverspeed.Conditions
	stageServers [stageCount]int
	lastSweep    time.Duration
	// knowsAllCaches is set when this table has been the coordinator for at
	// least coordinatorWarmUp, so that it knows all long prompts that the
	// engines have cached.
	knowsAllCaches bool
	peerSends      map[peerSendKey]*peerSend
	// considered is called for each candidate of a choice that is explained; nil in the
	// table of a gateway.
	considered func(step stepKind, c candidate)
}

// server is a backend server with the gateway's view of it.
type server struct {
	fleet.Server
	// hash is the hash of the ID for rendezvous hashing.
	hash uint64
	// ownRequests counts this gateway's requests in flight and the prompts that
	// it placed for other gateways. queue holds those that have not been
	// prefilled yet.
	ownRequests int
	queue       promptQueue
	// reportedRequests is the load in the server's newest report, and
	// ownAtReport the own requests in flight when it arrived.
	reportedRequests int
	ownAtReport      int
	reportedAt       time.Duration
	hasReport        bool
	// peers holds the loads reported by other gateways, by gateway.
	peers map[string]peerLoad
	// speed is what is known of the server's speed.
	speed speed
	// loadCostFactor is the factor of the cost of other requests at the server, which
	// differs between gateways.
	loadCostFactor float64
	// weight is the fraction of its usual load that the server should get.
	weight float64
	// weights is the version of the weights that the server stated last; empty if none.
	weights string
	// backoffUntil is the end of the backoff after a refusal, which grows with
	// the number of consecutive refusals.
	backoffUntil        time.Duration
	consecutiveRefusals int
	cache               *cache
}

// NewTable returns a table without servers. The engine is nil for plain
// services.
func NewTable(opts Options, engine *fleet.EngineSpec) *Table {
	t := &Table{
		opts: opts, engine: engine, prefillRate: prefillRateEstimate{perSecond: initialPrefillRate},
		peerSends: make(map[peerSendKey]*peerSend),
	}
	for i := range t.firstSteps {
		t.firstSteps[i].seconds = initialFirstStepSeconds
	}
	return t
}

// SetServers replaces the servers of the service. Servers that remain keep
// their state unless their incarnation has changed.
func (t *Table) SetServers(engine *fleet.EngineSpec, servers []fleet.Server) {
	t.engine = engine
	old := t.servers
	t.servers, t.stageServers = make([]*server, 0, len(servers)), [stageCount]int{}
	for _, server := range servers {
		s := t.carryOver(old, server)
		if engine != nil {
			s.cache.setMemory(engine.KVCapacityTokens)
		}
		t.servers = append(t.servers, s)
		t.stageServers[s.Stage]++
	}
}

// stageCount is the number of stages.
const stageCount = int(fleet.StageDecode) + 1

// carryOver returns the state of a registered server, which is new if the
// server or its incarnation is not in old. If old is empty, this gateway has
// started, not the server.
func (t *Table) carryOver(old []*server, registered fleet.Server) *server {
	for _, s := range old {
		if s.Key() == registered.Key() {
			s.Server = registered
			return s
		}
	}
	added := &server{
		Server: registered, hash: xxhash.Sum64String(registered.ID), weight: 1, loadCostFactor: loadCostFactor(t.opts.Gateway, registered.ID),
		cache: newCache(), peers: make(map[string]peerLoad),
	}
	if len(old) > 0 {
		added.speed.trial = serverspeed.NewTrial(t.opts.Gateway, registered.ID)
	}
	return added
}

// SetWeight sets the fraction of its usual load that a server should get. Zero
// excludes the server.
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

// InFlightSend is a request in flight. The caller must end it with
// Table.RecordEnd. Later calls of RecordEnd or RecordPrefilled have no effect.
type InFlightSend struct {
	server *server
	// work is the prefill work of the prompt, priority its priority at the
	// server. queued is set if other work was ahead of it.
	work     float64
	priority int
	queued   bool

	// imported is set if the server imports the prompt's KV cache.
	coordinated, imported bool
	sentAt                time.Duration
	// predicted is the predicted time to first event in seconds, and factors those
	// that it includes.
	predicted float64
	factors   speedFactors
	// prefilled is set by RecordPrefilled.
	prefilled bool
	// newParts are the keys of the parts that the server prefills for this
	// request.
	newParts []uint64
}

// Send describes a request that is being sent to a server.
type Send struct {
	ServerID string
	// UncachedTokens is how many of the PromptTokens the server has to prefill.
	UncachedTokens, PromptTokens int
	// Parts are the prompt parts that the server has cached after the prefill.
	Parts []PromptPart
	// Imported is set if the server imports the prompt's KV cache from the engine
	// that has prefilled it.
	Imported bool
	// Priority is the priority of the prefill at the server.
	Priority int
	// TimeToFirstEvent is the predicted time to the first event.
	TimeToFirstEvent time.Duration
	// FetchFrom is the address of the engine from which the server fetches
	// shared parts. Empty means none.
	FetchFrom string
	// Coordinated is set if a coordinator placed the request and reports its
	// work.
	Coordinated bool
}

// RecordSend records a request sent to a server. It returns nil if the server
// is not in the table.
func (t *Table) RecordSend(now time.Duration, send Send) *InFlightSend {
	s := t.find(send.ServerID)
	if s == nil {
		return nil
	}
	f := &InFlightSend{
		server: s, work: prefillWork(float64(send.UncachedTokens), float64(send.PromptTokens)), priority: clampPriority(send.Priority),
		coordinated: send.Coordinated, imported: send.Imported, sentAt: now, predicted: send.TimeToFirstEvent.Seconds(),
	}
	f.factors = t.speedFactors(now, s, s.requests(now), t.stageFactors(now, s.Stage))
	f.queued = s.backlogAhead(now, t.rateOf(s)/f.factors.total(), f.priority) > 0
	s.ownRequests++
	s.queue.add(now, f)
	keys := prefixKeys(send.Parts)
	f.newParts = s.cache.recordUse(now, now+send.TimeToFirstEvent+handoffDelay, send.Parts, keys)
	t.recordFetch(now, send, keys)
	return f
}

// RecordPrefilled records that the prompt of a request has been prefilled.
func (t *Table) RecordPrefilled(now time.Duration, f *InFlightSend) {
	if f == nil || f.prefilled || f.server == nil {
		return
	}
	f.prefilled = true
	f.server.queue.remove(now, f)
	f.server.cache.markAvailable(now+handoffDelay, f.newParts)
	took := (now - f.sentAt).Seconds()
	t.observeLatency(now, f, took)
	if !f.queued {
		t.observeUnqueued(f, took)
	}
}

// recordFetch records that a fetch has used the shared parts in the cache of
// its source.
func (t *Table) recordFetch(now time.Duration, send Send, keys []uint64) {
	if send.FetchFrom == "" || len(keys) == 0 {
		return
	}
	shared := len(keys) - 1
	for _, s := range t.servers {
		if s.Address == send.FetchFrom {
			s.cache.recordUse(now, now, send.Parts[:shared], keys[:shared])
		}
	}
}

// rateOf returns the server's prefill rate in work per second.
func (t *Table) rateOf(s *server) float64 {
	if s.Stage == fleet.StageDecode {
		return t.prefillRate.perSecond * decodePrefillShare
	}
	return t.prefillRate.perSecond
}

// RecordEnd records the end of a request, regardless of its outcome.
func (t *Table) RecordEnd(now time.Duration, f *InFlightSend) {
	if f == nil || f.server == nil {
		return
	}
	if !f.prefilled {
		f.server.cache.discard(f.newParts)
		f.server.queue.remove(now, f)
	}
	f.server.ownRequests--
	f.server = nil
}

// RecordLoad records the load that a server reported with a response.
func (t *Table) RecordLoad(now time.Duration, id string, l Load) {
	s := t.find(id)
	if s == nil {
		return
	}
	s.reportedRequests = l.Running + l.Waiting
	s.ownAtReport = s.ownRequests
	s.reportedAt = now
	s.hasReport = true
	s.speed.stated.Observe(now, l.WorkPercent)
	if l.Slots > 0 {
		s.Slots = l.Slots
	}
}

const (
	// minRefusalBackoff and maxRefusalBackoff bound how long a server gets no
	// requests after a refusal. Engines refuse requests for seconds while they
	// change their stage.
	minRefusalBackoff = 150 * time.Millisecond
	maxRefusalBackoff = time.Second
)

// RecordRefusal records that a server refused a request because it was full or
// was executing an order. The server is not usable until the end of an
// exponential backoff. A pause for which the server has asked takes its place,
// unless it is shorter than any backoff; the caller keeps to it.
func (t *Table) RecordRefusal(now time.Duration, id string, pause time.Duration) {
	s := t.find(id)
	if s == nil || now < s.backoffUntil || pause >= minRefusalBackoff {
		return
	}
	backoff := min(minRefusalBackoff<<min(s.consecutiveRefusals, 8), maxRefusalBackoff)
	s.consecutiveRefusals++
	s.backoffUntil = now + backoff
}

// RecordAcceptance records that a server accepted a request, which resets its
// refusal backoff.
func (t *Table) RecordAcceptance(id string) {
	if s := t.find(id); s != nil {
		s.consecutiveRefusals = 0
	}
}

// sweepInterval is the time between evictions of unused parts.
const sweepInterval = time.Second

// sweep evicts the parts that have not been used for partTTL, and updates what the
// speeds of the servers have in common.
func (t *Table) sweep(now time.Duration) {
	if now-t.lastSweep < sweepInterval {
		return
	}
	t.lastSweep = now
	for _, s := range t.servers {
		s.cache.evictUnused(now - partTTL)
	}
	for stage := range t.conditions {
		t.conditions[stage].SetServers(t.estimates(fleet.Stage(stage)))
	}
}

// Usable reports whether a server may get requests.
func (t *Table) Usable(now time.Duration, id string) bool {
	s := t.find(id)
	return s != nil && s.usable(now)
}

// usable reports whether the server may get requests: it is not leaving, has a
// weight and is not in a refusal backoff.
func (s *server) usable(now time.Duration) bool { return s.unusable(now) == "" }

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

// usableFor returns the usable servers of a stage that a request may go to.
func (t *Table) usableFor(now time.Duration, r Request, stage fleet.Stage) []*server {
	servers := t.usable(now, stage)
	if r.VersionPinned {
		servers = slices.DeleteFunc(servers, func(s *server) bool { return s.Version != r.Version })
	}
	return withWeights(servers, r.Weights)
}
