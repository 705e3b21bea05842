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

// exclusiveRetry is the time between attempts to acquire the exclusive address.
const exclusiveRetry = 200 * time.Millisecond

// Run runs marigold-agent until ctx ends or a signal stops the process. It first
// waits until no other agent of the instance holds the exclusive address, so that
// a paused predecessor and its successor never run at the same time.
func Run(ctx context.Context, s *settingsv1.Agent, logs telemetry.Logs) error {
	p := s.GetProcess()
	exclusive, err := acquireExclusive(ctx, s.GetExclusiveAddress(), logs.Events)
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
	registry.MustRegister(a.propagator)
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
		Loops:        []func(context.Context){a.propagator.Run, a.watchInstances, a.announceLoop},
		Drain:        a.Drain,
		DrainTimeout: time.Duration(p.GetDrainTimeoutMs()) * time.Millisecond,
	})
}

// acquireExclusive acquires the exclusive address, waiting while another process
// holds it.
func acquireExclusive(ctx context.Context, address string, log logevent.Log) (*reconcile.ExclusiveListener, error) {
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

// errDraining is why an agent is not ready.
var errDraining = errors.New("leaving")

// Ready returns why the agent accepts no new work, or nil.
func (a *Agent) Ready() error {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.draining {
		return errDraining
	}
	return a.propagator.Ready()
}

// Drain closes all gates and returns when no attempts are in flight and the
// ledgers are stored, or when ctx ends.
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

// State returns the current state for the debug endpoint.
func (a *Agent) State(context.Context) any {
	return a.propagator.Heartbeat()
}
