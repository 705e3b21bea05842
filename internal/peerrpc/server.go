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

// FrameSender sends the frames of answers back to the process that submitted
// the attempt.
type FrameSender interface {
	// SendFrame sends one frame; it blocks while the connection is full and
	// fails when the connection is gone.
	SendFrame(ctx context.Context, frame *peerv1.Frame) error
	// Done is closed when the connection is gone.
	Done() <-chan struct{}
}

// Handler answers the messages of peers. Its methods are called in the
// order in which messages arrive on a connection, so they must not block.
type Handler interface {
	Submit(sender FrameSender, submit *peerv1.Submit)
	Withdraw(withdraw *peerv1.Withdraw) *peerv1.WithdrawReply
	Heartbeat(heartbeat *peerv1.Heartbeat) *peerv1.Heartbeat
	FetchConfig(fetch *peerv1.FetchConfig) *peerv1.FetchConfigReply
	FetchPlan(fetch *peerv1.FetchPlan) *peerv1.FetchPlanReply
}

// Placer is implemented by handlers that place prompts for others. Its methods
// must not block.
type Placer interface {
	Place(place *peerv1.Place) *peerv1.PlaceReply
	PlaceEnded(ended *peerv1.PlaceEnded)
}

// IncarnationReporter is implemented by handlers that tell their incarnation to
// whoever connects.
type IncarnationReporter interface {
	// Incarnation is unique for each start of the process.
	Incarnation() uint64
}

// Server accepts connections of peers. It has the Start and Stop methods of
// a kratos transport server.
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

// NewServer returns a server for address (IP:port).
func NewServer(address string, handler Handler, metrics *Metrics, log logevent.Log) *Server {
	return &Server{
		address: address,
		handler: handler,
		metrics: metrics,
		log:     log,
		conns:   make(map[*jsonrpc2.Conn]struct{}),
	}
}

// Listen binds the address, so that a caller learns of a taken port before
// anything else starts. Start does it if it was not done.
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

// Address returns the bound address; it is empty before Listen.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Start accepts connections until Stop.
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

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	remote := conn.RemoteAddr().String()
	host, _, _ := net.SplitHostPort(remote)
	m := &meter{metrics: s.metrics, peer: host}
	stream := jsonrpc2.NewBufferedStream(conn, m.codec())
	h := &serverConn{server: s}
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, h, append(m.options(), quiet())...)
	s.mu.Lock()
	s.conns[rpc] = struct{}{}
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		_ = rpc.Close()
	}
	go s.forget(rpc)
}

func (s *Server) forget(rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, rpc)
}

// serverConn handles the messages of one accepted connection.
type serverConn struct {
	server *Server
}

// Handle implements jsonrpc2.Handler.
func (c *serverConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if err := c.dispatch(ctx, conn, req); err != nil {
		c.server.metrics.malformed.Inc()
		c.server.log.Write(logevent.PeerMessageMalformed(req.Method, err))
		go func() { _ = conn.Close() }()
	}
}

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
		return answer(ctx, conn, req, &peerv1.Hello{}, c.hello)
	case methodWithdraw:
		return answer(ctx, conn, req, &peerv1.Withdraw{}, h.Withdraw)
	case methodHeartbeat:
		return answer(ctx, conn, req, &peerv1.Heartbeat{}, h.Heartbeat)
	case methodFetchConfig:
		return answer(ctx, conn, req, &peerv1.FetchConfig{}, h.FetchConfig)
	case methodFetchPlan:
		return answer(ctx, conn, req, &peerv1.FetchPlan{}, h.FetchPlan)
	}
	return c.dispatchPlacer(ctx, conn, req)
}

func (c *serverConn) dispatchPlacer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	h, ok := c.server.handler.(Placer)
	switch {
	case ok && req.Method == methodPlace:
		return answer(ctx, conn, req, &peerv1.Place{}, h.Place)
	case ok && req.Method == methodPlaceEnded:
		ended := &peerv1.PlaceEnded{}
		if err := decode(req.Params, ended); err != nil {
			return err
		}
		h.PlaceEnded(ended)
		return nil
	}
	return fmt.Errorf("%w: method %q", ErrMalformed, req.Method)
}

// hello tells who serves the connection.
func (c *serverConn) hello(*peerv1.Hello) *peerv1.Hello {
	reply := &peerv1.Hello{}
	if h, ok := c.server.handler.(IncarnationReporter); ok {
		reply.Incarnation = h.Incarnation()
	}
	return reply
}

// answer decodes a call into in, hands it to handle and replies.
func answer[I, O proto.Message](ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, in I, handle func(I) O) error {
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

// frameSender sends frames on the connection that brought the attempt.
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

// noLog discards the library's own log lines.
type noLog struct{}

// Printf implements jsonrpc2.Logger.
func (noLog) Printf(string, ...any) {}

func quiet() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(noLog{}) }
