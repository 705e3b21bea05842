package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// FrameSender sends the frames of a response to the process that submitted the
// attempt.
type FrameSender interface {
	// SendFrame sends a frame. It blocks while the connection's send buffer is
	// full, and returns an error if the connection has been closed.
	SendFrame(ctx context.Context, frame *peerv1.Frame) error
	// Done returns a channel that is closed when the connection is closed.
	Done() <-chan struct{}
}

// Handler handles the messages of peers. The messages of one connection are
// handled one after the other in the order of their arrival, so that its methods
// must not block.
type Handler interface {
	Submit(sender FrameSender, submit *peerv1.Submit)
	Withdraw(withdraw *peerv1.Withdraw) *peerv1.WithdrawReply
	Heartbeat(heartbeat *peerv1.Heartbeat) *peerv1.Heartbeat
	FetchConfig(fetch *peerv1.FetchConfig) *peerv1.FetchConfigReply
	FetchPlan(fetch *peerv1.FetchPlan) *peerv1.FetchPlanReply
}

// Placer is implemented by handlers that also place prompts for other gateways.
// Its methods must not block.
type Placer interface {
	Place(place *peerv1.Place) *peerv1.PlaceReply
	PlaceEnded(ended *peerv1.PlaceEnded)
}

// StreamKeeper is implemented by handlers that remember the origins of streams for
// other gateways. Its methods must not block.
type StreamKeeper interface {
	StreamOrigins(origins *peerv1.StreamOrigins)
	FindStream(find *peerv1.FindStream) *peerv1.FindStreamReply
}

// TrialKeeper is implemented by handlers that decide for other gateways when blocked
// parts and requests are tried. Its methods must not block.
type TrialKeeper interface {
	BeginTrial(begin *peerv1.BeginTrial) *peerv1.BeginTrialReply
	EndTrial(end *peerv1.EndTrial)
}

// IncarnationReporter is implemented by handlers that report the incarnation of
// their process to connecting peers.
type IncarnationReporter interface {
	// Incarnation returns a number that is unique for each start of the
	// process.
	Incarnation() uint64
}

// Server accepts connections of peers and passes their messages to a Handler. It
// implements transport.Server of kratos.
type Server struct {
	address string
	handler Handler
	metrics *Metrics
	log     logevent.Log

	mu       sync.Mutex
	listener net.Listener
	conns    map[*jsonrpc2.Conn]struct{}
	stopped  bool
}

// NewServer returns a server that listens on address (IP:port).
func NewServer(address string, handler Handler, metrics *Metrics, log logevent.Log) *Server {
	return &Server{
		address: address,
		handler: handler,
		metrics: metrics,
		log:     log,
		conns:   make(map[*jsonrpc2.Conn]struct{}),
	}
}

// Listen binds the address. It is optional before Start, and lets the caller
// detect that the port is in use before it starts anything else.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil || s.stopped {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("peer: listen on %s: %w", s.address, err)
	}
	s.listener = listener
	return nil
}

// Address returns the bound address (IP:port), or "" before Listen.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Start accepts connections until Stop is called, and returns nil then.
func (s *Server) Start(ctx context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return nil
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("peer: accept: %w", err)
		}
		s.serve(ctx, conn)
	}
}

// Stop closes the listener and all connections.
func (s *Server) Stop(context.Context) error {
	s.mu.Lock()
	s.stopped = true
	listener := s.listener
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	return nil
}

// serve starts handling the messages of an accepted connection.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	remote := conn.RemoteAddr().String()
	host, _, _ := net.SplitHostPort(remote)
	m := &meter{metrics: s.metrics, peer: host}
	stream := jsonrpc2.NewBufferedStream(conn, m.codec())
	h := &serverConn{server: s}
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, h, append(m.options(), withoutLogging())...)
	s.mu.Lock()
	s.conns[rpc] = struct{}{}
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		_ = rpc.Close()
	}
	go s.removeWhenClosed(rpc)
}

// removeWhenClosed waits until a connection is closed and removes it from s.conns.
func (s *Server) removeWhenClosed(rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, rpc)
}

// serverConn handles the messages of one accepted connection.
type serverConn struct {
	server *Server
}

// Handle implements jsonrpc2.Handler. It closes the connection if the message is
// malformed.
func (c *serverConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if err := c.dispatch(ctx, conn, req); err != nil {
		c.server.metrics.malformed.Inc()
		c.server.log.Write(logevent.PeerMessageMalformed(req.Method, err))
		go func() { _ = conn.Close() }()
	}
}

