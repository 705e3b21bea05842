// Package stageplan decides which engines of a service prefill and which
// decode.
//
// The mix of long prompts and long outputs can shift faster than engines can be
// added. An engine that changes its stage is unavailable for seconds, so only a
// few change at a time, only towards the stage whose load makes callers wait,
// and only if the other stage has capacity to spare. While a service has nothing to
// do, its engines change to the default split in larger numbers, so that a fleet of
// hundreds has it when its callers come. Decide depends on its
// arguments alone; the caller sends the orders to the engines.
package stageplan

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// Engine is the state of one engine as it reports it.
type Engine struct {
	ID    string
	Stage fleet.Stage
	// Leaving engines are ignored.
	Leaving bool
	// Changing engines are executing an order.
	Changing bool
	// LoadKnown is set if the engine has reported its load. Other engines are
	// only counted in their stage, so that a caller need not query every engine
	// of a large fleet each time.
	LoadKnown bool
	// Running and Queued are the numbers of requests, Slots the number of
	// requests that can run at once.
	Running, Queued, Slots int
	// arriving is set if the engine is changing to Stage, not from it.
	arriving bool
}

// Options configure when engines change their stage.
type Options struct {
	// ChangeDuration is how long a change makes an engine unavailable.
	ChangeDuration time.Duration
	// HighPrefillQueue is the mean number of prompts per prefill engine above
	// which another engine should prefill.
	HighPrefillQueue float64
	// LowPrefillQueue is the mean number of prompts per prefill engine below
	// which one of them can be spared.
	LowPrefillQueue float64
	// HighDecodeUtilization is the share of decode slots in use above which
	// another engine should decode. No engine may leave the decode stage if
	// that would raise the utilization to this value.
	HighDecodeUtilization float64
	// HalfLife is the age at which an observation counts half.
	HalfLife time.Duration
	// PrefillShare is the share of engines that prefill as long as the load
	// does not require otherwise.
	PrefillShare float64
	// MinEnginesPerStage is the least number of engines that a stage keeps.
	MinEnginesPerStage int
	// MaxChangingShare is the share of engines that may change at once, but at
	// least one and at most MaxChanging engines.
	MaxChangingShare float64
	MaxChanging      int
	// MaxChangingIdleShare is the share of engines that may change at once while
	// none of them has anything to do.
	MaxChangingIdleShare float64
}

// DefaultOptions returns the default options for engines whose changes take the
// given time.
func DefaultOptions(change time.Duration) Options {
	return Options{
		ChangeDuration:        change,
		HighPrefillQueue:      6,
		LowPrefillQueue:       1,
		HighDecodeUtilization: 0.7,
		HalfLife:              4 * time.Second,
		PrefillShare:          0.45,
		MinEnginesPerStage:    2,
		MaxChangingShare:      1.0 / 12,
		MaxChanging:           4,
		MaxChangingIdleShare:  0.25,
	}
}

// State is what Decide remembers between calls. The zero value is ready to use.
type State struct {
	// prefillQueue and decodeUtilization are exponentially smoothed.
	prefillQueue, decodeUtilization float64
	observedAt                      time.Duration
	observed                        bool
	// recentOrders holds the newest order of each engine whose report may not
	// show it yet.
	recentOrders map[string]issuedOrder
}

// issuedOrder is an order issued to an engine.
type issuedOrder struct {
	issuedAt time.Duration
	target   fleet.Stage
}

// Order requests that one engine change its stage.
type Order struct {
	Engine      string
	TargetStage fleet.Stage
	// PrefillQueue and DecodeUtilization are the smoothed inputs of the
	// decision.
	PrefillQueue, DecodeUtilization float64
}

// stageTotals are the engines and the load of each stage. Engines that are
// changing to a stage count there as well as in changing.
type stageTotals struct {
	prefillEngines, decodeEngines, changing int
	// engines is the number of all engines.
	engines int
	// knownPrefills is the number of prefill engines with known load.
	knownPrefills int
	// prompts are at the prefill engines with known load, used and slots are
	// the decode slots in use and in total at the decode engines with known
	// load.
	prompts, used, slots float64
}

func totalsOf(engines []Engine) stageTotals {
	var s stageTotals
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		s.engines++
		if e.Changing {
			s.changing++
		}
		switch {
		case e.Changing && !e.arriving:
		case e.Stage == fleet.StagePrefill:
			s.prefillEngines++
			if e.LoadKnown {
				s.knownPrefills++
				s.prompts += float64(e.Running + e.Queued)
			}
		case e.Stage == fleet.StageDecode:
			s.decodeEngines++
			if e.LoadKnown {
				s.used += float64(e.Running + e.Queued)
				s.slots += float64(e.Slots)
			}
		}
	}
	return s
}

