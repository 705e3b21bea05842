package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
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
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's idle connection is kept.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 64 << 10
	// drainMargin is added to the drain timeout, so that a drain that takes exactly as
	// long as requests are accepted is not counted as cut short.
	drainMargin = 100 * time.Millisecond
	// memoryLimitRatio is the part of the memory setting that is set as the Go
	// runtime's soft memory limit.
	memoryLimitRatio = 0.7
	// bufferRatio is the part of it that buffered answers may take, and that bodies of
	// requests may take. A buffer that grows is copied, so that more is in use for a
	// moment.
	bufferRatio = 0.2
	bytesPerMB  = 1 << 20
)

// Dependencies are the platform-specific parts of a gateway.
type Dependencies struct {
	Source   registry.Source
	Protocol Protocol
	// StageProtocol and Leases are used to change the stages of engines.
	StageProtocol StageProtocol
	Leases        lease.Store
	// Peers is the store in which gateways find each other.
	Peers gatewaypeers.Store
	// Blocks is the store that keeps the blocked parts of prompts.
	Blocks BlockStore
	// Duties makes the calls of duties; nil if there are none.
	Duties DutyPlatform
	// Usage is the store that keeps the usage ledger.
	Usage UsageStore
	// LoadSettings reads the settings again.
	LoadSettings func() (*settingsv1.Gateway, error)
	// Hangups receives a value for each SIGHUP, from the start of the process to its end.
	Hangups <-chan os.Signal
}

// Run runs marigold-gateway until ctx ends or a signal stops the process. It
// returns an error if the process could not start or serve.
func Run(ctx context.Context, s *settingsv1.Gateway, deps Dependencies, logs telemetry.Logs) error {
	if s.GetMemoryMb() > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * s.GetMemoryMb() * bytesPerMB))
	}
	log := logs.Events
	metrics := telemetry.NewRegistry(logs.DroppedLines)
	g := New(Options{
		Name:          s.GetName(),
		FailureDomain: s.GetFailureDomain(),
		Protocol:      deps.Protocol,
		StageProtocol: deps.StageProtocol,
		Log:           log,
		Registerer:    metrics,
		RetryBudget:   retryBudget(s),
		BufferBytes:   int64(bufferRatio * s.GetMemoryMb() * bytesPerMB),
		StopGrace:     seconds(s.GetStopGraceS()),

		RevocationLimit: milliseconds(s.GetRevocationLimitMs()),
	})
	schedule := g.stop.schedule
	follower := registry.NewFollower(deps.Source, bounds(s), log, g.Update)
	registerCollectors(metrics, follower, g)
	peerMetrics := peerrpc.NewMetrics(metrics)
	client := peerrpc.NewClient(peerrpc.ClientOptions{Metrics: peerMetrics})
	defer client.Close()
	configs := &configFetcher{log: log, client: client, follower: follower}
	adapter := peerAdapter{g: g, follower: follower, ctx: ctx, configs: configs}
	var heartbeater *gatewaypeers.Heartbeater
	placer := g.EnableCoordination(client, func(service string) (name, address string) { return heartbeater.Owner(service) })
	streams := g.EnableStreamOrigins(client)
	trials := g.EnableTrials(client, func(key string) (name, address string) { return heartbeater.Owner(key) })
	incarnation := uint64(time.Now().UnixNano())
	usageCounter := g.configureUsage(s, deps, incarnation)
	heartbeater = gatewaypeers.NewHeartbeater(gatewaypeers.Options{
		Name: s.GetName(), FailureDomain: s.GetFailureDomain(), Address: s.GetPeerAddress(), Incarnation: incarnation, Usage: usageCounter,
		Store: deps.Peers, Client: client, Log: log, FillHeartbeat: adapter.fillHeartbeat, OnHeartbeat: adapter.handleHeartbeat, OnReply: adapter.handleReply, FetchConfig: configs.serve, Placer: placer, Streams: streams, Trials: trials,
	})
	g.peers = heartbeater
	g.readServers = follower.ConfirmServers
	g.configAge = func() time.Duration { return follower.Confirmation().ConfigAge }
	g.serversAge = func() time.Duration { return follower.Confirmation().ServersAge }
	stageOptions := StageControllerOptions{
		Protocol: deps.StageProtocol, Leases: deps.Leases, LeaseDuration: milliseconds(s.GetOrderLeaseMs()), Members: heartbeater.SharingNames,
	}
	g.configureDuties(s, deps, client, heartbeater)
	follower.SetGatewayCount(heartbeater.LiveCount)
	follower.SetRelay(heartbeater.Relay, lease.BootTime)
	follower.SetOnChange(heartbeater.NotifyPeers)
	mux := telemetry.NewMux(telemetry.MuxOptions{
		Metrics: metrics,
		State:   func(context.Context) any { return g.State() },
		Ready:   func() error { return g.ready(follower) },
	})
	mux.HandleFunc("GET "+telemetry.PathExplain, g.serveExplain)
	log.Write(logevent.Starting(s.GetFailureDomain(), s.GetCallersAddress()))
	reloads := &reloader{g: g, follower: follower, load: deps.LoadSettings, current: s, hangups: deps.Hangups}
	return process.Run(ctx, process.Options{
		Name:        s.GetName(),
		Logs:        logs,
		HTTPAddress: s.GetCallersAddress(),
		Handler:     g,
		Servers: []transport.Server{
			auxiliaryServer(s.GetReadinessAddress(), g.readiness(follower)),
			auxiliaryServer(s.GetMetricsAddress(), mux),
			peerrpc.NewServer(s.GetPeerAddress(), heartbeater, peerMetrics, log),
		},
		Loops: []func(context.Context){
			follower.Run, heartbeater.Run, g.updateShares, g.runPoison, reloads.run,
			func(ctx context.Context) { g.KeepBlocks(ctx, deps.Blocks) },
			func(ctx context.Context) { g.KeepSoftwareVersions(ctx, deps.Blocks) },
			func(ctx context.Context) { g.RunStageControllers(ctx, stageOptions) },
			g.RunDuties,
		},
		Drain:         g.Drain,
		DrainTimeout:  schedule.AcceptUntil + drainMargin,
		StopTimeout:   schedule.CloseUntil - schedule.AcceptUntil,
		LoopTimeout:   schedule.ExitUntil - schedule.CloseUntil,
		ConfigureHTTP: configureServer,
	})
}

