package httpclient

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/sending"
)

// scriptedConn is a connection whose writes take a time and return an error.
type scriptedConn struct {
	net.Conn
	takes time.Duration
	err   error
}

// Write implements net.Conn.
func (c *scriptedConn) Write(p []byte) (int, error) {
	time.Sleep(c.takes)
	if c.err != nil {
		return 0, c.err
	}
	return len(p), nil
}

// TestWritesConfirmSending checks that a connection whose last write failed, or does not end,
// does not confirm that a request was sent.
func TestWritesConfirmSending(t *testing.T) {
	for name, c := range map[string]struct {
		script scriptedConn
		isSent bool
	}{
		"written":         {isSent: true},
		"written shortly": {script: scriptedConn{takes: writeTimeout / 2}, isSent: true},
		"reset":           {script: scriptedConn{err: syscall.ECONNRESET}},
		"reset shortly":   {script: scriptedConn{takes: writeTimeout / 2, err: syscall.ECONNRESET}},
		"does not end":    {script: scriptedConn{takes: 3 * writeTimeout}},
	} {
		for _, singleCall := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) { checkWrite(t, name, &c.script, singleCall, c.isSent) })
		}
	}
}

// checkWrite writes to a connection with a script and checks what it confirms. A connection
// for a single call hides that the write failed from the transport.
func checkWrite(t *testing.T, name string, script *scriptedConn, singleCall, isSent bool) {
	dial := observed(func(context.Context, string, string) (net.Conn, error) { return script, nil }, singleCall)
	conn, err := dial(t.Context(), "tcp", "")
	require.NoError(t, err)
	var writing sync.WaitGroup
	var writeErr error
	writing.Go(func() { _, writeErr = io.WriteString(conn, "request") })
	synctest.Wait()
	err = conn.(*observedConn).confirmWrites()
	writing.Wait()
	if isSent {
		require.NoError(t, err, name)
	} else {
		require.ErrorIs(t, err, sending.ErrIncomplete, name)
	}
	require.Equal(t, script.err != nil && !singleCall, writeErr != nil, name)
}
