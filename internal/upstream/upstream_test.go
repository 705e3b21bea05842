package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/standin/rawserver"
)

// startServer accepts connections and runs script on each until the test ends.
// It returns the server's key and the number of requests read.
func startServer(t *testing.T, script func(conn net.Conn, r *bufio.Reader, reads func() bool)) (fleet.Key, *atomic.Int64) {
	t.Helper()
	var read atomic.Int64
	address := rawserver.Start(t, func(conn *net.TCPConn, r *bufio.Reader) {
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
	})
	return fleet.Key{ID: "s", Address: address}, &read
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// completeResponse is a response to the request whose Id header is "mine".
const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: mine\r\n\r\nok"

var get = Request{ID: "mine", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}

func responseID(h http.Header) string { return h.Get("Id") }

// readBody reads a response to its end and releases the exchange.
func readBody(t *testing.T, e *Exchange) (string, error) {
	t.Helper()
	defer e.Release()
	data, err := io.ReadAll(e.Response.Body)
	return string(data), err
}

// TestConnectionIsReused checks that consecutive exchanges share one
// connection.
func TestConnectionIsReused(t *testing.T) {
	key, _ := startServer(t, echoID)
	p := NewPool(responseID)
	for i := range 10 {
		e, err := p.Do(t.Context(), key, getWithID(strconv.Itoa(i)))
		require.NoError(t, err)
		text, err := readBody(t, e)
		require.NoError(t, err)
		require.Equal(t, "ok", text)
	}
	require.Equal(t, int64(1), p.ConnectionsOpened())
}

// TestRefusedConnectionIsNotSent checks that a refused connection is reported
// as ErrNotSent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	key := fleet.Key{ID: "s", Address: listener.Addr().String()}
	require.NoError(t, listener.Close())
	_, err = NewPool(responseID).Do(t.Context(), key, get)
	require.ErrorIs(t, err, ErrNotSent)
}

// TestRequestIsPermittedOnceConnectionStands checks that such a request is not sent.
func TestRequestIsPermittedOnceConnectionStands(t *testing.T) {
	key, read := startServer(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
		for reads() {
			write(conn, completeResponse)
		}
	})
	p := NewPool(responseID)
	refused := get
	refused.Permit = func() bool {
		require.Equal(t, int64(1), p.ConnectionsOpened())
		return false
	}
	_, err := p.Do(t.Context(), key, refused)
	require.ErrorIs(t, err, ErrNotPermitted)
	require.ErrorIs(t, err, ErrNotSent)
	permitted := get
	permitted.Permit = func() bool { return true }
	e, err := p.Do(t.Context(), key, permitted)
	require.NoError(t, err)
	_, err = readBody(t, e)
	require.NoError(t, err)
	require.Equal(t, int64(1), read.Load())
	require.Equal(t, int64(1), p.ConnectionsOpened())
}

// TestClosedConnectionIsNotRetried guards against the silent retry of a request
// whose kept connection the server closes at that moment. The request was
// written, so it may have been executed and must be sent only once.
func TestClosedConnectionIsNotRetried(t *testing.T) {
	key, read := startServer(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
		if reads() {
			write(conn, completeResponse)
		}
		reads()
	})
	p := NewPool(responseID)
	e, err := p.Do(t.Context(), key, get)
	require.NoError(t, err)
	_, err = readBody(t, e)
	require.NoError(t, err)
	_, err = p.Do(t.Context(), key, getWithID("second"))
	require.ErrorIs(t, err, ErrNoResponse)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Equal(t, int64(2), read.Load())
}

// TestUnrelatedResponsesAreDiscarded checks that a bounded number of responses
// to other requests, and informational responses, are skipped.
func TestUnrelatedResponsesAreDiscarded(t *testing.T) {
	other := strings.Replace(completeResponse, "Id: mine", "Id: other", 1)
	for name, c := range map[string]struct {
		preceding string
		ok        bool
	}{
		"one":            {other, true},
		"two":            {other + other, true},
		"three":          {other + other + other, false},
		"without length": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\nno end", false},
		"no answer":      {"junk\r\n\r\n", false},
		"informational":  {"HTTP/1.1 103 Early Hints\r\n\r\n", true},
	} {
		key, _ := startServer(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
			if reads() {
				write(conn, c.preceding+completeResponse)
				reads()
			}
		})
		e, err := NewPool(responseID).Do(t.Context(), key, get)
		require.Equal(t, c.ok, err == nil, "%s: %v", name, err)
		if err == nil {
			text, err := readBody(t, e)
			require.NoError(t, err)
			require.Equal(t, "ok", text, name)
		}
	}
}

// TestConnectionWithExtraBytesIsNotReused checks that a connection with bytes
// after a complete response is closed, because they belong to no request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	key, _ := startServer(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
		for reads() {
			write(conn, completeResponse+"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nwrong")
		}
	})
	p := NewPool(responseID)
	for range 5 {
		e, err := p.Do(t.Context(), key, get)
		require.NoError(t, err)
		text, err := readBody(t, e)
		require.NoError(t, err)
		require.Equal(t, "ok", text)
	}
	require.Equal(t, int64(5), p.ConnectionsOpened())
}

// TestTruncatedResponseIsAnError checks that a response cut short is not taken
// as complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nId: mine\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: mine\r\n\r\n2\r\nok\r\n",
	} {
		key, _ := startServer(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
			if reads() {
				write(conn, response)
			}
		})
		e, err := NewPool(responseID).Do(t.Context(), key, get)
		require.NoError(t, err, name)
		_, err = readBody(t, e)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, name)
	}
}

