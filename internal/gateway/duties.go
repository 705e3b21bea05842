package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/duty"
	"github.com/marigoldwing/marigoldwing/internal/lease"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// Errors of calls to the platform for a duty.
var (
	// ErrDutyFenced: the platform has seen a higher fencing token.
	ErrDutyFenced = errors.New("platform has seen a higher fencing token")
	// ErrDutyBusy: the call had no effect and may be repeated.
	ErrDutyBusy = errors.New("platform accepts no call at present")
	// ErrDutyRefused: the call had no effect, and neither would a repeat.
	ErrDutyRefused = errors.New("platform refuses the call")
	// ErrDutyNoAnswer: the call may have had an effect, or may still have one.
	ErrDutyNoAnswer = errors.New("platform did not answer")
)

// DutyCall identifies who makes a call for a duty.
type DutyCall struct {
	// Holder is the name of the gateway that holds the duty.
	Holder string
	// Fence is its fencing token.
	Fence uint64
}

// DutyPlatform makes the calls of duties, which one gateway at a time may make. Its errors
// wrap the ErrDuty errors.
type DutyPlatform interface {
	// ReportUsage reports the runs of each client account in a window. Repeats of a
	// report with the same counts have no effect.
	ReportUsage(ctx context.Context, c DutyCall, window int64, counts map[string]int64) error
	// SetDesired orders the number of servers of a service in a failure domain.
	SetDesired(ctx context.Context, c DutyCall, service, failureDomain string, desired int) error
}

// dutyName names the lease of the duties that consist of calls to the platform. They have one
// holder together, which saves leases, and hand over together.
const dutyName = "platform-duties"

// Names of duties in the settings.
const (
	dutyUsage   = "usage_report"
	dutyScaling = "autoscale"
)

const (
	// dutyCallTimeout bounds one call to the platform.
	dutyCallTimeout = time.Second
	// minDutyCallTime is the shortest time left of a token with which a call is made.
	minDutyCallTime = 50 * time.Millisecond
	// dutyRateShare is the part of the rate which the platform accepts that is used. A
	// new holder may call within the same second as its predecessor.
	dutyRateShare = 0.5
	// lateCallTimeout is how long a call without an answer may still be carried out.
	lateCallTimeout = 12 * time.Second
	// minDutyBackoff and maxDutyBackoff bound the time between a call that failed and the
	// next.
	minDutyBackoff = 100 * time.Millisecond
	maxDutyBackoff = 2 * time.Second
)

// DutyOptions configures the duties that consist of calls to the platform.
type DutyOptions struct {
	Platform DutyPlatform
	Leases   lease.Store
	// LeaseDuration is the time within which holders must not act in the order A, B, A.
	LeaseDuration time.Duration
	// Fenced is set if the platform rejects calls with a lower fencing token than it has
	// seen.
	Fenced bool
	// CallsPerSecond is the rate of calls that the platform accepts from all gateways.
	CallsPerSecond float64
	// Members returns the gateways that may hold the duties; nil if unknown.
	Members func() []string
}

// dutyCaller makes calls to the platform while this gateway holds the duties.
type dutyCaller struct {
	g        *Gateway
	platform DutyPlatform
	duty     *duty.Duty
	clock    func() time.Duration
	fenced   bool
	// interval is the least time between two calls.
	interval time.Duration

	mu sync.Mutex
	// nextCall is the earliest time of the next call, and backoff the delay after the latest
	// failure, which doubles with each further one; 0 after a success.
	nextCall, backoff time.Duration
}

func newDutyCaller(g *Gateway, opts DutyOptions) *dutyCaller {
	return &dutyCaller{
		g: g, platform: opts.Platform, fenced: opts.Fenced, clock: g.opts.BootTime,
		interval: time.Duration(float64(time.Second) / (dutyRateShare * opts.CallsPerSecond)),
		duty: duty.New(duty.Options{
			Name: dutyName, Holder: g.opts.Name, Store: opts.Leases, TTL: opts.LeaseDuration,
			SettleAfterExpiry: opts.LeaseDuration / 4, SettleAfterRelease: settlePeriod(opts.LeaseDuration),
			Members: opts.Members, Rank: initialRank(g.opts.Name), OnRestore: g.logLeaseRestore(dutyName), Clock: g.opts.BootTime,
		}),
	}
}

// errNotHolder is returned for a call that is not made because this gateway does not hold the
// duties, or not for long enough, or because it is too early for the next call.
var errNotHolder = errors.New("not the holder of the duties, or too soon")

