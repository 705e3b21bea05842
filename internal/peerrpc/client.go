package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// ErrUnreachable says that no connection could be made, so that the message
// was not sent.
var ErrUnreachable = errors.New("peer: unreachable")

const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond
	// redialPause is the least time between two failed dials of an address.
	redialPause = 200 * time.Millisecond
	// keepAlivePeriod is the TCP keep-alive interval.
	keepAlivePeriod = 5 * time.Second
)

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	// DataConnections is the number of connections for requests to each
	// address; control messages have one of their own. At least 1.
	DataConnections int
	Metrics         *Metrics
}

// Client sends messages to peers. It is safe for concurrent use.
type Client struct {
	opts ClientOptions

	mu    sync.Mutex
	pools map[string]*pool
}

// NewClient returns a client without connections.
func NewClient(opts ClientOptions) *Client {
	opts.DataConnections = max(opts.DataConnections, 1)
	return &Client{opts: opts, pools: make(map[string]*pool)}
}

// Submit sends an attempt to the process at address (IP:port) and returns
// the call that receives its frames. On ErrUnreachable nothing was sent; on
// any other error the attempt may have arrived. Submit writes the incarnation
// of the process at the other end into the message.
func (c *Client) Submit(ctx context.Context, address string, submit *peerv1.Submit) (*Call, error) {
	link, err := c.pool(address).data(ctx)
	if err != nil {
		return nil, err
	}
	submit.AgentIncarnation = link.incarnation
	p, err := encode(submit)
	if err != nil {
		return nil, err
	}
	call := link.register(submit.GetAttemptId())
	if err := link.rpc.Notify(ctx, methodSubmit, p); err != nil {
		call.Close()
		return nil, fmt.Errorf("peer: submit to %s: %w", address, err)
	}
	return call, nil
}

// Withdraw asks the gate at address not to run an attempt.
func (c *Client) Withdraw(ctx context.Context, address string, withdraw *peerv1.Withdraw) (*peerv1.WithdrawReply, error) {
	reply := &peerv1.WithdrawReply{}
	return reply, c.call(ctx, address, methodWithdraw, withdraw, reply)
}

// Heartbeat exchanges heartbeats with the process at address.
func (c *Client) Heartbeat(ctx context.Context, address string, heartbeat *peerv1.Heartbeat) (*peerv1.Heartbeat, error) {
	reply := &peerv1.Heartbeat{}
	return reply, c.call(ctx, address, methodHeartbeat, heartbeat, reply)
}

// FetchConfig asks the process at address for a newer configuration.
func (c *Client) FetchConfig(ctx context.Context, address string, fetch *peerv1.FetchConfig) (*peerv1.FetchConfigReply, error) {
	reply := &peerv1.FetchConfigReply{}
	return reply, c.call(ctx, address, methodFetchConfig, fetch, reply)
}

// FetchPlan asks the process at address for a newer plan.
func (c *Client) FetchPlan(ctx context.Context, address string, fetch *peerv1.FetchPlan) (*peerv1.FetchPlanReply, error) {
	reply := &peerv1.FetchPlanReply{}
	return reply, c.call(ctx, address, methodFetchPlan, fetch, reply)
}

// Place asks the process at address where a prompt is to go.
func (c *Client) Place(ctx context.Context, address string, place *peerv1.Place) (*peerv1.PlaceReply, error) {
	reply := &peerv1.PlaceReply{}
	return reply, c.call(ctx, address, methodPlace, place, reply)
}

// PlaceEnded tells the process at address of the end of a prompt that it
// placed. Nothing answers.
func (c *Client) PlaceEnded(ctx context.Context, address string, ended *peerv1.PlaceEnded) error {
	link, err := c.pool(address).control(ctx)
	if err != nil {
		return err
	}
	params, err := encode(ended)
	if err != nil {
		return err
	}
	if err := link.rpc.Notify(ctx, methodPlaceEnded, params); err != nil {
		return fmt.Errorf("peer: %s to %s: %w", methodPlaceEnded, address, err)
	}
	return nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.close()
	}
}

// CloseControlConnection closes the control connection to an address, so that the next call
// makes a new one: a connection can go silent without a reset.
func (c *Client) CloseControlConnection(address string) {
	c.pool(address).slots[0].drop()
}

func (c *Client) call(ctx context.Context, address, method string, in, out proto.Message) error {
	link, err := c.pool(address).control(ctx)
	if err != nil {
		return err
	}
	params, err := encode(in)
	if err != nil {
		return err
	}
	var result payload
	if err := link.rpc.Call(ctx, method, params, &result); err != nil {
		return fmt.Errorf("peer: %s to %s: %w", method, address, err)
	}
	return decodePayload(result, out)
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = newPool(address, c.opts)
		c.pools[address] = p
	}
	return p
}

