package stageplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

const change = 3 * time.Second

// engines returns engines of each stage with the given load each.
func engines(prefills, prompts, decodes, running int) []Engine {
	var list []Engine
	for i := range prefills {
		list = append(list, Engine{ID: fmt.Sprintf("p%d", i), Stage: fleet.StagePrefill, Queued: prompts, Slots: 16, LoadKnown: true})
	}
	for i := range decodes {
		list = append(list, Engine{ID: fmt.Sprintf("d%d", i), Stage: fleet.StageDecode, Running: running + i, Slots: 16, LoadKnown: true})
	}
	return list
}

// observeRepeatedly runs Decide on the same load several times and returns all
// orders.
func observeRepeatedly(list []Engine, times int) []Order {
	var st State
	var orders []Order
	for i := range times {
		var issued []Order
		st, issued = Decide(st, DefaultOptions(change), time.Duration(i)*500*time.Millisecond, list)
		orders = append(orders, issued...)
	}
	return orders
}

func TestIdleFleetConvergesToPrefillShare(t *testing.T) {
	orders := observeRepeatedly(idle(3, 9), 1)
	require.Len(t, orders, 2)
	require.Equal(t, "d0", orders[0].Engine)
	require.Equal(t, fleet.StagePrefill, orders[0].TargetStage)
	require.Empty(t, observeRepeatedly(idle(5, 7), 20))
	require.Empty(t, observeRepeatedly(engines(5, 0, 7, 0), 20))
}

// TestLargeIdleFleetHasItsSplitWithinSeconds plays fleets that start a few seconds before
// their callers come, with a sixth of the engines polled each time.
func TestLargeIdleFleetHasItsSplitWithinSeconds(t *testing.T) {
	const interval, pollRounds = 500 * time.Millisecond, 6
	for _, size := range []int{48, 144, 940} {
		list := idle(size*23/100, size-size*23/100)
		arrivesAt := map[string]time.Duration{}
		var st State
		for now := time.Duration(0); now < 5*time.Second; now += interval {
			for i := range list {
				list[i].LoadKnown = i%pollRounds == int(now/interval)%pollRounds
				if at, changing := arrivesAt[list[i].ID]; changing {
					list[i].Changing = now < at
					if now >= at {
						list[i].Stage = fleet.StagePrefill
					}
				}
			}
			var orders []Order
			st, orders = Decide(st, DefaultOptions(change), now, list)
			for _, order := range orders {
				arrivesAt[order.Engine] = now + change
			}
		}
		prefills := 0
		for _, e := range list {
			if e.Stage == fleet.StagePrefill {
				prefills++
			}
		}
		require.InDelta(t, DefaultOptions(change).PrefillShare*float64(size), prefills, 1, "of %d engines", size)
	}
}

// TestBusyFleetChangesAFewEnginesAtATime guards against a change of many engines at a
// moment at which some engines have nothing to do.
func TestBusyFleetChangesAFewEnginesAtATime(t *testing.T) {
	list := idle(33, 111)
	list[140].Running = 1
	_, orders := Decide(State{}, DefaultOptions(change), 0, list)
	require.Len(t, orders, 4)
	list[140].Running, list[0].Queued = 0, 1
	_, orders = Decide(State{}, DefaultOptions(change), 0, list)
	require.Len(t, orders, 4)
	st, _ := Decide(State{}, DefaultOptions(change), 0, engines(33, 1, 111, 1))
	_, orders = Decide(st, DefaultOptions(change), change, idle(33, 111))
	require.Len(t, orders, 4, "the load has ended just now")
}

func TestHighPrefillQueueTakesLeastLoadedDecodeEngine(t *testing.T) {
	orders := observeRepeatedly(engines(5, 20, 7, 2), 3)
	require.Equal(t, "d0", orders[0].Engine)
	require.Equal(t, fleet.StagePrefill, orders[0].TargetStage)
}

func TestBusyDecodeEnginesAreNotTaken(t *testing.T) {
	require.Empty(t, observeRepeatedly(engines(5, 20, 7, 14), 10))
}

func TestHighDecodeUtilizationTakesAPrefillEngine(t *testing.T) {
	orders := observeRepeatedly(engines(5, 0, 7, 16), 3)
	require.Equal(t, fleet.StageDecode, orders[0].TargetStage)
}

