package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/standin/service"
)

// response is the response to a request.
type response struct {
	status int
	header http.Header
	body   string
}

// problem is the JSON body of a response to a refused request.
type problem struct {
	Reason string `json:"reason"`
	NotRun string `json:"not_run"`
}

// problem decodes the body of a response to a refused request.
func (r response) problem(t *testing.T) problem {
	t.Helper()
	var p problem
	require.NoError(t, json.Unmarshal([]byte(r.body), &p), r.body)
	return p
}

// call sends one request for the client account "hostel". Headers are pairs of
// names and values.
func call(t *testing.T, method, url, body string, headers ...string) response {
	t.Helper()
	resp, err := tryCall(method, url, body, headers...)
	require.NoError(t, err)
	return resp
}

// tryCall is like call, but returns an error if the entry cannot be reached.
func tryCall(method, url, body string, headers ...string) (response, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("X-Client", "hostel")
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

// newKey returns a new idempotency key, which contains the current time.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// waitRevision waits until the process has applied the fleet's latest
// configuration.
func (f *fleet) waitRevision(m *member) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		resp, err := http.Get(m.url() + "/debug/state")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var state struct {
			Revision json.RawMessage `json:"config_revision"`
		}
		if json.NewDecoder(resp.Body).Decode(&state) != nil {
			return false
		}
		text := strings.Trim(string(state.Revision), `"`)
		return text == strconv.FormatUint(f.revision, 10)
	}, startTimeout, 20*time.Millisecond, "%s has not applied revision %d", m.name, f.revision)
}

// record returns how many times a plain service has executed the call with each
// idempotency key.
func (b *backend) record(t *testing.T) service.EffectCounts {
	t.Helper()
	resp, err := http.Get(b.url() + service.PathRecord)
	require.NoError(t, err)
	defer resp.Body.Close()
	var record service.EffectCounts
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&record))
	return record
}
