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
	// rate is the usual arrival rate, in requests per second.
	rate float64
	// sharedTokens is the length of the shared prefix at the start of each
	// prompt, prefixes the number of different prefixes, and ownTokens the mean
	// length of the rest of the prompt.
	sharedTokens, prefixes, ownTokens int
	outputTokens                      int
	// objective is the maximum time to the first event for a request to be in
	// time. credit is the value of such a request.
	objective time.Duration
	credit    float64
}

// engines describes the engines of a profile.
type engines struct {
	prefillEngines, decodeEngines, domains int
	// slots is the number of concurrent sequences of an engine, memoryTokens
	// its KV cache capacity, and bytesPerToken the size of the KV cache of a
	// token.
	slots, memoryTokens int
	bytesPerToken       int
	linkMbps            float64
	// prefillRate is in prompt tokens per second.
	prefillRate                       float64
	decodeStep, decodeStepPerSequence time.Duration
	// firstEventOverhead is the part of the time to the first event that does
	// not depend on the work of the engines.
	firstEventOverhead time.Duration
}

// profile describes one deployment.
type profile struct {
	name        string
	gateways    int
	engines     engines
	long, short class
}

// The load alternates between bursts of long prompts and bursts of short ones,
// as it does in the two deployments. Each burst lasts burstDuration; while one
// class arrives more often than usual, the other arrives less often.
// longSurplus lies between the factors of a single burst (1.9) and of two
// simultaneous bursts (3.4) in the load specifications of the deployments.
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
