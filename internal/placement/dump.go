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
	Slowdown      float64 `json:"slowdown"`
	Weight        float64 `json:"weight"`
	CachedParts   int     `json:"prompt_parts"`
}

// Dump returns the state of all servers.
func (t *Table) Dump(now time.Duration) []ServerDump {
	dumps := make([]ServerDump, 0, len(t.servers))
	for _, s := range t.servers {
		dumps = append(dumps, ServerDump{
			ID: s.ID, Stage: s.Stage.String(), Leaving: s.Leaving,
			OwnRequests: s.ownRequests, OtherRequests: s.otherRequests(now), QueuedWork: s.queue.work(now, t.rateOf(s)/s.currentSlowdown(now), false).total(),
			Slowdown: s.currentSlowdown(now), Weight: s.weight, CachedParts: len(s.cache.entries),
		})
	}
	return dumps
}
