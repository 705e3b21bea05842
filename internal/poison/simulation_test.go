package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// step is the resolution of the simulation's virtual time.
const step = 10 * time.Millisecond

// simulation runs the detectors of a fleet of gateways in virtual time, with engines
// that crash and gateways that exchange reports.
type simulation struct {
	opts     options
	rand     *rand.Rand
	now      time.Duration
	gateways []*gateway
	engines  []*engine
	requests []*request
	// nextRequest numbers the requests, and nextEngine the starts of engines.
	nextRequest uint64
	nextEngine  int

	// crashes are the times of the crashes under a poisonous part, and poisonSends
	// those of the prompts with one that were sent, by part.
	crashes, poisonSends map[string][]time.Duration
	// blocked holds when the first and the last gateway blocked a part.
	blocked map[Trait][2]time.Duration
}

// options describe a fleet and its load.
type options struct {
	seed              uint64
	gateways, engines int
	// soundRate and poisonRate are the prompts per second, in sum over the gateways.
	soundRate, poisonRate float64
	// firstParts and secondParts are the numbers of different shared parts.
	firstParts, secondParts int
	// poison holds the parts that crash an engine, with the probability.
	poison map[string]float64
	// poisonFrom is when such prompts begin.
	poisonFrom time.Duration
	// kills is the number of engines per second that end for other reasons, and
	// blackouts the times at which a share of all engines ends at once.
	kills         float64
	blackouts     []time.Duration
	blackoutShare float64
	// breaks is the share of the attempts whose connection breaks at a live engine.
	breaks float64
	// silent are gateways that no other gateway reaches.
	silent int
	// harmful is the number of different requests that crash each server, each sent
	// harmfulRate times per second from poisonFrom on; popular is one that many callers
	// send, popularRate times per second.
	harmful                  int
	harmfulRate, popularRate float64
	// sends is how often a request is sent while it is lost, 0 for once. Its gateway
	// sends it the second time, another one after that.
	sends int
}

type gateway struct {
	detector *Detector
	// push is set when other gateways are to be notified at once.
	push bool
}

type engine struct {
	name   string
	downTo time.Duration
}

type request struct {
	id      uint64
	gateway *gateway
	engine  *engine
	name    string
	parts   []string
	sentAt  time.Duration
	endsAt  time.Duration
	crashAt time.Duration
	// whole is the name of a request that comes again; empty if it comes once.
	whole string
	sends int
}

const (
	simulatedFirstToken = 90 * time.Millisecond
	simulatedDowntime   = 1500 * time.Millisecond
	simulatedHeartbeat  = 400 * time.Millisecond
	simulatedPush       = 200 * time.Millisecond
	peersPerHeartbeat   = 4
	peersPerPush        = 6
)

func newSimulation(opts options) *simulation {
	s := &simulation{
		opts: opts, rand: rand.New(rand.NewPCG(opts.seed, 1)),
		crashes: make(map[string][]time.Duration), poisonSends: make(map[string][]time.Duration), blocked: make(map[Trait][2]time.Duration),
	}
	for range opts.gateways {
		s.gateways = append(s.gateways, &gateway{detector: New()})
	}
	for range opts.engines {
		s.engines = append(s.engines, s.newEngine())
	}
	return s
}

func (s *simulation) newEngine() *engine {
	s.nextEngine++
	return &engine{name: fmt.Sprint("engine-", s.nextEngine)}
}

// run advances the virtual time.
func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += step {
		s.sendSound()
		s.sendPoison()
		s.sendRepeated()
		s.killEngines()
		s.endRequests()
		s.exchange()
		for _, g := range s.gateways {
			s.noteBlocks(g, g.detector.Decide(s.now))
		}
	}
}

// events returns how many events of a rate happen in one step.
func (s *simulation) events(rate float64) int {
	n := 0
	for expected := rate * step.Seconds(); expected > 0; expected-- {
		if s.rand.Float64() < expected {
			n++
		}
	}
	return n
}

