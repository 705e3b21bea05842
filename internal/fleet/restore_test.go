package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// registered returns the registration of a server in a generation of the store.
func registered(s Server, generation, number uint64) Change {
	return Change{Server: s, Revision: revision.Join(generation, number)}
}

// TestServersMissingFromCopyAreKeptForGracePeriod covers a store that is
// restored from a copy older than some registrations: the servers stay in use
// until they had the time to register again.
func TestServersMissingFromCopyAreKeptForGracePeriod(t *testing.T) {
	v := NewView()
	v.ApplyList(0, listOf(server("a"), server("b"), server("c")))
	back := 10 * time.Second
	v.StoreRestored(back)
	v.ApplyList(back, []Change{registered(server("a"), 2, 1)})
	require.Equal(t, []string{"a", "b", "c"}, ids(v))
	v.ApplyChange(back+time.Second, registered(server("b"), 2, 2))
	require.True(t, v.Expire(back+MissingGrace))
	require.Equal(t, []string{"a", "b"}, ids(v))
}

// TestGracePeriodStartsAgainWithEachRestore covers restores in quick succession.
func TestGracePeriodStartsAgainWithEachRestore(t *testing.T) {
	v := NewView()
	v.ApplyList(0, listOf(server("a"), server("b")))
	for restore := range 5 {
		now := 10*time.Second + time.Duration(restore)*2*time.Second
		v.StoreRestored(now)
		v.ApplyList(now, []Change{registered(server("a"), uint64(restore+2), 1)})
		v.Expire(now + MissingGrace - time.Millisecond)
		require.Equal(t, []string{"a", "b"}, ids(v), "restore %d", restore)
	}
}

// TestDepartedServerIsNotUsedAfterRestore covers a copy in which servers that
// have left, or announced it, are still registered as ready. They are not used
// until they register again, or the copy's registration has outlived the time
// after which the store would have removed it.
func TestDepartedServerIsNotUsedAfterRestore(t *testing.T) {
	leaving := server("b")
	leaving.Leaving = true
	v := NewView()
	v.ApplyList(0, listOf(server("a"), server("b"), server("c")))
	v.ApplyChange(time.Second, Change{Server: server("a"), Removed: true})
	v.ApplyChange(time.Second, Change{Server: leaving, Revision: 2})
	back := 5 * time.Second
	copied := []Change{registered(server("a"), 2, 1), registered(server("b"), 2, 1), registered(server("c"), 2, 1)}
	v.StoreRestored(back)
	require.Equal(t, []string{"a", "b"}, v.ApplyList(back, copied))
	require.Equal(t, []string{"c"}, ids(v))
	require.Equal(t, []string{"a", "b"}, v.ApplyList(back+time.Second, copied), "a second list of the same copy")
	require.Equal(t, []string{"c"}, ids(v))

	v.ApplyChange(back+2*time.Second, registered(server("a"), 2, 9))
	require.Equal(t, []string{"a", "c"}, ids(v), "registered again")
	require.False(t, v.Expire(back+heldDuration-time.Millisecond))
	require.True(t, v.Expire(back+heldDuration))
	require.Equal(t, []string{"a", "b", "c"}, ids(v))
}

// TestDepartedServerIsNotUsedAfterSecondRestore checks that a departure is not
// forgotten when the store is restored once more.
func TestDepartedServerIsNotUsedAfterSecondRestore(t *testing.T) {
	v := NewView()
	v.ApplyList(0, listOf(server("a"), server("b")))
	v.ApplyChange(time.Second, Change{Server: server("a"), Removed: true})
	for generation := uint64(2); generation < 5; generation++ {
		now := time.Duration(generation) * time.Second
		v.StoreRestored(now)
		v.ApplyList(now, []Change{registered(server("a"), generation, 1), registered(server("b"), generation, 1)})
		require.Equal(t, []string{"b"}, ids(v))
	}
}

// TestNextIncarnationIsUsedAfterRestore checks that only the incarnation that
// has departed is held back.
func TestNextIncarnationIsUsedAfterRestore(t *testing.T) {
	next := server("a")
	next.StartedUnixMs = 2
	v := NewView()
	v.ApplyList(0, listOf(server("a")))
	v.ApplyChange(time.Second, Change{Server: server("a"), Removed: true})
	v.StoreRestored(2 * time.Second)
	v.ApplyList(2*time.Second, []Change{registered(next, 2, 1)})
	require.Equal(t, []string{"a"}, ids(v))
}