// TestResetDoesNotEndResponse checks that a response without a length, which
// ends with its connection, is not taken as complete after a connection reset.
func TestResetDoesNotEndResponse(t *testing.T) {
	for _, reset := range []bool{false, true} {
		key, _ := startServer(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
			if !reads() {
				return
			}
			write(conn, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok")
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		e, err := NewPool(responseID).Do(t.Context(), key, get)
		if err != nil && reset {
			// The reset arrived before the header was read.
			continue
		}
		require.NoError(t, err)
		_, err = readBody(t, e)
		require.Equal(t, reset, err != nil)
	}
}

// TestContextEndClosesConnection checks that the server notices the end of the
// request's context.
func TestContextEndClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	key, read := startServer(t, func(_ net.Conn, r *bufio.Reader, reads func() bool) {
		reads()
		// Returns when the client has closed the connection.
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
	_, err := NewPool(responseID).Do(ctx, key, get)
	require.ErrorIs(t, err, ErrNoResponse)
	<-closed
}

// TestEarlyResponseToLongBody guards against reuse of a connection whose
// request body is not completely sent. A server may respond before it has read
// a long body; the rest of that body must not be taken for another request.
func TestEarlyResponseToLongBody(t *testing.T) {
	key, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ func() bool) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		write(conn, completeResponse)
		// Keep the connection open without reading the body.
		time.Sleep(50 * time.Millisecond)
	})
	p := NewPool(responseID)
	long := Request{ID: "mine", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 32<<20)}
	for range 2 {
		e, err := p.Do(t.Context(), key, long)
		require.NoError(t, err)
		text, err := readBody(t, e)
		require.NoError(t, err)
		require.Equal(t, "ok", text)
	}
	require.Equal(t, int64(2), p.ConnectionsOpened(), "a connection with an unsent body was reused")
}

// TestRetainClosesOtherConnections checks that idle connections to removed
// servers are closed.
func TestRetainClosesOtherConnections(t *testing.T) {
	key, _ := startServer(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
		for reads() {
			write(conn, completeResponse)
		}
	})
	p := NewPool(responseID)
	for want := int64(1); want <= 2; want++ {
		e, err := p.Do(t.Context(), key, get)
		require.NoError(t, err)
		_, err = readBody(t, e)
		require.NoError(t, err)
		require.Equal(t, want, p.ConnectionsOpened())
		p.Retain(nil)
	}
}

func TestParseKeepAlive(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5": 4 * time.Second, "max=3, timeout=10": 9 * time.Second, "timeout=1": idleMargin / 2,
		"": 0, "timeout=x": 0, "timeout=-1": 0,
	} {
		require.Equal(t, want, parseKeepAlive(http.Header{"Keep-Alive": {text}}), text)
	}
}

// TestUnidentifiedResponseIsNotTaken guards against responses of unknown requests that
// were taken for the response to the latest one.
func TestUnidentifiedResponseIsNotTaken(t *testing.T) {
	key, _ := startServer(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
		for reads() {
			write(conn, strings.Replace(completeResponse, "Id: mine\r\n", "", 1)+completeResponse)
		}
	})
	_, err := NewPool(responseID).Do(t.Context(), key, get)
	require.ErrorIs(t, err, ErrNoResponse)
	require.ErrorIs(t, err, ErrUnidentified)
}

// TestConnectionWithUnrelatedResponseIsNotReused checks that a connection on which a
// response to another request came is closed, because more may follow.
func TestConnectionWithUnrelatedResponseIsNotReused(t *testing.T) {
	other := strings.Replace(completeResponse, "Id: mine", "Id: other", 1)
	key, _ := startServer(t, func(conn net.Conn, _ *bufio.Reader, reads func() bool) {
		for reads() {
			write(conn, other+completeResponse)
		}
	})
	p := NewPool(responseID)
	for want := int64(1); want <= 3; want++ {
		e, err := p.Do(t.Context(), key, get)
		require.NoError(t, err)
		text, err := readBody(t, e)
		require.NoError(t, err)
		require.Equal(t, "ok", text)
		require.Equal(t, want, p.ConnectionsOpened())
	}
}

// echoID answers each request with its ID.
func echoID(conn net.Conn, r *bufio.Reader, _ func() bool) {
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		write(conn, strings.Replace(completeResponse, "mine", request.Header.Get("Id"), 1))
	}
}

// getWithID returns a request with an ID.
func getWithID(id string) Request {
	return Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}}
}

// TestConnectionCarriesNoIDTwice guards against responses to an earlier request that are
// taken for those to a later one with the same ID, and checks that other requests still
// share the connection.
func TestConnectionCarriesNoIDTwice(t *testing.T) {
	key, _ := startServer(t, echoID)
	p := NewPool(responseID)
	for _, c := range []struct {
		id     string
		opened int64
	}{{"a", 1}, {"b", 1}, {"a", 2}, {"c", 2}, {"b", 2}, {"a", 3}} {
		e, err := p.Do(t.Context(), key, getWithID(c.id))
		require.NoError(t, err)
		_, err = readBody(t, e)
		require.NoError(t, err)
		require.Equal(t, c.opened, p.ConnectionsOpened(), "request %s", c.id)
	}
}

// TestConnectionIsReplacedAfterManyRequests checks that what a connection remembers of
// its requests is bounded.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	key, _ := startServer(t, echoID)
	p := NewPool(responseID)
	for i := range maxRequestsPerConn + 1 {
		e, err := p.Do(t.Context(), key, getWithID(strconv.Itoa(i)))
		require.NoError(t, err)
		_, err = readBody(t, e)
		require.NoError(t, err)
	}
	require.Equal(t, int64(2), p.ConnectionsOpened())
}
