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

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
}

// problem is the body of a refusal.
type problem struct {
	Reason string `json:"reason"`
	NotRun string `json:"not_run"`
}

func (a answer) problem(t *testing.T) problem {
	t.Helper()
	var p problem
	require.NoError(t, json.Unmarshal([]byte(a.body), &p), a.body)
	return p
}

// call sends one request as the client "hostel".
func call(t *testing.T, method, url, body string, headers ...string) answer {
	t.Helper()
	a, err := tryCall(method, url, body, headers...)
	require.NoError(t, err)
	return a
}

// tryCall is call for entries that may be gone.
func tryCall(method, url, body string, headers ...string) (answer, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("X-Client", "hostel")
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

// newKey returns an idempotency key issued now.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// waitRevision returns when the process has the fleet's revision in force.
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
	}, startTimeout, 20*time.Millisecond, "%s has not revision %d", m.name, f.revision)
}

// record returns how often each idempotency key had its effect at a plain
// service.
func (b *backend) record(t *testing.T) service.EffectCounts {
	t.Helper()
	resp, err := http.Get(b.url() + service.PathRecord)
	require.NoError(t, err)
	defer resp.Body.Close()
	var record service.EffectCounts
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&record))
	return record
}
