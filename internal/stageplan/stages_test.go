package stageplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

const change = 3 * time.Second

// engines returns so many engines of each stage with this load at each.
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

// settle observes the same load for a while and returns the orders.
func settle(list []Engine, times int) []Order {
	var st State
	var orders []Order
	for i := range times {
		var given []Order
		st, given = Decide(st, DefaultOptions(change), time.Duration(i)*500*time.Millisecond, list)
		orders = append(orders, given...)
	}
	return orders
}

func TestIdleFleetMovesTowardsTheUsualShare(t *testing.T) {
	orders := settle(engines(3, 0, 9, 0), 1)
	require.Len(t, orders, 1)
	require.Equal(t, "d0", orders[0].Engine)
	require.Equal(t, fleet.StagePrefill, orders[0].TargetStage)
	require.Empty(t, settle(engines(5, 0, 7, 0), 20))
}

func TestLongQueueTakesTheLeastBusyDecodeEngine(t *testing.T) {
	orders := settle(engines(5, 20, 7, 2), 3)
	require.Equal(t, "d0", orders[0].Engine)
	require.Equal(t, fleet.StagePrefill, orders[0].TargetStage)
}

func TestBusyDecodeEnginesAreNotTaken(t *testing.T) {
	require.Empty(t, settle(engines(5, 20, 7, 14), 10))
}

func TestBusyDecodeTakesAnIdlePrefillEngine(t *testing.T) {
	orders := settle(engines(5, 0, 7, 16), 3)
	require.Equal(t, fleet.StageDecode, orders[0].TargetStage)
}

func TestOneChangeAtATime(t *testing.T) {
	list := engines(5, 20, 7, 2)
	list[5].Changing = true
	require.Empty(t, settle(list, 10))
	// The reports lag behind the order: none follows within a change.
	require.Len(t, settle(engines(5, 20, 7, 2), int(change/(500*time.Millisecond))), 1)
}

func TestAStageIsNeverEmptied(t *testing.T) {
	require.Empty(t, settle(engines(5, 50, 1, 0), 10))
	require.Empty(t, settle(engines(1, 0, 5, 200), 10))
}

func TestAMissingStageIsRestored(t *testing.T) {
	require.Equal(t, fleet.StageDecode, settle(engines(4, 50, 0, 0), 1)[0].TargetStage)
	require.Equal(t, fleet.StagePrefill, settle(engines(0, 0, 4, 100), 1)[0].TargetStage)
}

// In a large fleet some engines are asked each time: the means are theirs, the
// counts are of all, and only an engine whose load is known changes.
func TestSomeEnginesStandForAll(t *testing.T) {
	list := engines(45, 20, 55, 2)
	for i := range list {
		list[i].LoadKnown = i%9 == 0
		list[i].Running = min(list[i].Running, 2)
	}
	orders := settle(list, 3)
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
	require.Empty(t, settle(list[1:9], 3), "nothing is known of any load")
}

func TestLeavingEnginesCountForNothing(t *testing.T) {
	list := engines(5, 0, 7, 0)
	for i := range list {
		list[i].Leaving = true
	}
	require.Empty(t, settle(list, 5))
}

// A fleet four times as large has four times as many engines away at once, and
// has reached its usual share in the time that a small one takes.
func TestLargeFleetsChangeInProportion(t *testing.T) {
	list := idle(12, 36)
	var st State
	var orders []Order
	st, orders = Decide(st, DefaultOptions(change), 0, list)
	require.Len(t, orders, 4)
	chosen := map[string]bool{}
	for _, order := range orders {
		require.Equal(t, fleet.StagePrefill, order.TargetStage)
		chosen[order.Engine] = true
	}
	require.Len(t, chosen, 4, "each engine gets one order")
	_, again := Decide(st, DefaultOptions(change), time.Second, list)
	require.Empty(t, again, "the reports do not show the changes yet")
	_, later := Decide(st, DefaultOptions(change), change, idle(16, 32))
	require.Len(t, later, 4)
}

// Those that are on their way count where they go.
func TestChangesAtOnceStopAtTheUsualShare(t *testing.T) {
	st, orders := Decide(State{}, DefaultOptions(change), 0, idle(20, 28))
	require.Len(t, orders, 2, "45 of 100 are 22 of 48")
	_, orders = Decide(st, DefaultOptions(change), time.Second, idle(20, 28))
	require.Empty(t, orders)
}

// idle returns so many engines of each stage without load.
func idle(prefills, decodes int) []Engine {
	list := engines(prefills, 0, decodes, 0)
	for i := range list {
		list[i].Running = 0
	}
	return list
}

// A fleet of the target's size is not turned over at once: an order costs an
// engine its work for seconds.
func TestVeryLargeFleetsChangeAFewAtATime(t *testing.T) {
	_, orders := Decide(State{}, DefaultOptions(change), 0, idle(200, 740))
	require.Len(t, orders, 4)
}
