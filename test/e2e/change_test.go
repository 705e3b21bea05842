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

// TestRoleChangeCutsNoStream changes the role of one engine of two while
// streams run that last longer than its agent waits for them: each is whole,
// and the order met no sequence.
func TestRoleChangeCutsNoStream(t *testing.T) {
	t.Parallel()
	const streams, tokens = 12, 800
	f := newFleet(t)
	changing := f.addEngine(f.addAgent(), "-role-change", "1s")
	f.addEngine(f.addAgent())
	entry := f.addEntry()
	f.apply()
	f.waitServing(entry)

	wait := f.stream(entry, streams, tokens)
	require.Eventually(t, func() bool { return changing.sequences(t) > 0 },
		startTimeout, 20*time.Millisecond, "no stream runs at the engine")
	f.writePlan(changing, configv1.Role_ROLE_DECODE)
	changing.waitRole(t, configv1.Role_ROLE_DECODE, reconcile.DefaultDrainGrace+startTimeout)
	wait()
	for _, o := range changing.orders(t) {
		require.Zero(t, o.RunningSequences)
		require.False(t, o.Changing)
	}
	t.Logf("%d of %d streams moved", changing.moved(t), streams)
}

// TestModelChangeCutsNoStream has the planner load a model at both engines,
// one after the other, while streams run that outlast both: some are moved
// twice, and each is whole.
func TestModelChangeCutsNoStream(t *testing.T) {
	t.Parallel()
	const streams, tokens = 8, 1500
	f := newFleet(t)
	first := f.addEngine(f.addAgent(), "-load-model", "1s")
	second := f.addEngine(f.addAgent(), "-load-model", "1s")
	entry := f.addEntry()
	f.apply()
	f.waitServing(entry)
	wait := f.stream(entry, streams, tokens)
	for _, b := range []*backend{first, second} {
		b.waitRole(t, configv1.Role_ROLE_MIXED, 2*startTimeout)
	}
	wait()
	t.Logf("%d and %d moves of %d streams", first.moved(t), second.moved(t), streams)
}

// stream starts streams and returns a function that waits for their ends and
// checks that each is whole.
func (f *fleet) stream(entry *member, streams, tokens int) func() {
	f.t.Helper()
	var callers sync.WaitGroup
	answers := make([]answer, streams)
	for i := range streams {
		callers.Go(func() {
			body := fmt.Sprintf(`{"model":%q,"prompt":"stage %d","max_tokens":%d,"stream":true}`, modelName, i, tokens)
			answers[i] = call(f.t, "POST", entry.url()+"/v1/completions", body)
		})
	}
	return func() {
		f.t.Helper()
		callers.Wait()
		for _, a := range answers {
			require.Equal(f.t, http.StatusOK, a.status, a.body)
			checkStreamed(f.t, a, tokens)
		}
	}
}

// moved returns how many sequences an engine gave up to another.
func (b *backend) moved(t *testing.T) int {
	t.Helper()
	n := 0
	for _, s := range b.engineRecord(t).Sequences {
		if s.Outcome == engine.OutcomeMoved {
			n++
		}
	}
	return n
}

// checkStreamed checks that a stream holds each token once and in order.
func checkStreamed(t *testing.T, a answer, tokens int) {
	t.Helper()
	require.True(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), "the stream has no end")
	rest, id := a.body, a.header.Get("X-Request-Id")
	for i := range tokens {
		token := mark.TokenText(id, i)
		require.Equal(t, 1, strings.Count(a.body, token), "token %d", i)
		_, after, found := strings.Cut(rest, token)
		require.True(t, found, "token %d is out of order", i)
		rest = after
	}
}
