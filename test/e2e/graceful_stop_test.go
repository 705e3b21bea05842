package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
)

const (
	// streamTokens is the number of output tokens in each stream.
	streamTokens = 60
	// streamCallers is the number of concurrent streams.
	streamCallers = 8
)

// streamers is a set of callers that request streams and check the responses.
type streamers struct {
	f    *fleet
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// complete is the number of complete streams, and refused that of requests
	// that were refused and not run.
	complete int
	refused  int
	// broken describes all other responses: "KEY: STATUS\nBODY" or "KEY: ERROR".
	broken []string
}

// startStreamers starts callers that request streams from all entries until
// finish is called.
func startStreamers(f *fleet) *streamers {
	s := &streamers{f: f, stop: make(chan struct{})}
	for i := range streamCallers {
		s.wg.Go(func() { s.run(i) })
	}
	return s
}

// run requests one stream after the other.
func (s *streamers) run(caller int) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		default:
		}
		s.requestStream(caller, n)
	}
}

// requestStream sends a request to the first entry that accepts a connection,
// as a load balancer does.
func (s *streamers) requestStream(caller, n int) {
	key := fmt.Sprintf("caller-%d-%d", caller, n)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, modelName, mark.Wrap(key), streamTokens)
	for i := range s.f.entries {
		entry := s.f.entries[(caller+n+i)%len(s.f.entries)]
		resp, err := tryCall("POST", entry.url()+"/v1/completions", body)
		if err != nil && strings.Contains(err.Error(), "connection refused") {
			continue
		}
		s.classify(key, resp, err)
		return
	}
}

// classify classifies a response: a complete stream for this very request, a
// refusal of a request that was not run, or broken.
func (s *streamers) classify(key string, resp response, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.broken = append(s.broken, key+": "+err.Error())
	case resp.status != http.StatusOK && strings.Contains(resp.body, `"not_run":"true"`):
		s.refused++
	case resp.status == http.StatusOK && streamText(resp.body) == mark.OutputText(key, 0, streamTokens) && strings.HasSuffix(resp.body, "data: [DONE]\n\n"):
		s.complete++
	default:
		s.broken = append(s.broken, fmt.Sprintf("%s: %d\n%s", key, resp.status, resp.body))
	}
}

// finish stops the callers and checks that no stream was broken.
func (s *streamers) finish() {
	s.f.t.Helper()
	close(s.stop)
	s.wg.Wait()
	s.f.t.Logf("%d streams complete, %d refused and not run", s.complete, s.refused)
	require.Empty(s.f.t, s.broken)
	require.Positive(s.f.t, s.complete)
}

// streamText returns the concatenated text of a stream's events.
func streamText(body string) string {
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.NewDecoder(bytes.NewReader([]byte(data))).Decode(&event) == nil && len(event.Choices) == 1 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	return text.String()
}

// newPairFleet starts a fleet of two entries and two agents with an engine and
// a plain service each.
func newPairFleet(t *testing.T) *fleet {
	f := newFleet(t)
	for range 2 {
		agent := f.addAgent()
		f.addEngine(agent, "-model", modelName, "-model-version", "v1")
		f.addService(agent)
	}
	f.addEntry()
	f.addEntry()
	f.apply()
	for _, e := range f.entries {
		f.waitServing(e)
	}
	return f
}

// TestRollingRestartInterruptsNoStream restarts every entry and agent, one
// after the other, and checks that no stream in flight is interrupted.
func TestRollingRestartInterruptsNoStream(t *testing.T) {
	f := newPairFleet(t)
	s := startStreamers(f)
	for _, agent := range f.agents {
		require.Zero(t, agent.terminate(), agent.name)
		f.startAgent(agent)
		f.waitServing(f.entries[0])
		f.waitServing(f.entries[1])
	}
	for _, entry := range f.entries {
		require.Zero(t, entry.terminate(), entry.name)
		f.startEntry(entry)
		f.waitRevision(entry)
		f.waitServing(entry)
	}
	s.finish()
}

// TestGracefulStopWithoutPlatform checks that entries and agents stop
// gracefully while the platform does not respond and while it is down.
func TestGracefulStopWithoutPlatform(t *testing.T) {
	for _, tt := range []struct {
		name        string
		injectFault func(f *fleet)
	}{
		{"platform paused", func(f *fleet) { f.platform.pause() }},
		{"platform killed", func(f *fleet) { f.platform.kill() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newPairFleet(t)
			resp := call(t, "POST", f.entries[0].url()+"/services/passport-app/stamps", "{}", "Idempotency-Key", newKey())
			require.Equal(t, http.StatusOK, resp.status, resp.body)
			s := startStreamers(f)
			tt.injectFault(f)
			require.Zero(t, f.entries[0].terminate())
			require.Zero(t, f.agents[0].terminate())
			s.finish()
			require.Zero(t, f.entries[1].terminate())
			require.Zero(t, f.agents[1].terminate())
		})
	}
}

// TestGracefulStopWithPausedPeers stops an agent while an entry is paused
// in the middle of a stream, and an entry while an agent is paused. It checks
// that both stop gracefully.
func TestGracefulStopWithPausedPeers(t *testing.T) {
	f := newPairFleet(t)
	background := make(chan struct{})
	go func() {
		defer close(background)
		body := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":2000,"stream":true}`, modelName)
		_, _ = tryCall("POST", f.entries[0].url()+"/v1/completions", body, "X-Deadline-Ms", "6000")
	}()
	time.Sleep(300 * time.Millisecond)
	f.entries[0].pause()
	require.Zero(t, f.agents[0].terminate(), "agent while an entry is paused")
	f.entries[0].resume()
	<-background
	f.agents[1].pause()
	require.Zero(t, f.entries[0].terminate(), "entry while an agent is paused")
	f.agents[1].resume()
	require.Zero(t, f.agents[1].terminate())
	require.Zero(t, f.entries[1].terminate())
	for _, b := range f.backends {
		require.Zero(t, b.terminate(), b.config.GetName())
	}
	require.Zero(t, f.platform.terminate())
}
