package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// serve accepts connections and runs script on each until the test ends. It
// returns the server's key and the number of requests that were read.
func serve(t *testing.T, script func(conn net.Conn, r *bufio.Reader, reads func() bool)) (fleet.Key, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var read atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				script(conn, r, func() bool {
					request, err := http.ReadRequest(r)
					if err != nil {
						return false
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return false
					}
					read.Add(1)
					return true
				})
			}()
		}
	}()
	return fleet.Key{ID: "s", Address: listener.Addr().String()}, &read
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: mine\r\n\r\nok"

var get = Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}

func mine(h http.Header) bool { return h.Get("Id") == "mine" }

// body reads an answer to its end and releases the exchange.
func body(t *testing.T, e *Exchange) (string, error) {
	t.Helper()
	defer e.Release()
	data, err := io.ReadAll(e.Response.Body)
	return string(data), err
}

func TestConnectionIsUsedAgain(t *testing.T) {
	key, _ := serve(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
		for reads() {
			write(conn, whole)
		}
	})
	p := NewPool()
	for range 10 {
		e, err := p.Do(t.Context(), key, get, mine)
		require.NoError(t, err)
		text, err := body(t, e)
		require.NoError(t, err)
		require.Equal(t, "ok", text)
	}
	require.Equal(t, int64(1), p.ConnectionsOpened())
}

func TestRefusedConnectionWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	key := fleet.Key{ID: "s", Address: listener.Addr().String()}
	require.NoError(t, listener.Close())
	_, err = NewPool().Do(t.Context(), key, get, mine)
	require.ErrorIs(t, err, ErrNotSent)
}

// A request that was written may have run, also if the connection was kept
// and had been closed at the other end just then. It is sent once.
func TestClosedConnectionIsNotTriedAgain(t *testing.T) {
	key, read := serve(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
		if reads() {
			write(conn, whole)
		}
		reads()
	})
	p := NewPool()
	e, err := p.Do(t.Context(), key, get, mine)
	require.NoError(t, err)
	_, err = body(t, e)
	require.NoError(t, err)
	_, err = p.Do(t.Context(), key, get, mine)
	require.ErrorIs(t, err, ErrNoResponse)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Equal(t, int64(2), read.Load())
}

func TestAnswersOfOtherRequestsArePassedOver(t *testing.T) {
	other := strings.Replace(whole, "Id: mine", "Id: other", 1)
	for name, c := range map[string]struct {
		stray string
		ok    bool
	}{
		"one":            {other, true},
		"two":            {other + other, true},
		"three":          {other + other + other, false},
		"without length": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\nno end", false},
		"no answer":      {"junk\r\n\r\n", false},
		"informational":  {"HTTP/1.1 103 Early Hints\r\n\r\n", true},
	} {
		key, _ := serve(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
			if reads() {
				write(conn, c.stray+whole)
				reads()
			}
		})
		e, err := NewPool().Do(t.Context(), key, get, mine)
		require.Equal(t, c.ok, err == nil, "%s: %v", name, err)
		if err == nil {
			text, err := body(t, e)
			require.NoError(t, err)
			require.Equal(t, "ok", text, name)
		}
	}
}

// Bytes after a whole answer belong to no request: the connection is not kept.
func TestConnectionsWithExtraBytesAreNotKept(t *testing.T) {
	key, _ := serve(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
		for reads() {
			write(conn, whole+"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nwrong")
		}
	})
	p := NewPool()
	for range 5 {
		e, err := p.Do(t.Context(), key, get, mine)
		require.NoError(t, err)
		text, err := body(t, e)
		require.NoError(t, err)
		require.Equal(t, "ok", text)
	}
	require.Equal(t, int64(5), p.ConnectionsOpened())
}

func TestCutAnswersAreErrors(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nId: mine\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: mine\r\n\r\n2\r\nok\r\n",
	} {
		key, _ := serve(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
			if reads() {
				write(conn, answer)
			}
		})
		e, err := NewPool().Do(t.Context(), key, get, mine)
		require.NoError(t, err, name)
		_, err = body(t, e)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, name)
	}
}

// An answer without a length ends with its connection; a reset is not an end.
func TestResetIsNotTheEndOfAnAnswer(t *testing.T) {
	for _, reset := range []bool{false, true} {
		key, _ := serve(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
			if !reads() {
				return
			}
			write(conn, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok")
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		e, err := NewPool().Do(t.Context(), key, get, mine)
		if err != nil && reset {
			// The reset overtook the head.
			continue
		}
		require.NoError(t, err)
		_, err = body(t, e)
		require.Equal(t, reset, err != nil)
	}
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	key, read := serve(t, func(_ net.Conn, r *bufio.Reader, reads func() bool) {
		reads()
		// Returns when the other end has closed.
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for read.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := NewPool().Do(ctx, key, get, mine)
	require.ErrorIs(t, err, ErrNoResponse)
	<-closed
}

// A server may answer before it has read a long body. The rest of that body
// must not be taken for another request's.
func TestEarlyAnswerToALongBody(t *testing.T) {
	key, _ := serve(t, func(conn net.Conn, r *bufio.Reader, _ func() bool) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		write(conn, whole)
		// Keeps the connection and reads nothing more.
		time.Sleep(50 * time.Millisecond)
	})
	p := NewPool()
	long := Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 32<<20)}
	for range 2 {
		e, err := p.Do(t.Context(), key, long, mine)
		require.NoError(t, err)
		text, err := body(t, e)
		require.NoError(t, err)
		require.Equal(t, "ok", text)
	}
	require.Equal(t, int64(2), p.ConnectionsOpened(), "the connection was kept with a body unsent")
}

func TestConnectionsOfServersThatAreGoneAreClosed(t *testing.T) {
	key, _ := serve(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
		for reads() {
			write(conn, whole)
		}
	})
	p := NewPool()
	for want := int64(1); want <= 2; want++ {
		e, err := p.Do(t.Context(), key, get, mine)
		require.NoError(t, err)
		_, err = body(t, e)
		require.NoError(t, err)
		require.Equal(t, want, p.ConnectionsOpened())
		p.Retain(nil)
	}
}

func TestKeepAliveTimes(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5": 4 * time.Second, "max=3, timeout=10": 9 * time.Second, "timeout=1": idleMargin / 2,
		"": 0, "timeout=x": 0, "timeout=-1": 0,
	} {
		require.Equal(t, want, keepAlive(http.Header{"Keep-Alive": {text}}), text)
	}
}
