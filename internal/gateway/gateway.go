// Package gateway implements marigold-gateway, an HTTP reverse proxy for
// backend servers that have no agent. It buffers each request, chooses a
// backend server, sends the request there, and relays the complete response or
// an error response that states correctly whether the request may have been
// executed.
//
// The decisions are made by other packages: fleet holds the configuration and
// the registered servers, placement chooses a server, and retry decides about
// retries and the ejection of failing servers. This package connects them to
// sockets and clocks.
package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/marigoldwing/marigoldwing/internal/departure"
	"github.com/marigoldwing/marigoldwing/internal/drain"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/retry"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

// Options configures a Gateway.
type Options struct {
	Name          string
	FailureDomain string
	Protocol      Protocol
	// StageProtocol is used to ask an engine for its state; nil if engines are not
	// asked.
	StageProtocol StageProtocol
	Log           logevent.Log
	Registerer    prometheus.Registerer
	// RetryBudget limits the retries to each service, summed over all gateways.
	RetryBudget RetryBudget
	// BufferBytes bounds the answers that are buffered at the same time, beyond the
	// first 64 KiB of each, and likewise the bodies of requests; 0 means
	// defaultBufferBytes.
	BufferBytes int64
	// StopGrace is the time between the beginning of the gateway's stop and its kill; 0
	// means defaultStopGrace.
	StopGrace time.Duration
	// RevocationLimit is the time without confirmation of the configuration after which
	// requests that need a key are refused; 0 means never.
	RevocationLimit time.Duration
	// TimeOfDay returns this instance's time of day; nil means time.Now.
	TimeOfDay func() time.Time
	// BootTime is a clock that counts suspension; nil means lease.BootTime.
	BootTime func() time.Duration
}

// defaultBufferBytes is the BufferBytes of a gateway whose memory is not known.
const defaultBufferBytes = 64 << 20

// defaultStopGrace is the StopGrace of a gateway whose options state none.
const defaultStopGrace = 8 * time.Second

// RetryBudget is a retry budget that all gateways share.
type RetryBudget struct {
	// Ratio is the permitted number of retries per request.
	Ratio float64
	// Reserve is the largest number of retries that can be accumulated.
	Reserve float64
	// Window is the time in which Ratio and Reserve bound the retries. Zero
	// means that the reserve is only filled by requests.
	Window time.Duration
}

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	opts    Options
	log     logevent.Log
	pool    *upstream.Pool
	buffers *upstream.Buffers
	// bodyBuffers bounds the bodies of requests apart from the answers, so that neither
	// leaves no room for the other.
	bodyBuffers *upstream.Buffers
	metrics     *metrics
	startTime   time.Time
	trueClock   *trueClock
	state       atomic.Pointer[state]
	stop        *stop
	// updateMu is held while the servers of services change. registered are those of
	// the latest Update.
	updateMu   sync.Mutex
	registered []fleet.Server
	// retired are services that are missing from the configuration. They keep what is
	// known of their servers, should they come back.
	retired map[string]retiredService
	// evidenceChanged is set if there is something new about crashes of engines that
	// other gateways should learn soon.
	evidenceChanged atomic.Bool
	// seed is incremented for each retry decision, so that their jitter differs.
	seed        atomic.Uint64
	retryBudget atomic.Pointer[RetryBudget]
	// speedReportLimit bounds the reports of servers' speeds to other gateways.
	speedReportLimit *rate.Limiter
	// peers reports on the other gateways; nil if the gateway runs without peers.
	peers Peers
	// readServers reads the registrations anew and reports whether the known ones are the
	// newest; nil if the gateway runs without peers. versionsLoaded is set once the stored
	// software versions are known.
	readServers    func(ctx context.Context) bool
	versionsLoaded atomic.Bool
	// configAge returns the time since the configuration in force was confirmed to be the
	// newest one, negative if it never was; nil if the gateway runs without a store.
	configAge func() time.Duration
	// serversAge is that of the registrations.
	serversAge func() time.Duration
	// coordination lets one gateway per service place all long prompts; nil if
	// the gateway runs without peers.
	coordination *coordination
	// trials decides when blocked parts and requests are tried.
	trials *trials
	// departures are the departures that servers have stated in their answers.
	departures departures
	// origins lets gateways remember where each other's streams began; nil if the gateway
	// runs without peers.
	origins *streamOrigins
	// usage counts the runs of client accounts; nil if they are not reported.
	usage *usageCount
	// duties make the calls to the platform that one gateway makes for all; nil if there
	// are none.
	duties *duties
}

