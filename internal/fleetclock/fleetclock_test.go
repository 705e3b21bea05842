package fleetclock

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// origin is the true time at the start of the boot-time clock.
var origin = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

// offsetOf returns the offset of a clock that deviates from the true time.
func offsetOf(deviation time.Duration) time.Duration {
	return time.Duration(origin.UnixNano()) + deviation
}

// errorAt returns the deviation of the estimate from the true time, given that of this
// gateway's own clock.
func errorAt(c *Clock, now, own time.Duration) time.Duration {
	return c.Now(now, origin.Add(now+own)).Sub(origin.Add(now))
}

// TestMinorityOfJumpsMovesNoMoreThanSpread guards against an estimate that follows
// clocks that jump as long as they are fewer than half, this gateway's own possibly
// among them.
func TestMinorityOfJumpsMovesNoMoreThanSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := rapid.IntRange(1, 60).Draw(t, "clocks")
		jumping := rapid.IntRange(0, (clocks-1)/2).Draw(t, "jumping")
		ownJumps := jumping > 0 && rapid.Bool().Draw(t, "own jumps")
		anything := rapid.Int64Range(-int64(24*time.Hour), int64(24*time.Hour))
		var steady []time.Duration
		for range clocks - jumping {
			steady = append(steady, time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "deviation")))
		}
		low, high := slices.Min(steady), slices.Max(steady)
		c := New()
		for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			now := time.Duration(round) * time.Second
			// Own first: deviations[0] is this gateway's clock.
			deviations := slices.Clone(steady)
			for range jumping {
				deviation := time.Duration(anything.Draw(t, "jump"))
				if ownJumps {
					deviations = slices.Insert(deviations, 0, deviation)
				} else {
					deviations = append(deviations, deviation)
				}
			}
			for i, deviation := range deviations[1:] {
				c.Observe(fmt.Sprint("gw-", i), now, offsetOf(deviation))
			}
			if got := errorAt(c, now, deviations[0]); got < low || got > high {
				t.Fatalf("round %d: the estimate deviates by %v, the %d steady clocks of %d by %v to %v", round, got, len(steady), clocks, low, high)
			}
		}
	})
}

// TestAloneFollowsOwnClock checks a gateway that has never had a peer.
func TestAloneFollowsOwnClock(t *testing.T) {
	c := New()
	require.Zero(t, errorAt(c, 0, 0))
	require.Equal(t, 5*time.Second, errorAt(c, time.Second, 5*time.Second))
	require.Zero(t, errorAt(c, 2*time.Second, 0))
}

// TestJumpOfOneOfTwoMovesNothing guards against an estimate that follows the mean or the
// lower of two clocks when one of them jumps, in either direction.
func TestJumpOfOneOfTwoMovesNothing(t *testing.T) {
	for _, jump := range []time.Duration{7 * time.Second, -7 * time.Second} {
		c := New()
		c.Observe("gw-1", 0, offsetOf(time.Millisecond))
		require.Zero(t, errorAt(c, 0, 0))
		c.Observe("gw-1", time.Second, offsetOf(jump))
		require.Zero(t, errorAt(c, time.Second, 0), "the peer jumps")
		c.Observe("gw-1", 2*time.Second, offsetOf(time.Millisecond))
		require.InDelta(t, 0, errorAt(c, 2*time.Second, jump), float64(time.Millisecond), "the own clock jumps")
	}
}

// TestTwoThatDisagreeFromTheStartAgree checks that two gateways with different times of
// day at their start arrive at the same estimate, the earlier time.
func TestTwoThatDisagreeFromTheStartAgree(t *testing.T) {
	a, b := New(), New()
	require.Zero(t, errorAt(a, 0, 0))
	require.Equal(t, 9*time.Second, errorAt(b, 0, 9*time.Second))
	a.Observe("b", time.Second, offsetOf(9*time.Second))
	b.Observe("a", time.Second, offsetOf(0))
	require.Zero(t, errorAt(a, time.Second, 0))
	require.Zero(t, errorAt(b, time.Second, 9*time.Second))
}

// TestPeersThatLeaveDoNotCount guards against old offsets that outvote live gateways, and
// against a jump of the own clock right after the last peer has left.
func TestPeersThatLeaveDoNotCount(t *testing.T) {
	c := New()
	for i := range 3 {
		c.Observe(fmt.Sprint("left-", i), 0, offsetOf(20*time.Second))
	}
	require.Equal(t, 20*time.Second, errorAt(c, 0, 0))
	for i := range 2 {
		c.Observe(fmt.Sprint("live-", i), maxAge, offsetOf(0))
	}
	require.Zero(t, errorAt(c, maxAge, 0))
	require.Len(t, c.peers, 2)

	alone := 2 * maxAge
	require.Zero(t, errorAt(c, alone, 30*time.Second), "held without peers")
	require.Empty(t, c.peers)
	require.Zero(t, errorAt(c, maxAge+holdTime-time.Millisecond, 30*time.Second))
	require.Equal(t, 30*time.Second, errorAt(c, maxAge+holdTime+refreshInterval, 30*time.Second))
}

