package gatewaypeers

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

const (
	// callTimeout bounds one exchange of heartbeats.
	callTimeout = 400 * time.Millisecond
	// registerRetryInterval is the time between attempts to register this
	// gateway in the store and to list the others.
	registerRetryInterval = time.Second
	// maxNotifiedPeers bounds the number of peers notified at once of a change.
	maxNotifiedPeers = 6
)

// KindGateway is the kind of the objects that hold the peer address of each
// gateway.
const KindGateway = "gateway"

// Store is the part of the object API used to find the peers.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	List(ctx context.Context, kind string) ([]platform.Object, error)
	Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error)
}

// Options configures a Heartbeater.
type Options struct {
	Name string
	// Address (IP:port) of the peer listener.
	Address     string
	Incarnation uint64
	Store       Store
	Client      *peerrpc.Client
	Log         logevent.Log
	// FillHeartbeat adds what this gateway has in force to an outgoing
	// heartbeat.
	FillHeartbeat func(*peerv1.Heartbeat)
	// OnHeartbeat is called with each heartbeat received from a peer, replies
	// included.
	OnHeartbeat func(*peerv1.Heartbeat)
	// Placer places prompts on behalf of peers; nil if this gateway does not.
	Placer peerrpc.Placer
}

// Heartbeater exchanges heartbeats with the other gateways and tracks which of
// them are live. It implements peerrpc.Handler and is safe for concurrent use.
type Heartbeater struct {
	opts      Options
	origin    time.Time
	liveCount atomic.Int64
	// notify requests an immediate notification of some peers.
	notify chan struct{}

	mu    sync.Mutex
	table *Table
}

// NewHeartbeater returns a Heartbeater; Run starts it.
func NewHeartbeater(opts Options) *Heartbeater {
	x := &Heartbeater{opts: opts, origin: time.Now(), notify: make(chan struct{}, 1), table: NewTable(opts.Name)}
	x.liveCount.Store(1)
	return x
}

// LiveCount returns the number of live gateways, this one included.
func (x *Heartbeater) LiveCount() int { return int(x.liveCount.Load()) }

// LiveNames returns the names of the live gateways, this one included.
func (x *Heartbeater) LiveNames() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.LiveNames(x.now())
}

// Owner returns the live gateway that is responsible for a key. The address is
// empty if it is this gateway.
func (x *Heartbeater) Owner(key string) (name, address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Owner(x.now(), key)
}

// NotifyPeers schedules an immediate heartbeat to some peers, to notify them of
// a change.
func (x *Heartbeater) NotifyPeers() {
	select {
	case x.notify <- struct{}{}:
	default:
	}
}

func (x *Heartbeater) now() time.Duration { return time.Since(x.origin) }

// Run registers this gateway in the store and exchanges heartbeats until ctx is
// done.
func (x *Heartbeater) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { x.registerAndList(ctx) })
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		selectPeers := x.heartbeatPeers
		select {
		case <-ctx.Done():
			return
		case <-x.notify:
			selectPeers = x.peersToNotify
		case <-ticker.C:
		}
		for _, p := range selectPeers() {
			loops.Go(func() { x.exchange(ctx, p) })
		}
	}
}

// heartbeatPeers returns the peers of the next heartbeat round, and logs a
// change of the number of live gateways.
func (x *Heartbeater) heartbeatPeers() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	live := int64(x.table.LiveCount(x.now()))
	if before := x.liveCount.Swap(live); before != live {
		x.opts.Log.Write(logevent.LiveGatewaysChanged(live, before))
	}
	return x.table.HeartbeatPeers(x.now())
}

func (x *Heartbeater) peersToNotify() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.LivePeers(x.now(), maxNotifiedPeers)
}

// exchange sends one heartbeat and processes the reply.
func (x *Heartbeater) exchange(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := x.opts.Client.Heartbeat(ctx, p.Address, x.heartbeat())
	if err != nil {
		if !errors.Is(err, peerrpc.ErrUnreachable) {
			// The connection may be broken without notice.
			x.opts.Client.CloseControlConnection(p.Address)
		}
		x.opts.Log.Write(logevent.PeerHeartbeatFailed(p.Name, err))
		return
	}
	x.processHeartbeat(answer)
}

