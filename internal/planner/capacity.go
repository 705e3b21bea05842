package planner

import (
	"math"
	"slices"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// bucketsPerOctave is the resolution of rate classes: the number of buckets, on
// a logarithmic scale, for each doubling of a rate.
const bucketsPerOctave = 4

// rateClass identifies engines with nearly the same rates.
type rateClass struct {
	prefill int
	decode  int
}

func rateClassOf(e *Engine) rateClass {
	return rateClass{rateBucket(e.PrefillRate), rateBucket(e.DecodeRate)}
}

func rateBucket(rate float64) int {
	if rate <= 0 {
		return math.MinInt32
	}
	return int(math.Round(bucketsPerOctave * math.Log2(rate)))
}

// rateClasses orders the rate classes by how much better they prefill than
// decode, best first. Mixed engines share the work by this comparative
// advantage.
type rateClasses struct {
	index map[rateClass]int
	n     int
}

// classify returns the rate classes of the engines.
func classify(engines []Engine) rateClasses {
	c := rateClasses{index: make(map[rateClass]int)}
	var keys []rateClass
	for i := range engines {
		k := rateClassOf(&engines[i])
		if _, ok := c.index[k]; !ok {
			c.index[k] = 0
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b rateClass) int {
		if d := (b.prefill - b.decode) - (a.prefill - a.decode); d != 0 {
			return d
		}
		return b.prefill - a.prefill
	})
	for i, k := range keys {
		c.index[k] = i
	}
	c.n = len(keys)
	return c
}

func (c rateClasses) of(e *Engine) int { return c.index[rateClassOf(e)] }

// capacity is the total capacity of a set of engines.
type capacity struct {
	// fixed is the capacity of prefill and decode engines.
	fixed rates
	// mixed is the capacity of mixed engines by rate class. They divide their
	// time between prefill and decode.
	mixed []rates
}

func newCapacity(c rateClasses) *capacity { return &capacity{mixed: make([]rates, c.n)} }

// copyFrom makes c a copy of source. Both must have the same classes.
func (c *capacity) copyFrom(source *capacity) {
	c.fixed = source.fixed
	copy(c.mixed, source.mixed)
}

// add adds an engine with the given role, or removes it if sign is -1.
func (c *capacity) add(class int, e *Engine, role configv1.Role, efficiency, sign float64) {
	switch role {
	case configv1.Role_ROLE_PREFILL:
		c.fixed.prefill += sign * e.PrefillRate
	case configv1.Role_ROLE_DECODE:
		c.fixed.decode += sign * e.DecodeRate
	case configv1.Role_ROLE_MIXED:
		c.mixed[class].prefill += sign * e.PrefillRate * efficiency
		c.mixed[class].decode += sign * e.DecodeRate * efficiency
	}
}

// servableShare returns the largest share of the demand that the capacity can
// serve when its mixed engines divide their time optimally. It may exceed 1. It
// starts with all mixed engines decoding and moves one rate class after another
// to prefill, best first, the last one in part, until the coverage of prefill
// equals that of decode.
func (c *capacity) servableShare(demand rates) float64 {
	if demand.prefill <= 0 && demand.decode <= 0 {
		return math.Inf(1)
	}
	split := c.fixed
	for _, m := range c.mixed {
		split.decode += m.decode
	}
	if coverage(split.decode, demand.decode) <= coverage(split.prefill, demand.prefill) {
		return coverage(split.decode, demand.decode)
	}
	for _, m := range c.mixed {
		next := rates{split.prefill + m.prefill, split.decode - m.decode}
		if coverage(next.prefill, demand.prefill) < coverage(next.decode, demand.decode) {
			split = next
			continue
		}
		fraction := (split.decode*demand.prefill - split.prefill*demand.decode) /
			(m.prefill*demand.decode + m.decode*demand.prefill)
		return coverage(split.prefill+fraction*m.prefill, demand.prefill)
	}
	return coverage(split.prefill, demand.prefill)
}

// coverage returns the share of a demand that a capacity covers.
func coverage(capacity, demand float64) float64 {
	if demand <= 0 {
		return math.Inf(1)
	}
	return math.Max(0, capacity) / demand
}
