// Package limits keeps clients to their sustained rates and, under overload,
// to their fair share, at each entry by itself.
//
// No count is shared between entries. Each entry enforces its share of every
// limit: the part of the service's demand that arrives at it, which heartbeats
// tell. A client whose requests are spread as the service's are thus gets its
// whole limit over all entries.
//
// The caller's part:
//
//   - Configure with each configuration in force;
//   - SetShare and SetCapacity with each change of membership or demand;
//   - Admit for each request, before routing; it counts an admitted request.
//
// A Limiter is pure state, not safe for concurrent use: an entry shards it by
// client, each shard under its own lock with its part of the capacity. Times
// are durations since an origin that the caller fixes once.
package limits

import (
	"errors"
	"math"
	"time"
)

// ErrUnknownClient says that the client is not listed and unlisted clients
// are not served.
var ErrUnknownClient = errors.New("limits: unknown client")

// Client is an account with limits.
type Client struct {
	Name string
	// Weight in the fair share; 0 means 1.
	Weight float64
	// RequestsPerSecond sustained over all entries; 0 means no limit.
	RequestsPerSecond float64
	// Burst is the number of requests admitted at once above the rate.
	Burst int
}

// ClientLookup returns a listed client by its name. It must be safe to call as long
// as the limiter is used; limiters of several services may share one.
type ClientLookup func(name string) (Client, bool)

// Options set the limits for clients that are not listed.
type Options struct {
	// AllowUnlisted is whether clients that are not listed are served.
	AllowUnlisted bool
	// UnlistedWeight is their weight; 0 means 1.
	UnlistedWeight float64
	// MaxUnlisted bounds the unlisted clients remembered; idle ones are
	// forgotten, and those above the bound share one account.
	MaxUnlisted int
}

// Reason is why a request was refused.
type Reason int

const (
	// ReasonNone: the request was admitted.
	ReasonNone Reason = iota
	// ReasonRateLimit: the client is above its sustained rate.
	ReasonRateLimit
	// ReasonFairShare: the service is overloaded and the client is above its
	// fair share.
	ReasonFairShare
)

// Request is what a decision depends on.
type Request struct {
	Client string
	// Cost of the request in engine seconds, or 1 for plain services.
	Cost float64
	// Seed makes the decision reproducible; it must differ between requests.
	Seed uint64
}

// Decision is the decision on one request.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter tells a refused client when its rate allows the next request.
	RetryAfter time.Duration
}

// usageWindow is the time over which a client's usage is averaged.
const usageWindow = 5 * time.Second

// levelPeriod is the time between changes of the fair level.
const levelPeriod = time.Second

// account is what is kept for one client; the memory for 12,000 of them is
// part of an entry's budget.
type account struct {
	weight float64
	// interval between requests at the sustained rate, over all entries; 0
	// means no limit.
	interval time.Duration
	burst    int32
	listed   bool
	// tat is the theoretical arrival time of the GCRA.
	tat time.Duration
	// offered is the cost per second that the client asks for, averaged, as of
	// usedAt.
	offered float64
	usedAt  time.Duration
}

// Limiter decides for the clients of one service at one entry.
type Limiter struct {
	opts     Options
	share    float64
	capacity float64
	lookup   ClientLookup
	accounts map[string]*account
	unlisted int
	// overflow is shared by the unlisted clients above MaxUnlisted.
	overflow account
	fair     fairLevel
}

// New returns a limiter without clients, with the whole share and no bound on
// capacity.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:     opts,
		share:    1,
		capacity: math.Inf(1),
		lookup:   func(string) (Client, bool) { return Client{}, false },
		accounts: make(map[string]*account),
		overflow: account{weight: weightOf(opts.UnlistedWeight)},
		fair:     newFairLevel(),
	}
}

// SetClients makes the clients that lookup finds the listed ones. Clients that
// remain keep what they have used. An account is made at a client's first
// request, so that memory goes with the clients that use the service.
func (l *Limiter) SetClients(lookup ClientLookup) {
	l.lookup = lookup
	l.unlisted = 0
	for name, a := range l.accounts {
		c, ok := lookup(name)
		switch {
		case ok:
			a.list(c)
		case a.listed:
			delete(l.accounts, name)
		default:
			l.unlisted++
		}
	}
}

