package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
	"github.com/marigoldwing/marigoldwing/internal/standin/service"
)

const experimentFile = `
[experiment]
name = trial
seed = 7
targets = http://127.0.0.1:1

[class question]
kind = model
target = tutor-lm
output_tokens = 4
prompt_spread = 0.5

[class pickup]
kind = plain
target = counter-app
call = POST /pickups
non_idempotent = true

[phase calm]
duration_ms = 100000
rates = question 5, pickup 2

[phase rush]
duration_ms = 100000
rates = question 50
`

// An experiment file with several mistakes is rejected with all of them.
func TestParseExperimentReportsAllErrors(t *testing.T) {
	_, err := ParseExperiment([]byte(experimentFile))
	require.NoError(t, err)
	wrong := strings.NewReplacer("kind = plain", "kind = queue", "pickup 2", "picup 2", "seed", "sed").Replace(experimentFile)
	_, err = ParseExperiment([]byte(wrong))
	for _, part := range []string{"sed", "queue", "picup"} {
		require.ErrorContains(t, err, part)
	}
}

func TestExampleExperimentIsValid(t *testing.T) {
	data, err := os.ReadFile("../../examples/experiment.ini")
	require.NoError(t, err)
	experiment, err := ParseExperiment(data)
	require.NoError(t, err)
	require.NotEmpty(t, Schedule(experiment))
}

// The schedule is sorted, follows the rates of each phase, and depends only on
// the experiment and its seed.
func TestScheduleFollowsRatesAndSeed(t *testing.T) {
	experiment, err := ParseExperiment([]byte(experimentFile))
	require.NoError(t, err)
	arrivals := Schedule(experiment)
	require.Equal(t, arrivals, Schedule(experiment))
	counts := make(map[string]int)
	last := time.Duration(0)
	for _, a := range arrivals {
		require.GreaterOrEqual(t, a.At, last)
		last = a.At
		phase := "calm "
		if a.At >= 100*time.Second {
			phase = "rush "
		}
		counts[phase+a.Class.GetName()]++
	}
	require.InDelta(t, 500, counts["calm question"], 100)
	require.InDelta(t, 200, counts["calm pickup"], 60)
	require.InDelta(t, 5000, counts["rush question"], 300)
	require.Zero(t, counts["rush pickup"])

	experiment.Seed = 8
	require.NotEqual(t, arrivals, Schedule(experiment))
}

// fakeEntry is a fake of an entry together with a stand-in service. It calls
// respond for requests and serves effects as the service's effect counts.
type fakeEntry struct {
	mu      sync.Mutex
	respond http.HandlerFunc
	effects service.EffectCounts
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == metricsPath {
		return
	}
	if r.URL.Path == service.PathRecord {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(f.effects)
		return
	}
	f.respond(w, r)
}

// writeEcho responds like a stand-in service, after change has modified the
// response.
func writeEcho(w http.ResponseWriter, r *http.Request, change func(*service.Response)) {
	body, _ := io.ReadAll(r.Body)
	response := service.Response{Method: r.Method, Path: strings.TrimPrefix(r.URL.RequestURI(), "/services/counter-app"), Body: string(body)}
	change(&response)
	_ = json.NewEncoder(w).Encode(response)
}

// writeStream streams the given number of tokens for key and then writes end.
func writeStream(w http.ResponseWriter, key string, tokens int, end string) {
	for i := range tokens {
		event := chatResponse{Choices: []chatChoice{{Delta: chatMessage{Content: mark.TokenText(key, i)}}}}
		data, _ := json.Marshal(event)
		fmt.Fprintf(w, "data: %s\n\n", data)
	}
	fmt.Fprint(w, end)
}

