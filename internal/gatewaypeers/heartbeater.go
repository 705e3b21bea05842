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
	// Fill writes what this gateway has in force into a heartbeat.
	Fill func(*peerv1.Heartbeat)
	// Heard takes in what a peer has in force.
	Heard func(*peerv1.Heartbeat)
	// Placer places prompts for peers; nil for none.
	Placer peerrpc.Placer
}

// Exchange sends and answers heartbeats. It implements peerrpc.Handler.
type Exchange struct {
	opts   Options
	origin time.Time
	live   atomic.Int64
	// tell has news told at once.
	tell chan struct{}

	mu    sync.Mutex
	table *Table
}

// NewExchange returns an exchange; Run starts it.
func NewExchange(opts Options) *Exchange {
	x := &Exchange{opts: opts, origin: time.Now(), tell: make(chan struct{}, 1), table: NewTable(opts.Name)}
	x.live.Store(1)
	return x
}

// Live returns the number of gateways that live, this one included.
func (x *Exchange) Live() int { return int(x.live.Load()) }

// Names returns the names of the gateways that live, this one included.
func (x *Exchange) Names() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Names(x.now())
}

// Owner returns the gateway that does one thing for all; the address is empty
// for this gateway.
func (x *Exchange) Owner(thing string) (name, address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Owner(x.now(), thing)
}

// News has what is in force told to some peers at once.
func (x *Exchange) News() {
	select {
	case x.tell <- struct{}{}:
	default:
	}
}

func (x *Exchange) now() time.Duration { return time.Since(x.origin) }

// Run exchanges heartbeats until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { x.enter(ctx) })
	ticker := time.NewTicker(Interval)
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

func (x *Exchange) partners() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	live := int64(x.table.Live(x.now()))
	if before := x.live.Swap(live); before != live {
		x.opts.Log.Write(logevent.GatewaysLive(live, before))
	}
	return x.table.Partners(x.now())
}

func (x *Exchange) newsPartners() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.All(x.now(), newsPartners)
}

// exchange sends one heartbeat and takes in the answer.
func (x *Exchange) exchange(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := x.opts.Client.Heartbeat(ctx, p.Address, x.heartbeat())
	if err != nil {
		if !errors.Is(err, peerrpc.ErrUnreachable) {
			// The connection may have gone silent.
			x.opts.Client.Drop(p.Address)
		}
		x.opts.Log.Write(logevent.PeerSilent(p.Name, err))
		return
	}
	x.heard(answer)
}

func (x *Exchange) heartbeat() *peerv1.Heartbeat {
	h := &peerv1.Heartbeat{
		Sender:      x.opts.Name,
		SenderRole:  KindGateway,
		Address:     x.opts.Address,
		Incarnation: x.opts.Incarnation,
	}
	x.opts.Fill(h)
	return h
}

func (x *Exchange) heard(h *peerv1.Heartbeat) {
	x.mu.Lock()
	use := x.table.Heard(x.now(), h.GetSender(), h.GetAddress(), h.GetIncarnation(), h.GetLeaving())
	x.mu.Unlock()
	if use {
		x.opts.Heard(h)
	}
}

// enter writes this gateway's address to the store and learns the others'.
func (x *Exchange) enter(ctx context.Context) {
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
		x.opts.Log.Write(logevent.GatewaysNotListed(entered, err))
		select {
		case <-time.After(listRetry):
		case <-ctx.Done():
		}
	}
}

// write stores this gateway's address. The outcome of a write that got no
// answer is found by the next try.
func (x *Exchange) write(ctx context.Context) error {
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

func (x *Exchange) list(ctx context.Context) error {
	objects, err := x.opts.Store.List(ctx, KindGateway)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range objects {
		var h peerv1.Heartbeat
		if err := proto.Unmarshal(o.Value, &h); err != nil {
			x.opts.Log.Write(logevent.GatewayEntryUnreadable(o.Key.Name, o.Version, err))
			continue
		}
		x.table.Learn(x.now(), h.GetSender(), h.GetAddress())
	}
	return nil
}

// Incarnation implements peerrpc.Identified.
func (x *Exchange) Incarnation() uint64 { return x.opts.Incarnation }

// Heartbeat implements peerrpc.Handler.
func (x *Exchange) Heartbeat(h *peerv1.Heartbeat) *peerv1.Heartbeat {
	x.heard(h)
	return x.heartbeat()
}

// Submit implements peerrpc.Handler. Gateways take no attempts from others.
func (x *Exchange) Submit(_ peerrpc.FrameSender, s *peerv1.Submit) {
	x.opts.Log.Write(logevent.AttemptIgnored(s.GetAttemptId()))
}

// Withdraw implements peerrpc.Handler.
func (x *Exchange) Withdraw(w *peerv1.Withdraw) *peerv1.WithdrawReply {
	return &peerv1.WithdrawReply{AttemptId: w.GetAttemptId()}
}

// Place implements peerrpc.Placer.
func (x *Exchange) Place(p *peerv1.Place) *peerv1.PlaceReply {
	if x.opts.Placer == nil {
		return &peerv1.PlaceReply{}
	}
	return x.opts.Placer.Place(p)
}

// PlaceEnded implements peerrpc.Placer.
func (x *Exchange) PlaceEnded(p *peerv1.PlaceEnded) {
	if x.opts.Placer != nil {
		x.opts.Placer.PlaceEnded(p)
	}
}

// FetchConfig implements peerrpc.Handler. Gateways read the store themselves.
func (x *Exchange) FetchConfig(*peerv1.FetchConfig) *peerv1.FetchConfigReply {
	return &peerv1.FetchConfigReply{}
}

// FetchPlan implements peerrpc.Handler.
func (x *Exchange) FetchPlan(*peerv1.FetchPlan) *peerv1.FetchPlanReply {
	return &peerv1.FetchPlanReply{}
}
