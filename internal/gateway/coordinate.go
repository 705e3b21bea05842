package gateway

import (
	"context"
	"sync/atomic"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/placement"
)

const (
	// placeTimeout bounds a Place call to the coordinator. When it expires, this
	// gateway chooses a server itself.
	placeTimeout = 40 * time.Millisecond
	// coordinatorBackoff is how long a coordinator that failed to answer is not
	// called again.
	coordinatorBackoff = 500 * time.Millisecond
	// placeEndedTimeout bounds the notification that a placed prompt's prefill
	// has ended.
	placeEndedTimeout = 500 * time.Millisecond
)

// PlaceClient calls the coordinator at another gateway.
type PlaceClient interface {
	Place(ctx context.Context, address string, place *peerv1.Place) (*peerv1.PlaceReply, error)
	PlaceEnded(ctx context.Context, address string, ended *peerv1.PlaceEnded) error
}

// coordination lets one gateway, the coordinator, place the long prompts of a
// service for all gateways, so that each placement takes the others into
// account. It implements peerrpc.Placer for calls from other gateways.
type coordination struct {
	g      *Gateway
	client PlaceClient
	// coordinatorOf returns the coordinator of a service; the address is empty if
	// it is this gateway.
	coordinatorOf func(service string) (name, address string)

	// lastNumber is the number of the last Place message. Together with the
	// sender it identifies a placement.
	lastNumber atomic.Uint64
	backoff    peerBackoff
}

// EnableCoordination lets one gateway per service, the coordinator, place its
// long prompts. coordinatorOf returns the coordinator of a service; its address
// is empty if it is this gateway. The returned Placer serves the calls of other
// gateways. EnableCoordination must be called before the first request.
func (g *Gateway) EnableCoordination(client PlaceClient, coordinatorOf func(service string) (name, address string)) peerrpc.Placer {
	g.coordination = &coordination{g: g, client: client, coordinatorOf: coordinatorOf}
	return g.coordination
}

// remotePlacement is a placement made by another gateway, which is to be
// notified when the prefill ends.
type remotePlacement struct {
	address string
	ended   *peerv1.PlaceEnded
}

// choose selects the server for the next attempt. Long prompts are placed by
// the coordinator of the service; if it returns no usable choice, this gateway
// chooses itself.
func (q *request) choose(ctx context.Context) (placement.Choice, error) {
	name, address, coordinated := q.coordinator()
	if !coordinated {
		return q.service.choose(q.g.now(), q.placementRequest())
	}
	q.service.setCoordinator(q.g.now(), address == "")
	placedBy := placementSelf
	if address != "" {
		if choice, ok := q.g.coordination.askCoordinator(ctx, q, name, address); ok {
			q.g.metrics.placements.WithLabelValues(placementCoordinator).Inc()
			return choice, nil
		}
		placedBy = placementFallback
	}
	q.g.metrics.placements.WithLabelValues(placedBy).Inc()
	q.placedBy = q.g.opts.Name
	return q.service.choose(q.g.now(), q.placementRequest())
}

// coordinator returns the coordinator that places the request, with an empty address if it
// is this gateway. It reports false if the request is placed without a coordinator.
func (q *request) coordinator() (name, address string, coordinated bool) {
	c := q.g.coordination
	if c == nil || q.service.engineSpec() == nil || q.meta.PromptTokens < placement.MinCoordinatedTokens || q.pin.pinned {
		return "", "", false
	}
	name, address = c.coordinatorOf(q.service.name)
	return name, address, true
}

// askCoordinator has the coordinator place the request. It reports whether the
// coordinator returned a choice that this gateway can use.
func (c *coordination) askCoordinator(ctx context.Context, q *request, name, address string) (placement.Choice, bool) {
	if !c.backoff.elapsed(c.g.now(), name) {
		return placement.Choice{}, false
	}
	place := c.placeMessage(q)
	q.pendingPlacement = &remotePlacement{address: address, ended: &peerv1.PlaceEnded{Service: place.Service, Sender: place.Sender, Number: place.Number}}
	placeCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	reply, err := c.client.Place(placeCtx, address, place)
	if err != nil {
		if ctx.Err() == nil {
			// Otherwise the caller has disconnected or the deadline has passed,
			// which is no failure of the coordinator.
			c.coordinatorFailed(name, err)
		}
		q.notifyPlaceEnded(false)
		return placement.Choice{}, false
	}
	if c.backoff.reset(name) {
		c.g.log.Write(logevent.CoordinatorRecovered(name))
	}
	q.service.setPeerPrefillLoads(c.g.now(), name, loadsFromProto(reply.GetPrefillLoads()))
	choice, ok := q.service.choiceFromReply(c.g.now(), reply, q.priority())
	if !ok {
		q.notifyPlaceEnded(false)
		return choice, false
	}
	q.placedBy = name
	return choice, true
}