func (s *simulation) sendSound() {
	for range s.events(s.opts.soundRate) {
		first, second := fmt.Sprint("first-", s.rand.IntN(s.opts.firstParts)), fmt.Sprint("second-", s.rand.IntN(s.opts.secondParts))
		s.send(first, second)
	}
}

// sendPoison sends prompts that share their first part with sound ones.
func (s *simulation) sendPoison() {
	if s.now < s.opts.poisonFrom {
		return
	}
	var parts []string
	for part := range s.opts.poison {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	for _, part := range parts {
		for range s.events(s.opts.poisonRate) {
			s.send("first-0", part, fmt.Sprint("second-", s.rand.IntN(s.opts.secondParts)))
		}
	}
}

// sendRepeated sends the requests that come again.
func (s *simulation) sendRepeated() {
	for range s.events(s.opts.popularRate) {
		s.sendWhole("popular", 1, s.gateways[s.rand.IntN(len(s.gateways))])
	}
	if s.now < s.opts.poisonFrom {
		return
	}
	for i := range s.opts.harmful {
		for range s.events(s.opts.harmfulRate) {
			s.sendWhole(fmt.Sprint("harmful-", i), 1, s.gateways[s.rand.IntN(len(s.gateways))])
		}
	}
}

// sendWhole sends a request without prompt through a gateway to a random server that
// is up.
func (s *simulation) sendWhole(whole string, sends int, g *gateway) {
	if _, blocked := g.detector.Blocked([]Trait{wholeTrait(whole)}); blocked {
		return
	}
	var up []*engine
	for _, e := range s.engines {
		if s.now >= e.downTo {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := up[s.rand.IntN(len(up))]
	s.nextRequest++
	r := &request{id: s.nextRequest, gateway: g, engine: e, name: e.name, sentAt: s.now, endsAt: s.now + 20*time.Millisecond, whole: whole, sends: sends}
	if strings.HasPrefix(whole, "harmful") {
		s.poisonSends[whole] = append(s.poisonSends[whole], s.now)
		r.crashAt = s.now + 40*time.Millisecond
	}
	s.requests = append(s.requests, r)
}

// wholeTrait returns the trait of a request that comes again.
func wholeTrait(whole string) Trait { return Request{Path: whole}.Traits()[0] }

// traits returns the traits of the request.
func (r *request) traits() []Trait {
	if r.whole == "" {
		return sorted(append(hashesOf(r.parts), wholeTrait(fmt.Sprint("once-", r.id))))
	}
	return []Trait{wholeTrait(r.whole)}
}

// sendAgain sends a lost request once more, unless it was sent often enough.
func (s *simulation) sendAgain(r *request) {
	if r.whole == "" || r.sends >= s.opts.sends {
		return
	}
	g := r.gateway
	if r.sends > 1 {
		g = s.gateways[s.rand.IntN(len(s.gateways))]
	}
	s.sendWhole(r.whole, r.sends+1, g)
}

// send sends a prompt through a random gateway to a random engine that is up.
func (s *simulation) send(parts ...string) {
	g := s.gateways[s.rand.IntN(len(s.gateways))]
	hashes := hashesOf(parts)
	if _, blocked := g.detector.Blocked(hashes); blocked {
		return
	}
	e := s.engines[s.rand.IntN(len(s.engines))]
	if s.now < e.downTo {
		return
	}
	s.nextRequest++
	r := &request{
		id: s.nextRequest, gateway: g, engine: e, name: e.name, parts: parts, sentAt: s.now,
		endsAt: s.now + simulatedFirstToken + time.Duration(s.rand.IntN(150))*time.Millisecond,
	}
	for _, part := range parts {
		probability, poisonous := s.opts.poison[part]
		if !poisonous {
			continue
		}
		s.poisonSends[part] = append(s.poisonSends[part], s.now)
		if s.rand.Float64() < probability {
			r.crashAt = s.now + simulatedFirstToken
		}
	}
	s.requests = append(s.requests, r)
}

func hashesOf(parts []string) []Trait {
	hashes := make([]Trait, 0, len(parts))
	for _, part := range parts {
		hashes = append(hashes, PartOf(part))
	}
	return hashes
}

// killEngines ends engines for reasons that no prompt is to blame for.
func (s *simulation) killEngines() {
	for range s.events(s.opts.kills) {
		s.end(s.engines[s.rand.IntN(len(s.engines))])
	}
	if slices.Contains(s.opts.blackouts, s.now) {
		for _, i := range s.rand.Perm(len(s.engines))[:int(s.opts.blackoutShare*float64(len(s.engines)))] {
			s.end(s.engines[i])
		}
	}
}

// end ends an engine, with all its requests. It comes back under another name.
func (s *simulation) end(e *engine) {
	if s.now < e.downTo {
		return
	}
	kept := s.requests[:0]
	lost := make(map[*gateway]bool)
	var ended []*request
	for _, r := range s.requests {
		if r.engine != e {
			kept = append(kept, r)
			continue
		}
		r.gateway.detector.RecordLoss(s.now, e.name, r.traits())
		lost[r.gateway] = true
		ended = append(ended, r)
	}
	s.requests = kept
	for g := range lost {
		_, confirmed := g.detector.EndCheck(s.now, e.name, CheckEnded)
		g.push = g.push || confirmed
	}
	s.nextEngine++
	e.name, e.downTo = fmt.Sprint("engine-", s.nextEngine), s.now+simulatedDowntime
	for _, r := range ended {
		s.sendAgain(r)
	}
}

func sorted(parts []Trait) []Trait {
	slices.Sort(parts)
	return parts
}

// endRequests ends the requests that are due, by their answer, a break or a crash.
func (s *simulation) endRequests() {
	for _, r := range slices.Clone(s.requests) {
		if r.crashAt > 0 && r.crashAt <= s.now && slices.Contains(s.requests, r) {
			s.end(r.engine)
			for _, part := range r.parts {
				if _, poisonous := s.opts.poison[part]; poisonous {
					s.crashes[part] = append(s.crashes[part], s.now)
				}
			}
			s.crashes[r.whole] = append(s.crashes[r.whole], s.now)
		}
	}
	kept := s.requests[:0]
	for _, r := range s.requests {
		if r.endsAt > s.now || r.crashAt > 0 {
			kept = append(kept, r)
			continue
		}
		hashes := r.traits()
		if s.rand.Float64() < s.opts.breaks {
			if r.gateway.detector.RecordLoss(s.now, r.name, hashes) {
				r.gateway.detector.EndCheck(s.now, r.name, CheckAlive)
			}
			continue
		}
		exonerated := r.gateway.detector.RecordSound(s.now, r.id, r.sentAt, hashes)
		r.gateway.push = r.gateway.push || exonerated
	}
	s.requests = kept
}

// exchange lets gateways exchange reports: each with some others at each heartbeat,
// and at once with some when they have learned something.
func (s *simulation) exchange() {
	connected := s.gateways[:len(s.gateways)-s.opts.silent]
	for i, g := range connected {
		peers := 0
		switch {
		case g.push && (s.now/step+time.Duration(i))%(simulatedPush/step) == 0:
			peers = peersPerPush
			g.push = false
		case (s.now/step+time.Duration(i))%(simulatedHeartbeat/step) == 0:
			peers = peersPerHeartbeat
		}
		for range peers {
			other := connected[s.rand.IntN(len(connected))]
			if other == g {
				continue
			}
			s.merge(other, g.detector.Report(s.now))
			s.merge(g, other.detector.Report(s.now))
		}
	}
}

func (s *simulation) merge(g *gateway, r Report) {
	changes := g.detector.Merge(s.now, r)
	g.push = g.push || changes.Evidence
	s.noteBlocks(g, changes.Blocks)
}

func (s *simulation) noteBlocks(g *gateway, blocks []Block) {
	for _, b := range blocks {
		times, known := s.blocked[b.Trait]
		if !known {
			times[0] = s.now
		}
		times[1] = s.now
		s.blocked[b.Trait] = times
		g.push = true
	}
}

// sendsAfter returns how many prompts with a part were sent later than a time.
func (s *simulation) sendsAfter(part string, after time.Duration) int {
	n := 0
	for _, at := range s.poisonSends[part] {
		if at > after {
			n++
		}
	}
	return n
}
