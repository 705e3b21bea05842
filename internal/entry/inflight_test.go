package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller sends its next request right after a stream has ended, over the same
// connection. The drain must not end in between.
func TestDrainWaitsForCallersThatComeBack(t *testing.T) {
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
				time.Sleep(quietTime / 2)
				f.begin()
			}
			f.end()
		}()
		begin := time.Now()
		f.waitQuiet(t.Context(), quietTime)
		require.Equal(t, requests, served)
		lastEnd := requests * (time.Second + quietTime/2)
		require.GreaterOrEqual(t, time.Since(begin), lastEnd+quietTime)
	})
}
