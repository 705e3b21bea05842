package placement

import "time"

// ServerDump is the state of one server in a table, for debugging.
type ServerDump struct {
	ID            string  `json:"id"`
	Stage         string  `json:"stage"`
	Leaving       bool    `json:"leaving"`
	OwnRequests   int     `json:"own_requests"`
	OtherRequests float64 `json:"others_requests"`
	QueuedWork    float64 `json:"own_queued_work"`
	// Slowdown is the factor by which work takes longer than on a usual server at
	// present, LongTermSlowdown its long-term part, ObservedWeight and
	// ObservedAgeMS the weight of all observations of the server by any gateway and
	// the age of the latest (negative if there is none).
	Slowdown         float64 `json:"slowdown"`
	LongTermSlowdown float64 `json:"long_term_slowdown"`
	ObservedWeight   float64 `json:"observed_weight"`
	ObservedAgeMS    int64   `json:"observed_age_ms"`
	// StatedFactor is the factor that the server states of its instance, and
	// Crowding that of its requests.
	StatedFactor float64 `json:"stated_slowdown"`
	Crowding     float64 `json:"crowding"`
	Weight       float64 `json:"weight"`
	CachedParts  int     `json:"prompt_parts"`
}

// Dump returns the state of all servers.
func (t *Table) Dump(now time.Duration) []ServerDump {
	dumps := make([]ServerDump, 0, len(t.servers))
	for _, s := range t.servers {
		stage := t.stageFactors(now, s.Stage)
		factors, estimate := t.speedFactors(now, s, s.requests(now), stage), &s.speed.estimate
		dumps = append(dumps, ServerDump{
			ID: s.ID, Stage: s.Stage.String(), Leaving: s.Leaving,
			OwnRequests: s.ownRequests, OtherRequests: s.otherRequests(now), QueuedWork: s.queue.work(now, t.rateOf(s)/factors.total(), false).total(),
			Slowdown: factors.server / factors.usual, LongTermSlowdown: estimate.LongTerm() / factors.usual, ObservedWeight: estimate.Weight(), ObservedAgeMS: ageMilliseconds(estimate.Age(now)),
			StatedFactor: factors.stated, Crowding: factors.crowding, Weight: s.weight, CachedParts: len(s.cache.entries),
		})
	}
	return dumps
}

// ageMilliseconds returns an age in milliseconds, and -1 for a negative one, which means
// that there is none.
func ageMilliseconds(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}
