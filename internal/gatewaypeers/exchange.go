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
	// listRetry is the time between tries to enter and list the gateways in
	// the store, until both have been done.
	listRetry = time.Second
	// newsPartners bounds whom news is told at once.
	newsPartners = 6
)

// KindGateway has an object for each gateway, with its peer address.
const KindGateway = "gateway"

// Store is the part of the object API that finds the peers.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	List(ctx context.Context, kind string) ([]platform.Object, error)
	Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error)
}

// Options of an Exchange.
type Options struct {
	Name        string
	Address     string
	Incarnation uint64
	Store       Store
	Client      *peerrpc.Client
	Log         logevent.Log
	// FillHeartbeat writes what this gateway has in force into a heartbeat.
	FillHeartbeat func(*peerv1.Heartbeat)
	// OnHeartbeat takes in what a peer has in force.
	OnHeartbeat func(*peerv1.Heartbeat)
	// Placer places prompts for peers; nil for none.
	Placer peerrpc.Placer
}

// Heartbeater sends and answers heartbeats. It implements peerrpc.Handler.
type Heartbeater struct {
	opts   Options
	origin time.Time
	live   atomic.Int64
	// tell has news told at once.
	tell chan struct{}

	mu    sync.Mutex
	table *Table
}

// NewHeartbeater returns an exchange; Run starts it.
func NewHeartbeater(opts Options) *Heartbeater {
	x := &Heartbeater{opts: opts, origin: time.Now(), tell: make(chan struct{}, 1), table: NewTable(opts.Name)}
	x.live.Store(1)
	return x
}

// LiveCount returns the number of gateways that live, this one included.
func (x *Heartbeater) LiveCount() int { return int(x.live.Load()) }

// LiveNames returns the names of the gateways that live, this one included.
func (x *Heartbeater) LiveNames() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.LiveNames(x.now())
}

// Owner returns the gateway that does one thing for all; the address is empty
// for this gateway.
func (x *Heartbeater) Owner(thing string) (name, address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Owner(x.now(), thing)
}

// NotifyPeers has what is in force told to some peers at once.
func (x *Heartbeater) NotifyPeers() {
	select {
	case x.tell <- struct{}{}:
	default:
	}
}

func (x *Heartbeater) now() time.Duration { return time.Since(x.origin) }

// Run exchanges heartbeats until ctx ends.
func (x *Heartbeater) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { x.enter(ctx) })
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		partners := x.partners
		select {
		case <-ctx.Done():
			return
		case <-x.tell:
			partners = x.newsPartners
		case <-ticker.C:
		}
		for _, p := range partners() {
			loops.Go(func() { x.exchange(ctx, p) })
		}
	}
}

func (x *Heartbeater) partners() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	live := int64(x.table.LiveCount(x.now()))
	if before := x.live.Swap(live); before != live {
		x.opts.Log.Write(logevent.LiveGatewaysChanged(live, before))
	}
	return x.table.HeartbeatPeers(x.now())
}

func (x *Heartbeater) newsPartners() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.LivePeers(x.now(), newsPartners)
}

// exchange sends one heartbeat and takes in the answer.
func (x *Heartbeater) exchange(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := x.opts.Client.Heartbeat(ctx, p.Address, x.heartbeat())
	if err != nil {
		if !errors.Is(err, peerrpc.ErrUnreachable) {
			// The connection may have gone silent.
			x.opts.Client.CloseControlConnection(p.Address)
		}
		x.opts.Log.Write(logevent.PeerHeartbeatFailed(p.Name, err))
		return
	}
	x.heard(answer)
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

func (x *Heartbeater) heard(h *peerv1.Heartbeat) {
	x.mu.Lock()
	use := x.table.ObserveHeartbeat(x.now(), h.GetSender(), h.GetAddress(), h.GetIncarnation(), h.GetLeaving())
	x.mu.Unlock()
	if use {
		x.opts.OnHeartbeat(h)
	}
}

// enter writes this gateway's address to the store and learns the others'.
func (x *Heartbeater) enter(ctx context.Context) {
	entered := false
	for ctx.Err() == nil {
		err := error(nil)
		if !entered {
			err = x.write(ctx)
			entered = err == nil
		}
		if entered {
			err = x.list(ctx)
		}
		if entered && err == nil {
			return
		}
		x.opts.Log.Write(logevent.ListGatewaysFailed(entered, err))
		select {
		case <-time.After(listRetry):
		case <-ctx.Done():
		}
	}
}

// write stores this gateway's address. The outcome of a write that got no
// answer is found by the next try.
func (x *Heartbeater) write(ctx context.Context) error {
	value, err := proto.Marshal(&peerv1.Heartbeat{Sender: x.opts.Name, Address: x.opts.Address, Incarnation: x.opts.Incarnation})
	if err != nil {
		return fmt.Errorf("peers: encode: %w", err)
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

func (x *Heartbeater) list(ctx context.Context) error {
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
	x.heard(h)
	return x.heartbeat()
}

// Submit implements peerrpc.Handler. Gateways take no attempts from others.
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

// FetchConfig implements peerrpc.Handler. Gateways read the store themselves.
func (x *Heartbeater) FetchConfig(*peerv1.FetchConfig) *peerv1.FetchConfigReply {
	return &peerv1.FetchConfigReply{}
}

// FetchPlan implements peerrpc.Handler.
func (x *Heartbeater) FetchPlan(*peerv1.FetchPlan) *peerv1.FetchPlanReply {
	return &peerv1.FetchPlanReply{}
}
