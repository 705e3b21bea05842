package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/operatorapi"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/standin/engine"
)

// sequenceCount returns the number of sequences that an engine has received.
func (b *backend) sequenceCount(t *testing.T) int {
	t.Helper()
	return len(b.engineRecord(t).Sequences)
}

// markInstanceLeaving marks the instance of an agent as leaving in the
// platform's list of instances.
func (f *fleet) markInstanceLeaving(agent *member) {
	value, err := json.Marshal(map[string]any{"address": agent.host, "leaving": true})
	require.NoError(f.t, err)
	key := platform.Key{Kind: platform.KindInstance, Name: agent.name}
	_, err = f.store.Put(context.Background(), key, value, 0)
	require.NoError(f.t, err)
}

// waitNotRoutable waits until a backend server is not routable from an entry,
// and returns the reason that the entry's status gives.
func (f *fleet) waitNotRoutable(entry *member, b *backend) string {
	f.t.Helper()
	client, err := operatorapi.NewClient(entry.url())
	require.NoError(f.t, err)
	var reason string
	require.Eventually(f.t, func() bool {
		status, err := client.Status(context.Background())
		if err != nil {
			return false
		}
		for _, s := range status.GetBackendServers() {
			if s.GetName() == b.config.GetName() && !s.GetRoutable() {
				reason = s.GetReason()
				return true
			}
		}
		return false
	}, startTimeout, 50*time.Millisecond, "%s is still routable", b.config.GetName())
	return reason
}

// TestLeavingEngineGetsNoNewSequences checks that an engine gets no sequences
// once an entry knows that it is leaving, for each source of that information:
// the engine itself, the platform's list of instances, the configuration, and
// missed heartbeats of its agent.
func TestLeavingEngineGetsNoNewSequences(t *testing.T) {
	t.Parallel()
	for name, announceLeaving := range map[string]func(*fleet, *member, *backend){
		"own notice": func(f *fleet, _ *member, b *backend) {
			req, err := http.NewRequest(http.MethodPut, b.url()+engine.PathFaults, strings.NewReader(`{"leaving":true}`))
			require.NoError(f.t, err)
			resp, err := http.DefaultClient.Do(req)
			require.NoError(f.t, err)
			resp.Body.Close()
		},
		"platform's list": func(f *fleet, agent *member, _ *backend) { f.markInstanceLeaving(agent) },
		"drain in the file": func(f *fleet, _ *member, b *backend) {
			b.config.Drain = true
			f.apply()
		},
		"failed heartbeat": func(_ *fleet, agent *member, _ *backend) { agent.pause() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			leavingAgent := f.addAgent()
			leavingEngine := f.addEngine(leavingAgent)
			f.addEngine(f.addAgent())
			entry := f.addEntry()
			f.apply()
			f.waitServing(entry)
			announceLeaving(f, leavingAgent, leavingEngine)
			t.Logf("reason: %s", f.waitNotRoutable(entry, leavingEngine))
			before := leavingEngine.sequenceCount(t)
			for i := range 20 {
				body := fmt.Sprintf(`{"model":%q,"prompt":"stage %d","max_tokens":2}`, modelName, i)
				resp := call(t, "POST", entry.url()+"/v1/completions", body)
				require.Equal(t, http.StatusOK, resp.status, resp.body)
			}
			require.Equal(t, before, leavingEngine.sequenceCount(t))
		})
	}
}

// TestAgentDrainsWhenItsInstanceIsListedAsLeaving checks that an agent starts
// draining when the platform lists its instance as leaving, without being
// notified by an entry: the only entry is paused.
func TestAgentDrainsWhenItsInstanceIsListedAsLeaving(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	agent := f.addAgent()
	f.addEngine(agent)
	entry := f.addEntry()
	f.apply()
	f.waitServing(entry)
	entry.pause()
	require.Equal(t, peerv1.ServerState_SERVER_STATE_SERVING, agent.serverState(t))
	f.markInstanceLeaving(agent)
	require.Eventually(t, func() bool {
		return agent.serverState(t) == peerv1.ServerState_SERVER_STATE_DRAINING
	}, startTimeout, 50*time.Millisecond, "the agent does not start draining")
	entry.resume()
}

// serverState returns the state of an agent's first backend server from the
// agent's state dump.
func (m *member) serverState(t *testing.T) peerv1.ServerState {
	t.Helper()
	resp, err := http.Get(m.url() + "/debug/state")
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	var dump peerv1.Heartbeat
	require.NoError(t, protojson.Unmarshal(text, &dump))
	require.NotEmpty(t, dump.GetLoads())
	return dump.GetLoads()[0].GetState()
}
