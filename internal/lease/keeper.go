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

// callTimeout bounds one call to the store.
const callTimeout = 2 * time.Second

// Store is the part of the object API that the lease needs.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error)
}

// Participant takes part in the lease of one service. It is safe for concurrent
// use.
type Participant struct {
	store   Store
	key     platform.Key
	options Options
	start   time.Time

	mu    sync.Mutex
	state State
}

// NewParticipant returns a keeper; Run has it take part.
func NewParticipant(store Store, service string, o Options) *Participant {
	return &Participant{
		store:   store,
		key:     platform.Key{Kind: platform.KindLease, Name: service},
		options: o,
		start:   time.Now(),
	}
}

// Authority returns the right to plan at this moment. A caller asks right
// before each act, as the process may have been paused since it last asked.
func (k *Participant) Authority() (Authority, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Authority(k.now())
}

// SetRank changes the process's place among those that may plan.
func (k *Participant) SetRank(rank int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.options.Rank = rank
}

// Run takes part until ctx is done, then gives the lease up if it is held.
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
		panic(err) // the record has no field that can't be encoded
	}
	return value
}

// decode reads a stored record. One that can't be read counts as a record
// without a holder, which a conditional write replaces.
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
