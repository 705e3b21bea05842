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

// sequences returns how many sequences an engine was given.
func (b *backend) sequences(t *testing.T) int {
	t.Helper()
	return len(b.engineRecord(t).Sequences)
}

// listLeaving has the platform list the instance of an agent as leaving.
func (f *fleet) listLeaving(agent *member) {
	value, err := json.Marshal(map[string]any{"address": agent.host, "leaving": true})
	require.NoError(f.t, err)
	key := platform.Key{Kind: platform.KindInstance, Name: agent.name}
	_, err = f.store.Put(context.Background(), key, value, 0)
	require.NoError(f.t, err)
}

// waitNotRoutable returns the reason why an entry gives no work to a backend
// server, once it gives none.
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
	}, startTimeout, 50*time.Millisecond, "%s still gets work", b.config.GetName())
	return reason
}

// TestLeavingEngineGetsNoNewWork has an engine leave in each of the ways of
// which the system hears, and counts what it is given from then on.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*fleet, *member, *backend){
		"own notice": func(f *fleet, _ *member, b *backend) {
			req, err := http.NewRequest(http.MethodPut, b.url()+engine.PathFaults, strings.NewReader(`{"leaving":true}`))
			require.NoError(f.t, err)
			resp, err := http.DefaultClient.Do(req)
			require.NoError(f.t, err)
			resp.Body.Close()
		},
		"platform's list": func(f *fleet, agent *member, _ *backend) { f.listLeaving(agent) },
		"drain in the file": func(f *fleet, _ *member, b *backend) {
			b.config.Drain = true
			f.apply()
		},
		"failed heartbeat": func(_ *fleet, agent *member, _ *backend) { agent.freeze() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			leaver := f.addAgent()
			leaving := f.addEngine(leaver)
			f.addEngine(f.addAgent())
			entry := f.addEntry()
			f.apply()
			f.waitServing(entry)
			leave(f, leaver, leaving)
			t.Logf("reason: %s", f.waitNotRoutable(entry, leaving))
			before := leaving.sequences(t)
			for i := range 20 {
				body := fmt.Sprintf(`{"model":%q,"prompt":"stage %d","max_tokens":2}`, modelName, i)
				a := call(t, "POST", entry.url()+"/v1/completions", body)
				require.Equal(t, http.StatusOK, a.status, a.body)
			}
			require.Equal(t, before, leaving.sequences(t))
		})
	}
}

// TestAgentClosesForTheListByItself has the platform list an instance as
// leaving while no entry runs that could read it: its agent closes the gate.
func TestAgentClosesForTheListByItself(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	agent := f.addAgent()
	f.addEngine(agent)
	entry := f.addEntry()
	f.apply()
	f.waitServing(entry)
	entry.freeze()
	require.Equal(t, peerv1.ServerState_SERVER_STATE_SERVING, agent.serverState(t))
	f.listLeaving(agent)
	require.Eventually(t, func() bool {
		return agent.serverState(t) == peerv1.ServerState_SERVER_STATE_DRAINING
	}, startTimeout, 50*time.Millisecond, "the gate stays open")
	entry.thaw()
}

// serverState returns the state of an agent's first backend server, as its
// state dump tells.
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
