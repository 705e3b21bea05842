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
// server has received it.
func submitter(ctx context.Context, client *Client, address, name string) error {
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
	}
}

// TestNoSubmitIsUnknownWhenServerStops stops servers while attempts are submitted. Each
// attempt is answered or certainly not sent.
func TestNoSubmitIsUnknownWhenServerStops(t *testing.T) {
	const stops, submitters = 40, 8
	for stop := range stops {
		metrics := NewMetrics(prometheus.NewRegistry())
		server := NewServer("127.0.0.1:0", &refusingHandler{}, metrics, logevent.Log{})
		require.NoError(t, server.Listen())
		var serving, submitting sync.WaitGroup
		serving.Go(func() { _ = server.Start(t.Context()) })
		client := newTestClient(t)
		results := make([]error, submitters)
		for i := range submitters {
			submitting.Go(func() {
				results[i] = submitter(t.Context(), client, server.Address(), fmt.Sprint(stop, "-", i))
			})
		}
		time.Sleep(5 * time.Millisecond)
		require.NoError(t, server.Stop(t.Context()))
		submitting.Wait()
		serving.Wait()
		for _, err := range results {
			require.NoError(t, err)
		}
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