// dispatch passes a message to the handler. An error means that the message is
// malformed or that the reply could not be sent.
func (c *serverConn) dispatch(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	h := c.server.handler
	switch req.Method {
	case methodSubmit:
		submit := &peerv1.Submit{}
		if err := decode(req.Params, submit); err != nil {
			return err
		}
		h.Submit(frameSender{conn: conn}, submit)
		return nil
	case methodHello:
		return handleCall(ctx, conn, req, &peerv1.Hello{}, c.hello)
	case methodWithdraw:
		return handleCall(ctx, conn, req, &peerv1.Withdraw{}, h.Withdraw)
	case methodHeartbeat:
		return handleCall(ctx, conn, req, &peerv1.Heartbeat{}, h.Heartbeat)
	case methodFetchConfig:
		return handleCall(ctx, conn, req, &peerv1.FetchConfig{}, h.FetchConfig)
	case methodFetchPlan:
		return handleCall(ctx, conn, req, &peerv1.FetchPlan{}, h.FetchPlan)
	}
	return c.dispatchPlacer(ctx, conn, req)
}

// dispatchPlacer passes the messages of Placer to the handler, if it implements
// that interface.
func (c *serverConn) dispatchPlacer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	h, ok := c.server.handler.(Placer)
	switch {
	case ok && req.Method == methodPlace:
		return handleCall(ctx, conn, req, &peerv1.Place{}, h.Place)
	case ok && req.Method == methodPlaceEnded:
		ended := &peerv1.PlaceEnded{}
		if err := decode(req.Params, ended); err != nil {
			return err
		}
		h.PlaceEnded(ended)
		return nil
	}
	return c.dispatchStreamKeeper(ctx, conn, req)
}

// dispatchStreamKeeper passes the messages of StreamKeeper to the handler, if it
// implements that interface.
func (c *serverConn) dispatchStreamKeeper(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	h, ok := c.server.handler.(StreamKeeper)
	switch {
	case ok && req.Method == methodFindStream:
		return handleCall(ctx, conn, req, &peerv1.FindStream{}, h.FindStream)
	case ok && req.Method == methodStreamOrigins:
		origins := &peerv1.StreamOrigins{}
		if err := decode(req.Params, origins); err != nil {
			return err
		}
		h.StreamOrigins(origins)
		return nil
	}
	return c.dispatchTrialKeeper(ctx, conn, req)
}

// dispatchTrialKeeper passes the messages of TrialKeeper to the handler, if it
// implements that interface.
func (c *serverConn) dispatchTrialKeeper(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	h, ok := c.server.handler.(TrialKeeper)
	switch {
	case ok && req.Method == methodBeginTrial:
		return handleCall(ctx, conn, req, &peerv1.BeginTrial{}, h.BeginTrial)
	case ok && req.Method == methodEndTrial:
		end := &peerv1.EndTrial{}
		if err := decode(req.Params, end); err != nil {
			return err
		}
		h.EndTrial(end)
		return nil
	}
	return fmt.Errorf("%w: unknown method %q", ErrMalformed, req.Method)
}

// hello returns the incarnation of this process, or 0 if the handler does not
// report one.
func (c *serverConn) hello(*peerv1.Hello) *peerv1.Hello {
	reply := &peerv1.Hello{}
	if h, ok := c.server.handler.(IncarnationReporter); ok {
		reply.Incarnation = h.Incarnation()
	}
	return reply
}

// handleCall decodes the params of a call into in, passes them to handle and sends
// the result as the reply.
func handleCall[I, O proto.Message](ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, in I, handle func(I) O) error {
	if err := decode(req.Params, in); err != nil {
		return err
	}
	out, err := encode(handle(in))
	if err != nil {
		return err
	}
	if err := conn.Reply(ctx, req.ID, out); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		return err
	}
	return nil
}

// frameSender implements FrameSender for the connection over which an attempt
// was received.
type frameSender struct {
	conn *jsonrpc2.Conn
}

// SendFrame implements FrameSender.
func (f frameSender) SendFrame(ctx context.Context, frame *peerv1.Frame) error {
	p, err := encode(frame)
	if err != nil {
		return err
	}
	return f.conn.Notify(ctx, methodFrame, p)
}

// Done implements FrameSender.
func (f frameSender) Done() <-chan struct{} { return f.conn.DisconnectNotify() }

// noLog discards the log lines of the jsonrpc2 library.
type noLog struct{}

// Printf implements jsonrpc2.Logger.
func (noLog) Printf(string, ...any) {}

// withoutLogging returns the connection option that disables the library's logging.
func withoutLogging() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(noLog{}) }
