package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDrainWaitsForNextRequestOnConnection guards against closing the listener
// between two requests of a caller that sends its next request on the same
// connection right after a stream has ended.
func TestDrainWaitsForNextRequestOnConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 5
		f := &inflight{}
		f.begin()
		served := 0
		go func() {
			for range requests {
				time.Sleep(time.Second)
				f.end()
				served++
				time.Sleep(quietPeriod / 2)
				f.begin()
			}
			f.end()
		}()
		begin := time.Now()
		f.waitQuiet(t.Context(), quietPeriod)
		require.Equal(t, requests, served)
		lastEnd := requests * (time.Second + quietPeriod/2)
		require.GreaterOrEqual(t, time.Since(begin), lastEnd+quietPeriod)
	})
}
