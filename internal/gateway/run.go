package gateway

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/prometheus/client_golang/prometheus"

	settingsv1 "github.com/marigoldwing/marigoldwing/api/settings/v1"
	"github.com/marigoldwing/marigoldwing/internal/gatewaypeers"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/process"
	"github.com/marigoldwing/marigoldwing/internal/registry"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
)

const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection may be idle.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// leaveNotice is how long callers are still taken after the readiness
	// check has begun to fail, so that the balancer turns away first. Then the
	// listener and idle connections are closed, and what runs may end.
	leaveNotice = 2500 * time.Millisecond
	// drainMargin tells a drain that has had its time from one that was cut
	// short.
	drainMargin = 100 * time.Millisecond
	// stopMargin is left of the grace when what runs has had its time.
	stopMargin = time.Second
	// releaseTime bounds the release of the lease at the end.
	releaseTime = 500 * time.Millisecond
	// memoryShare of the allowed memory is the collector's limit.
	memoryShare = 0.7
	bytesPerMB  = 1 << 20
)

// Dependencies connects a gateway to the platform's store and protocol.
type Dependencies struct {
	Source   registry.Source
	Protocol Protocol
	// StageProtocol and Leases are used to have engines change their stages.
	StageProtocol StageProtocol
	Leases        lease.Store
	// Peers is where gateways find each other.
	Peers gatewaypeers.Store
	// LoadSettings reads the settings anew.
	LoadSettings func() (*settingsv1.Gateway, error)
}

// Run runs marigold-gateway until it is stopped.
func Run(ctx context.Context, s *settingsv1.Gateway, wire Dependencies, logs telemetry.Logs) error {
	if s.GetMemoryMb() > 0 {
		debug.SetMemoryLimit(int64(memoryShare * s.GetMemoryMb() * bytesPerMB))
	}
	log := logs.Events
	metrics := telemetry.NewRegistry(logs.DroppedLines)
	g := New(Options{
		Name:          s.GetName(),
		FailureDomain: s.GetFailureDomain(),
		Protocol:      wire.Protocol,
		Log:           log,
		Registerer:    metrics,
		RetryBudget:   retryBudget(s),
	})
	follower := registry.NewFollower(wire.Source, bounds(s), log, g.Update)
	registerGauges(metrics, follower, g)
	peerMetrics := peerrpc.NewMetrics(metrics)
	client := peerrpc.NewClient(peerrpc.ClientOptions{Metrics: peerMetrics})
	defer client.Close()
	c := companion{g: g, follower: follower}
	var exchange *gatewaypeers.Heartbeater
	placer := g.EnableCoordination(client, func(service string) (name, address string) { return exchange.Owner(service) })
	exchange = gatewaypeers.NewHeartbeater(gatewaypeers.Options{
		Name: s.GetName(), Address: s.GetPeerAddress(), Incarnation: uint64(time.Now().UnixNano()),
		Store: wire.Peers, Client: client, Log: log, FillHeartbeat: c.fill, OnHeartbeat: c.heard, Placer: placer,
	})
	g.live = exchange.LiveCount
	stageOptions := StageControllerOptions{
		Protocol: wire.StageProtocol, Leases: wire.Leases, LeaseDuration: milliseconds(s.GetOrderLeaseMs()), Members: exchange.LiveNames,
	}
	follower.SetGatewayCount(exchange.LiveCount)
	follower.SetOnChange(exchange.NotifyPeers)
	mux := telemetry.NewMux(telemetry.MuxOptions{
		Metrics: metrics,
		State:   func(context.Context) any { return g.State() },
		Ready:   func() error { return g.ready(follower) },
	})
	log.Write(logevent.Starting(s.GetFailureDomain(), s.GetCallersAddress()))
	reloads := &reloader{g: g, follower: follower, load: wire.LoadSettings, current: s}
	return process.Run(ctx, process.Options{
		Name:        s.GetName(),
		Logs:        logs,
		HTTPAddress: s.GetCallersAddress(),
		Handler:     g,
		Servers: []transport.Server{
			sideServer(s.GetReadinessAddress(), g.readiness(follower)),
			sideServer(s.GetMetricsAddress(), mux),
			peerrpc.NewServer(s.GetPeerAddress(), exchange, peerMetrics, log),
		},
		Loops: []func(context.Context){
			follower.Run, exchange.Run, g.shareBudgets, reloads.run,
			func(ctx context.Context) { g.RunStageControllers(ctx, stageOptions) },
		},
		Drain:         g.Drain,
		DrainTimeout:  leaveNotice + drainMargin,
		StopTimeout:   max(leastStopTime, seconds(s.GetStopGraceS())-leaveNotice-stopMargin),
		LoopTimeout:   releaseTime,
		ConfigureHTTP: tuneServer,
	})
}

// bounds returns the times within which news from the store must take effect.
func bounds(s *settingsv1.Gateway) registry.Bounds {
	return registry.Bounds{Config: milliseconds(s.GetConfigApplyMs()), Leaving: milliseconds(s.GetDrainNoticeMs())}
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// retryBudget returns the budget that all gateways share.
func retryBudget(s *settingsv1.Gateway) RetryBudget {
	return RetryBudget{
		Ratio:   s.GetRetryBudgetRatio() * budgetUse,
		Reserve: s.GetRetryBudgetReserve() * budgetUse,
	}
}

// budgetUse is the part of the retry budget that is used, as requests and
// their repeats are counted in windows that do not match.
const budgetUse = 0.8

// tuneServer sets the limits of the callers' listener.
func tuneServer(server *kratoshttp.Server) {
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
}

func sideServer(address string, handler http.Handler) transport.Server {
	server := kratoshttp.NewServer(kratoshttp.Address(address), kratoshttp.Timeout(0))
	server.Handler = handler
	return server
}

// leastStopTime is what running requests get however short the grace is.
const leastStopTime = time.Second

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Why a gateway is not ready.
var (
	errLeaving       = errors.New("leaving")
	errNotConfigured = errors.New("no configuration is in force")
)

func (g *Gateway) ready(f *registry.Follower) error {
	if g.leaving.Load() {
		return errLeaving
	}
	if !f.Ready() {
		return errNotConfigured
	}
	return nil
}

// readiness answers the balancer on any path.
func (g *Gateway) readiness(f *registry.Follower) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if g.ready(f) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// Drain turns callers away and returns when the balancer has had the time to
// do so too. The listener is closed then.
func (g *Gateway) Drain(ctx context.Context) {
	g.leaving.Store(true)
	select {
	case <-time.After(leaveNotice):
	case <-ctx.Done():
	}
}

// registerGauges adds the metrics that are read when asked for.
func registerGauges(registerer prometheus.Registerer, f *registry.Follower, g *Gateway) {
	counter := func(name, help string, value func() float64) {
		registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
	}
	counter("marigold_gateway_store_calls_total", "Calls to the platform's store.", func() float64 {
		made, _ := f.StoreCalls()
		return float64(made)
	})
	counter("marigold_gateway_store_failures_total", "Calls to the platform's store that failed.", func() float64 {
		_, failed := f.StoreCalls()
		return float64(failed)
	})
	counter("marigold_gateway_connections_opened_total", "Connections opened to backend servers.", func() float64 {
		return float64(g.ConnectionsOpened())
	})
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "marigold_gateway_live", Help: "Gateways that live, this one included.",
	}, func() float64 { return float64(g.gateways()) }))
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "marigold_gateway_store_answer_age_seconds", Help: "Time since the store last answered.",
	}, func() float64 { return f.StoreResponseAge().Seconds() }))
}