// writeRefusal writes an error response with the given value of not_run.
func writeRefusal(w http.ResponseWriter, notRun string) {
	w.Header().Set("Content-Type", problemType)
	w.Header().Set(headerRetryAfter, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintf(w, `{"reason":"overloaded","not_run":%q,"new_member":1}`, notRun)
}

const doneEvent = "data: [DONE]\n\n"

// Each kind of response, complete, wrong, truncated or refused, leads to the
// verdict that the caller may rely on.
func TestVerdicts(t *testing.T) {
	question := &loadv1.Class{Name: "q", Kind: loadv1.ClassKind_CLASS_KIND_MODEL, Target: "m", Stream: true}
	stamp := &loadv1.Class{Name: "s", Kind: loadv1.ClassKind_CLASS_KIND_PLAIN, Target: "counter-app", Call: "POST /stamps", NonIdempotent: true}
	key := func(r *http.Request) string {
		body, _ := io.ReadAll(r.Body)
		return mark.Extract(string(body), "")
	}
	tests := []struct {
		name    string
		class   *loadv1.Class
		respond http.HandlerFunc
		want    Verdict
	}{
		{"correct stream", question, func(w http.ResponseWriter, r *http.Request) { writeStream(w, key(r), 3, doneEvent) }, Answered},
		{"stream of another request", question, func(w http.ResponseWriter, _ *http.Request) { writeStream(w, "other", 3, doneEvent) }, Mismatched},
		{"missing token", question, func(w http.ResponseWriter, r *http.Request) { writeStream(w, key(r), 2, doneEvent) }, Mismatched},
		{"stream without its last event", question, func(w http.ResponseWriter, r *http.Request) { writeStream(w, key(r), 3, "") }, Unknown},
		{"error event in a stream", question, func(w http.ResponseWriter, r *http.Request) {
			writeStream(w, key(r), 1, `data: {"error":{"reason":"withdrawn","not_run":"false"}}`+"\n\n")
		}, Unknown},
		{"refused", stamp, func(w http.ResponseWriter, _ *http.Request) { writeRefusal(w, "true") }, Refused},
		{"outcome unknown", stamp, func(w http.ResponseWriter, _ *http.Request) { writeRefusal(w, "unknown") }, Unknown},
		{"correct echo", stamp, func(w http.ResponseWriter, r *http.Request) { writeEcho(w, r, func(*service.Response) {}) }, Answered},
		{"echo of another request", stamp, func(w http.ResponseWriter, r *http.Request) {
			writeEcho(w, r, func(r *service.Response) { r.Body = "other" })
		}, Mismatched},
		{"connection closed", stamp, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(&fakeEntry{respond: tt.respond})
			defer server.Close()
			c, err := newCaller([]string{server.URL}, time.Now())
			require.NoError(t, err)
			out := c.send(t.Context(), 0, Arrival{Class: tt.class, PromptTokens: 40, OutputTokens: 3})
			require.Equal(t, tt.want, out.Verdict, out.Reason)
		})
	}
	t.Run("no reachable entry", func(t *testing.T) {
		server := httptest.NewServer(nil)
		server.Close()
		c, err := newCaller([]string{server.URL}, time.Now())
		require.NoError(t, err)
		out := c.send(t.Context(), 0, Arrival{Class: stamp})
		require.Equal(t, Refused, out.Verdict)
		require.Equal(t, reasonUnreached, out.Reason)
	})
}

// The load is open loop. The entry responds to nobody until all requests have
// arrived, which would block a closed-loop generator forever.
func TestOpenLoop(t *testing.T) {
	experiment, err := ParseExperiment([]byte(experimentFile))
	require.NoError(t, err)
	experiment.Phases = []*loadv1.Phase{{Name: "p", DurationMs: 200, Rates: []string{"pickup 200"}}}
	waiting := len(Schedule(experiment))
	require.Greater(t, waiting, 20)

	var mu sync.Mutex
	all := make(chan struct{})
	entry := &fakeEntry{effects: service.EffectCounts{}}
	entry.respond = func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		waiting--
		if waiting == 0 {
			close(all)
		}
		mu.Unlock()
		<-all
		entry.mu.Lock()
		entry.effects[r.Header.Get(headerIdempotencyKey)]++
		entry.mu.Unlock()
		writeEcho(w, r, func(*service.Response) {})
	}
	server := httptest.NewServer(entry)
	defer server.Close()
	experiment.Targets = []string{server.URL}
	experiment.Services = []string{server.URL}
	result, err := Run(t.Context(), experiment)
	require.NoError(t, err)
	require.True(t, result.Passed(), result.Summary())
	require.Equal(t, result.Total.Sent, result.Total.Answered)
	require.Equal(t, result.Total.Sent, result.Audit.Checked)
}

// The audit detects duplicate and missing effects and false refusals.
func TestEffectAudit(t *testing.T) {
	tests := []struct {
		verdict Verdict
		effects int
		want    EffectAudit
	}{
		{Answered, 1, EffectAudit{Checked: 1}},
		{Answered, 2, EffectAudit{Checked: 1, Duplicates: 1}},
		{Answered, 0, EffectAudit{Checked: 1, MissingEffects: 1}},
		{Refused, 0, EffectAudit{Checked: 1}},
		{Refused, 1, EffectAudit{Checked: 1, FalseRefusals: 1}},
		{Unknown, 1, EffectAudit{Checked: 1}},
		{Unknown, 3, EffectAudit{Checked: 1, Duplicates: 2}},
	}
	for _, tt := range tests {
		var audit EffectAudit
		audit.add(Outcome{Verdict: tt.verdict}, tt.effects)
		require.Equal(t, tt.want, audit, "%s with %d effects", tt.verdict, tt.effects)
	}
}

// Attempt counts are increases since the earlier reading, also after a counter
// reset, and unreachable entries are ignored.
func TestAttemptCountsSinceEarlierReading(t *testing.T) {
	metrics := `# TYPE marigold_attempts_total counter
marigold_attempts_total{service="a",kind="first"} 7
marigold_attempts_total{service="b",kind="first"} 3
marigold_attempts_total{service="b",kind="retry"} 2
`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, metrics) }))
	defer server.Close()
	now := readAttempts(t.Context(), []string{server.URL, "http://127.0.0.1:1"})
	require.Equal(t, []AttemptCount{{"first", 6}, {"retry", 2}}, now.since(attemptCounts{"first": 4, "retry": 5}))
}
