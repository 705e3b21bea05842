package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/explanation"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
)

// explainingGateway starts a server that answers each question with e, and returns its base
// URL. It records the latest question in asked.
func explainingGateway(t *testing.T, e explanation.Explanation, asked *explanation.Request) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+telemetry.PathExplain, func(w http.ResponseWriter, r *http.Request) {
		var err error
		if *asked, err = explanation.Parse(r.URL.Query()); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		telemetry.WriteState(w, e)
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.URL
}

func TestExplainRequest(t *testing.T) {
	e := explanation.Explanation{
		Gateway: "gw", ConfigVersion: 7, Ages: explanation.Ages{ConfigMS: 120, RegistrationsMS: -1},
		Route: "ask", KeyNeeded: true, Account: "acme", Priority: 1, PriorityOf: "account", Service: "lm",
		Choice: &explanation.Choice{Server: "d-1", PrefillServer: "p-1", FirstEventMS: 310.5, PrefilledMS: 250, UncachedTokens: 4000, PlacedBy: "other"},
		Candidates: []explanation.Candidate{
			{Server: "p-1", Stage: "prefill", Usable: true, Uses: []explanation.Use{{Step: "prefill", PredictedMS: 250, Score: 0.25}}},
			{Server: "p-2", Stage: "prefill", Reason: "paused", ForMS: 900, LoadAgeMS: -1},
		},
	}
	var asked explanation.Request
	url := explainingGateway(t, e, &asked)
	args := []string{"explain-request", "-server", url, "-host", "h", "-path", "/ask/1?x=y", "-account", "acme",
		"-prompt-tokens", "17000", "-parts", "a:13000,b:4000", "-body-bytes", "9", "-method", "POST", "-request-id", "r1", "-timeout", "3s"}
	code, out, stderr := runCtl(t, args...)
	require.Equal(t, exitOK, code, stderr)
	for _, line := range []string{
		`configuration +version 7, confirmed 120 ms ago`, `registrations +confirmed never`, `priority +1, of the account`, `outcome +sent to d-1`,
		`prefill server +p-1, prefilled in 250 ms`, `placed by +other`, `p-1 .* prefill: 250 ms, 0.25`, `p-2 .* paused for 900 ms .* never`,
	} {
		require.Regexp(t, line, out)
	}
	require.Equal(t, "y", asked.URL.Query().Get("x"))
	require.Len(t, asked.PromptParts, 2)
	require.Equal(t, 17_000, asked.PromptTokens)
	require.Equal(t, "3s", asked.Timeout.String())
	code, out, _ = runCtl(t, append(args, "-output", "json")...)
	require.Equal(t, exitOK, code)
	var got explanation.Explanation
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	require.Equal(t, e, got)

	url = explainingGateway(t, explanation.Explanation{Refusal: &explanation.Refusal{Status: 404, Reason: "no_route"}}, &asked)
	code, out, _ = runCtl(t, "explain-request", "-server", url, "-host", "h")
	require.Equal(t, exitOK, code)
	require.Regexp(t, `outcome +refused: 404 no_route`, out)
}

// TestExplainRequestShowsNoKey guards against output that contains a key that was entered by
// mistake.
func TestExplainRequestShowsNoKey(t *testing.T) {
	const key = "secret-key-71"
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	var asked explanation.Request
	url := explainingGateway(t, explanation.Explanation{Refusal: &explanation.Refusal{Status: 401, Reason: "key_unknown"}}, &asked)
	for _, args := range [][]string{
		{"-server", url, "-host", "h", "-account", key}, {"-server", unreachable.URL, "-host", "h", "-account", key},
		{"-host", "h", "-path", key}, {"-host", "h", "-parts", key}, {"-host", "h", key}, {"-host", "h", "-key=" + key},
	} {
		code, out, stderr := runCtl(t, append([]string{"explain-request"}, args...)...)
		require.NotContains(t, out+stderr, key)
		if args[1] != url {
			require.NotEqual(t, exitOK, code, args)
		}
	}
	code, _, _ := runCtl(t, "explain-request", "-path", "/")
	require.Equal(t, exitUsage, code, "without a host")
}
