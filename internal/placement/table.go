package placement

import (
	"math"
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

// queue is prompt tokens that are to be prefilled.
type queue struct {
	// urgent tokens go first; deferred ones are of requests that come late
	// anyway.
	urgent, deferred float64
}

// add counts tokens in, or out if negative.
func (q *queue) add(tokens float64, deferred bool) {
	if deferred {
		q.deferred = max(0, q.deferred+tokens)
		return
	}
	q.urgent = max(0, q.urgent+tokens)
}

// before returns the tokens that go before a new request.
func (q queue) before(deferred bool) float64 {
	if deferred {
		return q.urgent + q.deferred
	}
	return q.urgent
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

// Forget takes in that an engine does not hold the parts it was taken to.
func (t *Table) Forget(id string, parts []Part) {
	if s := t.find(id); s != nil {
		for _, key := range chain(parts) {
			delete(s.parts, key)
		}
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

// peerLoad is what another gateway has at a server.
type peerLoad struct {
	requests int
	tokens   queue
	at       time.Duration
}

// peerLife is how long the load that another gateway told counts.
const peerLife = 2 * time.Second

// OwnLoad is what a gateway has at one server.
type OwnLoad struct {
	Server   string
	Requests int
	// UrgentTokens and DeferredTokens of prompts are not prefilled yet.
	UrgentTokens, DeferredTokens int
}

// OwnLoads returns what this gateway has at each server, to be told to
// others.
func (t *Table) OwnLoads() []OwnLoad {
	var loads []OwnLoad
	for _, s := range t.servers {
		if s.own > 0 {
			loads = append(loads, OwnLoad{
				Server: s.ID, Requests: s.own,
				UrgentTokens: int(s.ownTokens.urgent), DeferredTokens: int(s.ownTokens.deferred),
			})
		}
	}
	return loads
}

// PeerLoads takes in what another gateway has at the servers. It has nothing
// at those that it does not name.
func (t *Table) PeerLoads(now time.Duration, peer string, loads []OwnLoad) {
	for _, s := range t.servers {
		delete(s.peers, peer)
	}
	for _, l := range loads {
		if s := t.find(l.Server); s != nil {
			tokens := queue{urgent: float64(l.UrgentTokens), deferred: float64(l.DeferredTokens)}
			s.peers[peer] = peerLoad{requests: l.Requests, tokens: tokens, at: now}
		}
	}
}

// fromPeers returns the requests that other gateways have told of.
func (s *server) fromPeers(now time.Duration) float64 {
	requests := 0
	for _, l := range s.peers {
		if now-l.at < peerLife {
			requests += l.requests
		}
	}
	return float64(requests)
}

// others returns the requests that other gateways are thought to have at the
// server: what they told, or what the server told beyond the own sends, less
// the older it is.
func (s *server) others(now time.Duration) float64 {
	requests := s.fromPeers(now)
	if !s.hasTold {
		return requests
	}
	age := float64(now-s.toldAt) / float64(loadHalfLife)
	return max(requests, float64(max(0, s.told-s.toldOwn))*math.Exp2(-age))
}

// queued returns the prompt tokens that are to be prefilled at the server
// before a new request.
func (s *server) queued(now time.Duration, deferred bool) float64 {
	tokens := s.ownTokens.before(deferred)
	for _, l := range s.peers {
		if now-l.at < peerLife {
			tokens += l.tokens.before(deferred)
		}
	}
	return tokens
}

// load returns the requests at the server now.
func (s *server) load(now time.Duration) float64 { return float64(s.own) + s.others(now) }

const (
	// slowdownShare is the weight of one observation in a server's slowdown.
	slowdownShare = 0.1
	// maxSlowdown bounds one observation.
	maxSlowdown = 8.0
	// leastPredicted keeps noise on short times out of the slowdown, in
	// seconds.
	leastPredicted = 0.02
)

// observe moves the slowdown towards a time that was seen.
func (s *server) observe(took, predicted float64) {
	ratio := (took + leastPredicted) / (predicted + leastPredicted)
	ratio = min(max(ratio, 1/maxSlowdown), maxSlowdown)
	s.slowdown += slowdownShare * (ratio*s.slowdown - s.slowdown)
	s.slowdown = min(max(s.slowdown, 0.5), maxSlowdown)
}

// rateEstimate follows the rate of a prefill that does not wait, in tokens per
// second: it rises with each faster one and falls slowly.
type rateEstimate struct{ perSecond float64 }

const (
	// leastRateTokens is the smallest prefill that tells a rate.
	leastRateTokens = 1500
	rateRise        = 0.3
	rateFall        = 0.01
)

func (r *rateEstimate) observe(tokens, took float64) {
	if tokens < leastRateTokens || took <= 0 {
		return
	}
	seen := tokens / took
	share := rateFall
	if seen > r.perSecond {
		share = rateRise
	}
	r.perSecond += share * (seen - r.perSecond)
}

// chain returns a key for each part together with all before it.
func chain(parts []Part) []uint64 {
	keys := make([]uint64, len(parts))
	var d xxhash.Digest
	d.Reset()
	for i, p := range parts {
		_, _ = d.WriteString(p.ID)
		_, _ = d.Write([]byte{0})
		keys[i] = d.Sum64()
	}
	return keys
}

// held returns the tokens of the leading parts that a server is thought to
// have cached.
func (s *server) held(now time.Duration, parts []Part, keys []uint64) int {
	tokens := 0
	for i, part := range parts {
		used, ok := s.parts[keys[i]]
		if !ok || now-used > partLife {
			break
		}
		tokens += part.Tokens
	}
	return tokens
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
