package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleetclock"
)

const (
	// maxClockRoundTrip is the longest round trip of a heartbeat whose offset is used. It is
	// that of the call's timeout, which a process that was suspended meanwhile exceeds.
	maxClockRoundTrip = 400 * time.Millisecond
	// maxUnixUs bounds the times of day that are used, so that sums of them in nanoseconds do
	// not overflow. It is in the year 2116.
	maxUnixUs = math.MaxInt64 / 2000
)

// trueClock estimates the true time. It is safe for concurrent use.
type trueClock struct {
	// timeOfDay returns this instance's time of day, which may jump.
	timeOfDay func() time.Time
	// bootTime is a clock that counts suspension.
	bootTime func() time.Duration

	mu    sync.Mutex
	clock *fleetclock.Clock
}

func newTrueClock(timeOfDay func() time.Time, bootTime func() time.Duration) *trueClock {
	if timeOfDay == nil {
		timeOfDay = time.Now
	}
	return &trueClock{timeOfDay: timeOfDay, bootTime: bootTime, clock: fleetclock.New()}
}

// now returns the true time.
func (c *trueClock) now() time.Time {
	now, own := c.bootTime(), c.timeOfDay()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now(now, own)
}

// observe records the time of day that a peer has stated in the reply to a heartbeat that
// was sent roundTrip ago. Times of day that are unknown or impossible are ignored.
func (c *trueClock) observe(peer string, unixUs int64, roundTrip time.Duration) {
	now := c.bootTime()
	if unixUs <= 0 || unixUs > maxUnixUs || roundTrip < 0 || roundTrip > maxClockRoundTrip {
		return
	}
	own := c.timeOfDay()
	offset := time.Duration(unixUs)*time.Microsecond + roundTrip/2 - now
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock.Observe(peer, now, offset)
	// Keeps the estimate up to date while no requests read it.
	c.clock.Now(now, own)
}

// trueTime returns the time of day on which the gateways agree, regardless of that of this
// instance is. It is safe for concurrent use.
func (g *Gateway) trueTime() time.Time { return g.trueClock.now() }