// New returns a Gateway without configuration. It refuses all requests until
// the first Update.
func New(opts Options) *Gateway {
	if opts.BootTime == nil {
		opts.BootTime = lease.BootTime
	}
	g := &Gateway{
		opts:             opts,
		log:              opts.Log,
		pool:             upstream.NewPool(func(h http.Header) string { return opts.Protocol.ResponseID(h) }),
		buffers:          upstream.NewBuffers(cmp.Or(opts.BufferBytes, defaultBufferBytes)),
		bodyBuffers:      upstream.NewBuffers(cmp.Or(opts.BufferBytes, defaultBufferBytes)),
		metrics:          newMetrics(opts.Registerer),
		startTime:        time.Now(),
		speedReportLimit: newSpeedReportLimit(),
		trueClock:        newTrueClock(opts.TimeOfDay, opts.BootTime),
		stop:             newStop(drain.NewSchedule(cmp.Or(opts.StopGrace, defaultStopGrace))),
		departures:       departures{book: departure.New(), asked: make(map[fleet.Key]bool)},
		retired:          make(map[string]retiredService),
	}
	g.trials = ownTrials(g)
	g.setRetryBudget(opts.RetryBudget)
	g.state.Store(&state{services: map[string]*service{}})
	opts.Registerer.MustRegister(loadCollector{g})
	return g
}

// ConnectionsOpened returns the number of connections to backend servers opened
// since the start.
func (g *Gateway) ConnectionsOpened() int64 { return g.pool.ConnectionsOpened() }

// setRetryBudget replaces the retry budget shared by all gateways.
func (g *Gateway) setRetryBudget(budget RetryBudget) { g.retryBudget.Store(&budget) }

// now returns the monotonic time since New.
func (g *Gateway) now() time.Duration { return time.Since(g.startTime) }

// retryOptions returns this gateway's share of the retry budget.
func (g *Gateway) retryOptions() retry.Options {
	budget := g.retryBudget.Load()
	options := retry.DefaultOptions(budget.Ratio)
	options.BudgetReserve = budget.Reserve / float64(max(len(g.sharingGateways()), minGateways))
	options.RefillTime = refillWindows * budget.Window
	return options
}

// refillWindows is the number of budget windows in which the reserve is refilled.
// In one window a gateway can then spend 1 + 1/refillWindows of its share: what it
// had saved up and what time adds, also if it is restarted in between. With
// budgetSafetyFactor that is the whole reserve.
const refillWindows = 4

// minGateways is the smallest number of gateways by which limits for the whole
// fleet are divided. Shortly after the start some peers may not be known yet, and
// dividing by too small a number would exceed the limit.
const minGateways = 4

// Peers reports on the gateways of the fleet, this one included.
type Peers interface {
	// LiveCount returns the number of live gateways.
	LiveCount() int
	// SharingNames returns the names of the gateways that may be serving callers,
	// among which limits for the whole fleet are divided.
	SharingNames() []string
	// Owner returns the live gateway that is responsible for a key; the address is
	// empty if it is this one.
	Owner(key string) (name, address string)
	// Keepers returns the addresses of at most n live gateways, other than this one, that
	// keep what belongs to a key.
	Keepers(key string, n int) []string
	// NotifyPeers sends a heartbeat to some gateways at once.
	NotifyPeers()
}

// sharingGateways returns the names of the gateways among which limits for the
// whole fleet are divided.
func (g *Gateway) sharingGateways() []string {
	if g.peers == nil {
		return []string{g.opts.Name}
	}
	return g.peers.SharingNames()
}
