// Package limits restricts clients to their sustained request rates and, under
// overload, to their fair share of the service, independently at each entry.
//
// Entries share no counters. Each entry enforces its share of every limit,
// which is the share of the service's demand that arrives at it according to
// heartbeats. A client whose requests are distributed over the entries like
// those of the whole service therefore gets its full limit in total.
//
// The caller must call:
//
//   - SetClients for each new configuration;
//   - SetShare and SetCapacity for each change of membership or demand;
//   - Admit for each request before routing, which also counts an admitted
//     request.
//
// A Limiter does no I/O, never blocks and is not safe for concurrent use: an
// entry shards it by client, each shard under its own lock with its part of the
// capacity. Times are durations since an origin that the caller fixes once.
package limits

import (
	"cmp"
	"errors"
	"math"
	"time"
)

// ErrUnknownClient is returned for a client that is not listed if unlisted
// clients are not served.
var ErrUnknownClient = errors.New("limits: unknown client")

// Client is a client account with its limits.
type Client struct {
	Name string
	// Weight is the weight in the fair share. Zero means 1.
	Weight float64
	// RequestsPerSecond is the sustained rate over all entries. Zero means no
	// limit.
	RequestsPerSecond float64
	// Burst is the number of requests admitted at once above the rate.
	Burst int
}

// ClientLookup returns a listed client by name. It must remain safe to call as
// long as the limiter is in use. Limiters of several services may share one.
type ClientLookup func(name string) (Client, bool)

// Options set the limits of clients that are not listed.
type Options struct {
	// AllowUnlisted is whether clients that are not listed are served.
	AllowUnlisted bool
	// UnlistedWeight is the weight of an unlisted client. Zero means 1.
	UnlistedWeight float64
	// MaxUnlisted bounds the number of unlisted clients with an account of
	// their own. At the bound idle accounts are evicted; if none is idle, new
	// clients share one account.
	MaxUnlisted int
	// Priorities is the number of priorities that the fair share distinguishes.
	// Zero means 1.
	Priorities int
	// LevelPeriod is the time between adjustments of the fair levels. Zero means
	// one second. A period with fewer requests than LevelRequests is prolonged,
	// because single requests say little about the load.
	LevelPeriod   time.Duration
	LevelRequests int
	// LevelMemory is the part of a period's counts that the next one starts with,
	// from 0 to below 1.
	LevelMemory float64
}

// Reason is the reason for refusing a request.
type Reason int

const (
	// ReasonNone means that the request was admitted.
	ReasonNone Reason = iota
	// ReasonRateLimit means that the client exceeds its sustained rate.
	ReasonRateLimit
	// ReasonFairShare means that the service is overloaded and the client
	// exceeds its fair share.
	ReasonFairShare
)

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Client string
	// Cost is the cost in engine seconds, or 1 for plain services.
	Cost float64
	// Priority of the request; 0 is the most urgent. Requests are not refused for
	// the sake of less urgent ones.
	Priority int
	// Seed makes the decision reproducible. It must differ between requests.
	Seed uint64
}

// Decision is the result for one request.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is the time until the client's rate allows its next request.
	// It is set for ReasonRateLimit only.
	RetryAfter time.Duration
}

// usageWindow is the time constant of the moving average of a client's usage.
const usageWindow = 5 * time.Second

// defaultLevelPeriod is the LevelPeriod of options that set none.
const defaultLevelPeriod = time.Second

// account is the state of one client. Keep it small: the memory for 12,000
// accounts is part of an entry's memory budget.
type account struct {
	weight float64
	// interval is the time between requests at the sustained rate over all
	// entries. Zero means no limit.
	interval time.Duration
	burst    int32
	listed   bool
	// tat is the theoretical arrival time of the generic cell rate algorithm
	// (GCRA).
	tat time.Duration
	// offeredRates are the moving averages of the cost per second that the client
	// requests at each priority and more urgent ones, as of updatedAt.
	offeredRates []float64
	updatedAt    time.Duration
}

// Limiter enforces the limits of the clients of one service at one entry.
type Limiter struct {
	opts     Options
	share    float64
	capacity float64
	lookup   ClientLookup
	accounts map[string]*account
	unlisted int
	// overflow is the account shared by unlisted clients beyond MaxUnlisted.
	overflow account
	// fair holds the fair level of each priority, for the period that began at
	// periodStart and has had periodRequests. Their counts include those of keptPeriod
	// before it.
	fair           []fairLevel
	levelPeriod    time.Duration
	periodStart    time.Duration
	periodRequests int
	keptPeriod     time.Duration
	evictedAt      time.Duration
}

// New returns a limiter without listed clients, with a share of 1 and unlimited
// capacity.
func New(opts Options) *Limiter {
	l := &Limiter{
		opts:        opts,
		share:       1,
		capacity:    math.Inf(1),
		lookup:      func(string) (Client, bool) { return Client{}, false },
		accounts:    make(map[string]*account),
		fair:        newFairLevels(opts.Priorities),
		levelPeriod: cmp.Or(opts.LevelPeriod, defaultLevelPeriod),
	}
	l.overflow = *l.newAccount()
	l.overflow.weight = weightOf(opts.UnlistedWeight)
	return l
}

