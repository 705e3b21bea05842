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
		synctest.Test(t, func(t *testing.T) {
			dial := observed(func(context.Context, string, string) (net.Conn, error) { return &c.script, nil })
			conn, err := dial(t.Context(), "tcp", "")
			require.NoError(t, err)
			var writing sync.WaitGroup
			writing.Go(func() { _, _ = io.WriteString(conn, "request") })
			defer writing.Wait()
			synctest.Wait()
			err = conn.(*observedConn).confirmWrites()
			if c.isSent {
				require.NoError(t, err, name)
				return
			}
			require.ErrorIs(t, err, sending.ErrIncomplete, name)
		})
	}
}
