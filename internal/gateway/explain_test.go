package gateway

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/accounts"
	"github.com/marigoldwing/marigoldwing/internal/explanation"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/limits"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/serverlimit"
)

const secretKey = "secret-key-71"

// explainable is a gateway with client accounts, a plain service and one with engines.
type explainable struct {
	g        *Gateway
	registry *prometheus.Registry
	log      *strings.Builder
}

func newExplainable() explainable {
	f := explainable{registry: prometheus.NewRegistry(), log: &strings.Builder{}}
	logger := funcr.New(func(_, line string) { f.log.WriteString(line) }, funcr.Options{Verbosity: 9})
	f.g = New(Options{Name: "gw", FailureDomain: "here", Registerer: f.registry, Log: logevent.NewLog(logger)})
	route := func(name, service string) fleet.Route {
		return fleet.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", LatencyObjective: 500 * time.Millisecond, Priority: 3,
			Targets: []fleet.Target{{Service: service, Weight: 1}},
		}
	}
	services := []fleet.Service{{Name: "app"}, {Name: "lm", Engine: &fleet.EngineSpec{Slots: 8}}}
	config := fleet.NewConfig(7, 1000, []fleet.Route{route("plain", "app"), route("ask", "lm")}, services)
	config.Accounts = accounts.New([]accounts.Entry{{
		Account: accounts.Account{Client: limits.Client{Name: "acme"}, HasPriority: true, Priority: 1},
		Keys:    []accounts.Digest{accounts.DigestOf(secretKey)},
	}})
	f.g.Update(config, []fleet.Server{
		{ID: "a", Service: "app", FailureDomain: "here", Slots: 4},
		{ID: "b", Service: "app", FailureDomain: "there", Slots: 4},
		{ID: "p", Service: "lm", FailureDomain: "here", Stage: fleet.StagePrefill},
		{ID: "d", Service: "lm", FailureDomain: "here", Stage: fleet.StageDecode},
	})
	return f
}

// explain asks the gateway and returns status and body of the answer.
func (f explainable) explain(t *testing.T, values url.Values) (int, string) {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, "/debug/explain?"+values.Encode(), nil)
	r.Header.Set("Authorization", "Bearer "+secretKey)
	w := httptest.NewRecorder()
	f.g.serveExplain(w, r)
	return w.Code, w.Body.String()
}

// TestKeyNeverAppears guards against a key that is accepted, logged or shown where it was
// entered in the place of a name or sent along.
func TestKeyNeverAppears(t *testing.T) {
	f := newExplainable()
	for _, name := range []string{"account", "key", "token", "host", "path", "method", "request_id", "parts", "prompt_tokens", "body_bytes", "timeout", secretKey} {
		values := url.Values{"host": {"h"}, "path": {"/plain/"}}
		values.Set(name, secretKey)
		_, body := f.explain(t, values)
		require.NotContains(t, body, secretKey, name)
		values[name] = []string{secretKey, secretKey}
		_, body = f.explain(t, values)
		require.NotContains(t, body, secretKey, name)
	}
	status, body := f.explain(t, url.Values{"host": {"h"}, "path": {"/plain/"}, "account": {secretKey}})
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"key_unknown"`, "a key is no name of an account")
	status, body = f.explain(t, url.Values{"host": {"h"}, "path": {"/plain/"}})
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"key_missing"`, "the key of a header is not used")
	status, _ = f.explain(t, url.Values{"host": {"h"}, "path": {"/plain/"}, "key": {"k"}})
	require.Equal(t, http.StatusBadRequest, status)
	require.NotContains(t, f.log.String(), secretKey)
}

// metrics returns all metrics of the gateway as text.
func (f explainable) metrics(t *testing.T) string {
	t.Helper()
	families, err := f.registry.Gather()
	require.NoError(t, err)
	var text strings.Builder
	for _, family := range families {
		text.WriteString(family.String() + "\n")
	}
	return text.String()
}

