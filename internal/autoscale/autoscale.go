// Package autoscale decides how many servers a service should have in one failure
// domain.
//
// Servers are ordered at once when the load needs them. They are given up only when the
// highest load of a whole period allows it, because a server that is needed again serves
// only after its start time; until then its cost is that of an idle server. The period is
// a multiple of the start time.
//
// The platform's number of ordered servers cannot be read. A process that takes over the
// decision starts from the servers that are registered: it gives none up before it has
// seen a whole period, and for one start time it orders nothing that it does not need,
// because servers that its predecessor has ordered may be starting.
//
// Decide depends on its arguments alone; the caller sends the orders.
package autoscale

import (
	"math"
	"time"
)

const (
	// targetUtilization is the share of slots in use that is aimed at. Some servers slow
	// down long before they are full, and a load that grows meets the servers that there
	// are until others have started.
	targetUtilization = 0.7
	// keepMargin is the factor by which the servers that are kept may bear more than the
	// highest load of the period, so that equal peaks that differ by chance do not
	// change the number each period.
	keepMargin = 1.1
	// startsPerPeriod is the period in start times, and minPeriod its minimum: loads
	// that rise and fall within a few seconds must not change the number of servers that start
	// quickly.
	startsPerPeriod = 4
	minPeriod       = 20 * time.Second
	// partsPerPeriod is the number of parts of a period whose highest loads are kept. A
	// gap in the observations longer than a part begins the period anew.
	partsPerPeriod = 8
	// roundingError is subtracted before rounding up, so that a load that fits exactly
	// needs no further server.
	roundingError = 1e-9
)

// Options are the bounds of a service in each failure domain. Nothing is decided unless
// Min is at least 1 and Max at least Min.
type Options struct {
	Min, Max int
	// StartTime is the time from the order of a server until it serves.
	StartTime time.Duration
}

func (o Options) valid() bool { return o.Min >= 1 && o.Max >= o.Min }

// period is the time whose highest load decides how many servers are kept.
func (o Options) period() time.Duration { return max(minPeriod, startsPerPeriod*o.StartTime) }

// bounded returns n within the bounds.
func (o Options) bounded(n int) int { return min(max(n, o.Min), o.Max) }

// Demand is what is known of a service in a failure domain.
type Demand struct {
	// Known is set if the registrations have been read and the load of the domain is
	// known. Otherwise the other fields are ignored.
	Known bool
	// Running and Waiting are the requests of the domain.
	Running, Waiting int
	// Slots is the mean number of requests that a server runs concurrently; 0 if no
	// server states it.
	Slots float64
	// Registered is the number of servers that are registered in the domain and do not
	// leave.
	Registered int
}

// State is what Decide keeps between calls. The zero value is that of a process that
// takes over the decision. Copies are independent.
type State struct {
	// desired is the number of servers decided on; 0 before the first observation.
	desired int
	// ordered is set once a number has been returned.
	ordered bool
	// firstAt is the time of the first observation, lastAt that of the latest one, and
	// unbrokenSince that from which observations have had no gap.
	firstAt, lastAt, unbrokenSince time.Duration
	// slots is the latest known number of slots per server.
	slots float64
	// period is that for which peaks are kept.
	period time.Duration
	// part is the number of the current part of the time, and peaks[part%len(peaks)] the
	// highest load in it. The others are those of the parts before it.
	part  int64
	peaks [partsPerPeriod + 1]float64
}

// Decide updates the state and returns the number of servers that the service should have
// in the failure domain. It returns 0 if nothing is to be ordered: without bounds, before
// the first known demand, and while a predecessor's orders may be in progress that
// suffice. The caller orders a number that differs from the one that it ordered last.
func Decide(st State, o Options, now time.Duration, d Demand) (State, int) {
	if !o.valid() {
		return State{}, 0
	}
	if d.Known {
		st = st.observe(o, now, d)
		st.desired = o.bounded(st.decide(o, now, d))
	}
	if st.desired == 0 {
		return st, 0
	}
	// The bounds may have changed since the latest demand.
	st.desired = o.bounded(st.desired)
	if !st.ordered && now-st.firstAt < o.StartTime && (!d.Known || st.desired == d.Registered) {
		return st, 0
	}
	st.ordered = true
	return st, st.desired
}

// load returns the number of requests that need a slot.
func (d Demand) load() float64 { return float64(max(0, d.Running)) + float64(max(0, d.Waiting)) }

// observe records the demand.
func (st State) observe(o Options, now time.Duration, d Demand) State {
	length := o.period() / partsPerPeriod
	part := int64(now / length)
	isFirst := st.desired == 0
	if isFirst {
		st.firstAt = now
	}
	if isFirst || st.period != o.period() || now-st.lastAt > length {
		st.period, st.unbrokenSince, st.part = o.period(), now, part
		clear(st.peaks[:])
	}
	for ; st.part < part; st.part++ {
		st.peaks[(st.part+1)%int64(len(st.peaks))] = 0
	}
	current := &st.peaks[st.part%int64(len(st.peaks))]
	*current = max(*current, d.load())
	st.lastAt = now
	if d.Slots > 0 {
		st.slots = d.Slots
	}
	return st
}

// decide returns the number of servers before the bounds are applied.
func (st State) decide(o Options, now time.Duration, d Demand) int {
	needed := st.serversFor(o, d.load())
	switch {
	case now-st.firstAt < st.period:
		// Servers that a predecessor has ordered may register at any time.
		return max(st.desired, needed, d.Registered)
	case now-st.unbrokenSince < st.period:
		return max(st.desired, needed)
	default:
		peak := 0.0
		for _, load := range st.peaks {
			peak = max(peak, load)
		}
		return max(needed, min(st.desired, st.serversFor(o, keepMargin*peak)))
	}
}

// serversFor returns the number of servers for a load, at most the upper bound.
func (st State) serversFor(o Options, load float64) int {
	if st.slots <= 0 {
		return 0
	}
	return int(min(math.Ceil(load/(targetUtilization*st.slots)-roundingError), float64(o.Max)))
}
