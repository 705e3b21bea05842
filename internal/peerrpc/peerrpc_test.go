package peerrpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// echoHandler responds to each attempt with one data frame that contains the
// attempt ID, and ends it.
type echoHandler struct {
	wg sync.WaitGroup
}

func (h *echoHandler) Submit(sender FrameSender, submit *peerv1.Submit) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		_ = sender.SendFrame(context.Background(), &peerv1.Frame{
			AttemptId: submit.GetAttemptId(),
			Kind:      peerv1.FrameKind_FRAME_KIND_DATA,
			Data:      []byte("for " + submit.GetAttemptId()),
		})
		_ = sender.SendFrame(context.Background(), &peerv1.Frame{
			AttemptId: submit.GetAttemptId(),
			Kind:      peerv1.FrameKind_FRAME_KIND_END,
		})
	}()
}

func (h *echoHandler) Withdraw(w *peerv1.Withdraw) *peerv1.WithdrawReply {
	return &peerv1.WithdrawReply{AttemptId: w.GetAttemptId(), State: peerv1.WithdrawState_WITHDRAW_STATE_WITHDRAWN}
}

func (h *echoHandler) Heartbeat(hb *peerv1.Heartbeat) *peerv1.Heartbeat { return hb }

func (h *echoHandler) FetchConfig(*peerv1.FetchConfig) *peerv1.FetchConfigReply {
	return &peerv1.FetchConfigReply{}
}

func (h *echoHandler) FetchPlan(*peerv1.FetchPlan) *peerv1.FetchPlanReply {
	return &peerv1.FetchPlanReply{}
}

func startServer(t testing.TB) (*Server, *Metrics) {
	metrics := NewMetrics(prometheus.NewRegistry())
	handler := &echoHandler{}
	server := NewServer("127.0.0.1:0", handler, metrics, logevent.Log{})
	require.NoError(t, server.Listen())
	done := make(chan error, 1)
	go func() { done <- server.Start(context.Background()) }()
	t.Cleanup(func() {
		require.NoError(t, server.Stop(context.Background()))
		require.NoError(t, <-done)
		handler.wg.Wait()
	})
	return server, metrics
}

func newTestClient(t testing.TB) *Client {
	client := NewClient(ClientOptions{DataConnections: 2, Metrics: NewMetrics(prometheus.NewRegistry())})
	t.Cleanup(client.Close)
	return client
}

// TestFramesReachTheirCalls checks that frames of concurrent attempts on
// shared connections are passed to the right calls.
func TestFramesReachTheirCalls(t *testing.T) {
	server, _ := startServer(t)
	client := newTestClient(t)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := strings.Repeat("x", i%7) + string(rune('A'+i%26)) + strings.Repeat("y", i/26)
			call, err := client.Submit(t.Context(), server.Address(), &peerv1.Submit{AttemptId: id})
			if !assertNoError(t, err) {
				return
			}
			defer call.Close()
			frame, err := call.Next(t.Context())
			if assertNoError(t, err) && string(frame.GetData()) != "for "+id {
				t.Errorf("attempt %s got %q", id, frame.GetData())
			}
		}()
	}
	wg.Wait()
}

func assertNoError(t *testing.T, err error) bool {
	if err != nil {
		t.Error(err)
	}
	return err == nil
}

// TestMalformedMessageClosesOnlyItsConnection sends a message whose params are
// not a valid protobuf message. It checks that the message is counted, that its
// connection is closed, and that another connection still works.
func TestMalformedMessageClosesOnlyItsConnection(t *testing.T) {
	server, metrics := startServer(t)
	client := newTestClient(t)
	_, err := client.Heartbeat(t.Context(), server.Address(), &peerv1.Heartbeat{Sender: "a"})
	require.NoError(t, err)

	conn, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	body := []byte(`{"jsonrpc":"2.0","method":"submit","params":{"m":"//8="}}`)
	require.NoError(t, binary.Write(conn, binary.BigEndian, uint32(len(body))))
	_, err = conn.Write(body)
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.NoError(t, err)
	require.InDelta(t, 1, testutil.ToFloat64(metrics.malformed), 0)

	_, err = client.Heartbeat(t.Context(), server.Address(), &peerv1.Heartbeat{Sender: "a"})
	require.NoError(t, err)
}

// TestLostConnectionFailsCalls checks that open calls fail when their
// connection is lost, and that new ones fail as unreachable.
func TestLostConnectionFailsCalls(t *testing.T) {
	server, _ := startServer(t)
	client := newTestClient(t)
	call, err := client.Submit(t.Context(), server.Address(), &peerv1.Submit{AttemptId: "a"})
	require.NoError(t, err)
	for range 2 {
		_, err = call.Next(t.Context())
		require.NoError(t, err)
	}
	require.NoError(t, server.Stop(t.Context()))
	_, err = call.Next(t.Context())
	require.ErrorIs(t, err, ErrConnectionLost)
	_, err = client.Submit(t.Context(), server.Address(), &peerv1.Submit{AttemptId: "b"})
	require.ErrorIs(t, err, ErrUnreachable)
}

// TestControlBytesAreCountedByMessage checks that both ends of a connection count
// the same number of bytes for a message.
func TestControlBytesAreCountedByMessage(t *testing.T) {
	server, received := startServer(t)
	client := newTestClient(t)
	_, err := client.Heartbeat(t.Context(), server.Address(), &peerv1.Heartbeat{Sender: "a"})
	require.NoError(t, err)
	sent := client.opts.Metrics.controlBytes.WithLabelValues(server.Address(), methodHeartbeat, "sent")
	got := received.controlBytes.WithLabelValues("127.0.0.1", methodHeartbeat, "received")
	require.Positive(t, testutil.ToFloat64(sent))
	require.InDelta(t, testutil.ToFloat64(sent), testutil.ToFloat64(got), 0)
}

// FuzzReadObject checks that every object that the codec reads is unchanged when
// it is written and read again.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 1, 0, '{'})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := codec{onWrite: func(int) {}, onRead: func(int) {}}
		var first any
		if c.ReadObject(bufio.NewReader(bytes.NewReader(data)), &first) != nil {
			return
		}
		var wire bytes.Buffer
		require.NoError(t, c.WriteObject(&wire, first))
		var second any
		require.NoError(t, c.ReadObject(bufio.NewReader(&wire), &second))
		require.Equal(t, first, second)
	})
}
