package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/streamorigin"
)

const (
	// streamKeepers is the number of other gateways that learn of a stream, and
	// askedKeepers that of those that are asked for it, of which one may be the gateway
	// that began it.
	streamKeepers = 3
	askedKeepers  = streamKeepers + 1
	// announceDelay is how long begun streams are collected before others learn of them.
	announceDelay = 20 * time.Millisecond
	// announceTimeout bounds one such message.
	announceTimeout = 500 * time.Millisecond
	// findTimeout bounds the question for the origin of a stream.
	findTimeout = 100 * time.Millisecond
	// joinTime is how long after its start a gateway may not know the others yet. Until
	// then it asks again, each joinInterval, before it refuses a stream.
	joinTime     = 1500 * time.Millisecond
	joinInterval = 100 * time.Millisecond
)

// reasonUnknownVersion is the reason of the refusal of a stream that must not go on at
// another software version than an unknown one.
const reasonUnknownVersion = "stream_version_unknown"

// reasonVersionUnconfirmed is the reason of the refusal of a stream by a gateway that is
// cut off, so that it may not know of the version that began the stream.
const reasonVersionUnconfirmed = "stream_version_unconfirmed"

// unconfirmedRetryAfter is when a caller may come back after such a refusal, most likely
// to another gateway.
const unconfirmedRetryAfter = 500 * time.Millisecond

// reasonVersionGone is the reason of the refusal of a stream whose software version no
// server has any more.
const reasonVersionGone = "stream_version_gone"

// StreamClient calls other gateways about the origins of streams.
type StreamClient interface {
	StreamOrigins(ctx context.Context, address string, origins *peerv1.StreamOrigins) error
	FindStream(ctx context.Context, address string, find *peerv1.FindStream) (*peerv1.FindStreamReply, error)
}

// streamOrigins lets gateways remember the origins of each other's streams. It
// implements peerrpc.StreamKeeper for calls from other gateways.
type streamOrigins struct {
	g      *Gateway
	client StreamClient

	mu sync.Mutex
	// pending are the origins that other gateways will learn of, by receiver.
	pending map[originReceiver][]streamorigin.Origin
}

// originReceiver is a gateway that learns of the streams of a service.
type originReceiver struct {
	address, service string
}

// EnableStreamOrigins lets gateways remember the origins of each other's streams. The
// returned StreamKeeper serves the calls of other gateways. EnableStreamOrigins must be
// called before the first request.
func (g *Gateway) EnableStreamOrigins(client StreamClient) peerrpc.StreamKeeper {
	g.origins = &streamOrigins{g: g, client: client, pending: make(map[originReceiver][]streamorigin.Origin)}
	return g.origins
}

// keepersOf returns the addresses of at most n gateways that remember a stream.
func (o *streamOrigins) keepersOf(s streamorigin.Stream, n int) []string {
	return o.g.peers.Keepers("stream/"+strconv.FormatUint(uint64(s), 16), n)
}

// announce lets other gateways learn of streams soon.
func (o *streamOrigins) announce(service string, begun []streamorigin.Origin) {
	if o == nil || o.g.peers == nil || len(begun) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) == 0 {
		time.AfterFunc(announceDelay, o.flush)
	}
	for _, origin := range begun {
		for _, address := range o.keepersOf(origin.Stream, streamKeepers) {
			receiver := originReceiver{address, service}
			o.pending[receiver] = append(o.pending[receiver], origin)
		}
	}
}

// flush sends the pending origins.
func (o *streamOrigins) flush() {
	o.mu.Lock()
	pending := o.pending
	o.pending = make(map[originReceiver][]streamorigin.Origin)
	o.mu.Unlock()
	for receiver, begun := range pending {
		go o.send(receiver, begun)
	}
}

