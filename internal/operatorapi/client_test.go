package operatorapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/explanation"
	"github.com/marigoldwing/marigoldwing/internal/standin/oddhead"
	"github.com/marigoldwing/marigoldwing/internal/standin/rawserver"
)

// startWriting starts a process that writes text after each call and closes the connection,
// once hold is closed unless it is nil. It returns a client of its operator API.
func startWriting(t *testing.T, text string, hold <-chan bool) *Client {
	t.Helper()
	address := rawserver.Start(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, text)
		if hold != nil {
			<-hold
		}
	})
	client, err := NewClient("http://" + address)
	require.NoError(t, err)
	return client
}

// calls are the calls to the API.
var calls = map[string]func(ctx context.Context, c *Client) error{
	"apply": func(ctx context.Context, c *Client) error {
		_, err := c.Apply(ctx, &statusv1.ApplyRequest{})
		return err
	},
	"deployment": func(ctx context.Context, c *Client) error {
		_, err := c.Deployment(ctx)
		return err
	},
	"status": func(ctx context.Context, c *Client) error {
		_, err := c.Status(ctx)
		return err
	},
	"explain": func(ctx context.Context, c *Client) error {
		_, err := c.Explain(ctx, "s")
		return err
	},
	"explain request": func(ctx context.Context, c *Client) error {
		_, err := c.ExplainRequest(ctx, explanation.Question{Host: "h", Path: "/"})
		return err
	},
	"state": func(ctx context.Context, c *Client) error {
		_, err := c.DumpState(ctx)
		return err
	},
}

// TestAnswerCutAnywhereIsNoAnswer guards against a part of a state or of a configuration
// that is shown as the whole, where an answer is cut at any of its bytes.
func TestAnswerCutAnywhereIsNoAnswer(t *testing.T) {
	const body = `{"revision":"12"}`
	for name, call := range calls {
		for _, framing := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(body))} {
			whole := "HTTP/1.1 200 OK\r\n" + framing + "\r\n" + body
			require.NoError(t, call(t.Context(), startWriting(t, whole, nil)), name)
			for cut := range len(whole) {
				require.Error(t, call(t.Context(), startWriting(t, whole[:cut], nil)), "%s: %q", name, whole[:cut])
			}
		}
	}
}

// TestSwitchOfProtocolIsNoAnswer guards against commands that wait without end for a
// connection that a process has taken for another protocol.
func TestSwitchOfProtocolIsNoAnswer(t *testing.T) {
	const timeout = 200 * time.Millisecond
	hold := make(chan bool)
	defer close(hold)
	client := startWriting(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", hold)
	for name, call := range calls {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- call(ctx, client) }()
		select {
		case err := <-ended:
			require.Error(t, err, name)
		case <-time.After(10 * timeout):
			t.Errorf("%s waits beyond its deadline", name)
		}
	}
}

// TestAnswerWithBrokenHeadIsNoAnswer guards against an answer whose status is none, or in whose
// head the name of a field is none, and that is shown as the refusal of a process, or as its
// state.
func TestAnswerWithBrokenHeadIsNoAnswer(t *testing.T) {
	const refusal, state = `{"title":"Service Unavailable","status":503,"not_run":"true"}`, `{"revision":"12"}`
	var texts []string
	for _, status := range oddhead.Statuses {
		texts = append(texts, "HTTP/1.1 "+status+" Trouble\r\n\r\n"+refusal)
	}
	for _, line := range oddhead.AllLines {
		texts = append(texts, "HTTP/1.1 200 OK\r\nServer: s\r\n"+line+"\r\n\r\n"+state)
		texts = append(texts, "HTTP/1.1 503 Service Unavailable\r\nServer: s\r\n"+line+"\r\n\r\n"+refusal)
	}
	for name, call := range calls {
		for _, text := range texts {
			err := call(t.Context(), startWriting(t, text, nil))
			require.Error(t, err, "%s: %q", name, text)
			var problem *ProblemError
			require.NotErrorAs(t, err, &problem, "%s: %q", name, text)
		}
	}
}
