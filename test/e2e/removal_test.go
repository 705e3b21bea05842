package e2e

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
)

// engines returns the engines among the fleet's backend servers.
func (f *fleet) engines() []*backend {
	return slices.DeleteFunc(slices.Clone(f.backends), func(b *backend) bool {
		return b.config.GetService() != modelService
	})
}

// TestDrainAndRemovalInterruptNoStream drains each engine by the configuration,
// removes it from the configuration and adds it again, and checks that no
// stream in flight is interrupted.
func TestDrainAndRemovalInterruptNoStream(t *testing.T) {
	f := newPairFleet(t)
	s := startStreamers(f)
	for _, b := range f.engines() {
		b.config.Drain = true
		f.apply()
		time.Sleep(time.Second)
		b.config.Drain = false
		f.apply()
		time.Sleep(time.Second)
		all := f.backends
		f.backends = slices.DeleteFunc(slices.Clone(all), func(other *backend) bool { return other == b })
		f.apply()
		time.Sleep(time.Second)
		f.backends = all
		f.apply()
		time.Sleep(time.Second)
	}
	s.finish()
}

// TestKilledAgentCorruptsNoStream kills each agent while streams are in flight.
// Such an unplanned failure may interrupt streams, but callers must have
// received a prefix of the response to their own request, and most streams must
// be resumed on the other engine.
func TestKilledAgentCorruptsNoStream(t *testing.T) {
	f := newPairFleet(t)
	s := startStreamers(f)
	for _, agent := range f.agents {
		time.Sleep(500 * time.Millisecond)
		agent.kill()
		time.Sleep(500 * time.Millisecond)
		f.startAgent(agent)
		f.waitServing(f.entries[0])
		f.waitServing(f.entries[1])
	}
	close(s.stop)
	s.wg.Wait()
	t.Logf("%d complete, %d refused and not run, %d interrupted or failed", s.complete, s.refused, len(s.broken))
	for _, text := range s.broken {
		key, body, _ := strings.Cut(text, ": ")
		require.True(t, strings.HasPrefix(mark.OutputText(key, 0, streamTokens), streamText(body)), text)
	}
	require.Greater(t, s.complete, len(s.broken))
}
