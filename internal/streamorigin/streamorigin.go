// Package streamorigin decides at which software version of its servers, and with which
// version of the model's weights, a stream may go on that a caller takes up again.
//
// Servers of several software versions may serve one service, and a stream may only go
// on at the version that began it. The gateway that began it may be gone, so that
// gateways notify some others of the streams that they begin while there is more than
// one version.
//
// The package does no I/O, never blocks and takes all times as arguments. They are
// durations since an origin that the caller fixes once. An Origins is not safe for
// concurrent use.
package streamorigin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Memory is the least time for which the origin of a stream is known. It exceeds the
	// time that callers wait for a stream.
	Memory = 30 * time.Second
	// maxStreams bounds the streams that are remembered from each half of the time.
	maxStreams = 1 << 15
)

// Stream identifies a stream among all gateways.
type Stream uint64

// StreamOf returns the stream that a request of a caller began.
func StreamOf(caller, requestID string) Stream {
	return Stream(xxhash.Sum64String(requestID + "\x00" + caller))
}

// Origin is the software version at which a stream began, and the version of the weights
// with which its latest event was made; empty if not known.
type Origin struct {
	Stream  Stream
	Version string
	Weights string
}

// Origins holds what one gateway knows about the streams of one service.
type Origins struct {
	// registered are the versions of the servers that are registered now, and seen is
	// when servers of each version were last registered.
	registered []string
	seen       map[string]time.Duration
	// seenWeights is when servers stated each version of the weights.
	seenWeights map[string]time.Duration
	// recent and older are the origins of streams, by the half of the time in which the
	// gateway learned of them.
	recent, older map[Stream]Origin
	// own are those of recent and older that this gateway began.
	ownRecent, ownOlder []Origin
	rotatedAt           time.Duration
}

// New returns an Origins without streams.
func New(now time.Duration) *Origins {
	return &Origins{
		seen: make(map[string]time.Duration), seenWeights: make(map[string]time.Duration),
		recent: make(map[Stream]Origin), rotatedAt: now,
	}
}

// SetVersions records which software versions are registered now. It returns the
// streams that other gateways must learn of because there is now more than one version.
func (o *Origins) SetVersions(now time.Duration, versions []string) []Origin {
	wasMixed := o.Mixed(now)
	for _, v := range slices.Concat(o.registered, versions) {
		o.seen[v] = now
	}
	o.registered = versions
	for v, at := range o.seen {
		if now-at > Memory {
			delete(o.seen, v)
		}
	}
	if wasMixed || !o.Mixed(now) {
		return nil
	}
	return slices.Concat(o.ownOlder, o.ownRecent)
}

// Remember records versions whose servers were registered before this gateway started,
// perhaps until a moment ago.
func (o *Origins) Remember(now time.Duration, versions []string) {
	for _, v := range versions {
		o.seen[v] = now
	}
}

// Versions returns the software versions of the servers that are registered or were
// so within Memory, in order.
func (o *Origins) Versions(now time.Duration) []string {
	versions := slices.Clone(o.registered)
	for v, at := range o.seen {
		if now-at <= Memory {
			versions = append(versions, v)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Mixed reports whether streams that are still read may have begun at several versions.
func (o *Origins) Mixed(now time.Duration) bool { return len(o.Versions(now)) > 1 }

// Begin records a stream that this gateway has begun or resumed. It reports
// whether other gateways must learn of it.
func (o *Origins) Begin(now time.Duration, begun Origin) bool {
	o.Learn(now, begun)
	o.ownRecent = append(o.ownRecent, begun)
	return o.Mixed(now)
}

// Learn records the origin of a stream.
func (o *Origins) Learn(now time.Duration, begun Origin) {
	if now-o.rotatedAt >= Memory || len(o.recent) >= maxStreams {
		o.older, o.recent = o.recent, make(map[Stream]Origin)
		o.ownOlder, o.ownRecent = o.ownRecent, nil
		o.rotatedAt = now
	}
	o.recent[begun.Stream] = begun
}

// Find returns the origin of a stream, if it is known.
func (o *Origins) Find(s Stream) (begun Origin, known bool) {
	if begun, known = o.recent[s]; !known {
		begun, known = o.older[s]
	}
	return begun, known
}

// SeeWeights records that a server has stated a version of the weights.
func (o *Origins) SeeWeights(now time.Duration, weights string) {
	o.seenWeights[weights] = now
	for w, at := range o.seenWeights {
		if now-at > Memory {
			delete(o.seenWeights, w)
		}
	}
}

// MixedWeights reports whether streams that are still read may have been made with several
// versions of the weights.
func (o *Origins) MixedWeights(now time.Duration) bool {
	versions := 0
	for _, at := range o.seenWeights {
		if now-at <= Memory {
			versions++
		}
	}
	return versions > 1
}

// Answer is what another gateway says about a stream.
type Answer struct {
	Version string
	// Weights is the version of the stream's weights; empty if not known.
	Weights string
	Known   bool
	// Versions are the versions that it has seen.
	Versions []string
}

// Decision says how a stream that is taken up again may go on.
type Decision int

const (
	// AnyVersion: there is only one.
	AnyVersion Decision = iota
	// SameVersion: at servers of the version that began it.
	SameVersion
	// Nowhere: it is not known which version began it, or with which weights, and there are
	// several.
	Nowhere
	// Unconfirmed: it is not known which version began it, and nobody has confirmed that
	// there is only the one that this gateway has seen.
	Unconfirmed
)

var decisionNames = map[Decision]string{AnyVersion: "any_version", SameVersion: "same_version", Nowhere: "nowhere", Unconfirmed: "unconfirmed"}

// String returns the decision as written to logs and metrics.
func (d Decision) String() string { return decisionNames[d] }

// Seen is what a gateway has seen of the servers of a service.
type Seen struct {
	// Versions are the software versions.
	Versions []string
	// MixedWeights is set if they have stated several versions of the weights.
	MixedWeights bool
}

// Decide returns how a stream may go on, and its origin as far as it is known, from the
// answers of other gateways and from what this one has seen. confirmed is whether another
// gateway or the store has answered since the stream was taken up.
func Decide(seen Seen, answers []Answer, confirmed bool) (Decision, Answer) {
	versions := slices.Clone(seen.Versions)
	known := Answer{}
	for _, a := range answers {
		if a.Known {
			known = a
			break
		}
		versions = append(versions, a.Versions...)
	}
	slices.Sort(versions)
	severalVersions := len(slices.Compact(versions)) > 1
	switch {
	case seen.MixedWeights && known.Weights == "":
		return Nowhere, Answer{}
	case known.Known:
		return SameVersion, known
	case severalVersions:
		return Nowhere, Answer{}
	case !confirmed:
		return Unconfirmed, Answer{}
	}
	return AnyVersion, Answer{}
}