// pool holds the connections to one address. Slot 0 is for control.
type pool struct {
	address string
	metrics *Metrics
	next    atomic.Uint64
	slots   []*slot
}

func newPool(address string, opts ClientOptions) *pool {
	p := &pool{address: address, metrics: opts.Metrics}
	for range opts.DataConnections + 1 {
		p.slots = append(p.slots, &slot{})
	}
	return p
}

func (p *pool) control(ctx context.Context) (*link, error) {
	return p.slots[0].get(ctx, p.address, p.metrics)
}

func (p *pool) data(ctx context.Context) (*link, error) {
	n := p.next.Add(1) % uint64(len(p.slots)-1)
	return p.slots[1+n].get(ctx, p.address, p.metrics)
}

func (p *pool) close() {
	for _, s := range p.slots {
		s.close()
	}
}

// slot holds one connection, dialled when first used and after a loss.
type slot struct {
	mu       sync.Mutex
	link     *link
	failedAt time.Time
	closed   bool
}

func (s *slot) get(ctx context.Context, address string, metrics *Metrics) (*link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, fmt.Errorf("%w: client closed", ErrUnreachable)
	}
	if s.link != nil && !s.link.isLost() {
		return s.link, nil
	}
	if time.Since(s.failedAt) < redialPause {
		return nil, fmt.Errorf("%w: %s: dial failed just now", ErrUnreachable, address)
	}
	l, err := connect(ctx, address, metrics)
	if err != nil {
		if ctx.Err() == nil {
			s.failedAt = time.Now()
		}
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	s.link = l
	return l, nil
}

// connect dials and asks who is there. A process that accepts connections but
// does not answer counts as unreachable.
func connect(ctx context.Context, address string, metrics *Metrics) (*link, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l := newLink(conn, address, metrics)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := l.hello(ctx); err != nil {
		_ = l.rpc.Close()
		return nil, err
	}
	return l, nil
}

// drop closes the connection and leaves the slot open.
func (s *slot) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		_ = s.link.rpc.Close()
		s.link = nil
	}
}

func (s *slot) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.link != nil {
		_ = s.link.rpc.Close()
	}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return dialer.DialContext(ctx, "tcp", address)
}

// link is one connection with the calls that wait on it.
type link struct {
	rpc     *jsonrpc2.Conn
	metrics *Metrics
	// incarnation of the process at the other end.
	incarnation uint64

	mu    sync.Mutex
	calls map[string]*Call
	lost  bool
}

func newLink(conn net.Conn, address string, metrics *Metrics) *link {
	l := &link{metrics: metrics, calls: make(map[string]*Call)}
	m := &meter{metrics: metrics, peer: address}
	stream := jsonrpc2.NewBufferedStream(conn, m.codec())
	l.rpc = jsonrpc2.NewConn(context.Background(), stream, l, append(m.options(), quiet())...)
	go l.watch()
	return l
}

// hello learns the incarnation of the process at the other end.
func (l *link) hello(ctx context.Context) error {
	params, err := encode(&peerv1.Hello{})
	if err != nil {
		return err
	}
	var result payload
	if err := l.rpc.Call(ctx, methodHello, params, &result); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	reply := &peerv1.Hello{}
	if err := decodePayload(result, reply); err != nil {
		return err
	}
	l.incarnation = reply.GetIncarnation()
	return nil
}

// Handle implements jsonrpc2.Handler for the frames that come back.
func (l *link) Handle(_ context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	frame := &peerv1.Frame{}
	if req.Method != methodFrame || decode(req.Params, frame) != nil {
		l.metrics.malformed.Inc()
		go func() { _ = conn.Close() }()
		return
	}
	l.mu.Lock()
	call := l.calls[frame.GetAttemptId()]
	l.mu.Unlock()
	if call == nil {
		l.metrics.strayFrames.Inc()
		return
	}
	call.push(frame)
}

func (l *link) register(attemptID string) *Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := newCall(attemptID, func() { l.unregister(attemptID) })
	call.lost = l.lost
	l.calls[attemptID] = call
	return call
}

func (l *link) unregister(attemptID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, attemptID)
}

func (l *link) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// watch tells the waiting calls when the connection is gone.
func (l *link) watch() {
	<-l.rpc.DisconnectNotify()
	l.mu.Lock()
	l.lost = true
	calls := make([]*Call, 0, len(l.calls))
	for _, call := range l.calls {
		calls = append(calls, call)
	}
	l.mu.Unlock()
	for _, call := range calls {
		call.lose()
	}
}
