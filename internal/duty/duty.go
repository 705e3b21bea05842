// Package duty lets one process at a time perform a task that no two may perform, such as
// orders to engines or calls to the platform.
//
// The right is a lease in the store. It comes with a fencing token, a number that grows each
// time that the right passes to another process or incarnation. Token is to be called directly
// before each action: it measures the lease on a clock that counts suspension, so that a
// process which was frozen or cut off finds that its right has expired.
//
// Holders never act in the order A, B, A within one lease duration. A right that was given
// up early can change hands quickly, so that its next holder waits before it acts. A right
// that has expired can't: the second change takes at least one more lease.
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/lease"
)

// Token is the permission to act.
type Token struct {
	// Fence is the fencing token. It grows with each new holder, also across a restore of
	// the store.
	Fence uint64
	// Until is when the permission ends, on lease.BootTime.
	Until time.Duration
}

// Options configures a Duty.
type Options struct {
	// Name of the duty, which names its lease.
	Name string
	// Holder is the name of this process.
	Holder string
	Store  lease.Store
	// TTL of the lease. It must not be shorter than the time within which holders must
	// not act in the order A, B, A.
	TTL time.Duration
	// SettleAfterExpiry and SettleAfterRelease are how long a new holder does not act
	// after it has acquired a lease that its predecessor let expire or gave up.
	SettleAfterExpiry, SettleAfterRelease time.Duration
	// Members returns the processes that may hold the duty; nil if they are not known.
	Members func() []string
	// Rank is this process's position among them until they are known; see
	// lease.Options.Rank.
	Rank int
	// OnRestore is that of lease.Options.
	OnRestore func(generation uint64, wait time.Duration)
	// Clock is lease.BootTime if it is nil.
	Clock func() time.Duration
}

// Duty competes for the right to perform a task. It is safe for concurrent use.
type Duty struct {
	opts Options

	mu          sync.Mutex
	participant *lease.Participant
	// surrendered is the highest fencing token that must not be used any more, and
	// release gives up the present lease; nil while Run does not run.
	surrendered uint64
	release     context.CancelFunc
}

// rankInterval is how often the rank of the process is adjusted to the members.
const rankInterval = time.Second

// New returns a Duty. Run competes for it.
func New(opts Options) *Duty {
	if opts.Clock == nil {
		opts.Clock = lease.BootTime
	}
	return &Duty{opts: opts}
}

// Run competes for the duty until ctx is done, and then gives it up.
func (d *Duty) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.runParticipant(ctx)
		if ctx.Err() == nil {
			// The duty was surrendered. The wait lets another process acquire it.
			sleep(ctx, d.opts.TTL)
		}
	}
}

// runParticipant competes with a new incarnation until the lease is surrendered or ctx is
// done. The incarnation makes sure that a later lease has a higher token.
func (d *Duty) runParticipant(ctx context.Context) {
	ctx, release := context.WithCancel(ctx)
	defer release()
	participant := lease.NewParticipant(d.opts.Store, d.opts.Name, lease.Options{
		Self: lease.Identity{Name: d.opts.Holder, Incarnation: uint64(time.Now().UnixNano())},
		TTL:  d.opts.TTL, Clock: d.opts.Clock, Rank: d.opts.Rank, OnRestore: d.opts.OnRestore,
	})
	d.mu.Lock()
	d.participant, d.release = participant, release
	d.mu.Unlock()
	go d.followMembers(ctx, participant)
	participant.Run(ctx)
}

// followMembers keeps the rank of the process in line with the members until ctx is done.
func (d *Duty) followMembers(ctx context.Context, participant *lease.Participant) {
	for ctx.Err() == nil && d.opts.Members != nil {
		participant.SetRank(lease.Rank(d.opts.Name, d.opts.Holder, d.opts.Members()))
		sleep(ctx, rankInterval)
	}
}

// Token returns the permission to act at this moment, or false if there is none.
func (d *Duty) Token() (Token, bool) {
	authority, ok := d.authority()
	if !ok {
		return Token{}, false
	}
	settle := d.opts.SettleAfterExpiry
	if authority.AfterRelease {
		settle = d.opts.SettleAfterRelease
	}
	if d.opts.Clock() < authority.Since+settle {
		return Token{}, false
	}
	return Token{Fence: authority.Term, Until: authority.Until}, true
}

// Held returns the fencing token of the lease and since when this process has held it, also
// while it does not act yet.
func (d *Duty) Held() (fence uint64, since time.Duration, held bool) {
	authority, ok := d.authority()
	return authority.Term, authority.Since, ok
}

// Holder returns the process that was last seen to hold the lease; empty if there was none.
func (d *Duty) Holder() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.participant == nil {
		return ""
	}
	return d.participant.Holder()
}

func (d *Duty) authority() (lease.Authority, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.participant == nil {
		return lease.Authority{}, false
	}
	authority, ok := d.participant.Authority()
	return authority, ok && authority.Term > d.surrendered
}

// Surrender gives up a lease whose fencing token was rejected. The token is not returned
// any more.
func (d *Duty) Surrender(fence uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fence <= d.surrendered {
		return
	}
	d.surrendered = fence
	if d.release != nil {
		d.release()
	}
}

// sleep waits for a time or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
