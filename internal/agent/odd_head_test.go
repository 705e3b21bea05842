package agent

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/standin/oddhead"
)

// requireNoAnswer checks that nothing is relayed of what a service writes in place of an
// answer, and that the call may have run.
func requireNoAnswer(t *testing.T, text string) {
	t.Helper()
	s := startRawService(t, false, write(text))
	answer := callPlain(t, runnerOf(s.listener.Addr().String()), http.MethodPost)
	require.False(t, answer.complete, "%q: relayed with status %d: %q", text, answer.status, answer.body.String())
	require.True(t, answer.failed, "%q", text)
	require.NotEqual(t, peerv1.Ran_RAN_NO, answer.ran, "%q", text)
	require.Zero(t, answer.status, "%q", text)
	require.Zero(t, answer.body.Len(), "%q", text)
}

// TestAnswerWithoutStatusIsNoAnswer guards against callers that get an answer whose status is
// none.
func TestAnswerWithoutStatusIsNoAnswer(t *testing.T) {
	for _, status := range oddhead.Statuses {
		head := "HTTP/1.1 " + status + " Trouble\r\n"
		requireNoAnswer(t, head+"\r\nwhole")
		requireNoAnswer(t, head+"Content-Length: 5\r\n\r\nwhole")
		requireNoAnswer(t, head+"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
		requireNoAnswer(t, head+"\r\n"+markedAnswer)
	}
}

// TestAnswerWithOddFieldNameIsNoAnswer guards against callers that get an answer in whose head,
// or trailer, the name of a field holds a blank or a control byte, or a body that was delimited
// otherwise than the service says.
func TestAnswerWithOddFieldNameIsNoAnswer(t *testing.T) {
	const head, chunks = "HTTP/1.1 200 OK\r\nServer: s\r\n", "5\r\nwhole\r\n0\r\n"
	for _, line := range oddhead.AllLines {
		odd := line + "\r\n"
		requireNoAnswer(t, head+odd+"\r\nwhole")
		requireNoAnswer(t, head+odd+"Content-Length: 5\r\n\r\nwhole")
		requireNoAnswer(t, head+odd+"Transfer-Encoding: chunked\r\n\r\n"+chunks+"\r\n")
		requireNoAnswer(t, head+odd+"\r\n"+chunks+"\r\n")
		requireNoAnswer(t, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n"+odd+"\r\n"+markedAnswer)
		requireNoAnswer(t, head+"Transfer-Encoding: chunked\r\n\r\n"+chunks+odd+"\r\n")
	}
}

// TestAnswerWithUnusualFieldsIsRelayed checks that names that are tokens and values of all
// kinds are sound.
func TestAnswerWithUnusualFieldsIsRelayed(t *testing.T) {
	for _, line := range oddhead.SoundLines {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n\r\nwhole",
			"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + markedAnswer,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + line + "\r\n\r\n",
		} {
			s := startRawService(t, false, write(text))
			answer := callPlain(t, runnerOf(s.listener.Addr().String()), http.MethodPost)
			require.True(t, answer.complete, "%q", text)
			require.Equal(t, "whole", answer.body.String(), "%q", text)
		}
	}
}

// TestBrokenAnswerToProbeConfirmsNothing guards against an answer without length that counts as
// whole, since its service has answered the probe with what is no answer.
func TestBrokenAnswerToProbeConfirmsNothing(t *testing.T) {
	for _, text := range brokenProbeAnswers() {
		s := startRawService(t, false, write(unmarkedAnswer))
		s.answersOptions = text
		answer := callPlain(t, runnerOf(s.listener.Addr().String()), http.MethodPost)
		require.False(t, answer.complete, "%q", text)
	}
}

// brokenProbeAnswers are what a service writes in place of an answer to a probe.
func brokenProbeAnswers() []string {
	texts := []string{"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"}
	for _, status := range oddhead.Statuses {
		texts = append(texts, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 0\r\n\r\n")
	}
	for _, line := range oddhead.AllLines {
		texts = append(texts, "HTTP/1.1 200 OK\r\nServer: s\r\n"+line+"\r\nContent-Length: 0\r\n\r\n")
	}
	return texts
}

// TestProbeIsAnsweredAfterInterimAnswer checks that any answer of the service will do, also
// after an interim one.
func TestProbeIsAnsweredAfterInterimAnswer(t *testing.T) {
	s := startRawService(t, false, write(unmarkedAnswer))
	s.answersOptions = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	require.True(t, callPlain(t, runnerOf(s.listener.Addr().String()), http.MethodPost).complete)
}
