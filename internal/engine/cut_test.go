package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	"github.com/marigoldwing/marigoldwing/internal/standin/oddhead"
	"github.com/marigoldwing/marigoldwing/internal/standin/rawserver"
)

// startWriting starts an engine that writes text after each call and closes the connection,
// once hold is closed unless it is nil.
func startWriting(t *testing.T, text string, hold <-chan bool) Engine {
	t.Helper()
	address := rawserver.Start(t, func(conn *net.TCPConn, r *bufio.Reader) {
		if !readCall(r) {
			return
		}
		_, _ = io.WriteString(conn, text)
		if hold != nil {
			<-hold
		}
	})
	return NewHTTP("http://" + address)
}

// calls are the calls to an engine, each with the body of a sound answer.
var calls = map[string]struct {
	header, body string
	call         func(ctx context.Context, e Engine) error
}{
	"state": {body: `{"role":"ROLE_DECODE"}`, call: func(ctx context.Context, e Engine) error {
		_, err := e.State(ctx)
		return err
	}},
	"order": {body: `{"accepted":true}`, call: func(ctx context.Context, e Engine) error {
		_, err := e.Order(ctx, &enginev1.Order{})
		return err
	}},
	"load": {body: `{}`, call: func(ctx context.Context, e Engine) error {
		_, err := e.Load(ctx)
		return err
	}},
	"export": {header: HeaderKVHandle + ": h12\r\n", call: func(ctx context.Context, e Engine) error {
		_, err := e.ExportKV(ctx, "s")
		return err
	}},
	"cancel": {call: func(ctx context.Context, e Engine) error { return e.Cancel(ctx, "s") }},
	"import": {call: func(ctx context.Context, e Engine) error { return e.ImportKV(ctx, "http://127.0.0.1:1", "h") }},
	"generate": {body: `{"id":"s","tokens":1,"text":"a"}` + "\n" + `{"id":"s","done":true}`, call: func(ctx context.Context, e Engine) error {
		stream, err := e.Generate(ctx, &enginev1.GenerateRequest{Id: "s"})
		if err != nil {
			return err
		}
		defer stream.Close()
		for {
			event, err := stream.Next()
			if err != nil || event.GetDone() {
				return err
			}
		}
	}},
}

// callTries is how often a call is made whose connection was not established in time.
const callTries = 5

// sendCall makes a call until it was sent, so that its error is about the answer.
func sendCall(ctx context.Context, call func(context.Context, Engine) error, e Engine) error {
	var err error
	for range callTries {
		err = call(ctx, e)
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" || !op.Timeout() {
			return err
		}
	}
	return err
}

// TestAnswerCutAnywhereHasUnknownOutcome guards against answers that an engine has cut, at
// any of their bytes, and that are taken for whole or for refusals.
func TestAnswerCutAnywhereHasUnknownOutcome(t *testing.T) {
	for name, c := range calls {
		for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			whole := interim + "HTTP/1.1 200 OK\r\n" + c.header + "\r\n" + c.body
			if strings.HasPrefix(c.body, "{") {
				require.NoError(t, c.call(t.Context(), startWriting(t, whole, nil)), name)
			}
			for cut := range len(whole) {
				err := sendCall(t.Context(), c.call, startWriting(t, whole[:cut], nil))
				require.ErrorIs(t, err, ErrInterrupted, "%s: %q", name, whole[:cut])
			}
		}
	}
}

// TestRefusalCutInItsHeadHasUnknownOutcome guards against refusals that are cut and that
// are believed.
func TestRefusalCutInItsHeadHasUnknownOutcome(t *testing.T) {
	for cut := range len(refusal) {
		_, err := startWriting(t, refusal[:cut], nil).Order(t.Context(), &enginev1.Order{})
		require.ErrorIs(t, err, ErrInterrupted, "%q", refusal[:cut])
		require.NotErrorIs(t, err, ErrRefused)
	}
}

// TestSwitchOfProtocolIsNoRefusal guards against an interim answer that is taken for a
// refusal, and against calls that wait for the end of its connection beyond their deadline.
func TestSwitchOfProtocolIsNoRefusal(t *testing.T) {
	const timeout = 200 * time.Millisecond
	hold := make(chan bool)
	defer close(hold)
	e := startWriting(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", hold)
	for name, c := range calls {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- c.call(ctx, e) }()
		select {
		case err := <-ended:
			require.ErrorIs(t, err, ErrInterrupted, name)
			require.NotErrorIs(t, err, ErrRefused, name)
		case <-time.After(10 * timeout):
			t.Errorf("%s waits beyond its deadline", name)
		}
	}
}

// TestAnswerWithBrokenHeadHasUnknownOutcome guards against answers whose status is none, or in
// whose head the name of a field is none, and that are taken for refusals, which say that a call
// had no effect, or are believed.
func TestAnswerWithBrokenHeadHasUnknownOutcome(t *testing.T) {
	for name, c := range calls {
		var texts []string
		for _, status := range oddhead.Statuses {
			texts = append(texts, "HTTP/1.1 "+status+" Trouble\r\n"+c.header+"\r\n"+c.body)
		}
		for _, line := range oddhead.AllLines {
			texts = append(texts, "HTTP/1.1 200 OK\r\nServer: s\r\n"+line+"\r\n"+c.header+"\r\n"+c.body)
			texts = append(texts, "HTTP/1.1 503 Busy\r\nServer: s\r\n"+line+"\r\n"+c.header+"\r\n"+c.body)
		}
		for _, text := range texts {
			err := sendCall(t.Context(), c.call, startWriting(t, text, nil))
			require.ErrorIs(t, err, ErrInterrupted, "%s: %q", name, text)
			require.NotErrorIs(t, err, ErrRefused, "%s: %q", name, text)
		}
	}
}
