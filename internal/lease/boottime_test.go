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

// TestSuspendedHolderLosesAuthority checks that an instance that was suspended
// for the TTL finds its authority expired when it wakes up, before any store
// call.
func TestSuspendedHolderLosesAuthority(t *testing.T) {
	var clock atomic.Int64
	p := NewParticipant(fake.New(fake.Options{}), "tutor-lm", Options{
		Self: Identity{Name: "a", Incarnation: 1}, TTL: time.Minute,
		Clock: func() time.Duration { return time.Duration(clock.Load()) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	require.Eventually(t, func() bool { _, ok := p.Authority(); return ok }, 20*time.Second, time.Millisecond)
	clock.Store(int64(time.Minute))
	_, ok := p.Authority()
	require.False(t, ok)
	cancel()
	running.Wait()
}

func TestBootTimeIsMonotonic(t *testing.T) {
	before := BootTime()
	require.Positive(t, before)
	require.GreaterOrEqual(t, BootTime(), before)
}
