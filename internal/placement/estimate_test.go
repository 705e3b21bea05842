package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFirstStepAndRateAreLearned checks that the time of the first step and the
// prefill rate are learned from a mix of short and long prompts at an idle
// engine. With a fixed time that is too long, the short prompts alone raised the
// rate without bound.
func TestFirstStepAndRateAreLearned(t *testing.T) {
	const (
		step = 40 * time.Millisecond
		rate = 93_000.0
	)
	table := newTable(engines(1, 1))
	now := time.Duration(0)
	for i := range 600 {
		tokens := 300
		if i%4 == 0 {
			tokens = 9000
		}
		f := table.RecordSend(now, sendOf("p0", tokens, 0))
		now += step + seconds(prefillWork(float64(tokens), float64(tokens))/rate)
		table.RecordPrefilled(now, f)
		table.RecordEnd(now, f)
		now += time.Second
	}
	require.InEpsilon(t, step.Seconds(), table.firstSteps[prefillStep].seconds, 0.15)
	require.InEpsilon(t, rate, table.prefillRate.perSecond, 0.2)
	require.InDelta(t, initialFirstStepSeconds, table.firstSteps[importStep].seconds, 1e-9, "other ways are not affected")
}

// TestImportedPromptHasItsOwnFirstStep checks that a decode engine's time with
// an imported KV cache is learned apart from that with a prefill.
func TestImportedPromptHasItsOwnFirstStep(t *testing.T) {
	table := newTable(engines(1, 1))
	for i := range 200 {
		now := time.Duration(i) * time.Second
		send := sendOf("d0", 1, 0)
		send.Imported = i%2 == 0
		took := 80 * time.Millisecond
		if send.Imported {
			took = 20 * time.Millisecond
		}
		f := table.RecordSend(now, send)
		table.RecordPrefilled(now+took, f)
		table.RecordEnd(now+took, f)
	}
	require.InEpsilon(t, 0.02, table.firstSteps[importStep].seconds, 0.15)
	require.InEpsilon(t, 0.08, table.firstSteps[directStep].seconds, 0.15)
}
