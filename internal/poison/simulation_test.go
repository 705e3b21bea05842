package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

	// crashes are the times of the crashes under a poisonous trait, and poisonSends
	// those of the prompts with one that were sent, by trait.
	crashes, poisonSends map[string][]time.Duration
	// blocked holds when the first and the last gateway blocked a trait.
	blocked map[Trait][2]time.Duration
}

// options describe a fleet and its load.
type options struct {
	seed              uint64
	gateways, engines int
	// soundRate and poisonRate are the prompts per second, in sum over the gateways.
	soundRate, poisonRate float64
	// firstParts and secondParts are the numbers of different shared traits.
	firstParts, secondParts int
	// poison holds the traits that crash an engine, with the probability.
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
	traits  []string
	sentAt  time.Duration
	endsAt  time.Duration
	crashAt time.Duration
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

// sendPoison sends prompts that share their first trait with sound ones.
func (s *simulation) sendPoison() {
	if s.now < s.opts.poisonFrom {
		return
	}
	var traits []string
	for trait := range s.opts.poison {
		traits = append(traits, trait)
	}
	slices.Sort(traits)
	for _, trait := range traits {
		for range s.events(s.opts.poisonRate) {
			s.send("first-0", trait, fmt.Sprint("second-", s.rand.IntN(s.opts.secondParts)))
		}
	}
}

// send sends a prompt through a random gateway to a random engine that is up.
func (s *simulation) send(traits ...string) {
	g := s.gateways[s.rand.IntN(len(s.gateways))]
	hashes := hashesOf(traits)
	if _, blocked := g.detector.Blocked(hashes); blocked {
		return
	}
	e := s.engines[s.rand.IntN(len(s.engines))]
	if s.now < e.downTo {
		return
	}
	s.nextRequest++
	r := &request{
		id: s.nextRequest, gateway: g, engine: e, name: e.name, traits: traits, sentAt: s.now,
		endsAt: s.now + simulatedFirstToken + time.Duration(s.rand.IntN(150))*time.Millisecond,
	}
	for _, trait := range traits {
		probability, poisonous := s.opts.poison[trait]
		if !poisonous {
			continue
		}
		s.poisonSends[trait] = append(s.poisonSends[trait], s.now)
		if s.rand.Float64() < probability {
			r.crashAt = s.now + simulatedFirstToken
		}
	}
	s.requests = append(s.requests, r)
}

func hashesOf(traits []string) []Trait {
	hashes := make([]Trait, 0, len(traits))
	for _, trait := range traits {
		hashes = append(hashes, PartOf(trait))
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
	for _, r := range s.requests {
		if r.engine != e {
			kept = append(kept, r)
			continue
		}
		r.gateway.detector.RecordLoss(s.now, e.name, sorted(hashesOf(r.traits)))
		lost[r.gateway] = true
	}
	s.requests = kept
	for g := range lost {
		_, confirmed := g.detector.EndCheck(s.now, e.name, CheckEnded)
		g.push = g.push || confirmed
	}
	s.nextEngine++
	e.name, e.downTo = fmt.Sprint("engine-", s.nextEngine), s.now+simulatedDowntime
}

func sorted(traits []Trait) []Trait {
	slices.Sort(traits)
	return traits
}

// endRequests ends the requests that are due, by their answer, a break or a crash.
func (s *simulation) endRequests() {
	for _, r := range slices.Clone(s.requests) {
		if r.crashAt > 0 && r.crashAt <= s.now && slices.Contains(s.requests, r) {
			s.end(r.engine)
			for _, trait := range r.traits {
				if _, poisonous := s.opts.poison[trait]; poisonous {
					s.crashes[trait] = append(s.crashes[trait], s.now)
				}
			}
		}
	}
	kept := s.requests[:0]
	for _, r := range s.requests {
		if r.endsAt > s.now || r.crashAt > 0 {
			kept = append(kept, r)
			continue
		}
		hashes := sorted(hashesOf(r.traits))
		if s.rand.Float64() < s.opts.breaks {
			if r.gateway.detector.RecordLoss(s.now, r.name, hashes) {
				r.gateway.detector.EndCheck(s.now, r.name, CheckAlive)
			}
			continue
		}
		r.gateway.detector.RecordSound(r.id, r.sentAt, hashes)
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

// sendsAfter returns how many prompts with a trait were sent later than a time.
func (s *simulation) sendsAfter(trait string, after time.Duration) int {
	n := 0
	for _, at := range s.poisonSends[trait] {
		if at > after {
			n++
		}
	}
	return n
}
