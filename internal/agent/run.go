package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kratos/kratos/v2/transport"

	settingsv1 "github.com/marigoldwing/marigoldwing/api/settings/v1"
	"github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/process"
	"github.com/marigoldwing/marigoldwing/internal/reconcile"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
	client "github.com/marigoldwing/marigoldwing/platform"
)

// exclusiveRetry is the time between attempts to take the exclusive address.
const exclusiveRetry = 200 * time.Millisecond

// Run runs marigold-agent until it is stopped. It waits until no other agent
// of the instance holds the exclusive address, so that a paused predecessor
// and its successor never both run.
func Run(ctx context.Context, s *settingsv1.Agent, logs telemetry.Logs) error {
	p := s.GetProcess()
	exclusive, err := holdExclusive(ctx, s.GetExclusiveAddress(), logs.Events)
	if err != nil {
		return err
	}
	defer exclusive.Close()
	registry := telemetry.NewRegistry(logs.DroppedLines)
	peerMetrics := peerrpc.NewMetrics(registry)
	peers := peerrpc.NewClient(peerrpc.ClientOptions{Metrics: peerMetrics})
	defer peers.Close()
	a := New(Options{
		Name:          p.GetName(),
		FailureDomain: p.GetFailureDomain(),
		Address:       p.GetPeerAddress(),
		Incarnation:   uint64(time.Now().UnixNano()),
		Seeds:         p.GetPeers(),
		Store:         client.NewStore(p.GetPlatformUrl()),
		Peers:         peers,
		DialEngine:    engine.NewHTTP,
		LedgerMetrics: ledger.NewMetrics(registry),
		Log:           logs.Events,

		LoadInterval:      time.Duration(s.GetLoadIntervalMs()) * time.Millisecond,
		HeartbeatInterval: time.Duration(p.GetHeartbeatIntervalMs()) * time.Millisecond,
	})
	registry.MustRegister(a.spread)
	server := peerrpc.NewServer(p.GetPeerAddress(), a, peerMetrics, logs.Events)
	if err := server.Listen(); err != nil {
		return err
	}
	logs.Events.Write(logevent.Starting(p.GetFailureDomain(), p.GetHttpAddress()))
	return process.Run(ctx, process.Options{
		Name:         p.GetName(),
		Logs:         logs,
		HTTPAddress:  p.GetHttpAddress(),
		Handler:      telemetry.NewMux(telemetry.MuxOptions{Metrics: registry, State: a.State, Ready: a.Ready}),
		Servers:      []transport.Server{server},
		Loops:        []func(context.Context){a.spread.Run, a.watchInstances, a.announceLoop},
		Drain:        a.Drain,
		DrainTimeout: time.Duration(p.GetDrainTimeoutMs()) * time.Millisecond,
	})
}

// holdExclusive takes the exclusive address, waiting while another process
// holds it.
func holdExclusive(ctx context.Context, address string, log logevent.Log) (*reconcile.ExclusiveListener, error) {
	for {
		exclusive, err := reconcile.ListenExclusive(address)
		if !errors.Is(err, reconcile.ErrListenerHeld) {
			return exclusive, err
		}
		log.Write(logevent.ExclusiveAddressHeld(address, err))
		select {
		case <-time.After(exclusiveRetry):
		case <-ctx.Done():
			return nil, fmt.Errorf("agent: exclusive address %s: %w", address, ctx.Err())
		}
	}
}

// errLeaving is why an agent is not ready.
var errLeaving = errors.New("leaving")

// Ready returns why the agent takes no new work, or nil.
func (a *Agent) Ready() error {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.leaving {
		return errLeaving
	}
	return a.spread.Ready()
}

// Drain shuts all gates and returns when the attempts in flight have ended,
// or when ctx is over.
func (a *Agent) Drain(ctx context.Context) {
	a.CloseGates()
	a.announce(ctx)
	ended := make(chan struct{})
	go func() {
		a.Wait()
		a.stopLedgers()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// State returns the dump of the process.
func (a *Agent) State(context.Context) any {
	return a.spread.Heartbeat()
}
