package gateway

import (
	"context"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/registry"
)

// companion connects a gateway with the others.
type companion struct {
	g        *Gateway
	follower *registry.Follower
}

// fill writes what this gateway has in force, and at the servers, into a
// heartbeat.
func (c companion) fill(h *peerv1.Heartbeat) {
	h.Leaving = c.g.leaving.Load()
	version, revision := c.follower.Versions()
	h.ConfigRevision, h.ServersRevision = uint64(version), revision
	for _, s := range c.g.state.Load().services {
		h.Loads = append(h.Loads, loadMessages(s.ownLoads())...)
	}
}

func loadMessages(loads []placement.GatewayLoad) []*peerv1.Load {
	messages := make([]*peerv1.Load, 0, len(loads))
	for _, l := range loads {
		messages = append(messages, &peerv1.Load{
			BackendServer: l.ServerID, Running: int32(l.Requests),
			QueuedPromptTokens:          int64(l.UrgentWork + l.DeferredWork),
			QueuedPromptTokensByUrgency: []int64{int64(l.UrgentWork), int64(l.DeferredWork)},
		})
	}
	return messages
}

func readLoads(messages []*peerv1.Load) []placement.GatewayLoad {
	loads := make([]placement.GatewayLoad, 0, len(messages))
	for _, l := range messages {
		load := placement.GatewayLoad{ServerID: l.GetBackendServer(), Requests: int(l.GetRunning()), UrgentWork: int(l.GetQueuedPromptTokens())}
		if parts := l.GetQueuedPromptTokensByUrgency(); len(parts) == 2 {
			load.UrgentWork, load.DeferredWork = int(parts[0]), int(parts[1])
		}
		loads = append(loads, load)
	}
	return loads
}

// heard takes in a heartbeat of another gateway.
func (c companion) heard(h *peerv1.Heartbeat) {
	c.follower.ObservePeerVersions(int64(h.GetConfigRevision()), h.GetServersRevision())
	loads := readLoads(h.GetLoads())
	now := c.g.now()
	for _, s := range c.g.state.Load().services {
		s.peerLoads(now, h.GetSender(), loads)
	}
}

// shareInterval is the time between looks at the number of gateways.
const shareInterval = time.Second

// shareBudgets follows the number of gateways that share the retry budget.
func (g *Gateway) shareBudgets(ctx context.Context) {
	every(ctx, shareInterval, func() {
		options := g.retryOptions()
		for _, s := range g.state.Load().services {
			s.setRetryOptions(options)
		}
	})
}

// every calls f each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
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
