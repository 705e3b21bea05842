// Package gatewaybench plays bursts of long and short prompts against the
// gateways' placement in virtual time, beside a plain forwarder.
//
// The arrivals are the same for each. Engines are enginemodel's; of a gateway
// there is its placement, what gateways tell each other, and nothing else.
package gatewaybench

import "time"

// class is one kind of request.
type class struct {
	name string
	// perSecond requests arrive at the usual load.
	perSecond float64
	// shared tokens come first in a prompt and are one of so many parts; own
	// is the mean of those that follow.
	shared, parts, own int
	// output tokens.
	output int
	// aim is the time in which the first event is in time.
	aim   time.Duration
	worth float64
}

// engines describe the engines of a profile.
type engines struct {
	prefills, decodes, domains int
	slots, memoryTokens        int
	bytesPerToken              int
	linkMbps                   float64
	// prefillRate in tokens per second.
	prefillRate       float64
	step, stepPerSlot time.Duration
	// firstEvent is the time to a first event beside the work.
	firstEvent time.Duration
}

// profile is one deployment.
type profile struct {
	name        string
	gateways    int
	engines     engines
	long, short class
}

// swing is the time in which the mix turns from long prompts to short ones, as
// in the sheets' bursts; while one kind comes more often, the other comes less.
// Long prompts come between one burst (1.9) and two at once (3.4) of the sheets.
const (
	swing     = 2800 * time.Millisecond
	moreLong  = 2.6
	lessLong  = 0.57
	moreShort = 1.8
	lessShort = 0.55
	length    = 34 * time.Second
)

// profiles are the Servicio's and the Trust's, by their sheets.
func profiles() []profile {
	return []profile{
		{
			name: "prestatextos", gateways: 4,
			engines: engines{
				prefills: 5, decodes: 7, domains: 4, slots: 16, memoryTokens: 441_788, bytesPerToken: 131_072, linkMbps: 740_000,
				prefillRate: 93_000, step: 3290 * time.Microsecond, firstEvent: 80 * time.Millisecond,
			},
			long:  class{name: "renewal-check", perSecond: 15.1, shared: 13_300, parts: 37, own: 3720, output: 150, aim: 600 * time.Millisecond, worth: 16},
			short: class{name: "parent-ask", perSecond: 191, shared: 92, parts: 420, own: 291, output: 56, aim: 300 * time.Millisecond, worth: 1.9},
		},
		{
			name: "kpw-stamp", gateways: 5,
			engines: engines{
				prefills: 4, decodes: 5, domains: 4, slots: 64, memoryTokens: 378_033, bytesPerToken: 35_136, linkMbps: 740_000,
				prefillRate: 61_400, step: 4550 * time.Microsecond, stepPerSlot: 181 * time.Microsecond, firstEvent: 90 * time.Millisecond,
			},
			long:  class{name: "dossier-review", perSecond: 12.5, shared: 13_300, parts: 37, own: 3720, output: 120, aim: 800 * time.Millisecond, worth: 15},
			short: class{name: "waypoint-query", perSecond: 139, shared: 92, parts: 420, own: 291, output: 42, aim: 400 * time.Millisecond, worth: 1.9},
		},
	}
}
