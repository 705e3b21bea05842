package gateway

import (
	"cmp"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/eventstream"
	"github.com/marigoldwing/marigoldwing/internal/streamorigin"
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

// stateWeights records the version with which a response begins.
func (q *request) stateWeights(version string) {
	q.statedWeights = version
	q.service.recordWeights(q.g.now(), q.server.ID, version)
}

// recordWeights records the version with which the latest event was made, if it is another one
// than that of the event before.
func (q *request) recordWeights(events *eventstream.Splitter) {
	changed := q.g.opts.Protocol.ParseWeights(events.Value())
	version := cmp.Or(changed, q.statedWeights, q.weights)
	if version == q.weights || !events.HasEvents() {
		return
	}
	q.weights = version
	q.service.recordWeights(q.g.now(), q.server.ID, changed)
	if q.pin.pinned {
		q.service.learnOrigin(q.g.now(), streamorigin.Origin{Stream: q.streamID(), Version: q.pin.version, Weights: version})
	}
}

// recordWeights records the version of the weights that a server has stated, empty if it has
// stated none.
func (s *service) recordWeights(now time.Duration, id, version string) {
	if version == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordWeights(id, version)
	s.origins.SeeWeights(now, version)
}

// learnOrigin records the origin of a stream.
func (s *service) learnOrigin(now time.Duration, begun streamorigin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.Learn(now, begun)
}

// mixedWeights reports whether streams may have been made with several versions of the weights.
func (s *service) mixedWeights(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.MixedWeights(now)
}

// refusesWeights reports whether a server may have refused an attempt because of the weights
// that it expects, in which case nothing follows for other requests. A refusal that names
// another server has another reason.
func refusesWeights(a AttemptMeta, response ResponseMeta) bool {
	isOther := response.ServerID != "" && response.ServerID != a.ServerID
	return a.Weights != "" && response.Misdirected && !isOther
}
