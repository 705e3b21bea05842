package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// refusingHandler refuses each attempt in a goroutine of its own, as an agent
// does that is stopping.
type refusingHandler struct {
	echoHandler
}

func (h *refusingHandler) Submit(sender FrameSender, submit *peerv1.Submit) {
	h.wg.Go(func() {
		_ = sender.SendFrame(context.Background(), &peerv1.Frame{
			AttemptId: submit.GetAttemptId(),
			Kind:      peerv1.FrameKind_FRAME_KIND_FAILED,
		})
	})
}

// submitter submits attempts to a server one after the other until the server is
// gone, and returns the outcome of the attempt of which it does not know whether the
// server has received it. With reconnect, it uses a new connection for each attempt.
func submitter(ctx context.Context, address, name string, reconnect bool) error {
	options := ClientOptions{DataConnections: 1, Metrics: NewMetrics(prometheus.NewRegistry())}
	client := NewClient(options)
	defer func() { client.Close() }()
	for n := 0; ; n++ {
		call, err := client.Submit(ctx, address, &peerv1.Submit{AttemptId: fmt.Sprint(name, "-", n)})
		if errors.Is(err, ErrUnreachable) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("submit: %w", err)
		}
		if _, err := call.Next(ctx); err != nil {
			return fmt.Errorf("response: %w", err)
		}
		call.Close()
		if reconnect {
			client.Close()
			client = NewClient(options)
		}
	}
}

// TestNoSubmitIsUnknownWhenServerStops stops servers while attempts are submitted, over
// connections that stand and over new ones. Each attempt is answered or certainly not
// sent.
func TestNoSubmitIsUnknownWhenServerStops(t *testing.T) {
	for name, reconnect := range map[string]bool{"kept connections": false, "new connections": true} {
		t.Run(name, func(t *testing.T) {
			for stop := range 60 {
				checkStop(t, fmt.Sprint(stop), reconnect)
			}
		})
	}
}

// checkStop stops one server while eight clients submit attempts.
func checkStop(t *testing.T, name string, reconnect bool) {
	server := NewServer("127.0.0.1:0", &refusingHandler{}, NewMetrics(prometheus.NewRegistry()), logevent.Log{})
	require.NoError(t, server.Listen())
	address := server.Address()
	var serving, submitting sync.WaitGroup
	serving.Go(func() { _ = server.Start(t.Context()) })
	results := make([]error, 8)
	for i := range results {
		submitting.Go(func() { results[i] = submitter(t.Context(), address, fmt.Sprint(name, "-", i), reconnect) })
	}
	time.Sleep(5 * time.Millisecond)
	require.NoError(t, server.Stop(t.Context()))
	submitting.Wait()
	serving.Wait()
	for _, err := range results {
		require.NoError(t, err)
	}
}

// TestSubmitOnClosedConnectionIsNotSent submits over a connection that has just been
// closed.
func TestSubmitOnClosedConnectionIsNotSent(t *testing.T) {
	server, _ := startServer(t)
	client := newTestClient(t)
	l, err := client.pool(server.Address()).data(t.Context())
	require.NoError(t, err)
	require.NoError(t, l.rpc.Close())
	_, err = l.submit(t.Context(), &peerv1.Submit{AttemptId: "a"})
	require.ErrorIs(t, err, ErrUnreachable)
}

// TestStopDoesNotWaitForUnresponsiveClients stops a server one of whose clients does
// not confirm that it submits nothing more.
func TestStopDoesNotWaitForUnresponsiveClients(t *testing.T) {
	server, _ := startServer(t)
	client := newTestClient(t)
	l, err := client.pool(server.Address()).data(t.Context())
	require.NoError(t, err)
	call, err := l.submit(t.Context(), &peerv1.Submit{AttemptId: "a"})
	require.NoError(t, err)
	_, err = call.Next(t.Context())
	require.NoError(t, err)
	l.sending.Lock()
	defer l.sending.Unlock()
	require.NoError(t, server.Stop(t.Context()))
}
