package lease

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// An instance that was suspended finds its right over when it wakes, before
// anything has been read.
func TestSuspendedHolderHasNoRight(t *testing.T) {
	var clock atomic.Int64
	k := NewParticipant(fake.New(fake.Options{}), "tutor-lm", Options{
		Self: Identity{Name: "a", Incarnation: 1}, TTL: time.Minute,
		Clock: func() time.Duration { return time.Duration(clock.Load()) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { k.Run(ctx) })
	require.Eventually(t, func() bool { _, ok := k.Authority(); return ok }, 20*time.Second, time.Millisecond)
	clock.Store(int64(time.Minute))
	_, ok := k.Authority()
	require.False(t, ok)
	cancel()
	running.Wait()
}

func TestBootTimeRises(t *testing.T) {
	before := BootTime()
	require.Positive(t, before)
	require.GreaterOrEqual(t, BootTime(), before)
}
