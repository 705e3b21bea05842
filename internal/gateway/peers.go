package gateway

import (
	"context"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/registry"
	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// peerAdapter connects the gateway with the heartbeats exchanged between
// gateways.
type peerAdapter struct {
	g        *Gateway
	follower *registry.Follower
	// ctx ends with the process. It bounds the fetches of configurations that heartbeats
	// start.
	ctx     context.Context
	configs *configFetcher
}

// fillHeartbeat adds this gateway's configuration revision, registration
// revision, loads at the servers, what it has observed of them and its time of day to a
// heartbeat.
func (a peerAdapter) fillHeartbeat(h *peerv1.Heartbeat) {
	h.Leaving = a.g.stop.hasBegun()
	confirmation := a.follower.Confirmation()
	h.ConfigRevision, h.StoreAgeMs = uint64(confirmation.ConfigVersion), ageToProto(confirmation.ConfigAge)
	h.ServersGeneration, h.ServersRevision = confirmation.ChangeRevision.Generation(), confirmation.ChangeRevision.Number()
	h.ServersAgeMs = ageToProto(confirmation.ServersAge)
	for _, s := range a.g.state.Load().services {
		h.Loads = append(h.Loads, loadsToProto(s.ownLoads(a.g.now()))...)
		h.ServerLimits = append(h.ServerLimits, limitsToProto(s.limitReports(a.g.now()))...)
	}
	h.ServerSpeeds = a.g.speedReports(a.g.now())
	h.ServerDepartures = departuresToProto(a.g.departures.reports(a.g.now()))
	h.PoisonReports = a.g.poisonReports()
	// Last, because the rest takes time. It is the instance's own time of day and not the
	// estimate, which would make the gateways' clocks depend on each other.
	h.UnixUs = a.g.trueClock.timeOfDay().UnixMicro()
}

// ageToProto returns an age in milliseconds, rounded up, plus one; 0 for a negative one,
// which means that there is none.
func ageToProto(age time.Duration) uint64 {
	if age < 0 {
		return 0
	}
	return uint64((age+time.Millisecond-1)/time.Millisecond) + 1
}

// ageFromProto is the inverse of ageToProto.
func ageFromProto(ms uint64) time.Duration {
	return time.Duration(ms)*time.Millisecond - time.Millisecond
}

// handleReply processes the reply to a heartbeat that was sent elapsed ago.
func (a peerAdapter) handleReply(h *peerv1.Heartbeat, elapsed time.Duration) {
	a.g.trueClock.observe(h.GetSender(), h.GetUnixUs(), elapsed)
	a.follower.ObserveConfirmation(registry.Confirmation{
		ConfigVersion: int64(h.GetConfigRevision()), ConfigAge: ageFromProto(h.GetStoreAgeMs()),
		ChangeRevision: revision.Join(h.GetServersGeneration(), h.GetServersRevision()), ServersAge: ageFromProto(h.GetServersAgeMs()),
	}, elapsed)
}

func loadsToProto(loads []placement.GatewayLoad) []*peerv1.Load {
	messages := make([]*peerv1.Load, 0, len(loads))
	for _, l := range loads {
		messages = append(messages, &peerv1.Load{
			BackendServer: l.ServerID, Running: int32(l.Requests),
			InServicePromptTokens:        int64(l.Work.InService),
			QueuedPromptTokensByPriority: waitingToProto(l.Work.Waiting),
		})
	}
	return messages
}

// waitingToProto converts the waiting work by priority, without the zeros at its
// end.
func waitingToProto(waiting [placement.PriorityLevels]float64) []int64 {
	tokens := make([]int64, 0, len(waiting))
	for _, work := range waiting {
		tokens = append(tokens, int64(work))
	}
	for len(tokens) > 0 && tokens[len(tokens)-1] == 0 {
		tokens = tokens[:len(tokens)-1]
	}
	return tokens
}

func loadsFromProto(messages []*peerv1.Load) []placement.GatewayLoad {
	loads := make([]placement.GatewayLoad, 0, len(messages))
	for _, l := range messages {
		load := placement.GatewayLoad{ServerID: l.GetBackendServer(), Requests: int(l.GetRunning())}
		load.Work.InService = float64(l.GetInServicePromptTokens())
		for i, tokens := range l.GetQueuedPromptTokensByPriority() {
			if i < placement.PriorityLevels {
				load.Work.Waiting[i] = float64(tokens)
			}
		}
		loads = append(loads, load)
	}
	return loads
}

// handleHeartbeat processes a heartbeat of another gateway.
func (a peerAdapter) handleHeartbeat(h *peerv1.Heartbeat) {
	a.follower.ObservePeerVersions(int64(h.GetConfigRevision()), revision.Join(h.GetServersGeneration(), h.GetServersRevision()))
	loads := loadsFromProto(h.GetLoads())
	speeds := speedsFromProto(h.GetServerSpeeds())
	now := a.g.now()
	for _, s := range a.g.state.Load().services {
		s.setPeerLoads(now, h.GetSender(), loads)
		a.g.mergeSpeeds(now, s, h.GetSender(), speeds)
		a.g.mergeLimits(s, h)
		a.g.mergeDepartures(s, h)
	}
	a.configs.observe(a.ctx, h)
	a.g.mergePoison(h.GetSender(), h.GetPoisonReports())
}

// shareInterval is how often this gateway's shares of limits for the whole fleet
// are adjusted to the other gateways.
const shareInterval = time.Second

// updateShares keeps this gateway's shares of the retry budgets and of the servers'
// limits in line with the other gateways until ctx ends.
func (g *Gateway) updateShares(ctx context.Context) {
	runEvery(ctx, shareInterval, func() {
		options, gateways := g.retryOptions(), g.sharingGateways()
		for _, s := range g.state.Load().services {
			s.setRetryOptions(g.now(), options)
			s.setGateways(g.now(), gateways)
		}
	})
}

// runEvery calls f at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
