package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// TestIdleEstimateLeavesTheWait checks that a choice on idle servers is predicted to take
// hardly longer than the estimate, whatever the length of the prompt, and one behind other
// prompts as much longer as they take. Long prompts would count as a lack of capacity
// otherwise.
func TestIdleEstimateLeavesTheWait(t *testing.T) {
	spec := &fleet.EngineSpec{Slots: 32, KVCapacityTokens: 400_000, KVBytesPerToken: 100_000, LinkMbps: 10_000}
	for _, tokens := range []int{200, 20_000} {
		table := NewTable(DefaultOptions("a"), spec)
		table.SetServers(spec, []fleet.Server{
			{ID: "p", Address: "p:80", FailureDomain: "a", Stage: fleet.StagePrefill},
			{ID: "d", Address: "d:80", FailureDomain: "a", Stage: fleet.StageDecode},
		})
		r := Request{PromptTokens: tokens}
		choice, err := table.Choose(0, r)
		require.NoError(t, err)
		idle := table.EstimateIdle(0, choice, tokens)
		require.InDelta(t, choice.TimeToFirstEvent.Seconds(), idle.FirstEvent.Seconds(), 0.01)
		require.Positive(t, idle.PrefillSeconds)
		for _, id := range []string{"p", "d"} {
			table.RecordSend(0, Send{ServerID: id, UncachedTokens: 60_000, PromptTokens: 60_000})
		}
		choice, err = table.Choose(0, r)
		require.NoError(t, err)
		wait := choice.TimeToFirstEvent - table.EstimateIdle(0, choice, tokens).FirstEvent
		require.Greater(t, wait, time.Second)
	}
}

// TestIdleEstimateOfPlainServer checks that the time beyond a plain server's service time
// is the wait for a slot.
func TestIdleEstimateOfPlainServer(t *testing.T) {
	table := NewTable(DefaultOptions("a"), nil)
	table.SetServers(nil, []fleet.Server{{ID: "s", FailureDomain: "a", Slots: 2}})
	for range 20 {
		table.RecordSend(0, Send{ServerID: "s"})
	}
	choice, err := table.Choose(0, Request{})
	require.NoError(t, err)
	require.Greater(t, choice.TimeToFirstEvent-table.EstimateIdle(0, choice, 0).FirstEvent, 9*seconds(plainServiceSeconds))
	require.Equal(t, choice.TimeToFirstEvent, table.EstimateIdle(0, Choice{Server: fleet.Server{ID: "gone"}, TimeToFirstEvent: choice.TimeToFirstEvent}, 0).FirstEvent)
}
