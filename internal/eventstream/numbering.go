package eventstream

// minStreams is the number of streams from which on their numbering is judged.
const minStreams = 8

// Numbering counts how the streams of a service number their events. The zero Numbering has
// seen none. It is not safe for concurrent use.
type Numbering struct {
	streams, withGaps int
}

// Record records a stream of at least two numbered events.
func (n *Numbering) Record(hasGaps bool) {
	n.streams++
	if hasGaps {
		n.withGaps++
	}
}

// AllowsGaps reports whether numbers are usually left out: in more than half of the streams.
func (n *Numbering) AllowsGaps() bool { return n.streams >= minStreams && 2*n.withGaps > n.streams }
