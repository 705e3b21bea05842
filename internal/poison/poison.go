// Package poison finds the requests under which backend servers crash (queries of
// death), so that gateways can keep them from the servers that are left.
//
// Two things may be to blame, the traits of a request: a part of its prompt that it
// shares with others, or the request as a whole, which comes again under other IDs.
//
// A crash ends all requests of a server, sound ones as well, and each gateway sees
// only its own. Gateways therefore exchange their evidence: which traits the requests
// had that were lost with a server, and which requests were answered meanwhile.
// Evidence merges in any order and repeatedly with the same result, and its size is
// bounded.
//
// A trait is blocked if it was in several crashes and hardly any request with it has
// been answered since the first of them, while others were answered. Crashes that a
// blocked trait explains are no evidence against others. After a long time a request
// with a blocked trait is tried again.
//
// A Detector holds what one gateway knows about the requests of one service. The
// caller must call:
//
//   - RecordLoss for each attempt whose connection was lost, and EndCheck once it
//     has checked whether the server has ended; EngineGone when a server is no
//     longer registered;
//   - RecordSound for each request that was answered;
//   - Decide after each of these and regularly;
//   - Blocked before a request is sent;
//   - Report and Merge to exchange evidence with other gateways.
//
// The package does no I/O, never blocks and takes all times as arguments. They are
// durations since an origin that the caller fixes once. A Detector is not safe for
// concurrent use.
package poison

import "time"

const (
	// evidenceAge is how long a crash is evidence. Poisonous requests may be rare.
	evidenceAge = 15 * time.Minute
	// maxCrashes and maxTraits bound the crashes that are kept and the traits of each.
	maxCrashes = 64
	maxTraits  = 256
	// maxSounds bounds the answered requests that are kept for each trait.
	maxSounds = 16
	// maxContrast bounds the latest answered requests with any traits.
	maxContrast = 64
	// lossAge is how long losses wait for the confirmation that their engine ended.
	lossAge = 10 * time.Second
	// checkInterval is the least time between two checks of an engine.
	checkInterval = 200 * time.Millisecond
)

// Detector holds the evidence about the requests of one service, and the blocked
// traits. The zero value is not usable; use New.
type Detector struct {
	// losses are attempts whose engine may have crashed, by engine.
	losses map[string]*loss
	// crashes are by engine; each start of an engine has a name of its own.
	crashes map[string]*crash
	// suspected counts the crashes that each trait is in.
	suspected map[Trait]int
	// sounds are the latest answered requests with a trait that is in a crash.
	sounds map[Trait][]sound
	// contrast are the latest answered requests, of this gateway and of others.
	contrast []contrastRequest
	// decideUntil is until when each call of Decide judges the evidence, and reviewAt
	// when it is judged next after that.
	decideUntil, reviewAt time.Duration
	// exoneratedAt is when this gateway learned that a request with a suspected trait
	// was answered.
	exoneratedAt map[Trait]time.Duration
	// answeredParts and answeredRequests count the answered requests by trait.
	answeredParts, answeredRequests *counts
	// answeredElsewhere is the largest number of answered requests that another gateway
	// has counted, for traits that are in a crash.
	answeredElsewhere map[Trait]int
	blocks            map[Trait]*block
	// blockTurn selects the blocks that the next report has.
	blockTurn int
}

// New returns a Detector without evidence.
func New() *Detector {
	return &Detector{
		losses:    make(map[string]*loss),
		crashes:   make(map[string]*crash),
		suspected: make(map[Trait]int),
		sounds:    make(map[Trait][]sound),
		blocks:    make(map[Trait]*block),

		exoneratedAt:      make(map[Trait]time.Duration),
		answeredParts:     newCounts(),
		answeredRequests:  newCounts(),
		answeredElsewhere: make(map[Trait]int),
	}
}

// contrastRequest is an answered request.
type contrastRequest struct {
	sound
	traits []Trait
}

// answered returns the counts for traits like t. Requests are counted apart, as most
// of them come once and would displace the parts.
func (d *Detector) answered(t Trait) *counts {
	if t.IsRequest() {
		return d.answeredRequests
	}
	return d.answeredParts
}

// counts counts traits approximately with bounded memory: it forgets the older half
// of what it has counted when it is full.
type counts struct {
	current, previous map[Trait]int
}

// maxCounted bounds the traits in each half.
const maxCounted = 4096

func newCounts() *counts {
	return &counts{current: make(map[Trait]int), previous: make(map[Trait]int)}
}

func (c *counts) add(p Trait) {
	if len(c.current) >= maxCounted {
		c.current, c.previous = make(map[Trait]int), c.current
	}
	c.current[p]++
}

func (c *counts) of(p Trait) int { return c.current[p] + c.previous[p] }