// newAccount returns an account without usage and limits.
func (l *Limiter) newAccount() *account {
	return &account{offeredRates: make([]float64, len(l.fair))}
}

// SetClients replaces the listed clients. Clients that remain keep their usage.
// Accounts are created at a client's first request, so that memory depends on
// the number of clients that use the service.
func (l *Limiter) SetClients(lookup ClientLookup) {
	l.lookup = lookup
	l.unlisted = 0
	for name, a := range l.accounts {
		c, ok := lookup(name)
		switch {
		case ok:
			a.applyLimits(c)
		case a.listed:
			delete(l.accounts, name)
		default:
			l.unlisted++
		}
	}
}

// applyLimits gives the account the limits of a listed client.
func (a *account) applyLimits(c Client) {
	a.listed = true
	a.weight = weightOf(c.Weight)
	a.burst = int32(c.Burst)
	a.interval = 0
	if c.RequestsPerSecond > 0 {
		a.interval = time.Duration(float64(time.Second) / c.RequestsPerSecond)
	}
}

// weightOf returns the weight, or 1 if it is not set.
func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// SetShare sets the share of the service's demand that arrives at this entry,
// above 0 and up to 1. It is derived from the demand in heartbeats, or is 1 /
// entries. A share of 0 or less is ignored.
func (l *Limiter) SetShare(share float64) {
	if share > 0 {
		l.share = min(1, share)
	}
}

// SetCapacity sets the total capacity of the service's backend servers in cost
// per second. For engines it is the number that are serving, because cost is in
// engine seconds. Infinity disables the fair share.
func (l *Limiter) SetCapacity(capacity float64) { l.capacity = capacity }

// Admit decides on a request and counts it if it is admitted. The error is
// ErrUnknownClient.
func (l *Limiter) Admit(now time.Duration, r Request) (Decision, error) {
	a, err := l.account(now, r.Client)
	if err != nil {
		return Decision{}, err
	}
	if wait := a.rateWait(now); wait > 0 {
		return Decision{Reason: ReasonRateLimit, RetryAfter: wait}, nil
	}
	a.recordOffered(now, l.priority(r), r.Cost)
	if !l.withinFairShare(now, a, r, 1) {
		return Decision{Reason: ReasonFairShare}, nil
	}
	a.charge(now, l.share)
	return Decision{Admitted: true}, nil
}

// Refund reverts the counts of an admitted request that was refused later
// without having been executed. It does nothing for a client without an account
// of its own.
func (l *Limiter) Refund(now time.Duration, r Request) {
	a := l.accounts[r.Client]
	if a == nil {
		return
	}
	a.tat = max(0, a.tat-a.localInterval(l.share))
	l.refund(r)
}

// account returns the account of a client and creates it at the first request.
func (l *Limiter) account(now time.Duration, name string) (*account, error) {
	if a := l.accounts[name]; a != nil {
		return a, nil
	}
	if c, ok := l.lookup(name); ok {
		a := l.newAccount()
		a.applyLimits(c)
		l.accounts[name] = a
		return a, nil
	}
	if !l.opts.AllowUnlisted {
		return nil, ErrUnknownClient
	}
	if l.unlisted >= l.opts.MaxUnlisted {
		l.evictIdle(now)
	}
	if l.unlisted >= l.opts.MaxUnlisted {
		return &l.overflow, nil
	}
	a := l.newAccount()
	a.weight = weightOf(l.opts.UnlistedWeight)
	l.accounts[name] = a
	l.unlisted++
	return a, nil
}

// evictIdle removes the accounts of unlisted clients without recent requests. It
// does nothing if it has just done so, because it looks at all accounts.
func (l *Limiter) evictIdle(now time.Duration) {
	if now-l.evictedAt < evictInterval {
		return
	}
	l.evictedAt = now
	for name, a := range l.accounts {
		if !a.listed && now-a.updatedAt > 2*usageWindow {
			delete(l.accounts, name)
			l.unlisted--
		}
	}
}

// evictInterval is the time between evictions of idle accounts.
const evictInterval = time.Second

// localInterval returns the time between requests at the sustained rate at this
// entry.
func (a *account) localInterval(share float64) time.Duration {
	return time.Duration(float64(a.interval) / share)
}

// rateWait returns how long the client has to wait for its next request.
func (a *account) rateWait(now time.Duration) time.Duration {
	if a.interval == 0 {
		return 0
	}
	tolerance := time.Duration(a.burst) * a.interval
	return max(0, a.tat-tolerance-now)
}

// charge counts one request against the client's rate.
func (a *account) charge(now time.Duration, share float64) {
	if a.interval > 0 {
		a.tat = max(a.tat, now) + a.localInterval(share)
	}
}

// recordOffered adds the cost of a request to the moving averages of the offered
// rates.
func (a *account) recordOffered(now time.Duration, priority int, cost float64) {
	decay := math.Exp(-float64(now-a.updatedAt) / float64(usageWindow))
	for i := range a.offeredRates {
		a.offeredRates[i] *= decay
		if i >= priority {
			a.offeredRates[i] += cost / usageWindow.Seconds()
		}
	}
	a.updatedAt = now
}
