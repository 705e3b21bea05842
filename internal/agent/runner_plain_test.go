package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// discardFrames ignores the frames of an attempt.
type discardFrames struct{}

func (discardFrames) SendFrame(context.Context, *peerv1.Frame) error { return nil }

func (discardFrames) Done() <-chan struct{} { return nil }

// serveOnce answers the first request on each connection and closes the
// connection after it has read a second one. It returns the number of requests
// that it has read with an idempotency key.
func serveOnce(t *testing.T, listener net.Listener) *atomic.Int64 {
	t.Helper()
	keyed := new(atomic.Int64)
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for first := true; ; first = false {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			hasKey := req.Header.Get(headerIdempotencyKey) != ""
			if hasKey {
				keyed.Add(1)
			}
			if hasKey || !first {
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	}
	go acceptEach(listener, serve)
	return keyed
}

// acceptEach serves each connection until the listener is closed.
func acceptEach(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// TestCallWithoutBodyIsSentOnce checks that a call that is not idempotent, has
// an idempotency key and no body reaches the service once, although the
// connection breaks before the response and an earlier idempotent call has left
// a kept connection. net/http repeats such a call on a kept connection.
func TestCallWithoutBodyIsSentOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	keyed := serveOnce(t, listener)
	runner := &plainRunner{client: newPlainClient(), baseURL: "http://" + listener.Addr().String()}
	call := func(submit *peerv1.Submit) {
		runner.run(t.Context(), submit, newEmitter(t.Context(), discardFrames{}, submit, func() *peerv1.Load { return nil }))
	}
	call(&peerv1.Submit{Method: http.MethodGet, Path: "/", RequestId: "r1", Idempotent: true})
	call(&peerv1.Submit{Method: http.MethodPost, Path: "/returns", RequestId: "r2", IdempotencyKey: "k"})
	require.Equal(t, int64(1), keyed.Load())
}

// collectData collects the data of an attempt's frames.
type collectData struct {
	discardFrames
	data *bytes.Buffer
}

// SendFrame implements sender.
func (c collectData) SendFrame(_ context.Context, f *peerv1.Frame) error {
	c.data.Write(f.GetData())
	return nil
}

// TestLateSecondAnswerIsNotRelayed guards against callers that get the answer to another
// call: the service wrote it once more, without a request ID, on a connection that was in
// use again.
func TestLateSecondAnswerIsNotRelayed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go acceptEach(listener, repeatAnswers)
	runner := &plainRunner{client: newPlainClient(), baseURL: "http://" + listener.Addr().String()}
	for _, path := range []string{"/first", "/second", "/third"} {
		data := &bytes.Buffer{}
		submit := &peerv1.Submit{Method: http.MethodGet, Path: path, RequestId: path, Idempotent: true}
		runner.run(t.Context(), submit, newEmitter(t.Context(), collectData{data: data}, submit, func() *peerv1.Load { return nil }))
		require.Equal(t, path, data.String())
	}
}

// repeatAnswers answers each request with its path, after the answer to the one before.
func repeatAnswers(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for late := ""; ; {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		_, _ = io.WriteString(conn, late+answer)
		late = answer
	}
}
