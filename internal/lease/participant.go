package lease

import (
	"context"
	"errors"
	"fmt"
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
	// Generation returns the newest known generation of the store, 0 if unknown.
	Generation() uint64
}

// Participant competes for the lease of one service and renews it while it
// holds it. It is safe for concurrent use.
type Participant struct {
	store   Store
	name    string
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
		name:    service,
		options: o,
		start:   time.Now(),
	}
}

// Authority returns the authority to plan at this moment, or false if this
// process does not hold the lease. A caller must ask immediately before each
// action, because the process may have been paused since the last call.
func (p *Participant) Authority() (Authority, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.store.Generation() > p.state.Generation() {
		return Authority{}, false
	}
	return p.state.Authority(p.now())
}

// Holder returns the name of the process that was last seen to hold the lease; empty if
// there was none.
func (p *Participant) Holder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.seen.Holder.Name
}

// SetRank changes the rank of the process; see Options.Rank.
func (p *Participant) SetRank(rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.Rank = rank
}

// Run competes for the lease until ctx is done, and then releases it if it is
// held.
func (p *Participant) Run(ctx context.Context) {
	action := p.step(Tick{})
	for ctx.Err() == nil {
		action = p.step(p.perform(ctx, action))
	}
	if last := p.step(Release{}); last.Kind == Write {
		p.write(context.WithoutCancel(ctx), last)
	}
}

func (p *Participant) now() time.Duration {
	if p.options.Clock != nil {
		return p.options.Clock()
	}
	return time.Since(p.start)
}

// step processes an event. If the store's generation has changed, the event may
// be of the earlier one and is replaced.
func (p *Participant) step(ev Event) Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	if generation := p.store.Generation(); generation > p.state.Generation() && ev != (Release{}) {
		ev = p.observe(generation)
	}
	next, action := Step(p.state, p.options, ev, p.now())
	p.state = next
	return action
}

// observe returns the event for a new generation, and logs it. The caller holds
// p.mu.
func (p *Participant) observe(generation uint64) Event {
	if generation > firstGeneration && p.options.OnRestore != nil {
		p.options.OnRestore(generation, p.options.ttl())
	}
	return GenerationObserved{Generation: generation}
}

// key returns the key of the lease object in a generation. A late write of an
// earlier generation can therefore not replace a lease of a later one.
func (p *Participant) key(generation uint64) platform.Key {
	name := p.name
	if generation > firstGeneration {
		name = fmt.Sprintf("%s@%d", p.name, generation)
	}
	return platform.Key{Kind: platform.KindLease, Name: name}
}

func (p *Participant) perform(ctx context.Context, a Action) Event {
	switch a.Kind {
	case Read:
		return p.read(ctx, a)
	case Write:
		return p.write(ctx, a)
	default:
		sleep(ctx, a.Until-p.now())
		return Tick{}
	}
}

func (p *Participant) read(ctx context.Context, a Action) ReadDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := p.store.Get(ctx, p.key(a.Generation))
	if errors.Is(err, platform.ErrNotFound) {
		return ReadDone{}
	}
	if err != nil {
		return ReadDone{Failed: true}
	}
	return ReadDone{Version: obj.Version, Record: decode(obj.Value)}
}

func (p *Participant) write(ctx context.Context, a Action) WriteDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := p.store.Put(ctx, p.key(a.Generation), encode(a.Record), a.WantVersion)
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

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