func TestSmallFleetChangesOneEngineAtATime(t *testing.T) {
	list := engines(5, 20, 7, 2)
	list[5].Changing = true
	require.Empty(t, observeRepeatedly(list, 10))
	// The engines report the change late. There must not be a second order
	// while the change is in progress.
	require.Len(t, observeRepeatedly(engines(5, 20, 7, 2), int(change/(500*time.Millisecond))), 1)
}

func TestAStageIsNeverEmptied(t *testing.T) {
	require.Empty(t, observeRepeatedly(engines(5, 50, 1, 0), 10))
	require.Empty(t, observeRepeatedly(engines(1, 0, 5, 200), 10))
}

func TestAMissingStageIsRestored(t *testing.T) {
	require.Equal(t, fleet.StageDecode, observeRepeatedly(engines(4, 50, 0, 0), 1)[0].TargetStage)
	require.Equal(t, fleet.StagePrefill, observeRepeatedly(engines(0, 0, 4, 100), 1)[0].TargetStage)
}

// In a large fleet only some engines are queried each time. The mean load must
// come from these, the counts from all engines, and only an engine with known
// load may change.
func TestPartialLoadReports(t *testing.T) {
	list := engines(45, 20, 55, 2)
	for i := range list {
		list[i].LoadKnown = i%9 == 0
		list[i].Running = min(list[i].Running, 2)
	}
	orders := observeRepeatedly(list, 3)
	require.NotEmpty(t, orders)
	for _, order := range orders {
		require.Equal(t, fleet.StagePrefill, order.TargetStage)
		require.InDelta(t, 20, order.PrefillQueue, 1)
		for _, e := range list {
			if e.ID == order.Engine {
				require.True(t, e.LoadKnown)
			}
		}
	}
	require.Empty(t, observeRepeatedly(list[1:9], 3), "no load is known")
}

func TestLeavingEnginesAreIgnored(t *testing.T) {
	list := engines(5, 0, 7, 0)
	for i := range list {
		list[i].Leaving = true
	}
	require.Empty(t, observeRepeatedly(list, 5))
}

// The number of concurrent changes must grow with the fleet, so that a large
// fleet reaches its default share as fast as a small one.
func TestConcurrentChangesGrowWithTheFleet(t *testing.T) {
	list := busy(12, 36)
	var st State
	var orders []Order
	st, orders = Decide(st, DefaultOptions(change), 0, list)
	require.Len(t, orders, 4)
	chosen := map[string]bool{}
	for _, order := range orders {
		require.Equal(t, fleet.StagePrefill, order.TargetStage)
		chosen[order.Engine] = true
	}
	require.Len(t, chosen, 4, "each engine gets at most one order")
	_, again := Decide(st, DefaultOptions(change), time.Second, list)
	require.Empty(t, again, "the changes are still in progress")
	_, later := Decide(st, DefaultOptions(change), change, busy(16, 32))
	require.Len(t, later, 4)
}

// Engines on their way to a stage must count there. Otherwise more engines
// change at once than the default share needs.
func TestConcurrentChangesStopAtPrefillShare(t *testing.T) {
	st, orders := Decide(State{}, DefaultOptions(change), 0, idle(20, 28))
	require.Len(t, orders, 2, "45 % of 48 engines are 22")
	_, orders = Decide(st, DefaultOptions(change), time.Second, idle(20, 28))
	require.Empty(t, orders)
}

// idle returns engines of each stage without load.
func idle(prefills, decodes int) []Engine {
	list := engines(prefills, 0, decodes, 0)
	for i := range list {
		list[i].Running = 0
	}
	return list
}

// busy returns engines of each stage that run one request each.
func busy(prefills, decodes int) []Engine {
	list := idle(prefills, decodes)
	for i := range list {
		list[i].Running = 1
	}
	return list
}

// A very large fleet that serves callers must not change in proportion to its size,
// because each change makes an engine unavailable for seconds.
func TestVeryLargeFleetChangesAFewEnginesAtATime(t *testing.T) {
	_, orders := Decide(State{}, DefaultOptions(change), 0, busy(200, 740))
	require.Len(t, orders, 4)
}
