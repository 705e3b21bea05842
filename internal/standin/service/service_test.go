package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// post sends a call on a new connection and returns the response body.
func post(t *testing.T, url, key, body string) (string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+"/stamps", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(headerIdempotencyKey, key)
	req.Header.Set(headerRequestID, "r-"+key)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Each call is counted exactly when its effect took place, no matter which
// fault kept the caller from getting the right response.
func TestEffectCountsUnderFaults(t *testing.T) {
	s := &Service{}
	server := httptest.NewServer(s.Handler())
	defer server.Close()

	body, err := post(t, server.URL, "a", "walked")
	require.NoError(t, err)
	require.JSONEq(t, `{"request_id":"r-a","idempotency_key":"a","method":"POST","path":"/stamps","body":"walked"}`, body)

	s.SetFaults(Faults{DropAfterEffect: true})
	_, err = post(t, server.URL, "b", "")
	require.Error(t, err)
	s.SetFaults(Faults{DropBeforeEffect: true})
	_, err = post(t, server.URL, "c", "")
	require.Error(t, err)
	s.SetFaults(Faults{Truncate: true})
	_, err = post(t, server.URL, "d", "")
	require.Error(t, err)
	s.SetFaults(Faults{OmitLength: true})
	body, err = post(t, server.URL, "f", "")
	require.NoError(t, err)
	require.Contains(t, body, "r-f")
	s.SetFaults(Faults{ReplyPrevious: true})
	body, err = post(t, server.URL, "e", "")
	require.NoError(t, err)
	require.Contains(t, body, "r-f")

	require.Equal(t, EffectCounts{"a": 1, "b": 1, "d": 1, "e": 1, "f": 1}, s.Snapshot())
}
