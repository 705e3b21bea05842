package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// callTimeout bounds one store call.
const callTimeout = 2 * time.Second

// Store is the part of the object API that the lease needs.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error)
}

// Participant competes for the lease of one service and renews it while it
// holds it. It is safe for concurrent use.
type Participant struct {
	store   Store
	key     platform.Key
	options Options
	start   time.Time

	mu    sync.Mutex
	state State
}

// NewParticipant returns a participant for the lease of a service; Run starts
// it.
func NewParticipant(store Store, service string, o Options) *Participant {
	return &Participant{
		store:   store,
		key:     platform.Key{Kind: platform.KindLease, Name: service},
		options: o,
		start:   time.Now(),
	}
}

// Authority returns the authority to plan at this moment, or false if this
// process does not hold the lease. A caller must ask immediately before each
// action, because the process may have been paused since the last call.
func (k *Participant) Authority() (Authority, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Authority(k.now())
}

// SetRank changes the rank of the process; see Options.Rank.
func (k *Participant) SetRank(rank int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.options.Rank = rank
}

// Run takes part until ctx is done, and then releases the lease if it is held.
func (k *Participant) Run(ctx context.Context) {
	action := k.step(Tick{})
	for ctx.Err() == nil {
		action = k.step(k.perform(ctx, action))
	}
	if last := k.step(Release{}); last.Kind == Write {
		k.write(context.WithoutCancel(ctx), last)
	}
}

func (k *Participant) now() time.Duration {
	if k.options.Clock != nil {
		return k.options.Clock()
	}
	return time.Since(k.start)
}

func (k *Participant) step(ev Event) Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, action := Step(k.state, k.options, ev, k.now())
	k.state = next
	return action
}

func (k *Participant) perform(ctx context.Context, a Action) Event {
	switch a.Kind {
	case Read:
		return k.read(ctx)
	case Write:
		return k.write(ctx, a)
	default:
		sleep(ctx, a.Until-k.now())
		return Tick{}
	}
}

func (k *Participant) read(ctx context.Context) ReadDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := k.store.Get(ctx, k.key)
	if errors.Is(err, platform.ErrNotFound) {
		return ReadDone{}
	}
	if err != nil {
		return ReadDone{Failed: true}
	}
	return ReadDone{Version: obj.Version, Record: decode(obj.Value)}
}

func (k *Participant) write(ctx context.Context, a Action) WriteDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := k.store.Put(ctx, k.key, encode(a.Record), a.WantVersion)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return WriteDone{Outcome: Written, Version: obj.Version}
	case errors.As(err, &conflict):
		return WriteDone{Outcome: Conflict}
	case errors.Is(err, platform.ErrUnavailable):
		return WriteDone{Outcome: Unavailable}
	default:
		return WriteDone{Outcome: Unknown}
	}
}

func encode(r Record) []byte {
	value, err := proto.Marshal(&peerv1.Lease{
		Holder:      r.Holder.Name,
		Incarnation: r.Holder.Incarnation,
		Term:        r.Term,
		Nonce:       r.Nonce,
		TtlMs:       r.TTL.Milliseconds(),
	})
	if err != nil {
		panic(err) // every record can be encoded
	}
	return value
}

// decode parses a stored record. One that cannot be parsed is treated as a
// record without a holder, so that it is replaced by a conditional write.
func decode(value []byte) Record {
	var l peerv1.Lease
	if proto.Unmarshal(value, &l) != nil {
		return Record{}
	}
	return Record{
		Holder: Identity{Name: l.GetHolder(), Incarnation: l.GetIncarnation()},
		Term:   l.GetTerm(),
		Nonce:  l.GetNonce(),
		TTL:    time.Duration(l.GetTtlMs()) * time.Millisecond,
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
