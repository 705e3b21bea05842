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
	// streamTokens is the length of the streams that callers ask for.
	streamTokens = 60
	// streamCallers is the number of callers that stream at the same time.
	streamCallers = 8
)

// streamers call for one stream after the other and check each of them.
type streamers struct {
	f    *fleet
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	whole   int
	refused int
	broken  []string
}

// startStreamers has callers stream through all entries until finish.
func startStreamers(f *fleet) *streamers {
	s := &streamers{f: f, stop: make(chan struct{})}
	for i := range streamCallers {
		s.wg.Go(func() { s.run(i) })
	}
	return s
}

func (s *streamers) run(caller int) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		default:
		}
		s.one(caller, n)
	}
}

// one sends a request to the first entry that accepts a connection, as a
// balancer would.
func (s *streamers) one(caller, n int) {
	key := fmt.Sprintf("caller-%d-%d", caller, n)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, modelName, mark.Wrap(key), streamTokens)
	for i := range s.f.entries {
		entry := s.f.entries[(caller+n+i)%len(s.f.entries)]
		a, err := tryCall("POST", entry.url()+"/v1/completions", body)
		if err != nil && strings.Contains(err.Error(), "connection refused") {
			continue
		}
		s.judge(key, a, err)
		return
	}
}

// judge notes whether an answer is whole and its caller's own, a refusal of a
// request that was not run, or neither.
func (s *streamers) judge(key string, a answer, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.broken = append(s.broken, key+": "+err.Error())
	case a.status != http.StatusOK && strings.Contains(a.body, `"not_run":"true"`):
		s.refused++
	case a.status == http.StatusOK && streamText(a.body) == mark.OutputText(key, 0, streamTokens) && strings.HasSuffix(a.body, "data: [DONE]\n\n"):
		s.whole++
	default:
		s.broken = append(s.broken, fmt.Sprintf("%s: %d\n%s", key, a.status, a.body))
	}
}

// finish ends the callers and requires that nothing was broken off.
func (s *streamers) finish() {
	s.f.t.Helper()
	close(s.stop)
	s.wg.Wait()
	s.f.t.Logf("%d streams whole, %d refused as not run", s.whole, s.refused)
	require.Empty(s.f.t, s.broken)
	require.Positive(s.f.t, s.whole)
}

// streamText joins the texts of a stream's events.
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

// newPair returns a fleet of two agents, each with an engine and a plain
// service, and two entries.
func newPair(t *testing.T) *fleet {
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

// TestRollingRestartCutsNoStream stops every process of the system in turn
// under streams, and starts it again.
func TestRollingRestartCutsNoStream(t *testing.T) {
	f := newPair(t)
	s := startStreamers(f)
	for _, agent := range f.agents {
		require.Zero(t, agent.term(), agent.name)
		f.startAgent(agent)
		f.waitServing(f.entries[0])
		f.waitServing(f.entries[1])
	}
	for _, entry := range f.entries {
		require.Zero(t, entry.term(), entry.name)
		f.startEntry(entry)
		f.waitRevision(entry)
		f.waitServing(entry)
	}
	s.finish()
}

// TestStopsAreGracefulWithoutThePlatform stops every process while the
// platform does not answer, and while it is gone.
func TestStopsAreGracefulWithoutThePlatform(t *testing.T) {
	for _, tt := range []struct {
		name string
		harm func(f *fleet)
	}{
		{"platform frozen", func(f *fleet) { f.platform.freeze() }},
		{"platform killed", func(f *fleet) { f.platform.kill() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newPair(t)
			a := call(t, "POST", f.entries[0].url()+"/services/passport-app/stamps", "{}", "Idempotency-Key", newKey())
			require.Equal(t, http.StatusOK, a.status, a.body)
			s := startStreamers(f)
			tt.harm(f)
			require.Zero(t, f.entries[0].term())
			require.Zero(t, f.agents[0].term())
			s.finish()
			require.Zero(t, f.entries[1].term())
			require.Zero(t, f.agents[1].term())
		})
	}
}

// TestStopsAreGracefulBesideFrozenPeers stops an agent while an entry is
// frozen in the middle of streams, and an entry while an agent is.
func TestStopsAreGracefulBesideFrozenPeers(t *testing.T) {
	f := newPair(t)
	background := make(chan struct{})
	go func() {
		defer close(background)
		body := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":2000,"stream":true}`, modelName)
		_, _ = tryCall("POST", f.entries[0].url()+"/v1/completions", body, "X-Deadline-Ms", "6000")
	}()
	time.Sleep(300 * time.Millisecond)
	f.entries[0].freeze()
	require.Zero(t, f.agents[0].term(), "agent beside a frozen entry")
	f.entries[0].thaw()
	<-background
	f.agents[1].freeze()
	require.Zero(t, f.entries[0].term(), "entry beside a frozen agent")
	f.agents[1].thaw()
	require.Zero(t, f.agents[1].term())
	require.Zero(t, f.entries[1].term())
	for _, b := range f.backends {
		require.Zero(t, b.term(), b.config.GetName())
	}
	require.Zero(t, f.platform.term())
}
