package gateway

import (
	"cmp"

	"github.com/marigoldwing/marigoldwing/internal/eventstream"
)

// reasonOtherWeights is the reason of attempts whose response was made with other weights
// than what it is to continue.
const reasonOtherWeights = "other weights"

// expectedWeights returns the version of the weights that the next server must have: that of
// the stream, or that of the KV cache from which it continues; empty if any will do.
func (q *request) expectedWeights(source *KVHandle) string {
	if q.weights == "" && source != nil {
		return source.Weights
	}
	return q.weights
}

// recordWeights records the version with which the latest event of a response was made, which
// began with the version stated.
func (q *request) recordWeights(stated string, events *eventstream.Splitter) {
	if !events.HasEvents() {
		return
	}
	changed := q.g.opts.Protocol.ParseWeights(events.Value())
	q.weights = cmp.Or(changed, stated, q.weights)
	q.service.recordWeights(q.server.ID, changed)
}

// recordWeights records the version of the weights that a server has stated, empty if it has
// stated none.
func (s *service) recordWeights(id, version string) {
	if version == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordWeights(id, version)
}

// refusesWeights reports whether a server may have refused an attempt because of the weights
// that it expects, in which case nothing follows for other requests. A refusal that names
// another server has another reason.
func refusesWeights(a AttemptMeta, response ResponseMeta) bool {
	isOther := response.ServerID != "" && response.ServerID != a.ServerID
	return a.Weights != "" && response.Misdirected && !isOther
}
