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

// readinessGracePeriod is the time between the readiness check beginning to
// fail and the listener closing, in which the load balancer stops sending
// requests.
const readinessGracePeriod = 500 * time.Millisecond

const (
	// maxRefusePeriod is the longest time at the end of the drain in which an entry that
	// still gets requests refuses them, so that their callers leave before the listener
	// closes, and refuseRatio the largest part of the drain timeout.
	maxRefusePeriod = time.Second
	refuseRatio     = 4
)

// Drain makes the readiness check fail and returns when no requests are in
// flight, or when ctx ends. If requests keep arriving, it refuses them at the end.
func (e *Entry) Drain(ctx context.Context) {
	e.draining.Store(true)
	accepting, cancel := acceptingContext(ctx)
	defer cancel()
	select {
	case <-time.After(readinessGracePeriod):
	case <-accepting.Done():
	}
	e.inflight.waitQuiet(accepting, quietPeriod)
	if accepting.Err() == nil {
		return
	}
	e.refusing.Store(true)
	e.log.Write(logevent.EntryRefuses(e.inflight.count()))
	<-ctx.Done()
}

// acceptingContext returns a context that ends when requests are no longer accepted during
// a drain, which ctx bounds.
func acceptingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	end, bounded := ctx.Deadline()
	if !bounded {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, end.Add(-min(maxRefusePeriod, time.Until(end)/refuseRatio)))
}

// quietPeriod is how long no request must be in flight before the listener
// closes. A caller whose stream began before the drain has not seen a
// "Connection: close" header; the response to its next request carries it.
const quietPeriod = 200 * time.Millisecond
