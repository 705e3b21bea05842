package httpclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/responsehead"
	"github.com/marigoldwing/marigoldwing/internal/standin/oddhead"
	"github.com/marigoldwing/marigoldwing/internal/standin/rawserver"
)

// soundResponse is a response after which the connection may be used again.
const soundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// startServer starts a server that answers the first request with a text and each later one
// with soundResponse, on connections that it keeps open. It returns the URL of the server and
// the number of connections.
func startServer(t *testing.T, first string) (string, *atomic.Int64) {
	t.Helper()
	var requests, connections atomic.Int64
	address := rawserver.Start(t, func(conn *net.TCPConn, r *bufio.Reader) {
		connections.Add(1)
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			text := soundResponse
			if requests.Add(1) == 1 {
				text = first
			}
			_, _ = io.WriteString(conn, text)
		}
	})
	return "http://" + address, &connections
}

// get makes one call and returns the body of its response.
func get(client *http.Client, url string) (string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// brokenResponses are responses whose headers net/http accepts although they are none.
func brokenResponses() []string {
	var texts []string
	for _, status := range oddhead.Statuses {
		texts = append(texts,
			"HTTP/1.1 "+status+" Trouble\r\nContent-Length: 0\r\n\r\n",
			strings.Replace(soundResponse, "200", status, 1),
			"HTTP/1.1 "+status+" Trouble\r\nContent-Length: 0\r\n\r\n"+soundResponse)
	}
	for _, line := range []string{"X Odd: a", "X-Odd : a", "Content-Length : 2"} {
		odd := line + "\r\n"
		texts = append(texts,
			"HTTP/1.1 200 OK\r\n"+odd+"Content-Length: 0\r\n\r\n",
			strings.Replace(soundResponse, "\r\n", "\r\n"+odd, 1),
			"HTTP/1.1 204 No Content\r\n"+odd+"\r\n",
			"HTTP/1.1 103 Early Hints\r\n"+odd+"\r\n"+soundResponse,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+odd+"\r\n")
	}
	return texts
}

// TestConnectionOfBrokenResponseIsNotUsedAgain guards against responses that are read from a
// connection on which nobody knows where one begins.
func TestConnectionOfBrokenResponseIsNotUsedAgain(t *testing.T) {
	for _, text := range brokenResponses() {
		url, connections := startServer(t, text)
		client := &http.Client{Transport: New(&http.Transport{})}
		_, err := get(client, url)
		require.ErrorIs(t, err, responsehead.ErrMalformed, "%q", text)
		for range 3 {
			body, err := get(client, url)
			require.NoError(t, err, "%q", text)
			require.Equal(t, "ok", body, "%q", text)
		}
		require.Equal(t, int64(2), connections.Load(), "%q", text)
		client.CloseIdleConnections()
	}
}

// TestEndlessInterimResponsesEnd guards against calls that read interim responses without end.
func TestEndlessInterimResponsesEnd(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	url, _ := startServer(t, strings.Repeat(interim, maxInterim+1)+soundResponse)
	_, err := get(&http.Client{Transport: New(&http.Transport{})}, url)
	require.ErrorIs(t, err, errManyInterim)
	url, _ = startServer(t, strings.Repeat(interim, maxInterim)+soundResponse)
	body, err := get(&http.Client{Transport: New(&http.Transport{})}, url)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
}
