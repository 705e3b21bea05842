package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport"

	settingsv1 "github.com/marigoldwing/marigoldwing/api/settings/v1"
	"github.com/marigoldwing/marigoldwing/internal/apply"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/operatorapi"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/process"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
	client "github.com/marigoldwing/marigoldwing/platform"
)

// Run runs marigold-entry until ctx ends or a signal stops the process.
func Run(ctx context.Context, s *settingsv1.Entry, logs telemetry.Logs) error {
	p := s.GetProcess()
	registry := telemetry.NewRegistry(logs.DroppedLines)
	peerMetrics := peerrpc.NewMetrics(registry)
	peers := peerrpc.NewClient(peerrpc.ClientOptions{
		DataConnections: int(s.GetConnectionsPerAgent()),
		Metrics:         peerMetrics,
	})
	defer peers.Close()
	store := client.NewStore(p.GetPlatformUrl())
	e := New(Options{
		Name:          p.GetName(),
		FailureDomain: p.GetFailureDomain(),
		Region:        p.GetRegion(),
		Address:       p.GetPeerAddress(),
		Incarnation:   uint64(time.Now().UnixNano()),
		Peers:         peers,
		Store:         store,
		Seeds:         p.GetPeers(),
		Planner:       s.GetPlanner(),

		HeartbeatInterval: time.Duration(p.GetHeartbeatIntervalMs()) * time.Millisecond,
		Log:               logs.Events,
		Registerer:        registry,
	})
	registry.MustRegister(e.propagator)
	server := peerrpc.NewServer(p.GetPeerAddress(), e, peerMetrics, logs.Events)
	if err := server.Listen(); err != nil {
		return err
	}
	mux := telemetry.NewMux(telemetry.MuxOptions{Metrics: registry, State: e.State, Ready: e.Ready})
	mux.Handle("/", e.Handler())
	applier := &apply.Applier{Store: store, InForce: e.InForce, OnAccepted: e.propagator.PublishConfig}
	mux.Handle(operatorapi.PathPrefix, operatorapi.NewHandler(applier, e))
	logs.Events.Write(logevent.Starting(p.GetFailureDomain(), p.GetHttpAddress()))
	return process.Run(ctx, process.Options{
		Name:        p.GetName(),
		Logs:        logs,
		HTTPAddress: p.GetHttpAddress(),
		Handler:     http.Handler(mux),
		Servers:     []transport.Server{server},
		Loops: []func(context.Context){
			e.propagator.Run,
			e.watchAgents,
			e.line.watchProcessor,
			e.planning.run,
			func(ctx context.Context) { e.watchInstances(ctx, store) },
		},
		Drain:        e.Drain,
		DrainTimeout: time.Duration(p.GetDrainTimeoutMs()) * time.Millisecond,
	})
}

// Reasons for an entry not to be ready.
var (
	errDraining         = errors.New("leaving")
	errNotConfigured    = errors.New("no configuration is in force")
	errNoServingBackend = errors.New("no backend server has been heard for some service")
)

// Ready returns why the load balancer should send no requests to this entry, or
// nil.
func (e *Entry) Ready() error {
	if e.draining.Load() {
		return errDraining
	}
	if e.Catalog().Revision() == 0 {
		return errNotConfigured
	}
	if !e.warm.Load() {
		return errNoServingBackend
	}
	return nil
}
