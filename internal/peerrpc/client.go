package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// ErrUnreachable is returned when no connection could be established, so that
// the message was certainly not sent.
var ErrUnreachable = errors.New("peer: unreachable")

const (
	// dialTimeout bounds the dial of a connection, and the hello call on it.
	dialTimeout = 500 * time.Millisecond
	// redialBackoff is the time after a failed dial during which a connection
	// is not dialled again and calls fail immediately.
	redialBackoff = 200 * time.Millisecond
	// keepAlivePeriod is the TCP keep-alive interval.
	keepAlivePeriod = 5 * time.Second
)

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	// DataConnections is the number of connections to each address that carry
	// attempts; values below 1 mean 1. Control messages use a separate
	// connection, so that they are not delayed by large requests.
	DataConnections int
	Metrics         *Metrics
}

// Client sends messages to peers. It is safe for concurrent use.
type Client struct {
	opts ClientOptions

	mu sync.Mutex
	// pools holds the connections by address.
	pools map[string]*pool
}

// NewClient returns a client. Connections are dialled on first use.
func NewClient(opts ClientOptions) *Client {
	opts.DataConnections = max(opts.DataConnections, 1)
	return &Client{opts: opts, pools: make(map[string]*pool)}
}

// Submit sends an attempt to the process at address (IP:port) and returns the
// call that receives its frames. If the error wraps ErrUnreachable, nothing was
// sent; after any other error the attempt may have been received. Submit sets
// the message's agent incarnation to that of the process at the other end of the
// connection.
func (c *Client) Submit(ctx context.Context, address string, submit *peerv1.Submit) (*Call, error) {
	link, err := c.pool(address).data(ctx)
	if err != nil {
		return nil, err
	}
	submit.AgentIncarnation = link.incarnation
	call, err := link.submit(ctx, submit)
	if err != nil {
		return nil, fmt.Errorf("peer: submit to %s: %w", address, err)
	}
	return call, nil
}

// Withdraw asks the agent at address not to execute an attempt, or to cancel it.
func (c *Client) Withdraw(ctx context.Context, address string, withdraw *peerv1.Withdraw) (*peerv1.WithdrawReply, error) {
	reply := &peerv1.WithdrawReply{}
	return reply, c.call(ctx, address, methodWithdraw, withdraw, reply)
}

// Heartbeat exchanges heartbeats with the process at address.
func (c *Client) Heartbeat(ctx context.Context, address string, heartbeat *peerv1.Heartbeat) (*peerv1.Heartbeat, error) {
	reply := &peerv1.Heartbeat{}
	return reply, c.call(ctx, address, methodHeartbeat, heartbeat, reply)
}

// FetchConfig requests the configuration from the process at address if it has a
// newer one.
func (c *Client) FetchConfig(ctx context.Context, address string, fetch *peerv1.FetchConfig) (*peerv1.FetchConfigReply, error) {
	reply := &peerv1.FetchConfigReply{}
	return reply, c.call(ctx, address, methodFetchConfig, fetch, reply)
}

// FetchPlan requests a plan from the process at address if it has a newer one.
func (c *Client) FetchPlan(ctx context.Context, address string, fetch *peerv1.FetchPlan) (*peerv1.FetchPlanReply, error) {
	reply := &peerv1.FetchPlanReply{}
	return reply, c.call(ctx, address, methodFetchPlan, fetch, reply)
}

// Place asks the process at address to select an engine for a prompt.
func (c *Client) Place(ctx context.Context, address string, place *peerv1.Place) (*peerv1.PlaceReply, error) {
	reply := &peerv1.PlaceReply{}
	return reply, c.call(ctx, address, methodPlace, place, reply)
}

// PlaceEnded notifies the process at address that a prompt that it placed has
// been prefilled, or will not be. There is no reply.
func (c *Client) PlaceEnded(ctx context.Context, address string, ended *peerv1.PlaceEnded) error {
	return c.notify(ctx, address, methodPlaceEnded, ended)
}

// StreamOrigins notifies the process at address of streams that have begun. There is
// no reply.
func (c *Client) StreamOrigins(ctx context.Context, address string, origins *peerv1.StreamOrigins) error {
	return c.notify(ctx, address, methodStreamOrigins, origins)
}

