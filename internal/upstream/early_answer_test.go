package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/sending"
)

// unmarkedResponse is a response whose body nothing but the end of its connection ends.
const unmarkedResponse = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok"

// postTo returns the body of the response to a POST with a body of a length.
func postTo(t *testing.T, length int, script func(conn *net.TCPConn, r *bufio.Reader)) (string, error) {
	t.Helper()
	key, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ func() bool) { script(conn.(*net.TCPConn), r) })
	e, err := NewPool(responseID).Do(t.Context(), key, longPost(length))
	if err != nil {
		return "", err
	}
	return readBody(t, e)
}

// TestWholeResponseToUnreadRequestIsTaken checks that a complete response is taken although
// its server ends the connection before it has read the request, of any length.
func TestWholeResponseToUnreadRequestIsTaken(t *testing.T) {
	const tries = 20
	for _, length := range []int{1 << 10, 12 << 10, asyncBodyBytes, longBodyBytes} {
		taken := 0
		for range tries {
			text, err := postTo(t, length, func(conn *net.TCPConn, _ *bufio.Reader) { write(conn, completeResponse) })
			if err == nil && text == "ok" {
				taken++
			}
		}
		require.Equal(t, tries, taken, "%d bytes", length)
	}
}

// TestResponseOfHalfClosedConnectionIsWhole checks that a server may end its response by
// closing its side of the connection while it reads the rest of the request.
func TestResponseOfHalfClosedConnectionIsWhole(t *testing.T) {
	text, err := postTo(t, longBodyBytes, func(conn *net.TCPConn, r *bufio.Reader) {
		write(conn, unmarkedResponse)
		_ = conn.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		if request, err := http.ReadRequest(r); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
	})
	require.NoError(t, err)
	require.Equal(t, "ok", text)
}

// TestResponseToRequestThatStaysUnreadIsNotWhole guards against a response that counts as
// whole, or a call that waits without end, while the server reads nothing more of the request.
func TestResponseToRequestThatStaysUnreadIsNotWhole(t *testing.T) {
	begun := time.Now()
	_, err := postTo(t, longBodyBytes, func(conn *net.TCPConn, _ *bufio.Reader) {
		write(conn, unmarkedResponse)
		_ = conn.CloseWrite()
		time.Sleep(2 * time.Second)
	})
	require.ErrorIs(t, err, sending.ErrIncomplete)
	require.Less(t, time.Since(begun), 2*time.Second)
}

// TestOtherExchangeLeavesReset guards against a part of a response that is taken for the whole,
// because another exchange with the server has looked at the connection after its reset.
func TestOtherExchangeLeavesReset(t *testing.T) {
	key, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ func() bool) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := request.Header.Get("Id")
			if id == "reset" {
				write(conn, strings.Replace(unmarkedResponse, "mine", id, 1))
				time.Sleep(10 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
			write(conn, strings.Replace(completeResponse, "mine", id, 1))
		}
	})
	p := NewPool(responseID)
	first, err := p.Do(t.Context(), key, getWithID("first"))
	require.NoError(t, err)
	second, err := p.Do(t.Context(), key, getWithID("second"))
	require.NoError(t, err)
	for _, e := range []*Exchange{first, second} {
		_, err := readBody(t, e)
		require.NoError(t, err)
	}
	other, err := p.Do(t.Context(), key, getWithID("other"))
	require.NoError(t, err)
	defer other.Release()
	cut, err := p.Do(t.Context(), key, getWithID("reset"))
	require.NoError(t, err)
	require.Equal(t, int64(2), p.ConnectionsOpened())
	time.Sleep(50 * time.Millisecond)
	_, closed := other.OtherConnections()
	require.Equal(t, 1, closed)
	text, err := readBody(t, cut)
	require.Error(t, err, "%q is taken for the whole response", text)
}
