package bench

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"time"
)

// request is an arrival and its outcome.
type request struct {
	id           int
	class        int
	at           time.Duration
	deadline     time.Duration
	promptTokens int
	// outputTokens is the actual number of output tokens; expectedOutput is the
	// number that the entry assumes.
	outputTokens, expectedOutput int
	prefixHashes                 []uint64
	entry                        int
	seed                         uint64

	// produced is the number of output tokens delivered so far.
	produced     int
	attempts     int
	firstToken   time.Duration // time of the first output token
	lastToken    time.Duration
	finishedAt   time.Duration
	completions  int // attempts that completed; more than one is an error
	finished     bool
	refused      bool
	expired      bool
	current      *attempt
	triedEngines []string
}

// inTime reports whether the request completed before its deadline.
func (r *request) inTime() bool { return r.finishedAt > 0 && r.finishedAt <= r.deadline }

// arrivals generates the requests of a profile for a seed, in order of time.
func arrivals(p *profile, seed uint64, entries int) []*request {
	rng := rand.New(rand.NewPCG(seed, 0xa5a5))
	var all []*request
	for c := range p.classes {
		begin := time.Duration(0)
		for _, ph := range p.phases {
			all = append(all, classArrivals(p, c, begin, ph, rng)...)
			begin = ph.end
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	for i, r := range all {
		r.id = i
		r.entry = rng.IntN(entries)
		r.seed = rng.Uint64()
	}
	addPrefixes(p, all, rng)
	return all
}

// classArrivals generates the Poisson arrivals of one class in one phase.
func classArrivals(p *profile, c int, begin time.Duration, phase phase, rng *rand.Rand) []*request {
	var out []*request
	cl, rate := p.classes[c], phase.rates[c]
	if rate <= 0 {
		return nil
	}
	at := begin
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= phase.end {
			return out
		}
		out = append(out, &request{
			class:          c,
			at:             at,
			deadline:       at + cl.deadline,
			promptTokens:   drawTokens(cl.prompt, rng),
			outputTokens:   drawTokens(cl.output, rng),
			expectedOutput: cl.output.mean(),
		})
	}
}

func drawTokens(r tokenRange, rng *rand.Rand) int { return r.min + rng.IntN(r.max-r.min+1) }

// addPrefixes sets the prefix hashes of each request. A request either has the
// prefix shared by its class followed by blocks of its own, or repeats the
// prompt of a recent request.
func addPrefixes(p *profile, all []*request, rng *rand.Rand) {
	history := make([][]*request, len(p.classes))
	for _, r := range all {
		cl := p.classes[r.class]
		past := history[r.class]
		if len(past) > 0 && rng.Float64() < cl.repeatFraction {
			earlier := past[rng.IntN(len(past))]
			r.promptTokens, r.prefixHashes = earlier.promptTokens, earlier.prefixHashes
		} else {
			r.prefixHashes = prefixHashes(r, cl)
		}
		past = append(past, r)
		if len(past) > repeatWindow {
			past = past[1:]
		}
		history[r.class] = past
	}
}

// prefixHashes returns a hash for each whole block of the request's prompt. The
// blocks of the shared prompt have the same hashes in all requests of the
// class.
func prefixHashes(r *request, cl class) []uint64 {
	hashes := make([]uint64, 0, r.promptTokens/blockTokens)
	for b := 1; b <= r.promptTokens/blockTokens; b++ {
		owner := uint64(r.id + 1)
		if b*blockTokens <= cl.sharedPrompt {
			owner = 0
		}
		hashes = append(hashes, hash(uint64(r.class+1)<<56|owner<<24|uint64(b)))
	}
	return hashes
}

// hash returns a hash of x by one step of the splitmix64 random number generator.
func hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// attempt is one attempt to serve a request. It has one stage, or two if
// prefill and decode are split between engines.
type attempt struct {
	*request
	id              string
	prefill, decode *node
	split           bool
	// stage is 0 for the prefill of a split attempt and 1 otherwise.
	stage int
	// cachedTokens is the number of prompt tokens that routing expects in the
	// prefix cache.
	cachedTokens int
	// resumeFrom is the number of output tokens that existed when the attempt
	// started.
	resumeFrom int
	ended      bool
}

// node returns the node of the current stage.
func (a *attempt) node() *node {
	if a.split && a.stage == 0 {
		return a.prefill
	}
	return a.decode
}

// sequenceID returns the ID of the engine sequence for the current stage.
func (a *attempt) sequenceID() string { return a.id + "/" + strconv.Itoa(a.stage) }
