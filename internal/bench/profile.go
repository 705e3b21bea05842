// Package bench simulates the decision packages against engine models and
// measures goodput and role changes.
//
// The simulation covers arrivals, the decisions of several entries and one
// planner, and the engines with their admission gates, and nothing else of a
// deployment. The policy, each ablation of it and the baseline receive the same
// arrivals and are compared with an upper bound that no policy can exceed.
package bench

import (
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
)

// tokenRange is a range of token counts, both ends included.
type tokenRange struct{ min, max int }

func (r tokenRange) mean() int { return (r.min + r.max) / 2 }

// class describes one class of requests.
type class struct {
	name     string
	prompt   tokenRange
	output   tokenRange
	deadline time.Duration
	// sharedPrompt is the number of leading prompt tokens that all requests of
	// the class have in common.
	sharedPrompt int
	// repeatFraction is the fraction of requests that repeat the whole prompt
	// of one of the last repeatWindow requests of the class.
	repeatFraction float64
	// interactive marks classes whose token latencies are measured.
	interactive bool
}

// phase defines the arrival rates, in requests per second by class, up to a
// time.
type phase struct {
	end   time.Duration
	rates []float64
}

// faultKind is the type of a fault.
type faultKind int

const (
	// faultDrain makes the engine reject new work.
	faultDrain faultKind = iota + 1
	// faultCrash takes the engine down together with its running work.
	faultCrash
	// faultFail makes every new attempt at the engine fail at once, while its
	// reported state and load look normal.
	faultFail
	// faultReturn returns the engine to service.
	faultReturn
)

// fault is a fault injected into some engines at a given time.
type fault struct {
	at      time.Duration
	kind    faultKind
	engines []int
}

// prices weigh goodput against role changes, in points: goodput is the value of
// a request completed in time, roleChange the cost of a role change.
type prices struct{ goodput, roleChange float64 }

// profile is one simulated experiment.
type profile struct {
	name    string
	engines int
	domains int
	classes []class
	phases  []phase
	faults  []fault
	// prefill and decode are the numbers of engines that start with these
	// roles. The remaining engines are mixed.
	prefill, decode int
	// reportLag is the age of load reports when they reach the entries.
	reportLag time.Duration
	settings  enginemodel.Settings
	prices    prices
	// measureFrom excludes requests that arrive earlier from the results.
	measureFrom time.Duration
}

// end returns the time of the last arrival.
func (p *profile) end() time.Duration { return p.phases[len(p.phases)-1].end }

// measuredDuration returns the length of the arrival period that counts in the
// results.
func (p *profile) measuredDuration() time.Duration { return p.end() - p.measureFrom }

// role returns the initial role of an engine.
func (p *profile) role(engine int) configv1.Role {
	switch {
	case engine < p.prefill:
		return configv1.Role_ROLE_PREFILL
	case engine < p.prefill+p.decode:
		return configv1.Role_ROLE_DECODE
	}
	return configv1.Role_ROLE_MIXED
}

// longestDeadline returns the longest deadline of all classes, relative to the
// arrival.
func (p *profile) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.classes {
		longest = max(longest, c.deadline)
	}
	return longest
}

// Properties of the engines and the load that all profiles share. repeatWindow
// is the number of recent requests of a class whose prompts may be repeated.
const (
	blockTokens  = 64
	cacheBlocks  = 1024
	repeatWindow = 64
	domainCount  = 4
)

func engineSettings() enginemodel.Settings {
	s := enginemodel.DefaultSettings()
	s.BlockTokens = blockTokens
	s.PrefixCacheBlocks = cacheBlocks
	return s
}
