package serverlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPauseEnds checks that nothing is allowed until the end of a pause.
func TestPauseEnds(t *testing.T) {
	for _, asked := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond, 3 * time.Second, time.Hour} {
		b := New("a", 1)
		until := b.Pause(time.Second, theServer, asked)
		require.GreaterOrEqual(t, until, time.Second+asked)
		require.LessOrEqual(t, until, time.Second+asked+min(asked/10, maxPauseSpread))
		if asked > 0 {
			require.True(t, b.Paused(until-1, serverID))
			require.False(t, b.Allows(until-1, serverID))
			wait, shared := b.Wait(time.Second, serverID)
			require.True(t, shared)
			require.Equal(t, until-time.Second, wait)
		}
		require.False(t, b.Paused(until, serverID))
		require.True(t, b.Allows(until, serverID))
	}
	b := New("a", 1)
	require.LessOrEqual(t, b.Pause(time.Second, theServer, 1e6*time.Hour), time.Second+maxPause+maxPauseSpread)
}

// TestShorterPauseDoesNotEndLongerOne checks pauses that overlap.
func TestShorterPauseDoesNotEndLongerOne(t *testing.T) {
	b := New("a", 1)
	long := b.Pause(time.Second, theServer, 5*time.Second)
	require.Equal(t, long, b.Pause(2*time.Second, theServer, time.Second))
	require.Greater(t, b.Pause(3*time.Second, theServer, 5*time.Second), long)
}

// TestGatewaysReturnApart checks gateways that were refused together.
func TestGatewaysReturnApart(t *testing.T) {
	ends := make(map[time.Duration]bool)
	for i := range 50 {
		ends[New(fmt.Sprint("gateway", i), 4).Pause(time.Second, theServer, 3*time.Second).Round(time.Millisecond)] = true
	}
	require.Greater(t, len(ends), 35)
}

// TestOneRequestAtATimeAfterPause checks a server that has not accepted a request since.
func TestOneRequestAtATimeAfterPause(t *testing.T) {
	b := New("a", 1)
	end := b.Pause(time.Second, theServer, time.Second)
	require.True(t, b.Allows(end, serverID))
	require.False(t, b.Permit(end-1, serverID))
	require.True(t, b.Permit(end, serverID))
	require.False(t, b.Permit(end, serverID), "the answer to the first one is awaited")
	require.False(t, b.Allows(end, serverID))
	wait, shared := b.Wait(end, serverID)
	require.True(t, shared)
	require.Equal(t, trialPoll, wait)
	require.True(t, b.Allows(end+trialTimeout, serverID), "its answer is lost")
	require.False(t, b.Accepted(theServer, end-1), "sent before the end of the pause")
	require.True(t, b.Accepted(theServer, end))
	require.True(t, b.Permit(end, serverID))
	require.True(t, b.Permit(end, serverID))
	require.False(t, b.Accepted(theServer, end), "known")
}

// TestPauseHoldsForOneStart checks missing registrations and a next start.
func TestPauseHoldsForOneStart(t *testing.T) {
	next := Server{ID: serverID, StartedUnixMs: 2}
	state := func() *Book {
		b := New("a", 1)
		b.Pause(time.Second, theServer, time.Hour)
		return b
	}
	for name, registered := range map[string][]Server{"registered": {theServer}, "missing": nil, "an earlier start": {{serverID, 0}}} {
		b := state()
		b.Retain(2*time.Second, registered)
		require.True(t, b.Paused(time.Minute, serverID), name)
	}
	b := state()
	b.Retain(2*time.Second, []Server{next})
	require.True(t, b.Paused(2*time.Second, serverID), "the refusal may have been its own")
	end := 2*time.Second + maxNextStartPause
	require.False(t, b.Paused(end, serverID))
	require.True(t, b.Permit(end, serverID))
	require.False(t, b.Permit(end, serverID), "one at a time until it accepts one")
	b = state()
	b.Pause(2*time.Second, next, time.Second)
	require.False(t, b.Paused(time.Minute, serverID), "the next start has asked for less")
	require.Equal(t, time.Minute, b.Pause(time.Minute, theServer, time.Hour), "a late answer of the earlier start")
	require.False(t, b.Paused(time.Minute, serverID))
}

// TestStatementsOfGoneServersAreForgotten checks servers that come and go for hours.
func TestStatementsOfGoneServersAreForgotten(t *testing.T) {
	b := New("a", 1)
	now := time.Second
	for i := range 10_000 {
		now += time.Second
		key := Server{fmt.Sprint("i-", i), 1}
		b.Observe(now, key, 0, limited(5))
		b.Pause(now, key, 3*time.Second)
		b.Retain(now, []Server{key})
	}
	require.Less(t, len(b.servers), 2*int(memory/time.Second))
}

// TestPauseOfUnknownStartOutlivesRegistration checks a server that does not state its start,
// whose ID names one start, until the end of its pause.
func TestPauseOfUnknownStartOutlivesRegistration(t *testing.T) {
	unknown := Server{ID: serverID}
	b := New("a", 1)
	end := b.Pause(time.Second, unknown, time.Hour)
	for now := 2 * time.Second; now < end; now += 10 * time.Minute {
		b.Retain(now, nil)
		require.True(t, b.Paused(now, serverID))
		b.Retain(now+time.Second, []Server{unknown})
		require.True(t, b.Paused(now+time.Second, serverID))
	}
	b.Retain(end, nil)
	b.Retain(end+memory+time.Second, nil)
	require.Empty(t, b.servers)
}
