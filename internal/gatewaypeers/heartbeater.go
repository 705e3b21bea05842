package gatewaypeers

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/lease"
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
	// Generation returns the newest known generation of the store, 0 if unknown.
	Generation() uint64
}

// Options configures a Heartbeater.
type Options struct {
	Name string
	// FailureDomain of this gateway.
	FailureDomain string
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
	// OnReply is called with each reply to a heartbeat and the time since the heartbeat
	// was sent, suspension included; it may be nil.
	OnReply func(reply *peerv1.Heartbeat, elapsed time.Duration)
	// FetchConfig answers a peer that asks for a newer configuration; nil if this gateway
	// does not.
	FetchConfig func(*peerv1.FetchConfig) *peerv1.FetchConfigReply
	// Placer places prompts on behalf of peers; nil if this gateway does not.
	Placer peerrpc.Placer
	// Streams remembers the origins of streams for peers; nil if this gateway does not.
	Streams peerrpc.StreamKeeper
	// Trials decides for peers when blocked parts and requests are tried; nil if this
	// gateway does not.
	Trials peerrpc.TrialKeeper
	// Usage counts the runs of client accounts; nil if this gateway does not.
	Usage peerrpc.UsageCounter
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
	h := &Heartbeater{opts: opts, origin: time.Now(), notify: make(chan struct{}, 1), table: NewTable(opts.Name)}
	h.liveCount.Store(1)
	h.table.SetFailureDomain(opts.Name, opts.FailureDomain)
	return h
}

// LiveCount returns the number of live gateways, this one included.
func (h *Heartbeater) LiveCount() int { return int(h.liveCount.Load()) }

// SharingNames returns the names of the gateways that may be serving callers, this
// one included.
func (h *Heartbeater) SharingNames() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.SharingNames(h.now())
}

// LiveNames returns the names of the live gateways, this one included.
func (h *Heartbeater) LiveNames() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.LiveNames(h.now())
}

// Owner returns the live gateway that is responsible for a key. The address is
// empty if it is this gateway. Gateways use it to determine the coordinator of a
// service, which places the service's long prompts.
func (h *Heartbeater) Owner(key string) (name, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Owner(h.now(), key)
}

// Reachable returns the other gateways from which there was a heartbeat recently, also those
// that stop.
func (h *Heartbeater) Reachable() []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Reachable(h.now())
}

// Keepers returns the addresses of the live gateways, other than this one, that keep
// what belongs to a key, at most n of them.
func (h *Heartbeater) Keepers(key string, n int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Keepers(h.now(), key, n)
}

// Relay returns the number of known gateways, and whether this one is one of those in its
// failure domain that read the store for the others.
func (h *Heartbeater) Relay() (gateways int, isRelay bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.KnownCount(h.now()), h.table.IsRelay()
}

// NotifyPeers schedules an immediate heartbeat to some peers, to notify them of
// a change.
func (h *Heartbeater) NotifyPeers() {
	select {
	case h.notify <- struct{}{}:
	default:
	}
}

func (h *Heartbeater) now() time.Duration { return time.Since(h.origin) }

// Run registers this gateway in the store and exchanges heartbeats until ctx is
// done.
func (h *Heartbeater) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { h.keepRegistered(ctx) })
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		selectPeers := h.heartbeatPeers
		select {
		case <-ctx.Done():
			return
		case <-h.notify:
			selectPeers = h.peersToNotify
		case <-ticker.C:
		}
		for _, p := range selectPeers() {
			loops.Go(func() { h.exchange(ctx, p) })
		}
	}
}

// heartbeatPeers returns the peers of the next heartbeat round, and logs a
// change of the number of live gateways.
func (h *Heartbeater) heartbeatPeers() []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	live := int64(h.table.LiveCount(h.now()))
	if before := h.liveCount.Swap(live); before != live {
		h.opts.Log.Write(logevent.LiveGatewaysChanged(live, before))
	}
	return h.table.HeartbeatPeers(h.now())
}

func (h *Heartbeater) peersToNotify() []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.LivePeers(h.now(), maxNotifiedPeers)
}

