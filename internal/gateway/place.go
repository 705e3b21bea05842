package gateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// Place implements peerrpc.Placer.
func (c *coordination) Place(p *peerv1.Place) *peerv1.PlaceReply {
	s := c.g.state.Load().services[p.GetService()]
	if s == nil || c.g.stop.hasBegun() {
		return &peerv1.PlaceReply{}
	}
	_, address := c.coordinatorOf(p.GetService())
	s.setCoordinator(c.g.now(), address == "")
	choice, err := s.place(c.g.now(), p.GetSender(), p.GetNumber(), placeRequest(p))
	if err != nil {
		// The sender then chooses a server itself, and refuses the request if it
		// finds none either.
		return &peerv1.PlaceReply{}
	}
	reply := placeReply(choice)
	reply.PrefillLoads = loadsToProto(s.prefillLoads(c.g.now()))
	return reply
}

// placeRequest converts the Place message of another gateway.
func placeRequest(p *peerv1.Place) placement.Request {
	r := placement.Request{
		PromptTokens:     int(p.GetPromptTokens()),
		BodyBytes:        int(p.GetBodyBytes()),
		Exclude:          p.GetExclude(),
		FirstEventBudget: time.Duration(p.GetObjectiveMs()) * time.Millisecond,
		NoSplit:          p.GetDirectOnly(),
		OriginDomain:     p.GetFailureDomain(),
		Priority:         int(p.GetPriority()),
		Objective:        time.Duration(p.GetRouteObjectiveMs()) * time.Millisecond,
	}
	for _, part := range p.GetParts() {
		r.Parts = append(r.Parts, placement.PromptPart{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	return r
}

// placeReply converts a choice into the reply to another gateway.
func placeReply(choice placement.Choice) *peerv1.PlaceReply {
	reply := &peerv1.PlaceReply{
		Server:       choice.Server.ID,
		FetchFrom:    choice.FetchFrom,
		NewTokens:    int64(choice.UncachedTokens),
		FirstEventUs: choice.TimeToFirstEvent.Microseconds(),
		PrefilledUs:  choice.TimeToPrefilled.Microseconds(),
		LoadAgeUs:    choice.LoadAge.Microseconds(),
		Deferred:     choice.Deferred,
		Priority:     proto.Int32(int32(choice.Priority)),
	}
	if choice.Split {
		reply.PrefillServer = choice.PrefillServer.ID
	}
	return reply
}

// PlaceEnded implements peerrpc.Placer.
func (c *coordination) PlaceEnded(p *peerv1.PlaceEnded) {
	if s := c.g.state.Load().services[p.GetService()]; s != nil {
		s.placeEnded(c.g.now(), p.GetSender(), p.GetNumber(), p.GetPrefilled())
	}
}

// setCoordinator records whether this gateway is the coordinator of the
// service's long prompts.
func (s *service) setCoordinator(now time.Duration, isCoordinator bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coordinatorSince = s.sinceCoordinator(now, isCoordinator)
	s.table.SetCoordinatorSince(now, s.coordinatorSince)
}

// sinceCoordinator returns what coordinatorSince becomes if this gateway is now the
// coordinator, or is not. The caller holds s.mu.
func (s *service) sinceCoordinator(now time.Duration, isCoordinator bool) time.Duration {
	switch {
	case !isCoordinator:
		return notCoordinator
	case s.coordinatorSince == notCoordinator:
		return now
	}
	return s.coordinatorSince
}

// notCoordinator is the coordinatorSince of a gateway that is not the
// coordinator.
const notCoordinator = time.Duration(-1)

func (s *service) place(now time.Duration, gateway string, number uint64, r placement.Request) (placement.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setWeights(now, anyServer)
	return s.table.PlaceForPeer(now, gateway, number, r)
}

func (s *service) prefillLoads(now time.Duration) []placement.GatewayLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.OwnPrefillLoads(now)
}

func (s *service) setPeerPrefillLoads(now time.Duration, peer string, loads []placement.GatewayLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetPeerPrefillLoads(now, peer, loads)
}

func (s *service) placeEnded(now time.Duration, gateway string, number uint64, prefilled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordPeerPrefillEnd(now, gateway, number, prefilled)
}
