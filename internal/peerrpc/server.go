package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// stopTimeout bounds the time for which a stopping server waits for its clients.
const stopTimeout = 2 * time.Second

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

// UsageCounter is implemented by handlers that count the runs of client accounts. Its
// method must not block.
type UsageCounter interface {
	CollectUsage(collect *peerv1.CollectUsage) *peerv1.CollectUsageReply
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
	conns    map[*jsonrpc2.Conn]*serverConn
	stopped  bool
}

// NewServer returns a server that listens on address (IP:port).
func NewServer(address string, handler Handler, metrics *Metrics, log logevent.Log) *Server {
	return &Server{
		address: address,
		handler: handler,
		metrics: metrics,
		log:     log,
		conns:   make(map[*jsonrpc2.Conn]*serverConn),
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

// Stop closes the listener and all connections. Clients that submit attempts are first
// asked to stop. Attempts that were on their way still reach the handler, which must
// refuse or finish them; Stop waits for that for stopTimeout at most.
func (s *Server) Stop(ctx context.Context) error {
	conns := s.stopAccepting()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	var closing sync.WaitGroup
	for rpc, conn := range conns {
		closing.Go(func() {
			conn.finish(ctx, rpc)
			_ = rpc.Close()
		})
	}
	closing.Wait()
	return nil
}

// stopAccepting closes the listener and returns the open connections.
func (s *Server) stopAccepting() map[*jsonrpc2.Conn]*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	return maps.Clone(s.conns)
}

// serve starts handling the messages of an accepted connection. A connection that is
// accepted while the server stops is closed before anything is read from it.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	remote := conn.RemoteAddr().String()
	host, _, _ := net.SplitHostPort(remote)
	m := &meter{metrics: s.metrics, peer: host}
	stream := jsonrpc2.NewBufferedStream(conn, m.codec())
	h := newServerConn(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		_ = conn.Close()
		return
	}
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, h, append(m.options(), withoutLogging())...)
	s.conns[rpc] = h
	go s.removeWhenClosed(rpc)
}

// removeWhenClosed waits until a connection is closed and removes it from s.conns.
func (s *Server) removeWhenClosed(rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, rpc)
}

// noLog discards the log lines of the jsonrpc2 library.
type noLog struct{}

// Printf implements jsonrpc2.Logger.
func (noLog) Printf(string, ...any) {}

// withoutLogging returns the connection option that disables the library's logging.
func withoutLogging() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(noLog{}) }
