package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestReservationsStayWithinBuffers checks that reservations never exceed the limit
// beyond their uncounted parts, and that everything is returned.
func TestReservationsStayWithinBuffers(t *testing.T) {
	const limit = 1 << 20
	rapid.Check(t, func(t *rapid.T) {
		buffers := NewBuffers(limit)
		reservations := make([]*Reservation, 5)
		sizes := make([]int, len(reservations))
		for i := range reservations {
			reservations[i] = buffers.NewReservation()
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, len(reservations)-1).Draw(t, "reservation")
			size := rapid.IntRange(0, limit).Draw(t, "size")
			if reservations[i].Resize(size) {
				sizes[i] = size
			}
			counted := 0
			for _, size := range sizes {
				counted += max(0, size-uncountedBytes)
			}
			require.LessOrEqual(t, counted, limit)
		}
		for _, r := range reservations {
			r.Release()
		}
		require.Zero(t, buffers.used.Load())
	})
}

// TestOrdinaryAnswersNeedNoBuffers checks that an exhausted limit leaves room for
// small answers.
func TestOrdinaryAnswersNeedNoBuffers(t *testing.T) {
	buffers := NewBuffers(1 << 20)
	require.True(t, buffers.NewReservation().Resize(1<<20+uncountedBytes))
	require.False(t, buffers.NewReservation().Resize(uncountedBytes+1))
	require.True(t, buffers.NewReservation().Resize(uncountedBytes))
}
