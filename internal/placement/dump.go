package placement

import "time"

// ServerDump is the state of one server in a table, for debugging.
type ServerDump struct {
	ID       string  `json:"id"`
	Stage    string  `json:"stage"`
	Leaving  bool    `json:"leaving"`
	Own      int     `json:"own_requests"`
	Others   float64 `json:"others_requests"`
	Urgent   float64 `json:"own_urgent_work"`
	Deferred float64 `json:"own_deferred_work"`
	Slowdown float64 `json:"slowdown"`
	Weight   float64 `json:"weight"`
	Parts    int     `json:"prompt_parts"`
}

// Dump returns the state of all servers.
func (t *Table) Dump(now time.Duration) []ServerDump {
	dumps := make([]ServerDump, 0, len(t.servers))
	for _, s := range t.servers {
		dumps = append(dumps, ServerDump{
			ID: s.ID, Stage: s.Stage.String(), Leaving: s.Leaving,
			Own: s.ownRequests, Others: s.otherRequests(now), Urgent: s.ownBacklog.urgent, Deferred: s.ownBacklog.deferred,
			Slowdown: s.currentSlowdown(now), Weight: s.weight, Parts: len(s.cache.entries),
		})
	}
	return dumps
}
