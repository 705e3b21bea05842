package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/apply"
	"github.com/marigoldwing/marigoldwing/internal/operatorapi"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
)

// fakeEntry is a fake of the entry that marigoldctl calls. It implements
// operatorapi.StateSource.
type fakeEntry struct {
	mu      sync.Mutex
	inForce *configv1.AcceptedDeployment
	// behind is the number of revisions by which the failure domain lags.
	behind uint64
}

func (e *fakeEntry) InForce() *configv1.AcceptedDeployment {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inForce
}

func (e *fakeEntry) accept(a *configv1.AcceptedDeployment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inForce = a
}

func (e *fakeEntry) Status(context.Context) *statusv1.Status {
	revision := e.InForce().GetRevision()
	return &statusv1.Status{
		Deployment:       e.InForce().GetDeployment().GetName(),
		AcceptedRevision: revision,
		FailureDomains:   []*statusv1.DomainStatus{{FailureDomain: "nieu", OldestRevision: revision - e.behind}},
		BackendServers:   []*statusv1.ServerStatus{{Name: "e-1", Load: &peerv1.Load{Role: configv1.Role_ROLE_DECODE}}},
		Conditions:       []*statusv1.Condition{{Type: "StoreReachable", Status: true}},
	}
}

func (e *fakeEntry) Plan(service string) *peerv1.Plan {
	if service != "guide-lm" {
		return nil
	}
	return &peerv1.Plan{Service: service, Version: 12, Explanations: []*peerv1.Explanation{{
		Subject: "e-1", Decision: "to decode", Reason: "gain exceeds price",
		Inputs:       []*peerv1.Input{{Name: "demand", Value: 7, Unit: "tokens/s"}},
		Alternatives: []*peerv1.Alternative{{Name: "stay", Score: 3}},
	}}}
}

// serve starts a fake entry with a fake store and returns both and the entry's
// base URL.
func serve(t *testing.T) (*fakeEntry, *fake.Store, string) {
	t.Helper()
	entry, store := &fakeEntry{}, fake.New(fake.Options{})
	mux := telemetry.NewMux(telemetry.MuxOptions{
		Metrics: telemetry.NewRegistry(func() int64 { return 0 }),
		State:   func(context.Context) any { return map[string]int{"sessions": 3} },
		Ready:   func() error { return nil },
	})
	mux.Handle(operatorapi.PathPrefix, operatorapi.NewHandler(&apply.Applier{Store: store, InForce: entry.InForce, OnAccepted: entry.accept}, entry))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return entry, store, srv.URL
}

// runCtl runs a command line and returns the exit code, standard output and
// standard error.
func runCtl(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := run(t.Context(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// validFile is a valid deployment file.
const validFile = "../../examples/trust.ini"

// changedFile writes a copy of validFile in which old is replaced by new, and
// returns its path.
func changedFile(t *testing.T, old, new string) string {
	t.Helper()
	data, err := os.ReadFile(validFile)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "changed.ini")
	require.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(string(data), old, new)), 0o600))
	return path
}

func TestApplyDiffAndStatus(t *testing.T) {
	entry, _, url := serve(t)
	code, out, _ := runCtl(t, "diff", "-server", url, validFile)
	require.Equal(t, exitDifferent, code)
	require.Contains(t, out, "+ [service guide-lm]")
	code, out, _ = runCtl(t, "apply", "-server", url, "-wait", "5s", validFile)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "accepted as revision 1")
	code, out, _ = runCtl(t, "diff", "-server", url, validFile)
	require.Equal(t, exitOK, code)
	require.Empty(t, out)
	other := changedFile(t, "role_change_price = 200", "role_change_price = 300")
	code, out, stderr := runCtl(t, "apply", "-server", url, "-base", "0", other)
	require.Equal(t, exitConflict, code)
	require.Contains(t, out, `~ [service guide-lm] role_change_price: "200" -> "300"`)
	require.Contains(t, stderr, "revision 1 is accepted")
	code, out, _ = runCtl(t, "apply", "-server", url, "-output", "json", other)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, `"accepted": `)
	code, out, _ = runCtl(t, "status", "-server", url)
	require.Equal(t, exitOK, code)
	require.Regexp(t, `accepted revision +2`, out)
	require.Regexp(t, `e-1 .* decode`, out)
	entry.behind = 1
	code, _, _ = runCtl(t, "apply", "-server", url, "-wait", "10ms", changedFile(t, "weight = 3", "weight = 4"))
	require.Equal(t, exitNotInForce, code)
}

