package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
)

// TestRequestsThroughTwoEntries sends every kind of request through two entries
// with two agents, and stops all processes gracefully.
func TestRequestsThroughTwoEntries(t *testing.T) {
	f := newFleet(t)
	for range 2 {
		agent := f.addAgent()
		f.addEngine(agent)
		f.addService(agent)
	}
	entries := []*member{f.addEntry(), f.addEntry()}
	f.apply()
	for _, e := range entries {
		f.waitServing(e)
		checkUnstreamed(t, e)
		checkStream(t, e)
		checkPlain(t, e)
	}
	for _, m := range append(f.entries, f.agents...) {
		require.Zero(t, m.terminate(), m.name)
	}
}

// checkUnstreamed sends a completion request without streaming.
func checkUnstreamed(t *testing.T, e *member) {
	t.Helper()
	resp := call(t, "POST", e.url()+"/v1/completions", `{"model":"guide-lm","prompt":"which stage is next","max_tokens":8}`)
	require.Equal(t, http.StatusOK, resp.status, resp.body)
	require.Contains(t, resp.body, mark.OutputText(resp.header.Get("X-Request-Id"), 0, 8))
}

// checkStream sends a chat completion request with streaming.
func checkStream(t *testing.T, e *member) {
	t.Helper()
	resp := call(t, "POST", e.url()+"/v1/chat/completions", `{"model":"guide-lm","messages":[{"role":"user","content":"hi"}],"max_tokens":8,"stream":true}`)
	require.Equal(t, http.StatusOK, resp.status, resp.body)
	require.True(t, strings.HasSuffix(resp.body, "data: [DONE]\n\n"), resp.body)
	for i := range 8 {
		require.Contains(t, resp.body, mark.TokenText(resp.header.Get("X-Request-Id"), i))
	}
}

// checkPlain sends an idempotent and a non-idempotent call to the plain service.
func checkPlain(t *testing.T, e *member) {
	t.Helper()
	resp := call(t, "GET", e.url()+"/services/passport-app/stages", "")
	require.Equal(t, http.StatusOK, resp.status, resp.body)
	require.Contains(t, resp.body, resp.header.Get("X-Request-Id"))
	resp = call(t, "POST", e.url()+"/services/passport-app/stamps", `{"stage":3}`, "Idempotency-Key", newKey())
	require.Equal(t, http.StatusOK, resp.status, resp.body)
}

// TestInvalidRequestsAreRefused checks that invalid requests are refused with
// the right reason and do not reach a backend server.
func TestInvalidRequestsAreRefused(t *testing.T) {
	f := newFleet(t)
	agent := f.addAgent()
	f.addService(agent)
	e := f.addEntry()
	unconfigured := call(t, "GET", e.url()+"/services/passport-app/stages", "")
	require.Equal(t, "not_configured", unconfigured.problem(t).Reason)
	f.apply()
	tests := []struct {
		name, method, path, body, reason string
		headers                          []string
	}{
		{name: "unknown model", method: "POST", path: "/v1/completions", body: `{"model":"x","prompt":"y"}`, reason: "unknown_model"},
		{name: "broken JSON", method: "POST", path: "/v1/completions", body: `{"model":`, reason: "bad_request"},
		{name: "unknown service", method: "GET", path: "/services/x/y", reason: "unknown_service"},
		{name: "unknown client", method: "GET", path: "/services/passport-app/stages", reason: "unknown_client", headers: []string{"X-Client", ""}},
		{name: "unknown token", method: "GET", path: "/services/passport-app/stages", reason: "unknown_client", headers: []string{"Authorization", "Bearer x"}},
		{name: "expired deadline", method: "GET", path: "/services/passport-app/stages", reason: "deadline_expired", headers: []string{"X-Deadline-Ms", "0"}},
		{name: "deadline not a number", method: "GET", path: "/services/passport-app/stages", reason: "bad_request", headers: []string{"X-Deadline-Ms", "soon"}},
		{name: "key missing", method: "POST", path: "/services/passport-app/stamps", body: "{}", reason: "key_missing"},
		{name: "key malformed", method: "POST", path: "/services/passport-app/stamps", body: "{}", reason: "bad_request", headers: []string{"Idempotency-Key", "x"}},
		{name: "body too large", method: "POST", path: "/services/passport-app/notes", body: strings.Repeat("x", 5<<20), reason: "body_too_large"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := call(t, tt.method, e.url()+tt.path, tt.body, tt.headers...)
			p := resp.problem(t)
			require.Equal(t, tt.reason, p.Reason)
			require.Equal(t, "true", p.NotRun)
			require.Equal(t, "application/problem+json", resp.header.Get("Content-Type"))
		})
	}
	require.Empty(t, f.backends[0].record(t))
}
