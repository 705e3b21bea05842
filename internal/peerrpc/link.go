package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// errClosing is returned for attempts that are not sent because the server has asked
// for no more of them on the connection.
var errClosing = errors.New("connection is closing")

// link is a connection to a peer with the calls that wait for frames on it.
type link struct {
	rpc     *jsonrpc2.Conn
	metrics *Metrics
	// incarnation is the incarnation of the process at the other end.
	incarnation uint64

	// sending is held while an attempt is written.
	sending sync.Mutex
	// writes is the number of messages of which a part may have been written. On a
	// connection that carries attempts it changes under sending.
	writes int
	// closing is true if the server has asked for no more attempts. It is guarded by
	// sending.
	closing bool

	mu sync.Mutex
	// calls holds the open calls by attempt ID.
	calls map[string]*Call
	// lost is true if the connection has been closed.
	lost bool
	// retired is true if the connection must not be chosen for new messages.
	retired bool
}

func newLink(conn net.Conn, address string, metrics *Metrics) *link {
	l := &link{metrics: metrics, calls: make(map[string]*Call)}
	m := &meter{metrics: metrics, peer: address}
	codec := m.codec()
	codec.beforeWrite = func() { l.writes++ }
	stream := jsonrpc2.NewBufferedStream(conn, codec)
	l.rpc = jsonrpc2.NewConn(context.Background(), stream, l, append(m.options(), withoutLogging())...)
	go l.notifyOnDisconnect()
	return l
}

// hello requests the incarnation of the process at the other end, and states whether
// the connection carries attempts.
func (l *link) hello(ctx context.Context, submitsAttempts bool) error {
	params, err := encode(&peerv1.Hello{SubmitsAttempts: submitsAttempts})
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

// submit sends an attempt and returns the call that receives its frames. The error
// wraps ErrUnreachable if no part of the attempt was written.
func (l *link) submit(ctx context.Context, submit *peerv1.Submit) (*Call, error) {
	params, err := encode(submit)
	if err != nil {
		return nil, err
	}
	l.sending.Lock()
	defer l.sending.Unlock()
	if l.closing {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, errClosing)
	}
	call := l.register(submit.GetAttemptId())
	writesBefore := l.writes
	err = l.rpc.Notify(ctx, methodSubmit, params)
	if err == nil {
		return call, nil
	}
	call.Close()
	if l.writes == writesBefore && errors.Is(err, jsonrpc2.ErrClosed) {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return nil, err
}

// Handle implements jsonrpc2.Handler. Besides replies, a server sends frames, which
// are passed to their calls, and the request to submit nothing more.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch req.Method {
	case methodFrame:
		l.handleFrame(conn, req)
	case methodStopSubmitting:
		// The attempt that is being written may have to wait until frames are read.
		go l.stopSubmitting(ctx, conn, req)
	default:
		l.closeMalformed(conn)
	}
}

// handleFrame passes a frame to its call.
func (l *link) handleFrame(conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	frame := &peerv1.Frame{}
	if decode(req.Params, frame) != nil {
		l.closeMalformed(conn)
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

// closeMalformed counts a malformed message and closes the connection.
func (l *link) closeMalformed(conn *jsonrpc2.Conn) {
	l.metrics.malformed.Inc()
	go func() { _ = conn.Close() }()
}

// stopSubmitting confirms that no more attempts are submitted over the connection.
// Its open calls still receive frames.
func (l *link) stopSubmitting(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	l.mu.Lock()
	l.retired = true
	l.mu.Unlock()
	l.sending.Lock()
	defer l.sending.Unlock()
	l.closing = true
	// A connection that has been closed needs no confirmation.
	_ = conn.Reply(ctx, req.ID, payload{})
}

// register creates the call that receives the frames of an attempt.
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

// isUsable reports whether new messages may be sent over the connection.
func (l *link) isUsable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lost && !l.retired
}

// notifyOnDisconnect waits until the connection is closed and notifies all open
// calls.
func (l *link) notifyOnDisconnect() {
	<-l.rpc.DisconnectNotify()
	l.mu.Lock()
	l.lost = true
	calls := make([]*Call, 0, len(l.calls))
	for _, call := range l.calls {
		calls = append(calls, call)
	}
	l.mu.Unlock()
	for _, call := range calls {
		call.markLost()
	}
}