// TestEstimateReturnsWithMajority guards against an estimate that stays with the clocks of
// a former majority, in either direction.
func TestEstimateReturnsWithMajority(t *testing.T) {
	for _, jump := range []time.Duration{20 * time.Second, -20 * time.Second} {
		c := New()
		c.Observe("gw-1", 0, offsetOf(jump))
		c.Observe("gw-2", 0, offsetOf(jump))
		require.Equal(t, jump, errorAt(c, 0, 0))
		c.Observe("gw-1", time.Second, offsetOf(0))
		require.Zero(t, errorAt(c, time.Second, 0))
	}
}

// TestMedianIsCached checks that the median is computed at most once per
// refreshInterval and that the estimate advances in between.
func TestMedianIsCached(t *testing.T) {
	c := New()
	require.Zero(t, errorAt(c, 0, 0))
	require.Zero(t, errorAt(c, refreshInterval-1, 3*time.Second))
	require.Equal(t, 3*time.Second, errorAt(c, refreshInterval, 3*time.Second))
}

// TestMemoryAndAllocationsAreBounded guards against growth with the number of gateways
// and against allocations for each request, in a fleet of 350.
func TestMemoryAndAllocationsAreBounded(t *testing.T) {
	c := New()
	names := make([]string, 350)
	for i := range names {
		names[i] = fmt.Sprint("gw-", i)
		c.Observe(names[i], time.Duration(i)*time.Millisecond, offsetOf(0))
	}
	require.Len(t, c.peers, maxPeers)
	require.Contains(t, c.peers, names[349])
	require.NotContains(t, c.peers, names[349-maxPeers])
	now, i := time.Second, 0
	allocations := testing.AllocsPerRun(1000, func() {
		now += refreshInterval
		i++
		c.Observe(names[i%len(names)], now, offsetOf(0))
		errorAt(c, now, 0)
		errorAt(c, now+1, 0)
	})
	require.Zero(t, allocations)
	require.LessOrEqual(t, len(c.peers), maxPeers)
}

// TestFleetKeepsTimeThroughJumps simulates fleets in which a third of the clocks jump by
// up to 20 s, each for 2 to 15 s at a time. Heartbeats take up to 40 ms, asymmetrically.
// It guards against an estimate that leaves the true time by more than the clocks'
// deviation and the half of a round trip, and shows that the gateways' own clocks do.
func TestFleetKeepsTimeThroughJumps(t *testing.T) {
	for _, gateways := range []int{3, 4, 32, 350} {
		random := rand.New(rand.NewPCG(1, uint64(gateways)))
		clocks := make([]*Clock, gateways)
		steady := make([]time.Duration, gateways)
		jump := make([]time.Duration, gateways)
		until := make([]time.Duration, gateways)
		for i := range clocks {
			clocks[i] = New()
			steady[i] = time.Duration(random.IntN(int(5 * time.Millisecond)))
		}
		const round = 400 * time.Millisecond
		worst, worstOwn := time.Duration(0), time.Duration(0)
		for now := time.Duration(0); now < 2*time.Minute; now += round {
			for i := range gateways / 3 {
				if now > until[i] && now > 10*time.Second {
					until[i] = now + 2*time.Second + time.Duration(random.IntN(int(13*time.Second)))
					jump[i] = time.Duration(random.IntN(int(40*time.Second))) - 20*time.Second
					if random.IntN(2) == 0 {
						jump[i] = 0
					}
				}
			}
			for i, c := range clocks {
				for range min(4, gateways-1) {
					peer := (i + 1 + random.IntN(gateways-1)) % gateways
					there, back := time.Duration(random.IntN(int(20*time.Millisecond))), time.Duration(random.IntN(int(20*time.Millisecond)))
					stated := offsetOf(steady[peer]+jump[peer]) + now - back
					c.Observe(fmt.Sprint("gw-", peer), now, stated+(there+back)/2-now)
				}
				if now >= 10*time.Second {
					worst = max(worst, errorAt(c, now, steady[i]+jump[i]).Abs())
					worstOwn = max(worstOwn, (steady[i] + jump[i]).Abs())
				}
			}
		}
		t.Logf("%d gateways: the estimate deviates by at most %v, own clocks by %v", gateways, worst, worstOwn)
		require.LessOrEqual(t, worst, 15*time.Millisecond)
		require.Greater(t, worstOwn, 5*time.Second)
	}
}

func BenchmarkNow(b *testing.B) {
	c := New()
	for i := range maxPeers {
		c.Observe(fmt.Sprint("gw-", i), 0, offsetOf(time.Duration(i)))
	}
	for i := range b.N {
		c.Now(time.Duration(i), origin)
	}
}

func BenchmarkRefresh(b *testing.B) {
	c := New()
	for i := range maxPeers {
		c.Observe(fmt.Sprint("gw-", i), 0, offsetOf(time.Duration(i*7919%maxPeers)))
	}
	for range b.N {
		c.refresh(0, offsetOf(0))
	}
}
