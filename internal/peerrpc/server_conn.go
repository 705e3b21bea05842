package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// serverConn handles the messages of one accepted connection.
type serverConn struct {
	server *Server

	mu sync.Mutex
	// submitsAttempts is true if the client has announced that it submits attempts, and
	// closing if the connection is to be closed without asking it.
	submitsAttempts, closing bool
	// open holds the IDs of the attempts whose last frame has not been sent.
	open map[string]struct{}
	// ended holds a token after an attempt has left open.
	ended chan struct{}
}

func newServerConn(server *Server) *serverConn {
	return &serverConn{server: server, open: make(map[string]struct{}), ended: make(chan struct{}, 1)}
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
		c.begin(submit.GetAttemptId())
		h.Submit(frameSender{conn: conn, attempts: c}, submit)
		return nil
	case methodHello:
		return c.dispatchHello(ctx, conn, req)
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
	return c.dispatchUsageCounter(ctx, conn, req)
}

// dispatchUsageCounter passes the message of UsageCounter to the handler, if it implements
// that interface.
func (c *serverConn) dispatchUsageCounter(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	if h, ok := c.server.handler.(UsageCounter); ok && req.Method == methodCollectUsage {
		return handleCall(ctx, conn, req, &peerv1.CollectUsage{}, h.CollectUsage)
	}
	return fmt.Errorf("%w: unknown method %q", ErrMalformed, req.Method)
}

// dispatchHello replies to the first call of a client, unless the connection is to be
// closed: its client then knows that it has sent no attempt.
func (c *serverConn) dispatchHello(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	hello := &peerv1.Hello{}
	if err := decode(req.Params, hello); err != nil {
		return err
	}
	if !c.admit(hello) {
		return nil
	}
	return handleCall(ctx, conn, req, hello, c.hello)
}

// admit records what the client uses the connection for. It reports false if the
// connection is to be closed.
func (c *serverConn) admit(hello *peerv1.Hello) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitsAttempts = hello.GetSubmitsAttempts()
	return !c.closing
}

// hello returns the incarnation of this process, or 0 if the handler does not report
// one.
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
	conn     *jsonrpc2.Conn
	attempts *serverConn
}

// SendFrame implements FrameSender.
func (f frameSender) SendFrame(ctx context.Context, frame *peerv1.Frame) error {
	p, err := encode(frame)
	if err != nil {
		return err
	}
	if isLast(frame) {
		defer f.attempts.end(frame.GetAttemptId())
	}
	return f.conn.Notify(ctx, methodFrame, p)
}

// Done implements FrameSender.
func (f frameSender) Done() <-chan struct{} { return f.conn.DisconnectNotify() }

// isLast reports whether a frame ends its attempt.
func isLast(frame *peerv1.Frame) bool {
	switch frame.GetKind() {
	case peerv1.FrameKind_FRAME_KIND_END, peerv1.FrameKind_FRAME_KIND_FAILED:
		return true
	}
	return false
}

// begin records that an attempt has been received.
func (c *serverConn) begin(attemptID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[attemptID] = struct{}{}
}

// end records that the last frame of an attempt has been sent.
func (c *serverConn) end(attemptID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, attemptID)
	select {
	case c.ended <- struct{}{}:
	default:
	}
}

// finish asks a client that submits attempts for no more of them. It returns when all
// that have been submitted are answered, the connection is closed or ctx is done.
func (c *serverConn) finish(ctx context.Context, rpc *jsonrpc2.Conn) {
	if !c.mayCarryAttempts() {
		return
	}
	// The messages of a connection are handled in their order, so that after the reply
	// all attempts have been received.
	if err := rpc.Call(ctx, methodStopSubmitting, payload{}, nil); err != nil {
		return
	}
	for c.hasOpen() {
		select {
		case <-c.ended:
		case <-rpc.DisconnectNotify():
			return
		case <-ctx.Done():
			return
		}
	}
}

// mayCarryAttempts reports whether the client has announced that it submits attempts.
// If it has not, it can't do so any more.
func (c *serverConn) mayCarryAttempts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = !c.submitsAttempts
	return c.submitsAttempts
}

func (c *serverConn) hasOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0
}
