package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
)

const (
	refusal       = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	refusedOrder  = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	acceptedOrder = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	finishedEvent = `{"id":"second","done":true,"finishReason":"stop"}` + "\n"
)

// startRepeating starts an engine that refuses the first call and accepts the later ones.
// On a connection that is used again it writes the refusal once more first.
func startRepeating(t *testing.T, refused, accepted string) Engine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var calls atomic.Int64
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		for repeated := ""; readCall(r); repeated = refused {
			if calls.Add(1) == 1 {
				_, _ = io.WriteString(conn, refused)
				continue
			}
			_, _ = io.WriteString(conn, repeated+accepted)
			return
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return NewHTTP("http://" + listener.Addr().String())
}

// readCall reads a call with its body and reports whether there was one.
func readCall(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// TestEarlierRefusalIsNotTakenForLaterCall guards against sequences that run though they
// are reported as refused: their engine had written the refusal of an earlier one again.
func TestEarlierRefusalIsNotTakenForLaterCall(t *testing.T) {
	e := startRepeating(t, refusal, "HTTP/1.1 200 OK\r\n\r\n"+finishedEvent)
	_, err := e.Generate(t.Context(), &enginev1.GenerateRequest{Id: "first"})
	require.ErrorIs(t, err, ErrRefused)
	stream, err := e.Generate(t.Context(), &enginev1.GenerateRequest{Id: "second"})
	require.NoError(t, err)
	defer stream.Close()
	event, err := stream.Next()
	require.NoError(t, err)
	require.True(t, event.GetDone())
}

// TestEarlierRefusalIsNotTakenForLaterOrder guards against the same for orders.
func TestEarlierRefusalIsNotTakenForLaterOrder(t *testing.T) {
	e := startRepeating(t, refusedOrder, acceptedOrder)
	_, err := e.Order(t.Context(), &enginev1.Order{})
	require.ErrorIs(t, err, ErrRefused)
	_, err = e.Order(t.Context(), &enginev1.Order{})
	require.NoError(t, err)
}