// exchange sends one heartbeat and processes the reply.
func (h *Heartbeater) exchange(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := lease.BootTime()
	reply, err := h.opts.Client.Heartbeat(ctx, p.Address, h.heartbeat())
	if err != nil {
		if !errors.Is(err, peerrpc.ErrUnreachable) {
			// The connection may be broken without notice.
			h.opts.Client.CloseControlConnection(p.Address)
		}
		h.opts.Log.Write(logevent.PeerHeartbeatFailed(p.Name, err))
		return
	}
	if h.processHeartbeat(reply) && h.opts.OnReply != nil {
		h.opts.OnReply(reply, lease.BootTime()-sentAt)
	}
}

func (h *Heartbeater) heartbeat() *peerv1.Heartbeat {
	hb := &peerv1.Heartbeat{
		Sender:        h.opts.Name,
		SenderRole:    KindGateway,
		FailureDomain: h.opts.FailureDomain,
		Address:       h.opts.Address,
		Incarnation:   h.opts.Incarnation,
	}
	h.opts.FillHeartbeat(hb)
	return hb
}

// processHeartbeat processes a heartbeat of a peer, received as request or
// reply. It reports whether the heartbeat was used.
func (h *Heartbeater) processHeartbeat(hb *peerv1.Heartbeat) bool {
	h.mu.Lock()
	use := h.table.ObserveHeartbeat(h.now(), hb.GetSender(), hb.GetAddress(), hb.GetIncarnation(), hb.GetLeaving())
	h.table.SetFailureDomain(hb.GetSender(), hb.GetFailureDomain())
	h.mu.Unlock()
	if use {
		h.opts.OnHeartbeat(hb)
	}
	return use
}

// restoredRegisterSpread is the time over which the gateways of a fleet register
// again after the store was restored.
const restoredRegisterSpread = time.Second

// keepRegistered registers this gateway and lists the others, and does so again
// each time that the store has been restored from an older copy, which may lack
// registrations.
func (h *Heartbeater) keepRegistered(ctx context.Context) {
	registered := h.opts.Store.Generation()
	h.registerAndList(ctx)
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		generation := h.opts.Store.Generation()
		if registered == 0 {
			registered = generation
		}
		if generation == registered {
			continue
		}
		h.opts.Log.Write(logevent.GatewayRegistersAgain(generation))
		sleep(ctx, rand.N(restoredRegisterSpread))
		h.registerAndList(ctx)
		registered = generation
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

// registerAndList registers this gateway in the store and lists the others,
// until both have succeeded.
func (h *Heartbeater) registerAndList(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		err := error(nil)
		if !registered {
			err = h.register(ctx)
			registered = err == nil
		}
		if registered {
			err = h.listPeers(ctx)
		}
		if registered && err == nil {
			return
		}
		h.opts.Log.Write(logevent.GatewayDiscoveryFailed(registered, err))
		sleep(ctx, registerRetryInterval)
	}
}

// register stores this gateway's address, replacing the object of an earlier
// incarnation. If the response to a write is lost, the next attempt finds the
// object.
func (h *Heartbeater) register(ctx context.Context) error {
	value, err := proto.Marshal(&peerv1.Heartbeat{
		Sender: h.opts.Name, FailureDomain: h.opts.FailureDomain, Address: h.opts.Address, Incarnation: h.opts.Incarnation,
	})
	if err != nil {
		return fmt.Errorf("gatewaypeers: encode address: %w", err)
	}
	key := platform.Key{Kind: KindGateway, Name: h.opts.Name}
	_, err = h.opts.Store.Put(ctx, key, value, 0)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	stored, err := h.opts.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = h.opts.Store.Put(ctx, key, value, stored.Version)
	return err
}

// listPeers adds the gateways that are registered in the store.
func (h *Heartbeater) listPeers(ctx context.Context) error {
	objects, err := h.opts.Store.List(ctx, KindGateway)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range objects {
		var hb peerv1.Heartbeat
		if err := cmp.Or(o.Err, proto.Unmarshal(o.Value, &hb)); err != nil {
			h.opts.Log.Write(logevent.GatewayRegistrationMalformed(o.Key.Name, o.Version, err))
			continue
		}
		h.table.AddPeer(h.now(), hb.GetSender(), hb.GetAddress())
		h.table.SetFailureDomain(hb.GetSender(), hb.GetFailureDomain())
	}
	return nil
}
