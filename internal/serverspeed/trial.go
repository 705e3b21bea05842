package serverspeed

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// trialSpread is the time over which the gateways begin to use a new start, so that
	// they do not all send to it at once.
	trialSpread = 2 * time.Second
	// untriedFactor and heldFactor multiply the cost of a server that is not known: if it
	// may be tried now, and if not. With the latter it is used only if the others are
	// much slower or not usable.
	untriedFactor = 1.1
	heldFactor    = 3
)

// Trial bounds the load on a new start of a server until its speed is known. The zero
// value is for servers that are not new.
type Trial struct {
	isNew bool
	// delay is the time from the first choice for which the server was considered to
	// from, when this gateway begins to use it.
	delay, from time.Duration
}

// NewTrial returns the trial by one gateway of a server that has started anew.
func NewTrial(gateway, server string) Trial {
	return Trial{isNew: true, delay: time.Duration(float64(trialSpread) * Position(gateway, server))}
}

// Position returns a number in [0, 1) that depends only on a gateway and a server, and that
// differs between gateways.
func Position(gateway, server string) float64 {
	const positions = 1024
	return float64(xxhash.Sum64String(gateway+"\x00"+server)%positions) / positions
}

// CostFactor returns the factor by which the cost of using the server is to be
// multiplied, given this gateway's requests there.
func (t *Trial) CostFactor(now time.Duration, e *Estimate, ownRequests int) float64 {
	if !t.isNew {
		return 1
	}
	if e.Known() {
		*t = Trial{}
		return 1
	}
	if t.from == 0 {
		t.from = now + t.delay
	}
	switch {
	case now < t.from || ownRequests > 0:
		return heldFactor
	default:
		return untriedFactor
	}
}