func TestInvalidFilesAndUsageErrors(t *testing.T) {
	_, _, url := serve(t)
	bad := changedFile(t, "kind = model", "kind = modal")
	code, _, stderr := runCtl(t, "validate", bad)
	require.Equal(t, exitInvalid, code)
	require.Contains(t, stderr, `[service guide-lm] kind = "modal": not allowed; allowed: one of model, plain`)
	code, out, _ := runCtl(t, "apply", "-server", url, bad)
	require.Equal(t, exitInvalid, code)
	require.Contains(t, out, "allowed: one of model, plain")
	code, out, _ = runCtl(t, "validate", validFile)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "13 backend servers")
	for _, args := range [][]string{{"apply"}, {"validate", "no-such-file"}, {"frobnicate"}, {"status", "-output", "xml"}, {"status", "-nope"}, {}} {
		code, _, _ = runCtl(t, args...)
		require.Equal(t, exitUsage, code, args)
	}
	code, _, stderr = runCtl(t, "apply", "-h")
	require.Equal(t, exitOK, code)
	require.Contains(t, stderr, "EXAMPLES")
	require.Contains(t, stderr, "EXIT CODES")
}

func TestUnavailableAndUnknownOutcome(t *testing.T) {
	_, store, url := serve(t)
	store.SetFaults(fake.Faults{LoseResponses: 1})
	code, _, _ := runCtl(t, "apply", "-server", url, validFile)
	require.Equal(t, exitOK, code, "the outcome of a lost response must be read back")
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }))
	defer srv.Close()
	code, _, stderr := runCtl(t, "apply", "-server", srv.URL, "-base", "4", "-apply-id", "x", validFile)
	require.Equal(t, exitUnknown, code)
	require.Contains(t, stderr, "repeat with: -base 4 -apply-id x")
	code, _, _ = runCtl(t, "status", "-server", srv.URL)
	require.Equal(t, exitUnavailable, code)
}

// TestOutcomeOfCutRefusalIsUnknown guards against files that count as not accepted though
// they may be: the refusal that says so is cut, or is another program's.
func TestOutcomeOfCutRefusalIsUnknown(t *testing.T) {
	const refusal = `{"title":"Service Unavailable","status":503,"not_run":"unknown"}`
	certain := strings.Replace(refusal, "unknown", "true", 1)
	for body, want := range map[string]int{
		"": exitUnknown, refusal[:20]: exitUnknown, certain[:len(certain)-1]: exitUnknown, refusal: exitUnknown, "<html>": exitUnknown,
		certain: exitUnavailable,
	} {
		url := serveText(t, "HTTP/1.1 503 Service Unavailable\r\n\r\n"+body)
		code, _, _ := runCtl(t, "apply", "-server", url, "-base", "4", "-apply-id", "x", validFile)
		require.Equal(t, want, code, "%q", body)
	}
}

// serveText returns the URL of a server that writes a text in place of each answer and closes
// the connection.
func serveText(t *testing.T, text string) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Closing a connection with unread data resets it.
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, text)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// TestOutcomeOfBrokenAnswerIsUnknown guards against files that count as not accepted though they
// may be: the head of the refusal that says so is broken.
func TestOutcomeOfBrokenAnswerIsUnknown(t *testing.T) {
	const refusal = `{"title":"Service Unavailable","status":503,"not_run":"true"}`
	for _, head := range []string{"000 Trouble", "099 Trouble", "503 Busy\r\nX Odd: a", "503 Busy\r\nContent-Length : 2"} {
		url := serveText(t, "HTTP/1.1 "+head+"\r\n\r\n"+refusal)
		code, _, _ := runCtl(t, "apply", "-server", url, "-base", "4", "-apply-id", "x", validFile)
		require.Equal(t, exitUnknown, code, "%q", head)
	}
}

func TestExplainDumpAndHiddenTokens(t *testing.T) {
	_, _, url := serve(t)
	code, out, _ := runCtl(t, "explain", "-server", url, "guide-lm")
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "gain exceeds price")
	require.Regexp(t, `alternative stay +3 points`, out)
	code, _, stderr := runCtl(t, "explain", "-server", url, "nope")
	require.Equal(t, exitUnavailable, code)
	require.Contains(t, stderr, "no plan for service nope")
	code, out, _ = runCtl(t, "dump", "-server", url)
	require.Equal(t, exitOK, code)
	require.JSONEq(t, `{"sessions":3}`, out)
	code, _, _ = runCtl(t, "apply", "-server", url, validFile)
	require.Equal(t, exitOK, code)
	client, err := operatorapi.NewClient(url)
	require.NoError(t, err)
	d, err := client.Deployment(t.Context())
	require.NoError(t, err)
	require.NotContains(t, d.String(), "walkers-example-token")
	require.Equal(t, uint64(1), d.GetRevision())
}