// call makes one call with the fencing token of a tenure of the duties. It ends the call when
// the token expires, so that nothing of it reaches the platform later.
func (c *dutyCaller) call(ctx context.Context, fence uint64, name string, do func(context.Context, DutyCall) error) error {
	if c.g.now() < c.earliest() {
		return errNotHolder
	}
	token, held := c.duty.Token()
	left := token.Until - c.clock()
	if !held || token.Fence != fence || left < minDutyCallTime {
		return errNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, min(left, dutyCallTimeout))
	defer cancel()
	err := do(ctx, DutyCall{Holder: c.g.opts.Name, Fence: fence})
	c.record(err)
	c.g.metrics.dutyCalls.WithLabelValues(name, dutyOutcome(err)).Inc()
	if errors.Is(err, ErrDutyFenced) {
		c.g.log.Write(logevent.DutySurrendered(dutyName, fence))
		c.duty.Surrender(fence)
	}
	return err
}

func (c *dutyCaller) earliest() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextCall
}

// record sets the time of the next call.
func (c *dutyCaller) record(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || errors.Is(err, ErrDutyRefused) {
		c.backoff = 0
	} else {
		c.backoff = min(max(2*c.backoff, minDutyBackoff), maxDutyBackoff)
	}
	c.nextCall = c.g.now() + max(c.interval, c.backoff)
}

// dutyOutcome returns the metric label of the outcome of a call.
func dutyOutcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, ErrDutyFenced):
		return "fenced"
	case errors.Is(err, ErrDutyBusy):
		return "busy"
	case errors.Is(err, ErrDutyRefused):
		return "refused"
	default:
		return "no_answer"
	}
}

// duties are the duties that consist of calls to the platform.
type duties struct {
	caller *dutyCaller
	// usage reports the usage of client accounts, and scaling orders servers; nil if that
	// is no duty.
	usage   *usageReporter
	scaling *scaler
}

// EnableDuties lets this gateway compete for the duties that consist of calls to the platform:
// reports of usage unless usageOptions is nil, and the scaling of services if scales is set. It
// must be called before RunDuties.
func (g *Gateway) EnableDuties(opts DutyOptions, usageOptions *UsageOptions, scales bool) {
	g.duties = &duties{caller: newDutyCaller(g, opts)}
	if scales {
		g.duties.scaling = &scaler{g: g, caller: g.duties.caller}
	}
	if usageOptions != nil {
		g.duties.usage = &usageReporter{g: g, opts: *usageOptions, caller: g.duties.caller, generation: neverRestored}
	}
}

// RunDuties performs the duties until ctx ends. It begins when a configuration requires one.
func (g *Gateway) RunDuties(ctx context.Context) {
	if g.duties == nil {
		return
	}
	for !g.needsDuties() {
		select {
		case <-time.After(dutyPollInterval):
		case <-ctx.Done():
			return
		}
	}
	var loops sync.WaitGroup
	loops.Go(func() { g.duties.caller.duty.Run(ctx) })
	if g.duties.usage != nil {
		loops.Go(func() { g.duties.usage.run(ctx) })
	}
	if g.duties.scaling != nil {
		loops.Go(func() { g.duties.scaling.run(ctx) })
	}
	loops.Wait()
}

// neverRestored is the generation of a store that has not been restored. One that states no
// generation has 0.
const neverRestored = 1

// dutyPollInterval is how often a gateway checks whether its configuration requires duties.
const dutyPollInterval = 500 * time.Millisecond

// needsDuties reports whether the configuration requires calls to the platform.
func (g *Gateway) needsDuties() bool {
	config := g.state.Load().config
	if config == nil {
		return false
	}
	return g.duties.usage != nil && config.Accounts != nil || g.duties.scaling != nil && config.Scales()
}

// DutyDump is a duty as shown in the state of a gateway.
type DutyDump struct {
	Name string `json:"name"`
	// Holder is the gateway that was last seen to hold the duty.
	Holder string `json:"holder"`
	// Held is set if that is this gateway, with a fencing token and since a time.
	Held    bool   `json:"held"`
	Fence   uint64 `json:"fence,omitempty"`
	SinceMS int64  `json:"since_ms,omitempty"`
	// LastWindow is the latest window whose usage this process has reported.
	LastWindow int64 `json:"last_window,omitempty"`
}

// dump returns the duties for the debug endpoint.
func (d *duties) dump() []DutyDump {
	if d == nil {
		return nil
	}
	dump := DutyDump{Name: dutyName, Holder: d.caller.duty.Holder()}
	fence, since, held := d.caller.duty.Held()
	if dump.Held = held; held {
		dump.Fence, dump.SinceMS = fence, (d.caller.clock() - since).Milliseconds()
	}
	if d.usage != nil {
		dump.LastWindow = d.usage.lastWindow()
	}
	return []DutyDump{dump}
}
