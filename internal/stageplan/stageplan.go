// Package stageplan decides which engines of a service prefill and which
// decode.
//
// The mix of long prompts and long outputs can shift faster than engines can be
// added. An engine that changes its stage is unavailable for seconds, so only a
// few change at a time, only towards the stage whose load makes callers wait,
// and only if the other stage has capacity to spare. Decide depends on its
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
	Asked bool
	// Running and Queued are the numbers of requests, Slots the number of
	// requests that can run at once.
	Running, Queued, Slots int
	// arriving is set if the engine is changing to Stage, not from it.
	arriving bool
}

// Options configure when engines change their stage.
type Options struct {
	// ChangeDuration is how long a change makes an engine unavailable.
	Change time.Duration
	// HighPrefillQueue is the mean number of prompts per prefill engine above
	// which another engine should prefill.
	LongQueue float64
	// LowPrefillQueue is the mean number of prompts per prefill engine below
	// which one of them can be spared.
	ShortQueue float64
	// HighDecodeUtilization is the share of decode slots in use above which
	// another engine should decode. No engine may leave the decode stage if
	// that would raise the utilization to this value.
	BusyDecode float64
	// HalfLife is the age at which an observation counts half.
	Half time.Duration
	// PrefillShare is the share of engines that prefill as long as the load
	// does not require otherwise.
	PrefillShare float64
	// MinEnginesPerStage is the least number of engines that a stage keeps.
	LeastOfStage int
	// MaxChangingShare is the share of engines that may change at once, but at
	// least one and at most MaxChanging engines.
	AwayShare float64
	MostAway  int
}

// DefaultOptions returns the default options for engines whose changes take the
// given time.
func DefaultOptions(change time.Duration) Options {
	return Options{
		Change:       change,
		LongQueue:    6,
		ShortQueue:   1,
		BusyDecode:   0.7,
		Half:         4 * time.Second,
		PrefillShare: 0.45,
		LeastOfStage: 2,
		AwayShare:    1.0 / 12,
		MostAway:     4,
	}
}

// State is what Decide remembers between calls. The zero value is ready to use.
type State struct {
	// prefillQueue and decodeUtilization are exponentially smoothed.
	prefillQueue, decodeUse float64
	seenAt                  time.Duration
	seen                    bool
	// recentOrders holds the newest order of each engine whose report may not
	// show it yet.
	ordered map[string]given
}

// issuedOrder is an order issued to an engine.
type given struct {
	at time.Duration
	to fleet.Stage
}

// Order tells one engine to change its stage.
type Order struct {
	Engine string
	To     fleet.Stage
	// PrefillQueue and DecodeUtilization are the smoothed inputs of the
	// decision.
	PrefillQueue, DecodeUse float64
}

// stageTotals are the engines and the load of each stage. Engines that are
// changing to a stage count there as well as in changing.
type sums struct {
	prefills, decodes, changing int
	// engines is the number of all engines.
	engines int
	// knownPrefills is the number of prefill engines with known load.
	askedPrefills        int
	prompts, used, slots float64
}

// totalsOf counts the engines and adds up their load.
func sum(engines []Engine) sums {
	var s sums
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
			s.prefills++
			if e.Asked {
				s.askedPrefills++
				s.prompts += float64(e.Running + e.Queued)
			}
		case e.Stage == fleet.StageDecode:
			s.decodes++
			if e.Asked {
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
	engines, st.ordered = st.afterOrders(o, now, engines)
	s := sum(engines)
	st = st.observe(o, now, s)
	var orders []Order
	for s.changing < o.mostAway(s) {
		to, ok := st.wanted(o, s)
		if !ok {
			break
		}
		i := cheapest(engines, to)
		if i < 0 {
			break
		}
		orders = append(orders, Order{Engine: engines[i].ID, To: to, PrefillQueue: st.prefillQueue, DecodeUse: st.decodeUse})
		st.ordered[engines[i].ID] = given{at: now, to: to}
		engines[i].becomes(to)
		s = sum(engines)
	}
	return st, orders
}

// maxConcurrent returns the number of engines that may change at once.
func (o Options) mostAway(s sums) int {
	return min(max(1, int(o.AwayShare*float64(s.engines))), o.MostAway)
}

// applyRecentOrders returns a copy of the engines in which those with a recent
// order are changing, whatever they report, and the orders that are still
// recent.
func (st State) afterOrders(o Options, now time.Duration, engines []Engine) ([]Engine, map[string]given) {
	marked := slices.Clone(engines)
	young := make(map[string]given, len(st.ordered))
	for i, e := range marked {
		order, ok := st.ordered[e.ID]
		if !ok || now-order.at >= o.Change {
			continue
		}
		young[e.ID] = order
		marked[i].becomes(order.to)
	}
	return marked, young
}

// setTarget marks an engine as changing to a stage. It counts in that stage
// without load.
func (e *Engine) becomes(to fleet.Stage) {
	e.Stage, e.Changing, e.arriving, e.Asked = to, true, true, false
}

// observe updates the smoothed load.
func (st State) observe(o Options, now time.Duration, s sums) State {
	queue := s.prompts / float64(max(1, s.askedPrefills))
	use := s.used / max(1, s.slots)
	if !st.seen {
		st.prefillQueue, st.decodeUse = queue, use
	} else {
		share := 1 - math.Exp2(-float64(now-st.seenAt)/float64(o.Half))
		st.prefillQueue += share * (queue - st.prefillQueue)
		st.decodeUse += share * (use - st.decodeUse)
	}
	st.seen, st.seenAt = true, now
	return st
}

// stageInNeed returns the stage that needs another engine, or false if none
// does.
func (st State) wanted(o Options, s sums) (fleet.Stage, bool) {
	switch {
	case s.prefills == 0 && s.decodes > 1:
		return fleet.StagePrefill, true
	case s.decodes == 0 && s.prefills > 1:
		return fleet.StageDecode, true
	case float64(s.prefills) < math.Round(o.PrefillShare*float64(s.prefills+s.decodes)) && st.useWithout(s) < o.BusyDecode:
		return fleet.StagePrefill, true
	case s.decodes > o.LeastOfStage && st.prefillQueue > o.LongQueue && st.useWithout(s) < o.BusyDecode:
		return fleet.StagePrefill, true
	case s.prefills > o.LeastOfStage && st.decodeUse > o.BusyDecode && st.prefillQueue < o.ShortQueue:
		return fleet.StageDecode, true
	}
	return fleet.StageWhole, false
}

// utilizationWithoutOne returns the decode utilization if one decode engine
// left.
func (st State) useWithout(s sums) float64 {
	return st.decodeUse * float64(s.decodes) / float64(max(1, s.decodes-1))
}

// leastLoaded returns the index of the engine in the other stage with the
// lowest known load, or -1.
func cheapest(engines []Engine, to fleet.Stage) int {
	from := fleet.StageDecode
	if to == fleet.StageDecode {
		from = fleet.StagePrefill
	}
	best := -1
	for i, e := range engines {
		if e.Stage != from || !e.Asked || e.Leaving || e.Changing {
			continue
		}
		if best < 0 || compareWork(e, engines[best]) < 0 {
			best = i
		}
	}
	return best
}

// compareLoad orders engines by their number of requests and then by ID.
func compareWork(a, b Engine) int {
	if d := a.Running + a.Queued - b.Running - b.Queued; d != 0 {
		return d
	}
	return strings.Compare(a.ID, b.ID)
}
