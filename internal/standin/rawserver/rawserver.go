// Package rawserver starts servers for tests that write bytes of their own choice in place of
// responses.
package rawserver

import (
	"bufio"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Start starts a server that serves each connection with a function until the test ends, and
// returns its address (IP:port). The connection is closed when the function returns.
func Start(t testing.TB, serve func(conn *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn), bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}