// coordinatorFailed starts the backoff of a coordinator that did not answer.
func (c *coordination) coordinatorFailed(name string, err error) {
	if c.backoff.start(c.g.now(), name) {
		c.g.log.Write(logevent.CoordinatorUnreachable(name, err))
	}
}

// placeMessage returns the Place message for a request.
func (c *coordination) placeMessage(q *request) *peerv1.Place {
	r := q.placementRequest()
	r.Exclude = append(q.service.heldServers(c.g.now()), r.Exclude...)
	place := &peerv1.Place{
		Service:          q.service.name,
		Number:           c.lastNumber.Add(1),
		Sender:           c.g.opts.Name,
		FailureDomain:    c.g.opts.FailureDomain,
		PromptTokens:     int64(r.PromptTokens),
		BodyBytes:        int64(r.BodyBytes),
		ObjectiveMs:      r.FirstEventBudget.Milliseconds(),
		Exclude:          r.Exclude,
		DirectOnly:       r.NoSplit,
		Priority:         int32(r.Priority),
		RouteObjectiveMs: r.Objective.Milliseconds(),
	}
	for _, p := range r.Parts {
		place.Parts = append(place.Parts, &peerv1.PromptPart{Id: p.ID, Tokens: int64(p.Tokens)})
	}
	return place
}

// notifyPlaceEnded notifies the coordinator that placed the request, if any,
// that the prompt has been prefilled or will not be.
func (q *request) notifyPlaceEnded(prefilled bool) {
	if q.pendingPlacement == nil {
		return
	}
	placed := q.pendingPlacement
	q.pendingPlacement = nil
	placed.ended.Prefilled = prefilled
	go q.g.coordination.sendPlaceEnded(placed)
}

func (c *coordination) sendPlaceEnded(placed *remotePlacement) {
	ctx, cancel := context.WithTimeout(context.Background(), placeEndedTimeout)
	defer cancel()
	if err := c.client.PlaceEnded(ctx, placed.address, placed.ended); err != nil {
		c.g.log.Write(logevent.PlaceEndedNotSent(placed.address, err))
	}
}

// choiceFromReply converts a coordinator's reply. It reports whether this
// gateway knows the chosen servers and considers them usable.
func (s *service) choiceFromReply(now time.Duration, r *peerv1.PlaceReply, ownPriority int) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := placement.Choice{
		FetchFrom:        r.GetFetchFrom(),
		UncachedTokens:   int(r.GetNewTokens()),
		TimeToFirstEvent: time.Duration(r.GetFirstEventUs()) * time.Microsecond,
		TimeToPrefilled:  time.Duration(r.GetPrefilledUs()) * time.Microsecond,
		LoadAge:          time.Duration(r.GetLoadAgeUs()) * time.Microsecond,
		Deferred:         r.GetDeferred(),
		Priority:         replyPriority(r, ownPriority),
		Split:            r.GetPrefillServer() != "",
	}
	s.setWeights(now, s.limits.Allows)
	var ok bool
	if c.Server, ok = s.usable(now, r.GetServer()); !ok {
		return c, false
	}
	if c.Split {
		c.PrefillServer, ok = s.usable(now, r.GetPrefillServer())
	}
	return c, ok
}

// replyPriority returns the priority of a prompt at its engine. A coordinator of
// an earlier version does not report it; the request's own priority is used then.
func replyPriority(r *peerv1.PlaceReply, ownPriority int) int {
	if r.Priority == nil {
		return ownPriority
	}
	return int(r.GetPriority())
}

// usable returns a server and whether it may receive a request. The caller
// holds s.mu.
func (s *service) usable(now time.Duration, id string) (fleet.Server, bool) {
	server, registered := s.find(id)
	return server, registered && s.table.Usable(now, id)
}
