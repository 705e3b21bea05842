// Package gatewaybench simulates bursts of long and short prompts and compares
// the gateways' placement with a plain forwarder.
//
// All variants receive the same arrivals. The engines are enginemodel models.
// Of the gateways, the simulation covers only the placement decisions and the
// load reports that gateways exchange.
package gatewaybench

import "time"

// class describes one class of requests.
type class struct {
	name string
	// rate is the usual arrival rate.
	rate float64
	// Each prompt starts with one of a number of shared prefixes, given by
	// parts. shared is the length of a prefix in tokens, and own the mean
	// length of the rest of the prompt.
	sharedTokens, prefixes, ownTokens int
	// outputTokens is the number of output tokens.
	outputTokens int
	// objective is the objective for the time to the first event. worth is the credit
	// for a request that meets it.
	objective time.Duration
	credit    float64
}

// engines describes the engines of a profile.
type engines struct {
	prefillEngines, decodeEngines, domains int
	slots, memoryTokens                    int
	bytesPerToken                          int
	linkMbps                               float64
	// prefillRate is in prompt tokens per second.
	prefillRate                       float64
	decodeStep, decodeStepPerSequence time.Duration
	// firstEventOverhead is the part of the time to the first event that does not
	// depend on the work of the engines.
	firstEventOverhead time.Duration
}

// profile describes one deployment.
type profile struct {
	name        string
	gateways    int
	engines     engines
	long, short class
}

// The load alternates between a surplus of long prompts and a surplus of short
// ones, as it does in the bursts of the two deployments. Each surplus lasts for
// the duration swing; while one class arrives more often than usual, the other
// arrives less often. The factor longSurplus lies between those of a single burst
// (1.9) and of two simultaneous bursts (3.4) in the load specifications of the
// deployments.
const (
	burstDuration   = 2800 * time.Millisecond
	longSurplus     = 2.6
	longDeficit     = 0.57
	shortSurplus    = 1.8
	shortDeficit    = 0.55
	arrivalDuration = 34 * time.Second
)

// profiles returns the profiles of the Servicio and Trust deployments,
// according to their load specifications.
func profiles() []profile {
	return []profile{
		{
			name: "prestatextos", gateways: 4,
			engines: engines{
				prefillEngines: 5, decodeEngines: 7, domains: 4, slots: 16, memoryTokens: 441_788, bytesPerToken: 131_072, linkMbps: 740_000,
				prefillRate: 93_000, decodeStep: 3290 * time.Microsecond, firstEventOverhead: 80 * time.Millisecond,
			},
			long:  class{name: "renewal-check", rate: 15.1, sharedTokens: 13_300, prefixes: 37, ownTokens: 3720, outputTokens: 150, objective: 600 * time.Millisecond, credit: 16},
			short: class{name: "parent-ask", rate: 191, sharedTokens: 92, prefixes: 420, ownTokens: 291, outputTokens: 56, objective: 300 * time.Millisecond, credit: 1.9},
		},
		{
			name: "kpw-stamp", gateways: 5,
			engines: engines{
				prefillEngines: 4, decodeEngines: 5, domains: 4, slots: 64, memoryTokens: 378_033, bytesPerToken: 35_136, linkMbps: 740_000,
				prefillRate: 61_400, decodeStep: 4550 * time.Microsecond, decodeStepPerSequence: 181 * time.Microsecond, firstEventOverhead: 90 * time.Millisecond,
			},
			long:  class{name: "dossier-review", rate: 12.5, sharedTokens: 13_300, prefixes: 37, ownTokens: 3720, outputTokens: 120, objective: 800 * time.Millisecond, credit: 15},
			short: class{name: "waypoint-query", rate: 139, sharedTokens: 92, prefixes: 420, ownTokens: 291, outputTokens: 42, objective: 400 * time.Millisecond, credit: 1.9},
		},
	}
}