// hasDuty reports whether the settings name a duty that this gateway can perform.
func hasDuty(s *settingsv1.Gateway, deps Dependencies, name string) bool {
	return deps.Duties != nil && slices.Contains(s.GetDuties(), name)
}

// configureUsage lets the gateway count runs if the settings ask for reports of usage. It
// returns what serves the questions of other gateways, nil if nothing is counted.
func (g *Gateway) configureUsage(s *settingsv1.Gateway, deps Dependencies, incarnation uint64) peerrpc.UsageCounter {
	if !hasDuty(s, deps, dutyUsage) {
		return nil
	}
	g.EnableUsage(incarnation, seconds(s.GetUsageWindowS()))
	return g.usage
}

// configureDuties enables the duties that the settings name.
func (g *Gateway) configureDuties(s *settingsv1.Gateway, deps Dependencies, client UsageClient, heartbeater *gatewaypeers.Heartbeater) {
	if deps.Duties == nil {
		return
	}
	for _, name := range s.GetDuties() {
		if name != dutyUsage && name != dutyScaling {
			g.log.Write(logevent.DutyUnknown(name))
		}
	}
	options := DutyOptions{
		Platform: deps.Duties, Leases: deps.Leases, LeaseDuration: milliseconds(s.GetOrderLeaseMs()), Fenced: s.GetDutyFenced(),
		CallsPerSecond: s.GetDutyRate(), Members: heartbeater.SharingNames,
	}
	var usageOptions *UsageOptions
	if hasDuty(s, deps, dutyUsage) {
		usageOptions = &UsageOptions{
			Store: deps.Usage, Client: client, Peers: heartbeater.Reachable,
			Window: seconds(s.GetUsageWindowS()), Due: seconds(s.GetUsageDueS()),
		}
	}
	g.EnableDuties(options, usageOptions, hasDuty(s, deps, dutyScaling))
}

