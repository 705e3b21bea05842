package limits

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPreviewCountsNothing guards against a preview that differs from the decision that
// follows, and against previews by which later decisions change. More clients than are kept
// make requests, at twice what is completed.
func TestPreviewCountsNothing(t *testing.T) {
	previewed, other := NewFairShare(5, 3), NewFairShare(5, 3)
	random := rand.New(rand.NewPCG(1, 2))
	refused := 0
	for i := range 4000 {
		now := time.Duration(i) * 10 * time.Millisecond
		d := Demand{
			Request: Request{Client: strconv.Itoa(random.IntN(8)), Cost: 1, Priority: random.IntN(3), Seed: random.Uint64()},
			Wait:    400 * time.Millisecond, Spare: 500 * time.Millisecond, MaxRetryAfter: time.Second,
		}
		want := previewed.Preview(now, d)
		stranger := d
		stranger.Client = "stranger"
		previewed.Preview(now, stranger)
		require.Equal(t, want, previewed.Admit(now, d))
		require.Equal(t, want, other.Admit(now, d))
		if !want.Admitted {
			refused++
		}
		if i%2 == 0 {
			previewed.Completed(now, 1)
			other.Completed(now, 1)
		}
		require.Equal(t, other.State(now), previewed.State(now))
	}
	require.Positive(t, refused)
}
