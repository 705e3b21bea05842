// Package stageplan decides which engines of a service prefill and which decode.
//
// It answers a mix of long prompts and long answers that swings faster than
// engines can be added: an engine that changes its stage is away for seconds,
// so few move at a time, towards the stage whose queue makes callers wait, and
// only if the other stage can spare them. Decide is pure; the caller gives the
// orders.
package stageplan

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// Engine is one engine as it reports itself.
type Engine struct {
	ID    string
	Stage fleet.Stage
	// Leaving engines count for nothing.
	Leaving bool
	// Changing engines are carrying out an order.
	Changing bool
	// LoadKnown engines have reported their load; others count by their stage
	// alone, so that not each engine of a large fleet need be asked each time.
	LoadKnown bool
	// Running and Queued requests, and how many can run at once.
	Running, Queued, Slots int
	// arriving engines are changing to Stage.
	arriving bool
}

// Options set when an engine changes.
type Options struct {
	// ChangeDuration is how long a change takes an engine away.
	ChangeDuration time.Duration
	// HighPrefillQueue is the mean number of prompts at a prefill engine above which
	// another engine is to prefill.
	HighPrefillQueue float64
	// LowPrefillQueue is the number below which a prefill engine can be spared.
	LowPrefillQueue float64
	// HighDecodeUtilization is the share of decode slots in use above which another
	// engine is to decode, and the most that may be in use after one has left.
	HighDecodeUtilization float64
	// HalfLife is the age at which an observation counts half.
	HalfLife time.Duration
	// PrefillShare of the engines prefill as long as the load shows no other
	// need.
	PrefillShare float64
	// MinEnginesPerStage is the least number of engines of each stage.
	MinEnginesPerStage int
	// MaxChangingShare of the engines, one at least and MaxChanging at most, may change
	// at once.
	MaxChangingShare float64
	MaxChanging      int
}

// DefaultOptions returns the usual options for engines that are away for a
// time.
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
	}
}

// State is what the decision remembers.
type State struct {
	// prefillQueue and decodeUse are smoothed.
	prefillQueue, decodeUse float64
	seenAt                  time.Duration
	seen                    bool
	// ordered has the newest order of each engine that may not show it in its
	// report yet.
	ordered map[string]given
}

// given is an order that was given.
type given struct {
	at time.Duration
	to fleet.Stage
}

// Order is a change of one engine.
type Order struct {
	Engine      string
	TargetStage fleet.Stage
	// PrefillQueue and DecodeUtilization are the inputs that decided.
	PrefillQueue, DecodeUtilization float64
}

// sums are the engines and the load of each stage. Engines on their way to a
// stage count there and as changing.
type sums struct {
	prefills, decodes, changing int
	// engines in all.
	engines int
	// askedPrefills of the prefill engines have told prompts.
	askedPrefills        int
	prompts, used, slots float64
}

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
			if e.LoadKnown {
				s.askedPrefills++
				s.prompts += float64(e.Running + e.Queued)
			}
		case e.Stage == fleet.StageDecode:
			s.decodes++
			if e.LoadKnown {
				s.used += float64(e.Running + e.Queued)
				s.slots += float64(e.Slots)
			}
		}
	}
	return s
}

// Decide takes in what the engines report and returns the changes that are
// worth making, none while as many as may change at once do.
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
		orders = append(orders, Order{Engine: engines[i].ID, TargetStage: to, PrefillQueue: st.prefillQueue, DecodeUtilization: st.decodeUse})
		st.ordered[engines[i].ID] = given{at: now, to: to}
		engines[i].becomes(to)
		s = sum(engines)
	}
	return st, orders
}

// mostAway returns how many engines may change at once.
func (o Options) mostAway(s sums) int {
	return min(max(1, int(o.MaxChangingShare*float64(s.engines))), o.MaxChanging)
}

// afterOrders returns a copy of the engines in which those that were ordered a
// short while ago are on their way, whatever they report, and the orders that
// are still young.
func (st State) afterOrders(o Options, now time.Duration, engines []Engine) ([]Engine, map[string]given) {
	marked := slices.Clone(engines)
	young := make(map[string]given, len(st.ordered))
	for i, e := range marked {
		order, ok := st.ordered[e.ID]
		if !ok || now-order.at >= o.ChangeDuration {
			continue
		}
		young[e.ID] = order
		marked[i].becomes(order.to)
	}
	return marked, young
}

// becomes makes an engine one on its way to a stage: it counts there, and its
// load counts for nothing.
func (e *Engine) becomes(to fleet.Stage) {
	e.Stage, e.Changing, e.arriving, e.LoadKnown = to, true, true, false
}

// observe smooths the load.
func (st State) observe(o Options, now time.Duration, s sums) State {
	queue := s.prompts / float64(max(1, s.askedPrefills))
	use := s.used / max(1, s.slots)
	if !st.seen {
		st.prefillQueue, st.decodeUse = queue, use
	} else {
		share := 1 - math.Exp2(-float64(now-st.seenAt)/float64(o.HalfLife))
		st.prefillQueue += share * (queue - st.prefillQueue)
		st.decodeUse += share * (use - st.decodeUse)
	}
	st.seen, st.seenAt = true, now
	return st
}

// wanted returns the stage that needs another engine.
func (st State) wanted(o Options, s sums) (fleet.Stage, bool) {
	switch {
	case s.prefills == 0 && s.decodes > 1:
		return fleet.StagePrefill, true
	case s.decodes == 0 && s.prefills > 1:
		return fleet.StageDecode, true
	case float64(s.prefills) < math.Round(o.PrefillShare*float64(s.prefills+s.decodes)) && st.useWithout(s) < o.HighDecodeUtilization:
		return fleet.StagePrefill, true
	case s.decodes > o.MinEnginesPerStage && st.prefillQueue > o.HighPrefillQueue && st.useWithout(s) < o.HighDecodeUtilization:
		return fleet.StagePrefill, true
	case s.prefills > o.MinEnginesPerStage && st.decodeUse > o.HighDecodeUtilization && st.prefillQueue < o.LowPrefillQueue:
		return fleet.StageDecode, true
	}
	return fleet.StageWhole, false
}

// useWithout returns the share of decode slots in use if one engine left.
func (st State) useWithout(s sums) float64 {
	return st.decodeUse * float64(s.decodes) / float64(max(1, s.decodes-1))
}

// cheapest returns the index of the engine of the other stage with the least
// work, or -1.
func cheapest(engines []Engine, to fleet.Stage) int {
	from := fleet.StageDecode
	if to == fleet.StageDecode {
		from = fleet.StagePrefill
	}
	best := -1
	for i, e := range engines {
		if e.Stage != from || !e.LoadKnown || e.Leaving || e.Changing {
			continue
		}
		if best < 0 || compareWork(e, engines[best]) < 0 {
			best = i
		}
	}
	return best
}

// compareWork orders engines by their requests, and by ID where these are the
// same.
func compareWork(a, b Engine) int {
	if d := a.Running + a.Queued - b.Running - b.Queued; d != 0 {
		return d
	}
	return strings.Compare(a.ID, b.ID)
}
