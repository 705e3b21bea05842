package sending

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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
// does not confirm that a request was sent, whether or not it hides the error.
func TestWritesConfirmSending(t *testing.T) {
	for name, c := range map[string]struct {
		script scriptedConn
		isSent bool
	}{
		"written":         {isSent: true},
		"written shortly": {script: scriptedConn{takes: confirmTimeout / 2}, isSent: true},
		"reset":           {script: scriptedConn{err: syscall.ECONNRESET}},
		"reset shortly":   {script: scriptedConn{takes: confirmTimeout / 2, err: syscall.ECONNRESET}},
		"does not end":    {script: scriptedConn{takes: 3 * confirmTimeout}},
	} {
		for _, hidesErrors := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) { checkWrite(t, name, &c.script, hidesErrors, c.isSent) })
		}
	}
}

// checkWrite writes to a connection with a script and checks what it confirms.
func checkWrite(t *testing.T, name string, script *scriptedConn, hidesErrors, isSent bool) {
	conn := NewConn(script)
	if hidesErrors {
		conn.HideErrors()
	}
	var writing sync.WaitGroup
	var writeErr error
	writing.Go(func() { _, writeErr = io.WriteString(conn, "request") })
	synctest.Wait()
	err := conn.Confirm()
	writing.Wait()
	if isSent {
		require.NoError(t, err, name)
	} else {
		require.ErrorIs(t, err, ErrIncomplete, name)
	}
	require.Equal(t, script.err != nil && !hidesErrors, writeErr != nil, name)
}
