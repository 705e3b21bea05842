package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/reconcile"
	"github.com/marigoldwing/marigoldwing/internal/standin/engine"
	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
)

// TestRoleChangeInterruptsNoStream changes the role of one of two engines while
// streams are in flight that last longer than the agent's drain grace. It checks
// that all streams are complete, and that the engine had no sequences when it
// got the order.
func TestRoleChangeInterruptsNoStream(t *testing.T) {
	t.Parallel()
	const streams, tokens = 12, 800
	f := newFleet(t)
	changing := f.addEngine(f.addAgent(), "-role-change", "1s")
	f.addEngine(f.addAgent())
	entry := f.addEntry()
	f.apply()
	f.waitServing(entry)

	wait := f.startStreams(entry, streams, tokens)
	require.Eventually(t, func() bool { return changing.sequenceCount(t) > 0 },
		startTimeout, 20*time.Millisecond, "the engine got no stream")
	f.writePlan(changing, configv1.Role_ROLE_DECODE)
	changing.waitRole(t, configv1.Role_ROLE_DECODE, reconcile.DefaultDrainGrace+startTimeout)
	wait()
	for _, o := range changing.orders(t) {
		require.Zero(t, o.RunningSequences)
		require.False(t, o.Changing)
	}
	t.Logf("%d of %d streams moved", changing.movedSequences(t), streams)
}

// TestModelChangeInterruptsNoStream makes the planner load a model on two
// engines, one after the other, while streams are in flight that outlast both
// changes. It checks that all streams are complete, although some are moved
// twice.
func TestModelChangeInterruptsNoStream(t *testing.T) {
	t.Parallel()
	const streams, tokens = 8, 1500
	f := newFleet(t)
	first := f.addEngine(f.addAgent(), "-load-model", "1s")
	second := f.addEngine(f.addAgent(), "-load-model", "1s")
	entry := f.addEntry()
	f.apply()
	f.waitServing(entry)
	wait := f.startStreams(entry, streams, tokens)
	for _, b := range []*backend{first, second} {
		b.waitRole(t, configv1.Role_ROLE_MIXED, 2*startTimeout)
	}
	wait()
	t.Logf("%d and %d moves of %d streams", first.movedSequences(t), second.movedSequences(t), streams)
}

// startStreams starts concurrent streams of the given number of tokens. The
// returned function waits for their end and checks that all are complete.
func (f *fleet) startStreams(entry *member, streams, tokens int) func() {
	f.t.Helper()
	var callers sync.WaitGroup
	responses := make([]response, streams)
	for i := range streams {
		callers.Go(func() {
			body := fmt.Sprintf(`{"model":%q,"prompt":"stage %d","max_tokens":%d,"stream":true}`, modelName, i, tokens)
			responses[i] = call(f.t, "POST", entry.url()+"/v1/completions", body)
		})
	}
	return func() {
		f.t.Helper()
		callers.Wait()
		for _, resp := range responses {
			require.Equal(f.t, http.StatusOK, resp.status, resp.body)
			checkStreamed(f.t, resp, tokens)
		}
	}
}

// movedSequences returns the number of sequences that were moved from an engine to
// another one.
func (b *backend) movedSequences(t *testing.T) int {
	t.Helper()
	n := 0
	for _, s := range b.engineRecord(t).Sequences {
		if s.Outcome == engine.OutcomeMoved {
			n++
		}
	}
	return n
}

// checkStreamed checks that a stream is complete and contains each token exactly
// once and in order.
func checkStreamed(t *testing.T, resp response, tokens int) {
	t.Helper()
	require.True(t, strings.HasSuffix(resp.body, "data: [DONE]\n\n"), "the stream is incomplete")
	rest, id := resp.body, resp.header.Get("X-Request-Id")
	for i := range tokens {
		token := mark.TokenText(id, i)
		require.Equal(t, 1, strings.Count(resp.body, token), "token %d", i)
		_, after, found := strings.Cut(rest, token)
		require.True(t, found, "token %d is out of order", i)
		rest = after
	}
}
