package serverspeed

import (
	"math"
	"time"
)

// mean is a mean of observations whose weights decay with their age. The mean itself
// does not change while nothing is added. Additions commute, as sums do.
type mean struct {
	// weight and total are the sums of the weights and of the weighted values, as of at.
	weight, total float64
	at            time.Duration
}

// decay returns the share of a weight that is left after some time.
func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// add adds observations that were made at a time.
func (m *mean) add(at, halfLife time.Duration, value, weight float64) {
	if at < m.at {
		weight *= decay(m.at-at, halfLife)
	} else {
		left := decay(at-m.at, halfLife)
		m.weight, m.total, m.at = m.weight*left, m.total*left, at
	}
	m.weight += weight
	m.total += value * weight
}

// bound reduces the weight to a maximum and keeps the mean.
func (m *mean) bound(weight float64) {
	if m.weight > weight {
		m.total *= weight / m.weight
		m.weight = weight
	}
}

// keep raises the weight at a time to a minimum, but not above what it was, and keeps
// the mean.
func (m *mean) keep(at, halfLife time.Duration, least float64) {
	left := decay(at-m.at, halfLife)
	if least = min(least, m.weight); at > m.at && m.weight*left < least {
		m.total *= least / m.weight
		m.weight, m.at = least, at
	}
}

// value returns the mean, drawn towards 0 as if there was an observation of 0 with the
// given weight.
func (m *mean) value(prior float64) float64 {
	if m.weight+prior <= 0 {
		return 0
	}
	return m.total / (m.weight + prior)
}

// valueAt is value at a later time, when the observations weigh less.
func (m *mean) valueAt(now, halfLife time.Duration, prior float64) float64 {
	// Avoids the power for servers that nobody has used for a while.
	elapsed := now - m.at
	if m.weight == 0 || elapsed > forgottenAfter*halfLife {
		return 0
	}
	left := decay(elapsed, halfLife)
	return m.total * left / (m.weight*left + prior)
}

// forgottenAfter is the number of half-lives after which less than a hundredth of an
// observation is left.
const forgottenAfter = 7