func (o *streamOrigins) send(receiver originReceiver, begun []streamorigin.Origin) {
	message := &peerv1.StreamOrigins{Service: receiver.service}
	for _, origin := range begun {
		message.Origins = append(message.Origins, &peerv1.StreamOrigin{Stream: uint64(origin.Stream), Version: origin.Version})
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := o.client.StreamOrigins(ctx, receiver.address, message); err != nil {
		o.g.log.Write(logevent.StreamOriginsNotSent(receiver.address, len(begun), err))
	}
}

// StreamOrigins implements peerrpc.StreamKeeper.
func (o *streamOrigins) StreamOrigins(message *peerv1.StreamOrigins) {
	s := o.g.state.Load().services[message.GetService()]
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, origin := range message.GetOrigins() {
		s.origins.Learn(o.g.now(), streamorigin.Origin{Stream: streamorigin.Stream(origin.GetStream()), Version: origin.GetVersion()})
	}
}

// FindStream implements peerrpc.StreamKeeper.
func (o *streamOrigins) FindStream(find *peerv1.FindStream) *peerv1.FindStreamReply {
	s := o.g.state.Load().services[find.GetService()]
	if s == nil {
		return &peerv1.FindStreamReply{}
	}
	a := s.findStream(o.g.now(), streamorigin.Stream(find.GetStream()))
	return &peerv1.FindStreamReply{Known: a.Known, Version: a.Version, Versions: a.Versions}
}

// ask asks other gateways for the origin of a stream, until one knows it. It returns the
// answers of those that know the service's servers.
func (o *streamOrigins) ask(ctx context.Context, service string, stream streamorigin.Stream) []streamorigin.Answer {
	if o == nil || o.g.peers == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addresses := o.keepersOf(stream, askedKeepers)
	replies := make(chan *peerv1.FindStreamReply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := o.client.FindStream(ctx, address, &peerv1.FindStream{Service: service, Stream: uint64(stream)})
			if err != nil {
				o.g.log.Write(logevent.StreamNotAsked(address, err))
				reply = nil
			}
			replies <- reply
		}()
	}
	var answers []streamorigin.Answer
	for range addresses {
		r := <-replies
		if r.GetKnown() || len(r.GetVersions()) > 0 {
			answers = append(answers, streamorigin.Answer{Version: r.GetVersion(), Known: r.GetKnown(), Versions: r.GetVersions()})
		}
		if r.GetKnown() {
			break
		}
	}
	return answers
}

// streamID returns the stream that the request begins or takes up.
func (q *request) streamID() streamorigin.Stream {
	first := q.meta.ID
	if q.meta.LastEventID != "" && q.meta.Resumes != "" {
		first = q.meta.Resumes
	}
	return streamorigin.StreamOf(q.meta.Caller, first)
}

// versionPin is the software version to which a stream is bound once it has begun.
type versionPin struct {
	pinned  bool
	version string
}

// pinVersion binds the stream to the version of the server that brings its first event,
// and lets others know.
func (q *request) pinVersion() {
	if q.route.Kind != fleet.Streaming || !q.route.Resumable {
		return
	}
	version := q.service.versionOf(q.server.ID, q.server.Version)
	q.pin = versionPin{true, version}
	begun := streamorigin.Origin{Stream: q.streamID(), Version: version, Weights: cmp.Or(q.statedWeights, q.weights)}
	if q.service.beginStream(q.g.now(), begun) {
		q.g.origins.announce(q.service.name, []streamorigin.Origin{begun})
	}
}

// takeUp binds the request to the software version that began the stream that it takes
// up. It reports whether the stream may go on; if not, it has sent the response.
func (q *request) takeUp(ctx context.Context) bool {
	if q.route.Kind != fleet.Streaming || q.meta.LastEventID == "" {
		return true
	}
	decision, origin := q.decideTakeUp(ctx)
	for isRefusal(decision) && q.g.now() < joinTime && ctx.Err() == nil {
		time.Sleep(joinInterval)
		decision, origin = q.decideTakeUp(ctx)
	}
	q.g.metrics.resumes.WithLabelValues(q.service.name, decision.String()).Inc()
	switch decision {
	case streamorigin.SameVersion:
		q.pin, q.weights = versionPin{true, origin.Version}, origin.Weights
	case streamorigin.Nowhere:
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonUnknownVersion})
		return false
	case streamorigin.Unconfirmed:
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonVersionUnconfirmed, retryAfter: unconfirmedRetryAfter})
		return false
	}
	return true
}

