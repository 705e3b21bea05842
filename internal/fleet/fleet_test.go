package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func server(id string) Server { return Server{ID: id, Service: "s", Address: "10.0.0.1:1"} }

func ids(v *View) []string {
	var list []string
	for _, s := range v.Servers() {
		list = append(list, s.ID)
	}
	return list
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
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

func TestTargetFollowsTheWeights(t *testing.T) {
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

func TestConfigurationNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current *Config
		highest := int64(0)
		for _, version := range rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 20).Draw(t, "versions") {
			current = Newer(current, NewConfig(version, 0, nil, nil))
			highest = max(highest, version)
			if current.Version != highest {
				t.Fatalf("version %d in force, %d was seen", current.Version, highest)
			}
		}
	})
}

func TestRemovalTakesEffectAtOnceWhileTheStoreAnswers(t *testing.T) {
	v := NewView()
	v.ApplyList(0, []Server{server("a"), server("b")})
	v.ApplyChange(time.Second, Change{Server: server("a"), Removed: true})
	require.Equal(t, []string{"b"}, ids(v))
}

func TestUnreadableEntryNamesNoServer(t *testing.T) {
	v := NewView()
	v.ApplyList(0, []Server{server("a"), server("b")})
	v.ApplyChange(time.Second, Change{Server: Server{ID: "a"}, Unreadable: true})
	require.Equal(t, []string{"b"}, ids(v))
}

// Entries lapse while the store is away and are back within two seconds of
// its return; one that is still missing then is gone.
func TestLapsedEntriesAreKeptForAGrace(t *testing.T) {
	v := NewView()
	v.ApplyList(0, []Server{server("a"), server("b"), server("c")})
	v.StoreLost()
	back := 10 * time.Second
	v.ApplyList(back, []Server{server("c")})
	require.Equal(t, []string{"a", "b", "c"}, ids(v))
	v.ApplyChange(back+time.Second, Change{Server: server("a")})
	require.False(t, v.Expire(back+MissingGrace-time.Millisecond))
	require.True(t, v.Expire(back+MissingGrace))
	require.Equal(t, []string{"a", "c"}, ids(v))
}

// A list that follows an outage shows which servers live; what is removed
// after it has not lapsed. Seen as a request 2.2 s after the removal.
func TestRemovalAfterTheFirstListHasNoGrace(t *testing.T) {
	v := NewView()
	v.ApplyList(0, []Server{server("a")})
	v.StoreLost()
	v.ApplyList(10*time.Second, []Server{server("a")})
	v.ApplyChange(10*time.Second+100*time.Millisecond, Change{Server: server("a"), Removed: true})
	require.Empty(t, ids(v))
}

func TestLeavingServerHasNoGrace(t *testing.T) {
	leaving := server("a")
	leaving.Leaving = true
	v := NewView()
	v.ApplyList(0, []Server{leaving})
	v.StoreLost()
	v.ApplyList(10*time.Second, nil)
	require.Empty(t, ids(v))
}

func TestRestartUnderTheSameIDIsAnotherIncarnation(t *testing.T) {
	v := NewView()
	first, second := server("a"), server("a")
	first.StartedUnixMs, second.StartedUnixMs = 1, 2
	v.ApplyList(0, []Server{first})
	v.ApplyChange(time.Second, Change{Server: second})
	require.NotEqual(t, first.Key(), v.Servers()[0].Key())
}
