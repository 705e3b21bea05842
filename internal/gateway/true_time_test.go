package gateway

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/registry"
)

// jumpingClock is a time of day that deviates from the true one.
type jumpingClock struct{ deviation atomic.Int64 }

func (c *jumpingClock) now() time.Time { return time.Now().Add(time.Duration(c.deviation.Load())) }

// newClockTestGateways returns gateways with their clocks and adapters.
func newClockTestGateways(n int) ([]peerAdapter, []*jumpingClock) {
	adapters, clocks := make([]peerAdapter, n), make([]*jumpingClock, n)
	for i := range n {
		clocks[i] = &jumpingClock{}
		g := New(Options{Name: fmt.Sprint("gw-", i), Registerer: prometheus.NewRegistry(), TimeOfDay: clocks[i].now})
		adapters[i] = peerAdapter{g: g, follower: registry.NewFollower(nil, registry.Bounds{}, logevent.Log{}, g.Update)}
	}
	return adapters, clocks
}

// exchangeAll passes a heartbeat of each other gateway to a gateway as a reply.
func exchangeAll(to peerAdapter, others []peerAdapter) {
	for _, other := range others {
		reply := &peerv1.Heartbeat{Sender: other.g.opts.Name}
		other.fillHeartbeat(reply)
		to.handleReply(reply, 0)
	}
}

// requireTrueTime checks that a gateway's estimate is the true time. The tolerance is for
// a machine on which goroutines wait; jumps are longer.
func requireTrueTime(t *testing.T, g *Gateway) {
	t.Helper()
	require.WithinDuration(t, time.Now(), g.trueTime(), 2*time.Second)
}

// TestTrueTimeIgnoresJumpsOfSomeGateways guards against windows that follow a time of day
// that jumps, this gateway's own or a peer's, and against heartbeats that state the
// estimate in place of the time of day: each gateway would then confirm the others.
func TestTrueTimeIgnoresJumpsOfSomeGateways(t *testing.T) {
	adapters, clocks := newClockTestGateways(5)
	self, others := adapters[0], adapters[1:]
	exchangeAll(self, others)
	requireTrueTime(t, self.g)

	clocks[0].deviation.Store(int64(time.Hour))
	clocks[1].deviation.Store(-int64(time.Hour))
	exchangeAll(self, others)
	time.Sleep(250 * time.Millisecond) // The median is computed anew.
	requireTrueTime(t, self.g)
	var stated peerv1.Heartbeat
	self.fillHeartbeat(&stated)
	require.WithinDuration(t, time.Now().Add(time.Hour), time.UnixMicro(stated.GetUnixUs()), 2*time.Second)
}

// TestImpossibleTimesOfDayAreIgnored guards against offsets of gateways that state none,
// that overflow, or whose reply was processed after a suspension.
func TestImpossibleTimesOfDayAreIgnored(t *testing.T) {
	adapters, _ := newClockTestGateways(1)
	wrong := time.Now().Add(-time.Hour).UnixMicro()
	for i, unixUs := range []int64{0, -1, math.MinInt64, math.MaxInt64, maxUnixUs + 1} {
		adapters[0].handleReply(&peerv1.Heartbeat{Sender: fmt.Sprint("peer-", i), UnixUs: unixUs}, 0)
	}
	for i, elapsed := range []time.Duration{time.Hour, maxClockRoundTrip + 1, -1} {
		adapters[0].handleReply(&peerv1.Heartbeat{Sender: fmt.Sprint("late-", i), UnixUs: wrong}, elapsed)
	}
	requireTrueTime(t, adapters[0].g)
}

// TestReplyIsCorrectedByHalfOfRoundTrip guards against an estimate that lags by the way
// of the replies.
func TestReplyIsCorrectedByHalfOfRoundTrip(t *testing.T) {
	c := newTrueClock(func() time.Time { return time.Unix(1_700_000_000, 0) }, lease.BootTime)
	for i := range 2 {
		c.observe(fmt.Sprint("peer-", i), 1_600_000_000_000_000, 300*time.Millisecond)
	}
	require.WithinRange(t, c.now(), time.UnixMilli(1_600_000_000_150), time.UnixMilli(1_600_000_002_150))
}

// TestTrueTimeIsSafeForConcurrentUse lets the race detector see requests and heartbeats
// at the same time.
func TestTrueTimeIsSafeForConcurrentUse(t *testing.T) {
	adapters, _ := newClockTestGateways(3)
	var running sync.WaitGroup
	for range 4 {
		running.Go(func() {
			for range 200 {
				exchangeAll(adapters[0], adapters[1:])
				adapters[0].g.trueTime()
			}
		})
	}
	running.Wait()
	requireTrueTime(t, adapters[0].g)
}

func BenchmarkTrueTime(b *testing.B) {
	adapters, _ := newClockTestGateways(3)
	exchangeAll(adapters[0], adapters[1:])
	b.ReportAllocs()
	for range b.N {
		adapters[0].g.trueTime()
	}
}
