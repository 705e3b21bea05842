package enginemodel

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// TestMain fixes the seed of the property-based tests, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testSettings returns settings with round numbers: 1 ms of prefill per prompt
// token and 10 ms per decode step.
func testSettings() Settings {
	s := DefaultSettings()
	s.PrefillRate = 1000
	s.DecodeStep = 10 * time.Millisecond
	s.DecodeStepPerSequence = time.Millisecond
	s.StepTokenBudget = 100
	s.ReportLag = time.Second
	s.CacheEventLoss = 0
	return s
}

func newModel(t *testing.T, s Settings) *Model {
	t.Helper()
	m, err := New(s, 1)
	require.NoError(t, err)
	return m
}

// advanceAll advances the model from event to event up to end and returns all
// events.
func advanceAll(m *Model, end time.Duration) []Event {
	var out []Event
	for {
		next, ok := m.NextEvent()
		if !ok || next > end {
			return append(out, m.Advance(end)...)
		}
		out = append(out, m.Advance(next)...)
	}
}

func findEvent(events []Event, kind EventKind, id string) (Event, bool) {
	for _, event := range events {
		if event.Kind == kind && event.ID == id {
			return event, true
		}
	}
	return Event{}, false
}

// A sequence that runs alone takes exactly the time that the configured rates
// imply.
func TestSingleSequenceTiming(t *testing.T) {
	m := newModel(t, testSettings())
	require.NoError(t, m.Submit(0, Sequence{ID: "a", PromptTokens: 500, OutputTokens: 11}))
	events := advanceAll(m, time.Minute)
	prefilled, ok := findEvent(events, EventPrefilled, "a")
	require.True(t, ok)
	require.Equal(t, 500*time.Millisecond, prefilled.At)
	done, ok := findEvent(events, EventDone, "a")
	require.True(t, ok)
	require.Equal(t, 600*time.Millisecond, done.At)
	require.Equal(t, FinishedLength, done.Reason)
}

// A high-priority sequence overtakes the prefill of a low-priority one, and its
// decoding slows that prefill down.
func TestPriorityOvertakesPrefill(t *testing.T) {
	m := newModel(t, testSettings())
	require.NoError(t, m.Submit(0, Sequence{ID: "low", PromptTokens: 1000, OutputTokens: 1}))
	require.NoError(t, m.Submit(0, Sequence{ID: "high", PromptTokens: 100, OutputTokens: 100, Priority: 5}))
	events := advanceAll(m, time.Minute)
	high, _ := findEvent(events, EventPrefilled, "high")
	low, _ := findEvent(events, EventPrefilled, "low")
	require.Equal(t, 200*time.Millisecond, high.At, "the step of the low-priority sequence that had already started completes first")
	require.Greater(t, low.At, 1100*time.Millisecond, "decoding the other sequence uses part of each step")
	done, _ := findEvent(events, EventDone, "high")
	require.Greater(t, done.At, low.At)
}

// A sequence that does not fit into the KV cache memory waits until another one
// ends, and all memory is free in the end.
func TestSequenceWaitsForMemory(t *testing.T) {
	s := testSettings()
	s.KVTokens = 160
	m := newModel(t, s)
	require.NoError(t, m.Submit(0, Sequence{ID: "a", PromptTokens: 100, OutputTokens: 10}))
	require.NoError(t, m.Submit(0, Sequence{ID: "b", PromptTokens: 100, OutputTokens: 10}))
	require.ErrorIs(t, m.Submit(0, Sequence{ID: "c", PromptTokens: 200, OutputTokens: 1}), ErrTooLarge)
	events := advanceAll(m, time.Minute)
	a, _ := findEvent(events, EventDone, "a")
	b, _ := findEvent(events, EventPrefilled, "b")
	require.Equal(t, a.At+100*time.Millisecond, b.At)
	require.Zero(t, m.kvUsed)
	require.Zero(t, m.queuedPrompt)
}

// A cached prefix is not prefilled again, and cache events are published only
// after CacheEventLag.
func TestPrefixCacheSkipsPrefillAndDelaysEvents(t *testing.T) {
	s := testSettings()
	s.CacheEventLag = 2 * time.Second
	m := newModel(t, s)
	hashes := []uint64{1, 2, 3}
	require.NoError(t, m.Submit(0, Sequence{ID: "a", PromptTokens: 50, PrefixHashes: hashes, OutputTokens: 1}))
	advanceAll(m, time.Second)
	events, _ := m.CacheEvents(time.Second, 0)
	require.Empty(t, events)
	require.NoError(t, m.Submit(time.Second, Sequence{ID: "b", PromptTokens: 50, PrefixHashes: hashes, OutputTokens: 1}))
	out := advanceAll(m, 10*time.Second)
	b, _ := findEvent(out, EventPrefilled, "b")
	require.Equal(t, 48, b.CachedTokens)
	require.Equal(t, time.Second+2*time.Millisecond, b.At)
	events, next := m.CacheEvents(10*time.Second, 0)
	require.Len(t, events, 3)
	require.Equal(t, uint64(4), next)
}

