package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/placement"
)

const (
	// placeTimeout bounds the question; a gateway that can't be asked in time
	// chooses by itself.
	placeTimeout = 40 * time.Millisecond
	// placePause is how long a gateway that did not answer is not asked.
	placePause = 500 * time.Millisecond
	// placeEndedTimeout bounds the word of a prompt's end.
	placeEndedTimeout = 500 * time.Millisecond
)

// PlaceClient asks other gateways to place prompts.
type PlaceClient interface {
	Place(ctx context.Context, address string, place *peerv1.Place) (*peerv1.PlaceReply, error)
	PlaceEnded(ctx context.Context, address string, ended *peerv1.PlaceEnded) error
}

// coordination has the long prompts of a service placed by one gateway for
// all. It implements peerrpc.Placer for the others.
type coordination struct {
	g      *Gateway
	client PlaceClient
	// owner returns the gateway that places the prompts of a service; the
	// address is empty for this one.
	owner func(service string) (name, address string)

	number  atomic.Uint64
	silence silence
}

// EnableCoordination has the long prompts of each service placed by the gateway that
// owner names; its address is empty for this one. It returns what answers the
// other gateways. Call it before the first request.
func (g *Gateway) EnableCoordination(client PlaceClient, owner func(service string) (name, address string)) peerrpc.Placer {
	g.coordination = &coordination{g: g, client: client, owner: owner}
	return g.coordination
}

// placedBy is where the end of a placed prompt is told.
type placedBy struct {
	address string
	ended   *peerv1.PlaceEnded
}

// choose chooses where the request goes next.
func (q *request) choose(ctx context.Context) (placement.Choice, error) {
	c := q.g.coordination
	if c == nil || q.service.engine == nil || q.call.PromptTokens < placement.MinCoordinatedTokens {
		return q.service.choose(q.g.now(), q.wanted())
	}
	name, address := c.owner(q.service.name)
	q.service.setPlacesAll(q.g.now(), address == "")
	by := placedHere
	if address != "" {
		if choice, ok := c.ask(ctx, q, name, address); ok {
			q.g.metrics.placements.WithLabelValues(placedElsewhere).Inc()
			return choice, nil
		}
		by = placedAlone
	}
	q.g.metrics.placements.WithLabelValues(by).Inc()
	q.placedBy = q.g.opts.Name
	return q.service.choose(q.g.now(), q.wanted())
}

// ask has another gateway place the request. It reports whether there is a
// choice that this gateway can follow.
func (c *coordination) ask(ctx context.Context, q *request, name, address string) (placement.Choice, bool) {
	if !c.silence.over(c.g.now(), name) {
		return placement.Choice{}, false
	}
	place := c.message(q)
	q.placed = &placedBy{address: address, ended: &peerv1.PlaceEnded{Service: place.Service, Sender: place.Sender, Number: place.Number}}
	bounded, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	reply, err := c.client.Place(bounded, address, place)
	if err != nil {
		if ctx.Err() == nil {
			// Otherwise the caller has left or its time is over.
			c.lost(name, err)
		}
		q.endPlaced(false)
		return placement.Choice{}, false
	}
	if c.silence.ends(name) {
		c.g.log.Write(logevent.CoordinatorRecovered(name))
	}
	q.service.peerPrefillLoads(c.g.now(), name, readLoads(reply.GetPrefillLoads()))
	choice, ok := q.service.choiceOf(c.g.now(), reply)
	if !ok {
		q.endPlaced(false)
		return choice, false
	}
	q.placedBy = name
	return choice, true
}

// lost leaves a gateway that did not answer alone for a while.
func (c *coordination) lost(name string, err error) {
	if c.silence.begins(c.g.now(), name) {
		c.g.log.Write(logevent.CoordinatorUnreachable(name, err))
	}
}

// message returns the question where a request is to go.
func (c *coordination) message(q *request) *peerv1.Place {
	wanted := q.wanted()
	place := &peerv1.Place{
		Service:       q.service.name,
		Number:        c.number.Add(1),
		Sender:        c.g.opts.Name,
		FailureDomain: c.g.opts.FailureDomain,
		PromptTokens:  int64(wanted.PromptTokens),
		BodyBytes:     int64(wanted.BodyBytes),
		ObjectiveMs:   wanted.FirstEventBudget.Milliseconds(),
		Exclude:       wanted.Exclude,
		DirectOnly:    wanted.NoSplit,
	}
	for _, p := range wanted.Parts {
		place.Parts = append(place.Parts, &peerv1.PromptPart{Id: p.ID, Tokens: int64(p.Tokens)})
	}
	return place
}

// endPlaced tells the gateway that placed the request that its prompt has been
// prefilled, or will not be.
func (q *request) endPlaced(prefilled bool) {
	if q.placed == nil {
		return
	}
	placed := q.placed
	q.placed = nil
	placed.ended.Prefilled = prefilled
	go q.g.coordination.tellEnd(placed)
}

func (c *coordination) tellEnd(placed *placedBy) {
	ctx, cancel := context.WithTimeout(context.Background(), placeEndedTimeout)
	defer cancel()
	if err := c.client.PlaceEnded(ctx, placed.address, placed.ended); err != nil {
		c.g.log.Write(logevent.PlaceEndedNotSent(placed.address, err))
	}
}

// choiceOf translates another gateway's choice. It reports whether this one
// knows the chosen servers and would use them.
func (s *service) choiceOf(now time.Duration, r *peerv1.PlaceReply) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := placement.Choice{
		FetchFrom:        r.GetFetchFrom(),
		UncachedTokens:   int(r.GetNewTokens()),
		TimeToFirstEvent: time.Duration(r.GetFirstEventUs()) * time.Microsecond,
		TimeToPrefilled:  time.Duration(r.GetPrefilledUs()) * time.Microsecond,
		LoadAge:          time.Duration(r.GetLoadAgeUs()) * time.Microsecond,
		Deferred:         r.GetDeferred(),
		Split:            r.GetPrefillServer() != "",
	}
	s.setWeights(now)
	var ok bool
	if c.Server, ok = s.usable(now, r.GetServer()); !ok {
		return c, false
	}
	if c.Split {
		c.PrefillServer, ok = s.usable(now, r.GetPrefillServer())
	}
	return c, ok
}

// usable returns a server that may take a request; s.mu is held.
func (s *service) usable(now time.Duration, id string) (fleet.Server, bool) {
	i := slices.IndexFunc(s.known, func(server fleet.Server) bool { return server.ID == id })
	if i < 0 || !s.table.Usable(now, id) {
		return fleet.Server{}, false
	}
	return s.known[i], true
}
