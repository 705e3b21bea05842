package serverspeed

import "time"

const (
	// statedHalfLife is the half-life of the difference between what a server has stated
	// and its average: the load of shared instances changes many
	// times a second.
	statedHalfLife = 100 * time.Millisecond
	// statedAverageHalfLife and statedPrior determine the average of what it has stated.
	statedAverageHalfLife = 30 * time.Second
	statedPrior           = 2
)

// Stated is how long work takes on a server's instance as the server states it, as a
// factor of what is usual.
type Stated struct {
	// average is the mean of the stated factors less one.
	average mean
	latest  float64
	at      time.Duration
}

// Observe records a statement in percent. Zero and less mean that there is none.
func (s *Stated) Observe(now time.Duration, percent float64) {
	if !(percent > 0) {
		return
	}
	s.latest, s.at = min(max(percent/100, MinFactor), MaxFactor), now
	s.average.keep(now, statedAverageHalfLife, keptWeight)
	s.average.add(now, statedAverageHalfLife, s.latest-1, 1)
}

// Average returns the average of the statements.
func (s *Stated) Average() float64 { return 1 + s.average.value(statedPrior) }

// Factor returns the factor at present: the latest statement while it is fresh, and then
// the average.
func (s *Stated) Factor(now time.Duration) float64 {
	if s.latest == 0 {
		return 1
	}
	average := s.Average()
	if age := now - s.at; age < forgottenAfter*statedHalfLife {
		return average + (s.latest-average)*decay(age, statedHalfLife)
	}
	return average
}
