package e2e

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
)

// engines returns the fleet's engines.
func (f *fleet) engines() []*backend {
	return slices.DeleteFunc(slices.Clone(f.backends), func(b *backend) bool {
		return b.config.GetService() != modelService
	})
}

// TestDrainAndRemovalCutNoStream drains each engine in the file, and takes it
// out of the file and back in, under streams.
func TestDrainAndRemovalCutNoStream(t *testing.T) {
	f := newPair(t)
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

// TestKilledAgentMixesUpNoStream kills each agent under streams. Streams may
// be cut off, since nobody planned it, but what callers have is a prefix of
// their own answer, and most go on at the other engine.
func TestKilledAgentMixesUpNoStream(t *testing.T) {
	f := newPair(t)
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
	t.Logf("%d whole, %d refused as not run, %d cut off or failed", s.whole, s.refused, len(s.broken))
	for _, text := range s.broken {
		key, body, _ := strings.Cut(text, ": ")
		require.True(t, strings.HasPrefix(mark.OutputText(key, 0, streamTokens), streamText(body)), text)
	}
	require.Greater(t, s.whole, len(s.broken))
}