// bounds returns the times within which changes in the store must take effect.
func bounds(s *settingsv1.Gateway) registry.Bounds {
	config := s.GetConfigApplyMs()
	if limit := s.GetRevocationLimitMs(); limit > 0 {
		// The configuration must be confirmed that often.
		config = min(config, limit)
	}
	return registry.Bounds{Config: milliseconds(config), Leaving: milliseconds(s.GetDrainNoticeMs())}
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// retryBudget returns the retry budget shared by all gateways.
func retryBudget(s *settingsv1.Gateway) RetryBudget {
	return RetryBudget{
		Ratio:   s.GetRetryBudgetRatio() * budgetSafetyFactor,
		Reserve: s.GetRetryBudgetReserve() * budgetSafetyFactor,
		Window:  seconds(s.GetRetryBudgetWindowS()),
	}
}

// budgetSafetyFactor is the part of the configured retry budget that is used.
// Requests and their retries are counted in windows that do not coincide, so
// that using all of it could exceed the budget.
const budgetSafetyFactor = 0.8

// configureServer configures the callers' listener.
func configureServer(server *kratoshttp.Server) {
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnContext = ConnContext
}

// auxiliaryServer returns a server for readiness checks or metrics.
func auxiliaryServer(address string, handler http.Handler) transport.Server {
	server := kratoshttp.NewServer(kratoshttp.Address(address), kratoshttp.Timeout(0))
	server.Handler = handler
	return server
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Reasons for a gateway not to be ready.
var (
	errDraining      = errors.New("leaving")
	errNotConfigured = errors.New("no configuration is in force")
)

// ready returns why the gateway is not ready, or nil.
func (g *Gateway) ready(f *registry.Follower) error {
	if g.stop.hasBegun() {
		return errDraining
	}
	if !f.Ready() {
		return errNotConfigured
	}
	return nil
}

// readiness returns the handler for the load balancer's readiness checks. It
// responds on any path.
func (g *Gateway) readiness(f *registry.Follower) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if g.ready(f) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// Drain begins the stop. It makes the readiness check fail and returns once load
// balancers have had their time to notice that, or when ctx ends. The listener may be
// closed after that.
func (g *Gateway) Drain(ctx context.Context) {
	g.stop.start(g.now())
	select {
	case <-time.After(g.stop.schedule.AcceptUntil):
	case <-ctx.Done():
	}
}

// registerCollectors adds the metrics whose values are read at each scrape.
func registerCollectors(registerer prometheus.Registerer, f *registry.Follower, g *Gateway) {
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
	counter("marigold_gateway_store_stale_calls_total", "Calls to the platform's store that may miss the latest changes.", func() float64 {
		return float64(f.StaleStoreCalls())
	})
	gauge := func(name, help string, value func() float64) {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("marigold_gateway_reads_store", "1 if this gateway reads the newest state of the store for itself and others.", func() float64 {
		if f.Relays() {
			return 1
		}
		return 0
	})
	gauge("marigold_gateway_config_confirmed_age_seconds", "Time since the configuration was confirmed to be the newest one; negative if never.", func() float64 {
		return f.Confirmation().ConfigAge.Seconds()
	})
	gauge("marigold_gateway_servers_confirmed_age_seconds", "Time since the registrations were confirmed to be the newest ones; negative if never.", func() float64 {
		return f.Confirmation().ServersAge.Seconds()
	})
	counter("marigold_gateway_store_restores_total", "Restores of the platform's store from an older copy that were observed.", func() float64 {
		return float64(f.StoreRestores())
	})
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "marigold_gateway_store_generation", Help: "Generation of the platform's store; it increases with each restore.",
	}, func() float64 { return float64(f.StoreGeneration()) }))
	counter("marigold_gateway_connections_opened_total", "Connections opened to backend servers.", func() float64 {
		return float64(g.ConnectionsOpened())
	})
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "marigold_gateway_live", Help: "Gateways that live, this one included.",
	}, func() float64 { return float64(g.peers.LiveCount()) }))
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "marigold_gateway_sharing", Help: "Gateways by which limits for the whole fleet are divided, this one included.",
	}, func() float64 { return float64(len(g.sharingGateways())) }))
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "marigold_gateway_store_answer_age_seconds", Help: "Time since the store last answered.",
	}, func() float64 { return f.StoreResponseAge().Seconds() }))
}
