package lease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// failingStore fails the given number of calls, and all of them once it is down.
type failingStore struct {
	Store
	failures atomic.Int32
	down     atomic.Bool
}

func (s *failingStore) fails() bool { return s.down.Load() || s.failures.Add(-1) >= 0 }

func (s *failingStore) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if s.fails() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *failingStore) Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error) {
	if s.fails() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, want)
}

// TestTakeoverAfterFailedCalls checks that the next candidate takes over from a
// silent holder within twice the TTL although its first calls meanwhile fail.
func TestTakeoverAfterFailedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		holderStore, nextStore := &failingStore{Store: store}, &failingStore{Store: store}
		holder := NewParticipant(holderStore, "tutor-lm", Options{Self: Identity{"holder", 1}})
		next := NewParticipant(nextStore, "tutor-lm", Options{Self: Identity{"next", 1}, Rank: 1})
		go holder.Run(t.Context())
		synctest.Wait()
		go next.Run(t.Context())
		time.Sleep(next.options.readInterval() - time.Millisecond)

		holderStore.down.Store(true)
		nextStore.failures.Store(2)
		time.Sleep(2 * DefaultTTL)
		_, ok := next.Authority()
		require.True(t, ok)
	})
}

// TestTermsIncreaseAlthoughRecordWasDeleted guards against a term that is given twice, and
// against a second holder, after another program has deleted the record of the lease.
func TestTermsIncreaseAlthoughRecordWasDeleted(t *testing.T) {
	options := Options{Self: Identity{"next", 1}}
	state, _ := Step(State{}, options, GenerationObserved{Generation: firstGeneration}, 0)
	seen := Record{Holder: Identity{"holder", 1}, Term: 7, TTL: DefaultTTL}
	state, _ = Step(state, options, ReadDone{Version: 3, Record: seen}, 0)
	state, action := Step(state, options, ReadDone{}, time.Second)
	require.Equal(t, Wait, action.Kind, "the holder may not know yet")
	_, action = Step(state, options, ReadDone{}, time.Second+DefaultTTL)
	require.Equal(t, Write, action.Kind)
	require.Equal(t, uint64(8), action.Record.Term)
}
