package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longBodyBytes is the length of bodies that exceed the buffers of a loopback
// connection, so that sending one takes until the server reads or closes.
const longBodyBytes = 8 << 20

// longPost returns a request with a body of the given length. Its Permit delays the
// request, so that the server can act on the connection before it is written.
func longPost(length int) Request {
	return Request{
		ID: "mine", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"mine"}},
		Body:   []byte(strings.Repeat("x", length)),
		Permit: func() bool { time.Sleep(time.Millisecond); return true },
	}
}

// serversThatEndEarly are servers that do not read a long body to its end.
var serversThatEndEarly = map[string]func(conn net.Conn, r *bufio.Reader){
	"closes at once": func(net.Conn, *bufio.Reader) {},
	"resets at once": func(conn net.Conn, _ *bufio.Reader) { _ = conn.(*net.TCPConn).SetLinger(0) },
	"closes after the header": func(_ net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
	},
	"answers early and closes": func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		write(conn, completeResponse)
	},
	"answers before it reads": func(conn net.Conn, _ *bufio.Reader) { write(conn, completeResponse) },
	"answers early and stalls": func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		write(conn, completeResponse)
		time.Sleep(20 * time.Millisecond)
	},
	"sends no answer in the protocol": func(conn net.Conn, _ *bufio.Reader) { write(conn, "\x00\x01\r\n\r\n") },
}

// TestServerEndsLongBodyEarly guards against a process that ends because the answer
// to a long body fails while the body is still being sent.
func TestServerEndsLongBodyEarly(t *testing.T) {
	for name, script := range serversThatEndEarly {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			key, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ func() bool) { script(conn, r) })
			p := NewPool(responseID)
			for i := range 40 {
				length := asyncBodyBytes
				if i%4 == 0 {
					length = longBodyBytes
				}
				e, err := p.Do(t.Context(), key, longPost(length))
				if err != nil {
					require.True(t, errors.Is(err, ErrNoResponse) || errors.Is(err, ErrNotSent), err)
					continue
				}
				_, _ = readBody(t, e)
			}
		})
	}
}

// TestNothingOutlivesTheExchange guards against a body that is still being sent, or
// read by the sender, after its exchange has ended.
func TestNothingOutlivesTheExchange(t *testing.T) {
	const serverPause = 20 * time.Millisecond
	ends := map[string]func(cancel context.CancelFunc, e *Exchange){
		"caller leaves": func(cancel context.CancelFunc, e *Exchange) { cancel(); e.Release() },
		"aborted":       func(_ context.CancelFunc, e *Exchange) { e.Abort() },
		"released":      func(_ context.CancelFunc, e *Exchange) { e.Release() },
		"read and released": func(_ context.CancelFunc, e *Exchange) {
			_, _ = io.Copy(io.Discard, e.Response.Body)
			e.Release()
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			key, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ func() bool) {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				write(conn, completeResponse)
				time.Sleep(serverPause)
				_, _ = io.Copy(io.Discard, request.Body)
			})
			p := NewPool(responseID)
			for range 10 {
				ctx, cancel := context.WithCancel(t.Context())
				r := longPost(longBodyBytes)
				e, err := p.Do(ctx, key, r)
				require.NoError(t, err)
				end(cancel, e)
				// The race detector reports a sender that still reads them.
				clear(r.Body)
				clear(r.Header)
				cancel()
			}
		})
	}
}
