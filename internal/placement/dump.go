package placement

import "time"

// ServerDump is what a table knows of one server.
type ServerDump struct {
	ID       string  `json:"id"`
	Stage    string  `json:"stage"`
	Leaving  bool    `json:"leaving"`
	Own      int     `json:"own_requests"`
	Others   float64 `json:"others_requests"`
	Urgent   float64 `json:"own_urgent_tokens"`
	Deferred float64 `json:"own_deferred_tokens"`
	Slowdown float64 `json:"slowdown"`
	Weight   float64 `json:"weight"`
	Parts    int     `json:"prompt_parts"`
}

// Dump returns what the table knows of its servers.
func (t *Table) Dump(now time.Duration) []ServerDump {
	dumps := make([]ServerDump, 0, len(t.servers))
	for _, s := range t.servers {
		dumps = append(dumps, ServerDump{
			ID: s.ID, Stage: s.Stage.String(), Leaving: s.Leaving,
			Own: s.own, Others: s.others(now), Urgent: s.ownTokens.urgent, Deferred: s.ownTokens.deferred,
			Slowdown: s.slowdown, Weight: s.weight, Parts: len(s.parts),
		})
	}
	return dumps
}
