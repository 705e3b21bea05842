package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func server(id string) Server { return Server{ID: id, Service: "s", Address: "10.0.0.1:1"} }

// listOf returns the list of some registrations at revision 1.
func listOf(servers ...Server) []Change {
	changes := make([]Change, 0, len(servers))
	for _, s := range servers {
		changes = append(changes, Change{Server: s, Revision: 1})
	}
	return changes
}

func ids(v *View) []string {
	var list []string
	for _, s := range v.Servers() {
		list = append(list, s.ID)
	}
	return list
}

// TestMatchReturnsLongestPrefix checks that the longest prefix of the host
// wins, and that routes of other hosts and routes without targets never match.
func TestMatchReturnsLongestPrefix(t *testing.T) {
	target := []Target{{Service: "s", Weight: 1}}
	c := NewConfig(1, 0, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Targets: target},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: target},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/", Targets: target},
		{Name: "nowhere", Host: "a.example", Prefix: "/n/"},
	}, nil)
	for path, want := range map[string]string{"/x/1": "short", "/x/y/z/1": "long"} {
		route, ok := c.Match("a.example", path)
		require.True(t, ok)
		require.Equal(t, want, route.Name)
	}
	for _, path := range []string{"/x", "/n/1", "/"} {
		_, ok := c.Match("a.example", path)
		require.False(t, ok, path)
	}
}

// TestTargetFollowsWeights checks that requests are divided by weight and that
// the target of a request ID is stable.
func TestTargetFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}}
	counts := map[string]int{}
	for i := range 5000 {
		id := fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
		require.Equal(t, r.Target(id), r.Target(id))
		counts[r.Target(id)]++
	}
	require.InDelta(t, 4500, counts["a"], 200)
	require.InDelta(t, 500, counts["b"], 200)
	require.Zero(t, counts["none"])
}

// TestConfigVersionNeverDecreases checks that the version in force is the
// highest one read, regardless of the order in which versions are read.
func TestConfigVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current *Config
		highest := int64(0)
		for _, version := range rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 20).Draw(t, "versions") {
			current = Newer(current, NewConfig(version, 0, nil, nil))
			highest = max(highest, version)
			if current.Version != highest {
				t.Fatalf("version %d in force, but version %d was read", current.Version, highest)
			}
		}
	})
}

// TestRemovalIsImmediateWithoutOutage checks that without an outage a removed
// server is dropped at once.
func TestRemovalIsImmediateWithoutOutage(t *testing.T) {
	v := NewView()
	v.ApplyList(0, listOf(server("a"), server("b")))
	v.ApplyChange(time.Second, Change{Server: server("a"), Removed: true})
	require.Equal(t, []string{"b"}, ids(v))
}

// TestUnreadableRegistrationIsDropped checks that a registration that cannot be
// decoded drops its server.
func TestUnreadableRegistrationIsDropped(t *testing.T) {
	v := NewView()
	v.ApplyList(0, listOf(server("a"), server("b")))
	v.ApplyChange(time.Second, Change{Server: Server{ID: "a"}, Unreadable: true})
	require.Equal(t, []string{"b"}, ids(v))
}

// TestExpiredRegistrationsAreKeptForGracePeriod covers registrations that
// expire during an outage of the store: servers that register again within
// MissingGrace stay in use throughout, others are dropped when it ends.
func TestExpiredRegistrationsAreKeptForGracePeriod(t *testing.T) {
	v := NewView()
	v.ApplyList(0, listOf(server("a"), server("b"), server("c")))
	v.StoreLost()
	back := 10 * time.Second
	v.ApplyList(back, listOf(server("c")))
	require.Equal(t, []string{"a", "b", "c"}, ids(v))
	v.ApplyChange(back+time.Second, Change{Server: server("a")})
	require.False(t, v.Expire(back+MissingGrace-time.Millisecond))
	require.True(t, v.Expire(back+MissingGrace))
	require.Equal(t, []string{"a", "c"}, ids(v))
}

// TestRemovalAfterFirstListHasNoGracePeriod guards against a grace period for
// servers that are removed after the first list that follows an outage. Such a
// registration has not expired; with a grace period the server received a
// request 2.2 s after its removal.
func TestRemovalAfterFirstListHasNoGracePeriod(t *testing.T) {
	v := NewView()
	v.ApplyList(0, listOf(server("a")))
	v.StoreLost()
	v.ApplyList(10*time.Second, listOf(server("a")))
	v.ApplyChange(10*time.Second+100*time.Millisecond, Change{Server: server("a"), Removed: true})
	require.Empty(t, ids(v))
}

// TestLeavingServerHasNoGracePeriod checks that a leaving server whose
// registration is missing after an outage is dropped at once.
func TestLeavingServerHasNoGracePeriod(t *testing.T) {
	leaving := server("a")
	leaving.Leaving = true
	v := NewView()
	v.ApplyList(0, listOf(leaving))
	v.StoreLost()
	v.ApplyList(10*time.Second, nil)
	require.Empty(t, ids(v))
}

// TestRestartWithSameIDHasNewKey checks that a server that restarts with the
// same ID and address gets another key.
func TestRestartWithSameIDHasNewKey(t *testing.T) {
	v := NewView()
	first, second := server("a"), server("a")
	first.StartedUnixMs, second.StartedUnixMs = 1, 2
	v.ApplyList(0, listOf(first))
	v.ApplyChange(time.Second, Change{Server: second})
	require.NotEqual(t, first.Key(), v.Servers()[0].Key())
}
