package peerrpc

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// cuttingProxy passes connections on to a server. It ends each of them after a number of
// bytes from the server.
type cuttingProxy struct {
	listener net.Listener
	server   string
	limit    int64
	// reset is set if connections are reset instead of closed in order.
	reset bool
	// passed is the number of bytes passed on from the server.
	passed atomic.Int64
}

func startCuttingProxy(t *testing.T, server string, limit int64, reset bool) *cuttingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &cuttingProxy{listener: listener, server: server, limit: limit, reset: reset}
	go p.run()
	return p
}

func (p *cuttingProxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn)
	}
}

// pass passes one connection on until the limit is reached.
func (p *cuttingProxy) pass(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.Close()
	}()
	n, _ := io.Copy(client, io.LimitReader(server, p.limit))
	p.passed.Add(n)
	if tcp, ok := client.(*net.TCPConn); ok && p.reset {
		_ = tcp.SetLinger(0)
	}
}

// cutTimeout bounds a call of these tests.
const cutTimeout = 5 * time.Second

// TestReplyCutAnywhereIsNoReply guards against replies of other processes that are cut, at
// any of their bytes, and taken for whole.
func TestReplyCutAnywhereIsNoReply(t *testing.T) {
	const limit = 10_000
	server, _ := startServer(t)
	heartbeat := &peerv1.Heartbeat{Sender: "sender", Incarnation: 12}
	call := func(p *cuttingProxy) (*peerv1.Heartbeat, error) {
		client := newTestClient(t)
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), cutTimeout)
		defer cancel()
		return client.Heartbeat(ctx, p.listener.Addr().String(), heartbeat)
	}
	whole := startCuttingProxy(t, server.Address(), limit, false)
	reply, err := call(whole)
	require.NoError(t, err)
	require.Equal(t, "sender", reply.GetSender())
	require.Eventually(t, func() bool { return whole.passed.Load() > 0 }, cutTimeout, time.Millisecond)
	for cut := range whole.passed.Load() {
		for _, reset := range []bool{false, true} {
			_, err := call(startCuttingProxy(t, server.Address(), cut, reset))
			require.Error(t, err, "cut after %d bytes", cut)
			require.NotErrorIs(t, err, context.DeadlineExceeded, "cut after %d bytes", cut)
		}
	}
}

// TestAnswerOfAgentCutAnywhereHasNoEnd guards against answers that an agent's connection
// has cut, and that seem to have their last frame.
func TestAnswerOfAgentCutAnywhereHasNoEnd(t *testing.T) {
	const limit = 10_000
	server, _ := startServer(t)
	// frames returns the frames of an attempt and the error after the last of them.
	frames := func(p *cuttingProxy) ([]*peerv1.Frame, error) {
		client := newTestClient(t)
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), cutTimeout)
		defer cancel()
		call, err := client.Submit(ctx, p.listener.Addr().String(), &peerv1.Submit{AttemptId: "attempt"})
		if err != nil {
			return nil, err
		}
		var received []*peerv1.Frame
		for {
			frame, err := call.Next(ctx)
			if err != nil {
				return received, err
			}
			received = append(received, frame)
			if frame.GetKind() == peerv1.FrameKind_FRAME_KIND_END {
				return received, nil
			}
		}
	}
	whole := startCuttingProxy(t, server.Address(), limit, false)
	received, err := frames(whole)
	require.NoError(t, err)
	require.Len(t, received, 2)
	require.Eventually(t, func() bool { return whole.passed.Load() > 0 }, cutTimeout, time.Millisecond)
	for cut := range whole.passed.Load() {
		for _, reset := range []bool{false, true} {
			received, err := frames(startCuttingProxy(t, server.Address(), cut, reset))
			require.Error(t, err, "cut after %d bytes", cut)
			require.NotErrorIs(t, err, context.DeadlineExceeded, "cut after %d bytes", cut)
			for _, frame := range received {
				require.Equal(t, "for attempt", string(frame.GetData()), "cut after %d bytes", cut)
			}
		}
	}
}
