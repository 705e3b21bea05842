package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/standin/rawserver"
)

// longUploads are the lengths in bytes of uploads: those of which the buffers of a connection
// hold a part only are still being written when the answer comes.
var longUploads = []int{20 << 10, 300 << 10, 6 << 20, 16 << 20}

// timeToCut is how long a service waits between an early answer and the end of its connection.
const timeToCut = 10 * time.Millisecond

// uploadTo makes one call with a body of a length.
func uploadTo(t *testing.T, address string, length int) *plainAnswer {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	answer := &plainAnswer{}
	submit := &peerv1.Submit{Method: http.MethodPost, Path: "/", RequestId: "r1", Body: []byte(strings.Repeat("x", length))}
	runnerOf(address).run(ctx, submit, newEmitter(ctx, answer, submit, func() *peerv1.Load { return nil }))
	return answer
}

// TestEndOfEarlyAnswerIsNoEnd guards against a part of an answer that is relayed as whole: the
// service answered a long upload at once, without a length, and ended the connection in the
// middle of its answer, while the upload was being written.
func TestEndOfEarlyAnswerIsNoEnd(t *testing.T) {
	for _, length := range longUploads {
		for _, resets := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, reset: %t", length, resets), func(t *testing.T) {
				s := startRawService(t, false, func(_ *rawService, conn net.Conn) {
					if resets {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_, _ = io.WriteString(conn, unmarkedAnswer)
					time.Sleep(timeToCut)
				})
				for range 5 {
					requireCut(t, uploadTo(t, s.listener.Addr().String(), length))
				}
			})
		}
	}
}

// startReadingService starts a service that reads each upload before it sends an answer, and
// returns its address.
func startReadingService(t *testing.T, answer string) string {
	t.Helper()
	return rawserver.Start(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
	})
}

// TestAnswerAfterUploadIsRelayed checks that an answer is one, with and without a length, if
// its service has read the upload before.
func TestAnswerAfterUploadIsRelayed(t *testing.T) {
	for _, length := range longUploads {
		for _, text := range []string{unmarkedAnswer, markedAnswer} {
			address := startReadingService(t, text)
			for range 5 {
				answer := uploadTo(t, address, length)
				require.True(t, answer.complete, "%d bytes, %q", length, text)
				require.Equal(t, "whole", answer.body.String(), "%d bytes, %q", length, text)
			}
		}
	}
}

// TestWholeEarlyAnswerIsRelayed checks that an answer that marks its end is an answer, although
// the service has not read the upload, and ends the connection at once or shortly after.
func TestWholeEarlyAnswerIsRelayed(t *testing.T) {
	for _, length := range longUploads {
		for _, wait := range []time.Duration{0, timeToCut} {
			s := startRawService(t, false, func(_ *rawService, conn net.Conn) {
				_, _ = io.WriteString(conn, markedAnswer)
				time.Sleep(wait)
			})
			for range 20 {
				answer := uploadTo(t, s.listener.Addr().String(), length)
				require.True(t, answer.complete, "%d bytes, %v", length, wait)
				require.Equal(t, "whole", answer.body.String(), "%d bytes, %v", length, wait)
			}
		}
	}
}

// TestEndOfAnswerBeforeShortRequestIsNoEnd guards against the same where the service answers a
// connection before there is a request, and resets it.
func TestEndOfAnswerBeforeShortRequestIsNoEnd(t *testing.T) {
	for range 50 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			if call, err := listener.Accept(); err == nil {
				_, _ = io.WriteString(call, unmarkedAnswer)
				_ = call.(*net.TCPConn).SetLinger(0)
				_ = call.Close()
			}
			acceptEach(listener, func(probe net.Conn) {
				defer func() { _ = probe.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(probe)); err == nil {
					_, _ = io.WriteString(probe, markedAnswer)
				}
			})
		}()
		answer := callPlain(t, runnerOf(listener.Addr().String()), http.MethodPost)
		require.NoError(t, listener.Close())
		require.False(t, answer.complete, "relayed as whole: %q", answer.body.String())
		require.True(t, answer.failed)
	}
}