// Decide updates the state with the reports of all engines and returns the
// changes to make. It returns none while the largest number of concurrent
// changes is in progress.
func Decide(st State, o Options, now time.Duration, engines []Engine) (State, []Order) {
	engines, st.recentOrders = st.applyRecentOrders(o, now, engines)
	s := totalsOf(engines)
	st = st.observe(o, now, s)
	var orders []Order
	limit := o.maxConcurrent(s, st.idle(s))
	for s.changing < limit {
		target, ok := st.stageInNeed(o, s)
		if !ok {
			break
		}
		i := leastLoaded(engines, target)
		if i < 0 {
			break
		}
		orders = append(orders, Order{Engine: engines[i].ID, TargetStage: target, PrefillQueue: st.prefillQueue, DecodeUtilization: st.decodeUtilization})
		st.recentOrders[engines[i].ID] = issuedOrder{issuedAt: now, target: target}
		engines[i].setTarget(target)
		s = totalsOf(engines)
	}
	return st, orders
}

// idleUtilization and idleQueue are the smoothed load below which a service is idle.
const (
	idleUtilization = 0.01
	idleQueue       = 0.01
)

// idle reports whether no engine with known load has anything to do and the service
// has been without load for a while. A change then makes no caller wait.
func (st State) idle(s stageTotals) bool {
	return s.prompts == 0 && s.used == 0 && st.prefillQueue < idleQueue && st.decodeUtilization < idleUtilization
}

// maxConcurrent returns the number of engines that may change at once.
func (o Options) maxConcurrent(s stageTotals, idle bool) int {
	bound := min(max(1, int(o.MaxChangingShare*float64(s.engines))), o.MaxChanging)
	if idle {
		return max(bound, int(o.MaxChangingIdleShare*float64(s.engines)))
	}
	return bound
}

// applyRecentOrders returns a copy of the engines in which those with a recent
// order are changing, regardless of what they report, and the orders that are
// still recent.
func (st State) applyRecentOrders(o Options, now time.Duration, engines []Engine) ([]Engine, map[string]issuedOrder) {
	marked := slices.Clone(engines)
	recent := make(map[string]issuedOrder, len(st.recentOrders))
	for i, e := range marked {
		order, ok := st.recentOrders[e.ID]
		if !ok || now-order.issuedAt >= o.ChangeDuration {
			continue
		}
		recent[e.ID] = order
		marked[i].setTarget(order.target)
	}
	return marked, recent
}

// setTarget marks an engine as changing to a stage. It counts in that stage
// without load.
func (e *Engine) setTarget(target fleet.Stage) {
	e.Stage, e.Changing, e.arriving, e.LoadKnown = target, true, true, false
}

// observe updates the smoothed load.
func (st State) observe(o Options, now time.Duration, s stageTotals) State {
	queue := s.prompts / float64(max(1, s.knownPrefills))
	utilization := s.used / max(1, s.slots)
	if !st.observed {
		st.prefillQueue, st.decodeUtilization = queue, utilization
	} else {
		weight := 1 - math.Exp2(-float64(now-st.observedAt)/float64(o.HalfLife))
		st.prefillQueue += weight * (queue - st.prefillQueue)
		st.decodeUtilization += weight * (utilization - st.decodeUtilization)
	}
	st.observed, st.observedAt = true, now
	return st
}

// stageInNeed returns the stage that needs another engine, or false if none
// does.
func (st State) stageInNeed(o Options, s stageTotals) (fleet.Stage, bool) {
	switch {
	case s.prefillEngines == 0 && s.decodeEngines > 1:
		return fleet.StagePrefill, true
	case s.decodeEngines == 0 && s.prefillEngines > 1:
		return fleet.StageDecode, true
	case float64(s.prefillEngines) < math.Round(o.PrefillShare*float64(s.prefillEngines+s.decodeEngines)) && st.utilizationWithoutOne(s) < o.HighDecodeUtilization:
		return fleet.StagePrefill, true
	case s.decodeEngines > o.MinEnginesPerStage && st.prefillQueue > o.HighPrefillQueue && st.utilizationWithoutOne(s) < o.HighDecodeUtilization:
		return fleet.StagePrefill, true
	case s.prefillEngines > o.MinEnginesPerStage && st.decodeUtilization > o.HighDecodeUtilization && st.prefillQueue < o.LowPrefillQueue:
		return fleet.StageDecode, true
	}
	return fleet.StageWhole, false
}

// utilizationWithoutOne returns the decode utilization if one decode engine
// left.
func (st State) utilizationWithoutOne(s stageTotals) float64 {
	return st.decodeUtilization * float64(s.decodeEngines) / float64(max(1, s.decodeEngines-1))
}

// leastLoaded returns the index of the engine in the other stage with the
// lowest known load, or -1.
func leastLoaded(engines []Engine, target fleet.Stage) int {
	from := fleet.StageDecode
	if target == fleet.StageDecode {
		from = fleet.StagePrefill
	}
	best := -1
	for i, e := range engines {
		if e.Stage != from || !e.LoadKnown || e.Leaving || e.Changing {
			continue
		}
		if best < 0 || compareLoad(e, engines[best]) < 0 {
			best = i
		}
	}
	return best
}

// compareLoad orders engines by their number of requests and then by ID.
func compareLoad(a, b Engine) int {
	if d := a.Running + a.Queued - b.Running - b.Queued; d != 0 {
		return d
	}
	return strings.Compare(a.ID, b.ID)
}