// list gives the account the limits of a listed client.
func (a *account) list(c Client) {
	a.listed = true
	a.weight = weightOf(c.Weight)
	a.burst = int32(c.Burst)
	a.interval = 0
	if c.RequestsPerSecond > 0 {
		a.interval = time.Duration(float64(time.Second) / c.RequestsPerSecond)
	}
}

func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// SetShare sets the part of the service's demand that arrives at this entry,
// above 0 and up to 1: by the demands that heartbeats tell, or 1 / entries.
func (l *Limiter) SetShare(share float64) {
	if share > 0 {
		l.share = min(1, share)
	}
}

// SetCapacity sets what the service's backend servers can do together, in cost
// per second: for engines their serving number, as cost is in engine seconds.
// Infinity takes the fair share out.
func (l *Limiter) SetCapacity(capacity float64) { l.capacity = capacity }

// Admit decides on a request and counts it if it is admitted. The error is
// ErrUnknownClient.
func (l *Limiter) Admit(now time.Duration, r Request) (Decision, error) {
	a, err := l.account(now, r.Client)
	if err != nil {
		return Decision{}, err
	}
	if wait := a.wait(now); wait > 0 {
		return Decision{Reason: ReasonRateLimit, RetryAfter: wait}, nil
	}
	a.offer(now, r.Cost)
	if !l.withinFairShare(now, a, r) {
		return Decision{Reason: ReasonFairShare}, nil
	}
	a.take(now, l.share)
	return Decision{Admitted: true}, nil
}

// Refund takes back what an admitted request counted, when it was refused
// later on without having run.
func (l *Limiter) Refund(now time.Duration, r Request) {
	a := l.accounts[r.Client]
	if a == nil {
		return
	}
	a.tat = max(0, a.tat-a.localInterval(l.share))
	l.fair.refund(r.Cost)
}

// account returns a client's account, and starts one at its first request.
func (l *Limiter) account(now time.Duration, name string) (*account, error) {
	if a := l.accounts[name]; a != nil {
		return a, nil
	}
	if c, ok := l.lookup(name); ok {
		a := &account{}
		a.list(c)
		l.accounts[name] = a
		return a, nil
	}
	if !l.opts.AllowUnlisted {
		return nil, ErrUnknownClient
	}
	if l.unlisted >= l.opts.MaxUnlisted {
		l.forgetIdle(now)
	}
	if l.unlisted >= l.opts.MaxUnlisted {
		return &l.overflow, nil
	}
	a := &account{weight: weightOf(l.opts.UnlistedWeight)}
	l.accounts[name] = a
	l.unlisted++
	return a, nil
}

// forgetIdle forgets unlisted clients that have used nothing for a while.
func (l *Limiter) forgetIdle(now time.Duration) {
	for name, a := range l.accounts {
		if !a.listed && now-a.usedAt > 2*usageWindow {
			delete(l.accounts, name)
			l.unlisted--
		}
	}
}

// localInterval is the interval between requests at this entry.
func (a *account) localInterval(share float64) time.Duration {
	return time.Duration(float64(a.interval) / share)
}

// wait returns how long the client's rate holds the next request back.
func (a *account) wait(now time.Duration) time.Duration {
	if a.interval == 0 {
		return 0
	}
	tolerance := time.Duration(a.burst) * a.interval
	return max(0, a.tat-tolerance-now)
}

// take counts one request against the client's rate.
func (a *account) take(now time.Duration, share float64) {
	if a.interval > 0 {
		a.tat = max(a.tat, now) + a.localInterval(share)
	}
}

// offer averages in the cost that the client asks for.
func (a *account) offer(now time.Duration, cost float64) {
	keep := math.Exp(-float64(now-a.usedAt) / float64(usageWindow))
	a.offered = a.offered*keep + cost/usageWindow.Seconds()
	a.usedAt = now
}