// Load reports show the load as it was ReportLag ago.
func TestLoadReportLag(t *testing.T) {
	m := newModel(t, testSettings())
	require.NoError(t, m.Submit(5*time.Second, Sequence{ID: "a", PromptTokens: 5000, OutputTokens: 1}))
	require.Zero(t, m.LoadReport(5500*time.Millisecond).QueuedPromptTokens)
	require.Equal(t, int64(5000), m.LoadReport(6*time.Second).QueuedPromptTokens)
	require.Equal(t, int64(4000), m.LoadReport(7*time.Second).QueuedPromptTokens)
}

// Prefill and decode engines accept only their stage of a split request, and
// the exported KV cache occupies memory until it is released.
func TestPrefillAndDecodeRoles(t *testing.T) {
	s := testSettings()
	s.ImportTimePerToken = time.Millisecond
	s.Role = configv1.Role_ROLE_PREFILL
	prefill := newModel(t, s)
	s.Role = configv1.Role_ROLE_DECODE
	decode := newModel(t, s)

	sequence := Sequence{ID: "a", PromptTokens: 100, OutputTokens: 5}
	require.ErrorIs(t, prefill.Submit(0, sequence), ErrWrongRole)
	require.ErrorIs(t, decode.Submit(0, sequence), ErrWrongRole)

	sequence.PrefillOnly = true
	require.NoError(t, prefill.Submit(0, sequence))
	done, _ := findEvent(advanceAll(prefill, time.Second), EventDone, "a")
	require.Equal(t, FinishedPrefill, done.Reason)
	require.Equal(t, 100, prefill.kvUsed, "the export occupies memory until it is released")
	require.True(t, prefill.Release(done.At, "a"))
	require.Zero(t, prefill.kvUsed)

	sequence.PrefillOnly, sequence.Imported = false, true
	require.NoError(t, decode.Submit(done.At, sequence))
	ended, _ := findEvent(advanceAll(decode, time.Second), EventDone, "a")
	require.Equal(t, done.At+150*time.Millisecond, ended.At)
}

// Export stops a sequence at the current token, and the memory of an export
// that is never released is freed after ExportTTL.
func TestExportStopsSequenceAndExpires(t *testing.T) {
	m := newModel(t, testSettings())
	require.NoError(t, m.Submit(0, Sequence{ID: "a", PromptTokens: 100, OutputTokens: 50}))
	tokens, err := m.Export(200*time.Millisecond, "a")
	require.NoError(t, err)
	require.Equal(t, 11, tokens)
	events := m.Advance(200 * time.Millisecond)
	done, _ := findEvent(events, EventDone, "a")
	require.Equal(t, FinishedMoved, done.Reason)
	m.Advance(time.Minute)
	require.NoError(t, m.Submit(time.Minute, Sequence{ID: "b", PromptTokens: 1, OutputTokens: 1}))
	require.Equal(t, 16, m.kvUsed, "the export has expired")
}

// An order is rejected while the engine has sequences, and the engine accepts
// no sequences while it carries out the order.
func TestOrderRequiresEmptyEngine(t *testing.T) {
	m := newModel(t, testSettings())
	require.NoError(t, m.Submit(0, Sequence{ID: "a", PromptTokens: 100, OutputTokens: 1}))
	_, err := m.ApplyOrder(0, configv1.Role_ROLE_DECODE, "", "")
	require.ErrorIs(t, err, ErrBusy)
	advanceAll(m, time.Second)
	ready, err := m.ApplyOrder(time.Second, configv1.Role_ROLE_DECODE, "", "")
	require.NoError(t, err)
	require.Equal(t, 9*time.Second, ready)
	require.ErrorIs(t, m.Submit(2*time.Second, Sequence{ID: "b", PromptTokens: 1, OutputTokens: 1}), ErrChanging)
	changed, ok := findEvent(advanceAll(m, ready), EventReady, "")
	require.True(t, ok)
	require.Equal(t, ready, changed.At)
	require.Equal(t, configv1.Role_ROLE_DECODE, m.State(ready).Role)
}

// An engine that crashes during a role change restarts with its old role.
func TestCrashDuringOrderKeepsOldRole(t *testing.T) {
	s := testSettings()
	m := newModel(t, s)
	_, err := m.ApplyOrder(0, configv1.Role_ROLE_DECODE, "", "")
	require.NoError(t, err)
	m.Crash(time.Second)
	require.False(t, m.State(time.Second).Up)
	m.Restart(2 * time.Second)
	advanceAll(m, 2*time.Second+s.ModelLoadTime)
	state := m.State(time.Minute)
	require.True(t, state.Up)
	require.Equal(t, configv1.Role_ROLE_MIXED, state.Role)
	require.Equal(t, uint64(2), state.Incarnation)
}

// BenchmarkOneHour simulates one hour of an engine under load.
func BenchmarkOneHour(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		m, err := New(DefaultSettings(), 1)
		if err != nil {
			b.Fatal(err)
		}
		tokens := 0
		for i := range 3600 * 4 {
			now := time.Duration(i) * 250 * time.Millisecond
			id := fmt.Sprint(i)
			if err := m.Submit(now, Sequence{ID: id, PromptTokens: 800, OutputTokens: 150}); err != nil {
				b.Fatal(err)
			}
			for _, event := range m.Advance(now) {
				tokens += event.Tokens
			}
		}
		b.ReportMetric(float64(tokens), "tokens/op")
	}
}
