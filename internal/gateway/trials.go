package gateway

import (
	"context"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/poison"
)

// trialTimeout bounds a message about a trial to another gateway.
const trialTimeout = 100 * time.Millisecond

// TrialClient calls the gateway that decides when a blocked part or request is tried.
type TrialClient interface {
	BeginTrial(ctx context.Context, address string, begin *peerv1.BeginTrial) (*peerv1.BeginTrialReply, error)
	EndTrial(ctx context.Context, address string, end *peerv1.EndTrial) error
}

// trials lets one gateway decide when a blocked part or request is tried, at whichever
// gateway it arrives. It implements peerrpc.TrialKeeper for calls from other gateways.
type trials struct {
	g      *Gateway
	client TrialClient
	// ownerOf returns the gateway that decides on a key; the address is empty if it is
	// this one.
	ownerOf func(key string) (name, address string)
}

// ownTrials are the trials of a gateway that decides alone.
func ownTrials(g *Gateway) *trials {
	return &trials{g: g, ownerOf: func(string) (name, address string) { return g.opts.Name, "" }}
}

// EnableTrials lets one gateway decide when a blocked part or request is tried. ownerOf
// returns the gateway that decides on a key; its address is empty if it is this one. The
// returned TrialKeeper serves the calls of other gateways. EnableTrials must be called
// before the first request.
func (g *Gateway) EnableTrials(client TrialClient, ownerOf func(key string) (name, address string)) peerrpc.TrialKeeper {
	g.trials = &trials{g: g, client: client, ownerOf: ownerOf}
	return g.trials
}

// owner returns the address of the gateway that decides on trials of a trait, empty if
// it is this one.
func (t *trials) owner(service string, trait poison.Trait) string {
	_, address := t.ownerOf("trial/" + service + "/" + traitText(trait))
	return address
}

// begin reports whether a request may now try a blocked trait.
func (t *trials) begin(ctx context.Context, s *service, trait poison.Trait) bool {
	address := t.owner(s.name, trait)
	if address == "" {
		return s.beginTrial(t.g.now(), trait)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply, err := t.client.BeginTrial(ctx, address, &peerv1.BeginTrial{Service: s.name, Trait: uint64(trait)})
	if err != nil {
		t.g.log.Write(logevent.TrialMessageFailed(address, err))
		return false
	}
	return reply.GetGranted()
}

// end records how a trial ended.
func (t *trials) end(s *service, trait poison.Trait, answered bool) {
	address := t.owner(s.name, trait)
	if address == "" {
		t.record(s, trait, answered)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	if err := t.client.EndTrial(ctx, address, &peerv1.EndTrial{Service: s.name, Trait: uint64(trait), Answered: answered}); err != nil {
		t.g.log.Write(logevent.TrialMessageFailed(address, err))
	}
}

// record records how a trial ended on which this gateway decides.
func (t *trials) record(s *service, trait poison.Trait, answered bool) {
	if block, lifted := s.endTrial(t.g.now(), trait, answered); lifted {
		t.g.blockChanged(s, block, poisonFromSelf)
	}
}

// BeginTrial implements peerrpc.TrialKeeper.
func (t *trials) BeginTrial(begin *peerv1.BeginTrial) *peerv1.BeginTrialReply {
	s := t.g.state.Load().services[begin.GetService()]
	if s == nil {
		return &peerv1.BeginTrialReply{}
	}
	return &peerv1.BeginTrialReply{Granted: s.beginTrial(t.g.now(), poison.Trait(begin.GetTrait()))}
}

// EndTrial implements peerrpc.TrialKeeper.
func (t *trials) EndTrial(end *peerv1.EndTrial) {
	if s := t.g.state.Load().services[end.GetService()]; s != nil {
		t.record(s, poison.Trait(end.GetTrait()), end.GetAnswered())
	}
}