// isRefusal reports whether a stream is refused.
func isRefusal(d streamorigin.Decision) bool {
	return d == streamorigin.Nowhere || d == streamorigin.Unconfirmed
}

// hasBegun reports whether the caller has a part of the stream already.
func (q *request) hasBegun() bool { return q.route.Kind == fleet.Streaming && q.lastEventID != "" }

// priority returns the priority of the request at servers. A stream that has begun goes
// before others, because its caller leaves if it pauses.
func (q *request) priority() int {
	if q.hasBegun() {
		return 0
	}
	return q.basePriority()
}

// decideTakeUp decides how the stream that the request takes up may go on, from what
// this gateway and others know.
func (q *request) decideTakeUp(ctx context.Context) (streamorigin.Decision, streamorigin.Answer) {
	stream := q.streamID()
	own := q.service.findStream(q.g.now(), stream)
	answers := []streamorigin.Answer{own}
	confirmed := own.Known
	if !own.Known {
		answers = append(answers, q.g.origins.ask(ctx, q.service.name, stream)...)
		confirmed = q.g.hasVersions() && (len(answers) > 1 || q.g.confirmServers(ctx))
		own = q.service.findStream(q.g.now(), stream)
	}
	seen := streamorigin.Seen{Versions: own.Versions, MixedWeights: q.service.mixedWeights(q.g.now())}
	decision, origin := streamorigin.Decide(seen, answers, confirmed)
	q.g.log.Write(logevent.StreamTakenUp(logevent.TakeUp{
		RequestID: q.meta.ID, Service: q.service.name, Resumes: q.meta.Resumes, Decision: decision.String(),
		Version: origin.Version, Weights: origin.Weights,
		VersionsSeen: seen.Versions, MixedWeights: seen.MixedWeights, Asked: len(answers) - 1,
	}))
	return decision, origin
}

// hasVersions reports whether this gateway knows the software versions that were in
// service before it started.
func (g *Gateway) hasVersions() bool { return g.readServers == nil || g.versionsLoaded.Load() }

// confirmTimeout bounds the question to the store whether the registrations are the
// newest ones.
const confirmTimeout = 800 * time.Millisecond

// confirmServers reads the registrations anew, because no other gateway has answered. It
// reports whether the known ones are the newest.
func (g *Gateway) confirmServers(ctx context.Context) bool {
	if g.readServers == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return g.readServers(ctx)
}

// findStream returns what this gateway knows about a stream.
func (s *service) findStream(now time.Duration, stream streamorigin.Stream) streamorigin.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun, known := s.origins.Find(stream)
	return streamorigin.Answer{Version: begun.Version, Weights: begun.Weights, Known: known, Versions: s.origins.Versions(now)}
}

// beginStream records a stream and reports whether other gateways must learn of it.
func (s *service) beginStream(now time.Duration, begun streamorigin.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.Begin(now, begun)
}

// allowsGaps reports whether the service's servers usually leave numbers out between events.
func (s *service) allowsGaps() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.numbering.AllowsGaps()
}

// recordNumbering records whether a stream left numbers out.
func (s *service) recordNumbering(hasGaps bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numbering.Record(hasGaps)
}

// versionOf returns the software version of a registered server, or otherwise the given
// one. A server that has started again under its ID may have another one than when the
// request was sent.
func (s *service) versionOf(id, otherwise string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server, registered := s.find(id); registered {
		return server.Version
	}
	return otherwise
}

// hasVersion reports whether a server with a software version is registered and stays.
func (s *service) hasVersion(version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.registered, func(server fleet.Server) bool { return !server.Leaving && server.Version == version })
}

// softwareVersions returns the different software versions of servers.
func softwareVersions(servers []fleet.Server) []string {
	var versions []string
	for _, server := range servers {
		if !slices.Contains(versions, server.Version) {
			versions = append(versions, server.Version)
		}
	}
	return versions
}
