package connstate

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client *net.TCPConn, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(); _ = server.Close() })
	return conn.(*net.TCPConn), server
}

// becomes waits until a connection has a state.
func becomes(t *testing.T, conn net.Conn, want State) {
	t.Helper()
	require.Eventually(t, func() bool { return Peek(conn) == want }, time.Second, time.Millisecond)
}

// TestPeek checks each state, also while another goroutine waits for bytes to read.
func TestPeek(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { _ = c.Close() },
		"half":   func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		client, server := connect(t)
		require.Equal(t, Idle, Peek(server), name)
		_, err := client.Write([]byte("x"))
		require.NoError(t, err)
		becomes(t, server, Readable)
		_, err = server.Read(make([]byte, 1))
		require.NoError(t, err)
		read := make(chan error)
		go func() {
			_, err := server.Read(make([]byte, 1))
			read <- err
		}()
		becomes(t, server, Idle)
		end(client)
		require.Error(t, <-read, name)
		becomes(t, server, Closed)
		require.NoError(t, server.Close())
		require.Equal(t, Unknown, Peek(server), name)
	}
	pipe, _ := net.Pipe()
	require.Equal(t, Unknown, Peek(pipe))
}

// TestPeekLeavesResetToReader guards against a reset that Peek takes, so that the next read
// returns an ordinary end: the kernel reports a reset once.
func TestPeekLeavesResetToReader(t *testing.T) {
	client, server := connect(t)
	require.NoError(t, client.SetLinger(0))
	require.NoError(t, client.Close())
	becomes(t, server, Closed)
	becomes(t, server, Closed)
	_, err := server.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	becomes(t, server, Closed)
}

// TestPeekCountsBytesBeforeEnd checks that bytes that have arrived come before the end of the
// connection, also before a reset.
func TestPeekCountsBytesBeforeEnd(t *testing.T) {
	for _, resets := range []bool{true, false} {
		client, server := connect(t)
		_, err := client.Write([]byte("x"))
		require.NoError(t, err)
		becomes(t, server, Readable)
		if resets {
			require.NoError(t, client.SetLinger(0))
		}
		require.NoError(t, client.Close())
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, Readable, Peek(server))
		_, err = server.Read(make([]byte, 1))
		require.NoError(t, err)
		becomes(t, server, Closed)
	}
}
