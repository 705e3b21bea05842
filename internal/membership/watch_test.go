package membership

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// failingLists is a store in which a number of list calls fail, while watch
// calls succeed.
type failingLists struct {
	*fake.Store
	left atomic.Int32
}

func (s *failingLists) List(ctx context.Context, kind string) ([]platform.Object, error) {
	if s.left.Add(-1) >= 0 {
		return nil, errors.New("list fails")
	}
	return s.Store.List(ctx, kind)
}

// TestWatchLeavingRetriesFailedList checks that a change is not lost if the
// list call that follows the watch fails, and that an outage keeps the last
// list in effect.
func TestWatchLeavingRetriesFailedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &failingLists{Store: fake.New(fake.Options{})}
		store.left.Store(2)
		var leaving atomic.Bool
		go WatchLeaving(t.Context(), store, 0, func(addresses []string) {
			leaving.Store(ContainsInstance(addresses, agentAddress))
		})
		time.Sleep(10 * time.Second)
		require.False(t, leaving.Load())

		store.left.Store(3)
		key := platform.Key{Kind: platform.KindInstance, Name: "i-1"}
		obj, err := store.Put(t.Context(), key, []byte(`{"address":"10.0.0.1","leaving":true}`), 0)
		require.NoError(t, err)
		time.Sleep(4 * DefaultListInterval)
		require.True(t, leaving.Load())

		store.SetFaults(fake.Faults{Down: true})
		time.Sleep(time.Hour)
		require.True(t, leaving.Load(), "an outage keeps the last list in effect")
		store.SetFaults(fake.Faults{})
		require.NoError(t, store.Delete(t.Context(), key, obj.Version))
		time.Sleep(2 * DefaultListInterval)
		require.False(t, leaving.Load())
	})
}
