package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/process"
)

// drainTimeout is the drain timeout of the entry in these tests.
const drainTimeout = 3 * time.Second

// Requests keep arriving on kept connections, so that the drain timeout is reached. A caller
// goes elsewhere once it has learned that the request was not run.
func TestKeptConnectionsLoseNoRequestAtEndOfDrain(t *testing.T) {
	s := newSystem(t, 0)
	s.waitReady(t)
	server := httptest.NewServer(s.entry.Handler())
	t.Cleanup(server.Close)
	var running sync.WaitGroup
	var answered, refused atomic.Int64
	lost := make(chan string, 1000)
	for i := range 40 {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				status, body, err := postItem(client, server.URL, fmt.Sprintf("%d-%d", i, n))
				switch {
				case errors.Is(err, syscall.ECONNREFUSED):
					return
				case err != nil:
					lost <- err.Error()
					return
				case status != http.StatusOK && strings.Contains(body, `"reason":"leaving"`):
					refused.Add(1)
					return
				case status != http.StatusOK:
					lost <- fmt.Sprint(status, " ", body)
					return
				}
				answered.Add(1)
			}
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), drainTimeout)
	defer cancel()
	s.entry.Drain(ctx)
	stopCtx, stopped := context.WithTimeout(t.Context(), drainTimeout)
	defer stopped()
	require.NoError(t, server.Config.Shutdown(stopCtx))
	running.Wait()
	close(lost)
	for text := range lost {
		t.Error(text)
	}
	require.Positive(t, answered.Load())
	t.Logf("%d requests answered, %d refused", answered.Load(), refused.Load())
}

// The request is at work until the process would end.
func TestRequestAtWorkAtEndOfStopIsAnswered(t *testing.T) {
	s := newSystem(t, 0)
	s.waitReady(t)
	server := httptest.NewServer(s.entry.Handler())
	t.Cleanup(server.Close)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/services/plain/slow/1", nil)
	require.NoError(t, err)
	r.Header.Set("X-Client", "c1")
	body := make(chan string, 1)
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			body <- err.Error()
			return
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		body <- fmt.Sprint(response.StatusCode, " ", string(data))
	}()
	require.Eventually(t, func() bool { return s.entry.inflight.count() == 1 }, drainTimeout, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s.entry.Drain(ctx)
	stopCtx, stopped := context.WithTimeout(t.Context(), process.DefaultStopTimeout)
	defer stopped()
	_ = server.Config.Shutdown(stopCtx)
	_ = server.Config.Close()
	got := <-body
	require.Contains(t, got, "502 ")
	require.Contains(t, got, `"reason":"outcome_unknown"`)
	require.Contains(t, got, "this entry is stopping")
}

// postItem sends a request that the client does not repeat by itself.
func postItem(client *http.Client, url, id string) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodPost, url+"/services/plain/item/"+id, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	r.GetBody = nil
	r.Header.Set("X-Client", "c"+id)
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