// TestExplainCountsNothing guards against explanations that are logged or counted as
// requests, that call the coordinator, or that use up the limit of a server.
func TestExplainCountsNothing(t *testing.T) {
	f := newExplainable()
	address := ""
	// A call of the client would panic.
	f.g.EnableCoordination(nil, func(string) (string, string) { return "other", address })
	app, lm := f.g.state.Load().services["app"], f.g.state.Load().services["lm"]
	// The gateway, one of at least four, has a share in so high a limit.
	app.observeLimit(f.g.now(), fleet.Server{ID: "b"}, 0, serverlimit.Statement{Rate: 100_000, Limited: true})
	f.log.Reset()
	before, tokens := f.metrics(t), f.g.State().RetryTokens
	seed := f.g.seed.Load()
	for _, path := range []string{"/plain/", "/ask/", "/nowhere/"} {
		for _, address = range []string{"", "10.0.0.1:1"} {
			for range 20 {
				e := f.g.Explain(explanation.Request{
					Question: explanation.Question{Host: "h", Account: "acme", PromptTokens: 17_000}, URL: &url.URL{Path: path},
				})
				require.Equal(t, path == "/nowhere/", e.Refusal != nil)
			}
		}
	}
	require.Equal(t, before, f.metrics(t))
	require.Equal(t, tokens, f.g.State().RetryTokens)
	require.Equal(t, seed, f.g.seed.Load())
	require.Empty(t, f.log.String())
	require.Nil(t, app.shares.fair)
	require.Equal(t, notCoordinator, lm.coordinatorSince)
	require.Zero(t, f.g.coordination.lastNumber.Load())
}

// TestExplainNamesWhoPlaces checks who places long prompts, and short ones.
func TestExplainNamesWhoPlaces(t *testing.T) {
	f := newExplainable()
	address := "10.0.0.1:1"
	f.g.EnableCoordination(nil, func(string) (string, string) { return "other", address })
	placedBy := func(tokens int) string {
		e := f.g.Explain(explanation.Request{Question: explanation.Question{Host: "h", Account: "acme", PromptTokens: tokens}, URL: &url.URL{Path: "/ask/"}})
		require.NotNil(t, e.Choice)
		return e.Choice.PlacedBy
	}
	require.Equal(t, "gw", placedBy(100))
	require.Equal(t, "other", placedBy(17_000))
	f.g.coordination.backoff.start(f.g.now(), "other")
	require.Equal(t, "gw", placedBy(17_000), "a coordinator that does not answer is not asked")
	address = ""
	require.Equal(t, "gw", placedBy(17_000))
}

// TestExplainOfShareAgrees guards against an explanation that does not foresee the refusal
// of a request above the fair share of its account.
func TestExplainOfShareAgrees(t *testing.T) {
	f := newSharing(nil)
	s := f.s
	s.setServers(0, fleet.Service{Name: "app"}, []fleet.Server{{ID: "i-1", Service: "app", Slots: 4}})
	f.overload(func(d time.Duration) { f.g.startTime = f.g.startTime.Add(-d) })
	account := &accounts.Account{Client: limits.Client{Name: "large"}}
	refusals := 0
	for range 50 {
		q := &request{g: f.g, service: s, account: account, arrivedAt: f.g.now(), deadline: f.g.now() + 9*time.Second}
		q.route.LatencyObjective = 500 * time.Millisecond
		choice, err := q.choose(t.Context())
		require.NoError(t, err)
		choice.TimeToFirstEvent = 2 * time.Second
		now := f.g.now()
		demand := q.shareDemand(choice)
		preview := s.previewShare(now, q.shareRequest(f.g.seed.Load()+1), demand)
		r := q.shareRequest(f.g.seed.Add(1))
		decision, _ := s.admitShare(now, &r, demand)
		require.Equal(t, decision, preview)
		if !decision.Admitted {
			refusals++
		}
	}
	require.Positive(t, refusals)
}

// TestExplainReasonsOfServers checks why servers are not used.
func TestExplainReasonsOfServers(t *testing.T) {
	f := newExplainable()
	s := f.g.state.Load().services["app"]
	now := f.g.now()
	explain := func() explanation.Explanation {
		return f.g.Explain(explanation.Request{Question: explanation.Question{Host: "h", Account: "acme"}, URL: &url.URL{Path: "/plain/"}})
	}
	e := explain()
	require.Equal(t, "a", e.Choice.Server)
	require.Equal(t, []any{int64(7), "plain", true, "acme", 1, "account", "app"}, []any{e.ConfigVersion, e.Route, e.KeyNeeded, e.Account, e.Priority, e.PriorityOf, e.Service})
	require.Equal(t, explanation.Ages{ConfigMS: unknownAge, RegistrationsMS: unknownAge}, e.Ages)
	s.pause(now, fleet.Server{ID: "a"}, time.Minute)
	e = explain()
	require.Equal(t, "b", e.Choice.Server)
	require.Equal(t, "paused", e.Candidates[0].Reason)
	require.InDelta(t, 60_000, e.Candidates[0].ForMS, 10_000)
	s.recordRefusal(now, "b", 0)
	e = explain()
	require.Nil(t, e.Choice)
	require.Equal(t, "refusal_backoff", e.Candidates[1].Reason)
	require.Equal(t, reasonNoServer, e.Refusal.Reason)
	s.pause(now, fleet.Server{ID: "b"}, time.Minute)
	require.Equal(t, reasonServersPaused, explain().Refusal.Reason)
}
