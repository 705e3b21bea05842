package placement

import "time"

// ServerDump is what a table knows of one server.
type ServerDump struct {
	ID            string  `json:"id"`
	Stage         string  `json:"stage"`
	Leaving       bool    `json:"leaving"`
	OwnRequests   int     `json:"own_requests"`
	OtherRequests float64 `json:"others_requests"`
	UrgentWork    float64 `json:"own_urgent_work"`
	DeferredWork  float64 `json:"own_deferred_work"`
	Slowdown      float64 `json:"slowdown"`
	Weight        float64 `json:"weight"`
	CachedParts   int     `json:"prompt_parts"`
}

// Dump returns what the table knows of its servers.
func (t *Table) Dump(now time.Duration) []ServerDump {
	dumps := make([]ServerDump, 0, len(t.servers))
	for _, s := range t.servers {
		dumps = append(dumps, ServerDump{
			ID: s.ID, Stage: s.Stage.String(), Leaving: s.Leaving,
			OwnRequests: s.own, OtherRequests: s.others(now), UrgentWork: s.ownWork.urgent, DeferredWork: s.ownWork.deferred,
			Slowdown: s.slow(now), Weight: s.weight, CachedParts: len(s.cache.entries),
		})
	}
	return dumps
}