func (x *Heartbeater) heartbeat() *peerv1.Heartbeat {
	h := &peerv1.Heartbeat{
		Sender:      x.opts.Name,
		SenderRole:  KindGateway,
		Address:     x.opts.Address,
		Incarnation: x.opts.Incarnation,
	}
	x.opts.FillHeartbeat(h)
	return h
}

// processHeartbeat processes a heartbeat of a peer, received as request or
// reply.
func (x *Heartbeater) processHeartbeat(h *peerv1.Heartbeat) {
	x.mu.Lock()
	use := x.table.ObserveHeartbeat(x.now(), h.GetSender(), h.GetAddress(), h.GetIncarnation(), h.GetLeaving())
	x.mu.Unlock()
	if use {
		x.opts.OnHeartbeat(h)
	}
}

// registerAndList registers this gateway in the store and lists the others,
// until both have succeeded.
func (x *Heartbeater) registerAndList(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		err := error(nil)
		if !registered {
			err = x.register(ctx)
			registered = err == nil
		}
		if registered {
			err = x.listPeers(ctx)
		}
		if registered && err == nil {
			return
		}
		x.opts.Log.Write(logevent.ListGatewaysFailed(registered, err))
		select {
		case <-time.After(registerRetryInterval):
		case <-ctx.Done():
		}
	}
}

// register stores this gateway's address, replacing the object of an earlier
// incarnation. If the response to a write is lost, the next attempt finds the
// object.
func (x *Heartbeater) register(ctx context.Context) error {
	value, err := proto.Marshal(&peerv1.Heartbeat{Sender: x.opts.Name, Address: x.opts.Address, Incarnation: x.opts.Incarnation})
	if err != nil {
		return fmt.Errorf("gatewaypeers: encode address: %w", err)
	}
	key := platform.Key{Kind: KindGateway, Name: x.opts.Name}
	_, err = x.opts.Store.Put(ctx, key, value, 0)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	stored, err := x.opts.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = x.opts.Store.Put(ctx, key, value, stored.Version)
	return err
}

// listPeers adds the gateways that are registered in the store.
func (x *Heartbeater) listPeers(ctx context.Context) error {
	objects, err := x.opts.Store.List(ctx, KindGateway)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range objects {
		var h peerv1.Heartbeat
		if err := proto.Unmarshal(o.Value, &h); err != nil {
			x.opts.Log.Write(logevent.GatewayEntryMalformed(o.Key.Name, o.Version, err))
			continue
		}
		x.table.AddPeer(x.now(), h.GetSender(), h.GetAddress())
	}
	return nil
}

// Incarnation implements peerrpc.IncarnationReporter.
func (x *Heartbeater) Incarnation() uint64 { return x.opts.Incarnation }

// Heartbeat implements peerrpc.Handler.
func (x *Heartbeater) Heartbeat(h *peerv1.Heartbeat) *peerv1.Heartbeat {
	x.processHeartbeat(h)
	return x.heartbeat()
}

// Submit implements peerrpc.Handler. Gateways do not execute attempts for
// others.
func (x *Heartbeater) Submit(_ peerrpc.FrameSender, s *peerv1.Submit) {
	x.opts.Log.Write(logevent.AttemptMisdirected(s.GetAttemptId()))
}

// Withdraw implements peerrpc.Handler.
func (x *Heartbeater) Withdraw(w *peerv1.Withdraw) *peerv1.WithdrawReply {
	return &peerv1.WithdrawReply{AttemptId: w.GetAttemptId()}
}

// Place implements peerrpc.Placer.
func (x *Heartbeater) Place(p *peerv1.Place) *peerv1.PlaceReply {
	if x.opts.Placer == nil {
		return &peerv1.PlaceReply{}
	}
	return x.opts.Placer.Place(p)
}

// PlaceEnded implements peerrpc.Placer.
func (x *Heartbeater) PlaceEnded(p *peerv1.PlaceEnded) {
	if x.opts.Placer != nil {
		x.opts.Placer.PlaceEnded(p)
	}
}

// FetchConfig implements peerrpc.Handler. The reply is empty, since gateways
// read the configuration from the store.
func (x *Heartbeater) FetchConfig(*peerv1.FetchConfig) *peerv1.FetchConfigReply {
	return &peerv1.FetchConfigReply{}
}

// FetchPlan implements peerrpc.Handler. The reply is empty, since gateways use
// no plans of peers.
func (x *Heartbeater) FetchPlan(*peerv1.FetchPlan) *peerv1.FetchPlanReply {
	return &peerv1.FetchPlanReply{}
}