// FindStream asks the process at address at which version a stream began.
func (c *Client) FindStream(ctx context.Context, address string, find *peerv1.FindStream) (*peerv1.FindStreamReply, error) {
	reply := &peerv1.FindStreamReply{}
	return reply, c.call(ctx, address, methodFindStream, find, reply)
}

// BeginTrial asks the process at address whether a blocked part or request may be
// tried.
func (c *Client) BeginTrial(ctx context.Context, address string, begin *peerv1.BeginTrial) (*peerv1.BeginTrialReply, error) {
	reply := &peerv1.BeginTrialReply{}
	return reply, c.call(ctx, address, methodBeginTrial, begin, reply)
}

// EndTrial notifies the process at address of the end of a trial. There is no reply.
func (c *Client) EndTrial(ctx context.Context, address string, end *peerv1.EndTrial) error {
	return c.notify(ctx, address, methodEndTrial, end)
}

// CollectUsage asks the process at address for the runs that it has counted.
func (c *Client) CollectUsage(ctx context.Context, address string, collect *peerv1.CollectUsage) (*peerv1.CollectUsageReply, error) {
	reply := &peerv1.CollectUsageReply{}
	return reply, c.call(ctx, address, methodCollectUsage, collect, reply)
}

// notify sends a control message to which there is no reply.
func (c *Client) notify(ctx context.Context, address, method string, in proto.Message) error {
	link, err := c.pool(address).control(ctx)
	if err != nil {
		return err
	}
	params, err := encode(in)
	if err != nil {
		return err
	}
	if err := link.rpc.Notify(ctx, method, params); err != nil {
		return fmt.Errorf("peer: %s to %s: %w", method, address, err)
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

// CloseControlConnection closes the control connection to an address, so that
// the next call dials a new one. It is meant for connections that no longer
// respond but have not been reset.
func (c *Client) CloseControlConnection(address string) {
	c.pool(address).slots[0].reset()
}

// call sends a control message and decodes the reply into out.
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

// pool holds the connections to one address.
type pool struct {
	address string
	metrics *Metrics
	// next counts the uses of data connections, for round robin.
	next atomic.Uint64
	// slots holds the control connection, followed by the data connections.
	slots []*slot
}

func newPool(address string, opts ClientOptions) *pool {
	p := &pool{address: address, metrics: opts.Metrics}
	p.slots = append(p.slots, &slot{})
	for range opts.DataConnections {
		p.slots = append(p.slots, &slot{submitsAttempts: true})
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

// slot holds one connection of a pool. It is dialled on first use and again
// after it has been lost.
type slot struct {
	// submitsAttempts is true for a data connection.
	submitsAttempts bool

	mu   sync.Mutex
	link *link
	// failedAt is the time of the last failed dial.
	failedAt time.Time
	closed   bool
}

// get returns the connection and dials it if necessary. Concurrent calls wait
// for the same dial. Its error wraps ErrUnreachable.
func (s *slot) get(ctx context.Context, address string, metrics *Metrics) (*link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, fmt.Errorf("%w: client closed", ErrUnreachable)
	}
	if s.link != nil && s.link.isUsable() {
		return s.link, nil
	}
	if time.Since(s.failedAt) < redialBackoff {
		return nil, fmt.Errorf("%w: %s: dial failed just now", ErrUnreachable, address)
	}
	l, err := connect(ctx, address, metrics, s.submitsAttempts)
	if err != nil {
		if ctx.Err() == nil {
			s.failedAt = time.Now()
		}
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	s.link = l
	return l, nil
}

// connect dials a connection and learns the incarnation of the process at its
// other end by a hello call. This also detects processes that accept connections
// but do not respond, which count as unreachable.
func connect(ctx context.Context, address string, metrics *Metrics, submitsAttempts bool) (*link, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l := newLink(conn, address, metrics)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := l.hello(ctx, submitsAttempts); err != nil {
		_ = l.rpc.Close()
		return nil, err
	}
	return l, nil
}

// reset closes the connection; the next call of get dials a new one.
func (s *slot) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		_ = s.link.rpc.Close()
		s.link = nil
	}
}

// close closes the connection; get fails from then on.
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
